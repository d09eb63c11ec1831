package dispatch

import (
	"context"
	"fmt"
	"time"

	"teaselloft/internal/core/measure"
	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/decision/retry"
)

// Times of the scenarios.
const (
	incident  = 20 * time.Second       // start of a loss or a replacement
	listLag   = 3 * time.Second        // until the instance list shows it
	replaced  = 2 * time.Second        // until the first replaced executor is ready
	readyStep = 500 * time.Millisecond // between two that become ready
	settling  = 5 * time.Second        // after the last is ready, and length of the measured window
)

func init() {
	measure.Register(measure.Benchmark{
		Name:  "dispatch-fleet",
		Usage: "attempts when a zone is lost, spread after a replacement, one caller's burst, requests between zones",
		Run:   func(context.Context) ([]measure.Result, error) { return fleetResults(), nil },
	})
}

func fleetResults() []measure.Result {
	var results []measure.Result
	for _, s := range []site{halyard, fossbakk} {
		results = append(results,
			zoneLoss(s), spread(s, 0.2), spread(s, 0.5), spread(s, targetLoad))
		results = append(results, burst(s)...)
		results = append(results, crossing(s)...)
	}
	return results
}

// zoneLoss measures attempts over requests when a zone is lost, against retries without a budget.
func zoneLoss(s site) measure.Result {
	return measure.Result{
		Name: s.name + ".zone-loss.attempts", Value: zoneLossAttempts(s, retry.New(retry.DefaultRatio, retry.DefaultBurst)),
		Unit: "per-request", Baseline: zoneLossAttempts(s, retry.New(1000, 1000)), Bound: attemptBound,
	}
}

// zoneLossAttempts returns the largest ratio over all services, within the lag of the instance list.
func zoneLossAttempts(s site, b retry.Budget) float64 {
	worst := 0.0
	for service := range s.executors {
		m := newSimulation(s, usualEntries, service, Owner{Options: dispatch.Defaults()}, defaultSeed)
		p := m.runner.(*owner)
		p.limit(b)
		var jobs, attempts int
		m.after(incident, func() {
			jobs, attempts = int(m.jobs), m.attempts()
			for _, w := range m.workers {
				if w.target.Zone == zoneName(1) {
					m.lose(w)
					p.down[w.target.ID] = true
				}
			}
			m.after(listLag, func() {
				p.configure()
				worst = max(worst, float64(m.attempts()-attempts)/float64(int(m.jobs)-jobs))
			})
		})
		m.steady(0.5)
		m.run()
		worst = max(worst, float64(m.attempts())/float64(m.jobs))
	}
	return worst
}

// spread measures the requests of an executor, maximum over mean, after all were replaced together.
func spread(s site, load float64) measure.Result {
	return measure.Result{
		Name: fmt.Sprintf("%s.replacement.spread.load%g", s.name, load), Value: spreadOf(s, Owner{Options: dispatch.Defaults()}, load),
		Unit: "max-over-mean", Baseline: spreadOf(s, Pinned{}, load), Bound: spreadBound,
	}
}

func spreadOf(s site, p Policy, load float64) float64 {
	worst := 0.0
	for service := range s.executors {
		m := newSimulation(s, usualEntries, service, p, defaultSeed)
		m.replace()
		last := incident + replaced + time.Duration(len(m.workers)-1)*readyStep
		before := map[*worker]int{}
		m.after(last+settling, func() {
			for _, w := range m.workers {
				before[w] = w.sent
			}
		})
		m.after(last+2*settling, func() {
			most, sum := 0, 0
			for _, w := range m.workers {
				n := w.sent - before[w]
				most, sum = max(most, n), sum+n
			}
			worst = max(worst, float64(most*len(m.workers))/float64(sum))
		})
		m.steady(load)
		m.run()
	}
	return worst
}

// replace drains all executors but the first at once; they are ready again one after the other, the first last.
func (m *simulation) replace() {
	change := func(w *worker, left bool) {
		w.left = left
		if p, ok := m.runner.(*owner); ok {
			p.down[w.target.ID] = left
			p.configure()
		}
	}
	for i, w := range m.workers[1:] {
		m.after(incident, func() { change(w, true) })
		m.after(incident+replaced+time.Duration(i)*readyStep, func() { change(w, false) })
	}
	first := m.workers[0]
	m.after(incident+replaced, func() { change(first, true) })
	m.after(incident+replaced+time.Duration(len(m.workers)-1)*readyStep, func() { change(first, false) })
}

// burst measures what other callers notice of one caller that asks for twice the service's capacity.
func burst(s site) []measure.Result {
	alone := othersOf(s, Owner{Options: dispatch.Defaults()}, 0)
	own := othersOf(s, Owner{Options: dispatch.Defaults()}, 2)
	local := othersOf(s, Local{}, 2)
	return []measure.Result{
		{Name: s.name + ".burst.others.lost", Value: own.lost, Unit: "share", Baseline: local.lost, Bound: 0},
		{Name: s.name + ".burst.others.p99", Value: own.waits.quantile(percentileTop), Unit: "ms", Baseline: local.waits.quantile(percentileTop), Bound: none},
		{Name: s.name + ".no-burst.others.p99", Value: alone.waits.quantile(percentileTop), Unit: "ms", Baseline: none, Bound: none},
	}
}

// others is how the callers without a burst fare.
type others struct {
	waits summary
	lost  float64 // share that never started
}

func othersOf(s site, p Policy, load float64) others {
	const greedy = "greedy"
	var o others
	m := newSimulation(s, usualEntries, 0, p, defaultSeed)
	jobs := 0
	base := 0.4
	m.arrived = func(j *job) {
		if m.rand.Float64() < load/(base+load) {
			j.request.Caller = greedy
		} else {
			jobs++
		}
	}
	m.steady(base + load)
	m.run()
	for _, j := range m.done {
		if j.request.Caller != greedy {
			o.waits.add(j)
		}
	}
	o.lost = 1 - float64(len(o.waits.waits))/float64(jobs)
	return o
}

// crossing measures the requests sent between zones and the latency that preferring the same zone saves.
func crossing(s site) []measure.Result {
	var results []measure.Result
	for _, load := range []float64{0.2, targetLoad} {
		o := dispatch.Defaults()
		m := newSimulation(s, usualEntries, 0, Owner{Options: o}, defaultSeed)
		m.steady(load)
		m.run()
		r := newSimulation(s, usualEntries, 0, Random{}, defaultSeed)
		r.steady(load)
		r.run()
		share, base := float64(m.crossed)/float64(m.attempts()), float64(r.crossed)/float64(r.attempts())
		name := fmt.Sprintf("%s.load%g", s.name, load)
		results = append(results,
			measure.Result{Name: name + ".cross-zone", Value: share, Unit: "share", Baseline: base, Bound: none},
			measure.Result{Name: name + ".saved", Value: (base - share) * (s.between - within).Seconds() * 1e3, Unit: "ms-one-way", Baseline: none, Bound: none})
	}
	return results
}
