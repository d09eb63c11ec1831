package planner_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"teaselloft/internal/bench/planner"

	qt "github.com/frankban/quicktest"
)

// Guards against a measurement that stays silent, or a bound that is broken without an error.
func TestCapacityIsMeasuredWithinItsBounds(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	c.Assert(planner.Run(&out, 1, []string{"capacity"}), qt.IsNil, qt.Commentf("%s", &out))
	c.Assert(strings.Count(out.String(), "bench name="), qt.Equals, 2)
	c.Assert(strings.Count(out.String(), "ok=true"), qt.Equals, 2)
}

// BenchmarkUrgent measures a minute of full load at the two-year size.
func BenchmarkUrgent(b *testing.B) {
	for b.Loop() {
		if err := planner.Run(io.Discard, 1, []string{"urgent"}); err != nil {
			b.Fatal(err)
		}
	}
}
