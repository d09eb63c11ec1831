package store

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// applyMergePatch returns a copy of a decoded document with an RFC 7396 merge patch applied.
//
// jsonpatch.MergePatch decodes and encodes the whole document for each patch:
// 4.1 ms per patch at 1,300 instances, or 0.2 s at startup with 50 deltas. This
// function copies only the objects on the path to a change.
func applyMergePatch(document, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	merged := map[string]any{}
	if before, ok := document.(map[string]any); ok {
		merged = maps.Clone(before)
	}
	for name, value := range changes {
		if value == nil {
			delete(merged, name)
			continue
		}
		merged[name] = applyMergePatch(merged[name], value)
	}
	return merged
}

// createPatch returns the merge patch from the assembly's document to another, and whether it yields exactly that one.
func (a Assembly) createPatch(to jsonDocument) (json.RawMessage, bool) {
	from, err := json.Marshal(a.document)
	if err != nil {
		return nil, false
	}
	patch, err := jsonpatch.CreateMergePatch(from, to.text)
	if err != nil {
		return nil, false
	}
	var changes any
	if err := json.Unmarshal(patch, &changes); err != nil {
		return nil, false
	}
	return patch, reflect.DeepEqual(applyMergePatch(a.document, changes), to.document)
}

// jsonDocument is a document in its encoded and its decoded form.
type jsonDocument struct {
	text     []byte
	document any // decoded JSON
}

func newJSONDocument(d document) (jsonDocument, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return jsonDocument{}, fmt.Errorf("encode configuration: %w", err)
	}
	t := jsonDocument{text: text}
	return t, json.Unmarshal(text, &t.document)
}

// decodeFleet converts decoded JSON to a document; key names its source in errors.
func decodeFleet(key string, from any) (document, error) {
	var d document
	text, err := json.Marshal(from)
	if err != nil {
		return document{}, fmt.Errorf("encode configuration: %w", err)
	}
	if err := decode(key, text, &d); err != nil {
		return document{}, err
	}
	if !d.consistent() {
		return document{}, fmt.Errorf("%w: key %q contains an element that is stored under another name", ErrCorrupt, key)
	}
	return d, nil
}
