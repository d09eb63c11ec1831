package store

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// merge applies a merge patch of RFC 7396 to a decoded document and returns the result; the document stays as it is.
//
// jsonpatch.MergePatch decodes and encodes the whole document for each patch,
// 4.1 ms each at 1,300 workers and so 0.2 s for a start with 50 deltas. Here
// only the objects on the way to a change are copied.
func merge(document, patch any) any {
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
		merged[name] = merge(merged[name], value)
	}
	return merged
}

// patch returns the merge patch that makes a document from the assembly's, and whether it does so without loss.
func (a Assembly) patch(to tree) (json.RawMessage, bool) {
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
	return patch, reflect.DeepEqual(merge(a.document, changes), to.document)
}

// tree is a document in both of its forms.
type tree struct {
	text     []byte
	document any // decoded JSON
}

func newTree(d document) (tree, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return tree{}, fmt.Errorf("encode configuration: %w", err)
	}
	t := tree{text: text}
	return t, json.Unmarshal(text, &t.document)
}

// decodeFleet returns the typed form of a decoded document.
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
		return document{}, fmt.Errorf("%w: key %q leads to an element under the name of another", ErrCorrupt, key)
	}
	return d, nil
}
