package dispatch

import (
	"context"
	"math"

	"teaselloft/internal/core/measure"
	"teaselloft/internal/decision/dispatch"
)

// Targets of the design page.
const (
	urgentBound   = 1.25 // p99 wait of urgent work over the ideal
	attemptBound  = 1.1  // attempts over requests
	spreadBound   = 1.1  // requests of an executor, maximum over mean
	targetLoad    = 0.8
	defaultSeed   = 20261204
	overBound     = 0
	percentileTop = 0.99
)

var none = math.NaN()

func init() {
	measure.Register(measure.Benchmark{
		Name:  "dispatch-wait",
		Usage: "waits of urgent and short work against baselines and an ideal queue",
		Run:   func(context.Context) ([]measure.Result, error) { return waitResults(), nil },
	})
}

// named is a policy with its name in results.
type named struct {
	name   string
	policy Policy
}

func waitResults() []measure.Result {
	var results []measure.Result
	for _, s := range []site{halyard, fossbakk} {
		best := measureSite(s, Ideal{}, targetLoad, defaultSeed)
		for _, n := range []named{
			{"owner", Owner{Options: dispatch.Defaults()}},
			{"owner-fixed-cap", Owner{Options: options(5.0/8, 1.0/8)}},
			{"owner-no-cap", Owner{Options: options(1, 1.0/8)}},
			{"owner-no-reserve", Owner{Options: options(5.0/8, 0)}},
			{"owner-plain", Owner{Options: options(1, 0)}},
			{"split", Split{}},
			{"random", Random{}},
			{"local", Local{}},
		} {
			o := measureSite(s, n.policy, targetLoad, defaultSeed)
			results = append(results, siteResults(s.name+"."+n.name, n.name == "owner", o, best)...)
		}
	}
	return results
}

// options returns the defaults with a fixed cap on long work and another reserve for urgent work.
func options(longCap, reserve float64) dispatch.Options {
	o := dispatch.Defaults()
	o.PeakHalfLife = 0
	o.LongCap = longCap
	o.UrgentReserve = reserve
	return o
}

func siteResults(name string, bounded bool, o, best outcome) []measure.Result {
	bound, over := none, none
	if bounded {
		bound, over = urgentBound, overBound
	}
	results := []measure.Result{
		{Name: name + ".urgent.p99.ratio", Value: ratio(o.urgent.quantile(percentileTop), best.urgent.quantile(percentileTop)), Unit: "ratio", Baseline: 1, Bound: bound},
		{Name: name + ".oversubscribed", Value: float64(o.over), Unit: "starts", Baseline: none, Bound: over},
		{Name: name + ".refused", Value: float64(o.refused) / float64(o.jobs), Unit: "share", Baseline: float64(best.refused) / float64(best.jobs), Bound: none},
	}
	for _, g := range []struct {
		name      string
		own, best *summary
	}{{"urgent", &o.urgent, &best.urgent}, {"short", &o.short, &best.short}} {
		for _, q := range []struct {
			name  string
			share float64
		}{{"p50", 0.5}, {"p99", percentileTop}, {"p999", 0.999}} {
			results = append(results, measure.Result{
				Name: name + "." + g.name + "." + q.name, Value: g.own.quantile(q.share), Unit: "ms",
				Baseline: g.best.quantile(q.share), Bound: none,
			})
		}
		results = append(results, measure.Result{
			Name: name + "." + g.name + ".long-share", Value: g.own.longShare(), Unit: "share", Baseline: g.best.longShare(), Bound: none,
		})
	}
	return results
}

func ratio(a, b float64) float64 {
	return a / max(b, 1e-9)
}
