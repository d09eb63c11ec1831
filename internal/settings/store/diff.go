package store

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"teaselloft/internal/model/fleet"
)

// Difference is one value that two configurations do not share.
type Difference struct {
	Field  string `json:"field"`
	Before any    `json:"before,omitempty"` // nil when the value is new
	After  any    `json:"after,omitempty"`  // nil when the value is removed
}

// Diff lists the differences between two configurations in order of field; versions and order do not count.
func Diff(before, after fleet.Fleet) ([]Difference, error) {
	a, err := generic(before)
	if err != nil {
		return nil, err
	}
	b, err := generic(after)
	if err != nil {
		return nil, err
	}
	differences := diffValues("", a, b)
	slices.SortFunc(differences, func(x, y Difference) int { return cmp.Compare(x.Field, y.Field) })
	return differences, nil
}

// generic returns the document of a fleet as maps.
func generic(f fleet.Fleet) (any, error) {
	text, err := json.Marshal(newDocument(f))
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	var v any
	err = json.Unmarshal(text, &v)
	return v, err
}

func diffValues(field string, before, after any) []Difference {
	a, ok := before.(map[string]any)
	b, also := after.(map[string]any)
	if !ok || !also {
		if reflect.DeepEqual(before, after) {
			return nil
		}
		return []Difference{{Field: field, Before: before, After: after}}
	}
	var found []Difference
	names := maps.Clone(a)
	maps.Copy(names, b)
	for name := range names {
		path := name
		if field != "" {
			path = field + "." + name
		}
		found = append(found, diffValues(path, a[name], b[name])...)
	}
	return found
}
