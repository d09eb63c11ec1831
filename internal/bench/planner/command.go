package planner

import (
	"context"
	"fmt"
	"math"

	"teaselloft/internal/core/measure"
)

// Seed makes the generated fleets, durations and loads the same on every run.
const Seed = 20261204

// Areas are the measurements by name.
var Areas = []Area{
	{"wave", "roll-out time and moves of a wave over 1,300 instances", rollout},
	{"record", "the planner's writes for a wave, also with a rack or a zone lost", platform},
	{"step", "time of one wave decision from 50 to 5,000 instances", waveStep},
	{"capacity", "buffer and moves to and from the spare pool", buffer},
	{"quarantine", "jobs lost to a worker that fails everything", quarantine},
	{"urgent", "start of urgent jobs and placement step at 1,300 workers", urgent},
	{"growth", "placement step and cancellations from 50 to 5,000 workers", growth},
}

// Area is one measurement.
type Area struct {
	Name    string
	Usage   string
	measure func(r *results, seed uint64) error
}

// Measure runs the measurement with a seed.
func (a Area) Measure(seed uint64) ([]measure.Result, error) {
	r := &results{}
	err := a.measure(r, seed)
	return r.list, err
}

func init() {
	for _, a := range Areas {
		measure.Register(measure.Benchmark{
			Name:  "planner-" + a.Name,
			Usage: fmt.Sprintf("measure %s (seed %d)", a.Usage, Seed),
			Run:   func(context.Context) ([]measure.Result, error) { return a.Measure(Seed) },
		})
	}
}

// results collects what an area measures.
type results struct {
	list []measure.Result
}

// bound adds a value that must not exceed its bound, next to the value of a baseline.
func (r *results) bound(name string, value float64, unit string, baseline, bound float64) {
	r.list = append(r.list, measure.Result{Name: name, Value: value, Unit: unit, Baseline: baseline, Bound: bound})
}

// figure adds a value without a stated target.
func (r *results) figure(name string, value float64, unit string) {
	r.bound(name, value, unit, math.NaN(), math.NaN())
}
