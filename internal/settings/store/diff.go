package store

import (
	"cmp"
	"maps"
	"reflect"
	"slices"

	"teaselloft/internal/model/fleet"
)

// Difference is a field whose value differs between two configurations.
type Difference struct {
	Field  string `json:"field"`
	Before any    `json:"before,omitempty"` // nil if the field was added
	After  any    `json:"after,omitempty"`  // nil if the field was removed
}

// Diff lists the differences between two configurations by field; it ignores versions and the order of lists.
func Diff(before, after fleet.Fleet) ([]Difference, error) {
	a, err := newJSONDocument(newDocument(before))
	if err != nil {
		return nil, err
	}
	b, err := newJSONDocument(newDocument(after))
	if err != nil {
		return nil, err
	}
	differences := diffValues("", a.document, b.document)
	slices.SortFunc(differences, func(x, y Difference) int { return cmp.Compare(x.Field, y.Field) })
	return differences, nil
}

func diffValues(field string, before, after any) []Difference {
	a, beforeIsObject := before.(map[string]any)
	b, afterIsObject := after.(map[string]any)
	if !beforeIsObject || !afterIsObject {
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
