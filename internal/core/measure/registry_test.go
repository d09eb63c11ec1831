package measure_test

import (
	"bytes"
	"context"
	"math"
	"testing"

	"teaselloft/internal/core/measure"

	qt "github.com/frankban/quicktest"
)

// Guards against an exceeded bound that does not fail the benchmark, and against results that are not printed.
func TestRunFailsOnExceededBound(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	b := measure.Benchmark{Name: "b", Run: func(context.Context) ([]measure.Result, error) {
		return []measure.Result{
			{Name: "kept", Value: 1, Unit: "ms", Baseline: 2, Bound: 1},
			{Name: "free", Value: 3, Unit: "ms", Baseline: math.NaN(), Bound: math.NaN()},
			{Name: "broken", Value: 1.5, Unit: "ratio", Baseline: 2, Bound: 1.25},
		}, nil
	}}
	c.Assert(measure.Run(context.Background(), &out, b), qt.ErrorIs, measure.ErrBoundExceeded)
	c.Assert(out.String(), qt.Equals, `bench name=kept value=1 unit=ms baseline=2 bound=1 ok=true
bench name=free value=3 unit=ms baseline=none bound=none ok=true
bench name=broken value=1.5 unit=ratio baseline=2 bound=1.25 ok=false
`)
}
