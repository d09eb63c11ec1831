package table_test

import (
	"maps"
	"slices"
	"testing"

	"teaselloft/internal/core/table"

	"pgregory.net/rapid"
)

// Guards against a change that shows in an earlier table, and against keys that are lost, doubled or out of order.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now table.Table[int]
		model := map[string]int{}
		var before table.Table[int]
		var modelBefore map[string]int
		for i := range rapid.IntRange(0, 80).Draw(t, "changes") {
			before, modelBefore = now, maps.Clone(model)
			key := string(rapid.RuneFrom([]rune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")).Draw(t, "key"))
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				now = now.Without(key)
				delete(model, key)
			} else {
				now = now.With(key, &i)
				model[key] = i
			}
			assertSame(t, now, model)
			assertSame(t, before, modelBefore)
		}
	})
}

func assertSame(t *rapid.T, got table.Table[int], want map[string]int) {
	var values, ordered []int
	got.Each(func(v *int) { values = append(values, *v) })
	for _, key := range slices.Sorted(maps.Keys(want)) {
		ordered = append(ordered, want[key])
		if v, ok := got.Get(key); !ok || *v != want[key] {
			t.Fatalf("key %q has another value than %d", key, want[key])
		}
	}
	if _, ok := got.Get("?"); ok || got.Len() != len(want) || !slices.Equal(values, ordered) {
		t.Fatalf("the table has %d values %v, not %v", got.Len(), values, ordered)
	}
}
