package planner_test

import (
	"slices"
	"testing"

	"teaselloft/internal/bench/planner"
	"teaselloft/internal/core/measure"

	qt "github.com/frankban/quicktest"
)

func run(tb testing.TB, name string) []measure.Result {
	at := slices.IndexFunc(planner.Areas, func(a planner.Area) bool { return a.Name == name })
	list, err := planner.Areas[at].Measure(planner.Seed)
	qt.Assert(tb, err, qt.IsNil)
	return list
}

// Guards against a measurement that is not made, or whose figures break their bounds.
func TestCapacityIsMeasuredWithinItsBounds(t *testing.T) {
	c := qt.New(t)
	list := run(t, "capacity")
	c.Assert(list, qt.HasLen, 3)
	for _, r := range list {
		c.Assert(r.OK(), qt.IsTrue, qt.Commentf("%s", r))
	}
}

// BenchmarkUrgent measures a minute of full load at the two-year size.
func BenchmarkUrgent(b *testing.B) {
	for b.Loop() {
		run(b, "urgent")
	}
}
