package plan

import (
	"teaselloft/internal/decision/wave"

	"github.com/rcrowley/go-metrics"
)

// Parameters of the histogram of step times, as go-metrics recommends: 1,028 values, weighted towards the last five
// minutes.
const (
	stepSamples = 1028
	stepDecay   = 0.015
)

// meters are the plug-in's metrics.
type meters struct {
	writes          metrics.Counter
	conflicts       metrics.Counter
	unknownOutcomes metrics.Counter   // writes that may have taken effect
	steps           metrics.Histogram // microseconds
}

func newMeters(r metrics.Registry) meters {
	return meters{
		writes:          metrics.GetOrRegisterCounter("plan.writes", r),
		conflicts:       metrics.GetOrRegisterCounter("plan.conflicts", r),
		unknownOutcomes: metrics.GetOrRegisterCounter("plan.lost", r),
		steps:           metrics.GetOrRegisterHistogram("plan.steps", r, metrics.NewExpDecaySample(stepSamples, stepDecay)),
	}
}

// registerGauges adds gauges that compute their values from the planner's report when they are read.
func registerGauges(r metrics.Registry, report func() wave.Report) {
	gauge := func(name string, value func(wave.Report) int) {
		r.GetOrRegister(name, metrics.NewFunctionalGauge(func() int64 { return int64(value(report())) }))
	}
	gauge("plan.owner", func(r wave.Report) int { return min(int(r.Epoch), 1) })
	gauge("plan.waiting", func(r wave.Report) int { return len(r.Blocked) })
	gauge("plan.out", func(r wave.Report) int {
		out := 0
		for _, s := range r.Services {
			out += len(s.Reserved)
		}
		return out
	})
}
