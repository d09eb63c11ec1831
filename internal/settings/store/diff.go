package store

import (
	"cmp"
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
	a, err := newTree(newDocument(before))
	if err != nil {
		return nil, err
	}
	b, err := newTree(newDocument(after))
	if err != nil {
		return nil, err
	}
	differences := diffValues("", a.document, b.document)
	slices.SortFunc(differences, func(x, y Difference) int { return cmp.Compare(x.Field, y.Field) })
	return differences, nil
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
