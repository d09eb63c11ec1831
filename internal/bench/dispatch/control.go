package dispatch

import (
	"context"
	"fmt"

	"teaselloft/internal/core/measure"
	"teaselloft/internal/decision/dispatch"
)

func init() {
	measure.Register(measure.Benchmark{
		Name:  "dispatch-control",
		Usage: "frames and bytes between entry instances per request and at rest",
		Run:   func(context.Context) ([]measure.Result, error) { return controlResults(), nil },
	})
}

func controlResults() []measure.Result {
	var results []measure.Result
	var sizes, frames, bytes []float64
	for _, n := range []int{8, 16, 32, 64} {
		m := newSimulation(halyard, n, 0, Owner{Options: dispatch.Defaults()}, defaultSeed)
		rest := m.frames
		m.run() // until nothing is left to do, without a request
		rest = m.frames - rest
		m.steady(0.5)
		m.run()
		sizes = append(sizes, float64(n))
		frames = append(frames, float64(m.frames)/float64(m.jobs))
		bytes = append(bytes, float64(m.bytes)/float64(m.jobs))
		name := fmt.Sprintf("control.entries%d", n)
		results = append(results,
			measure.Result{Name: name + ".rest", Value: float64(rest), Unit: "frames", Baseline: none, Bound: 0},
			measure.Result{Name: name + ".frames", Value: frames[len(frames)-1], Unit: "per-request", Baseline: none, Bound: none},
			measure.Result{Name: name + ".bytes", Value: bytes[len(bytes)-1], Unit: "per-request", Baseline: none, Bound: none})
	}
	return append(results,
		measure.Result{Name: "control.frames.slope", Value: slope(sizes, frames), Unit: "per-request-and-entry", Baseline: none, Bound: none},
		measure.Result{Name: "control.bytes.slope", Value: slope(sizes, bytes), Unit: "per-request-and-entry", Baseline: none, Bound: none})
}

// slope returns the least-squares slope of y over x.
func slope(x, y []float64) float64 {
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	n := float64(len(x))
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}
