package dispatch

import (
	"slices"
	"time"
)

// summary describes the waits of a group of jobs.
type summary struct {
	waits   []time.Duration // sorted
	total   time.Duration
	blocked float64 // part of total that long work ahead accounts for, in nanoseconds
}

func (s *summary) add(j *job) {
	wait := j.started.Sub(j.arrived)
	s.waits = append(s.waits, wait)
	s.total += wait
	s.blocked += j.ahead * float64(wait)
}

// quantile returns a quantile of the waits in milliseconds.
func (s *summary) quantile(q float64) float64 {
	if len(s.waits) == 0 {
		return 0
	}
	slices.Sort(s.waits)
	return s.waits[int(q*float64(len(s.waits)-1))].Seconds() * 1e3
}

// longShare returns the share of the waits that long work ahead accounts for.
func (s *summary) longShare() float64 {
	return s.blocked / max(1, float64(s.total))
}

// outcome is what one policy did on all services of a site.
type outcome struct {
	urgent  summary
	short   summary // not urgent, truly short
	all     summary
	jobs    int
	refused int
	over    int
	crossed int
}

// measureSite runs all services of a site at a load.
func measureSite(s site, p Policy, load float64, seed uint64) outcome {
	mean := meanRun()
	var o outcome
	for service := range s.executors {
		m := newSimulation(s, usualEntries, service, p, seed)
		m.load(service, load, mean)
		m.run()
		for _, j := range m.done {
			o.all.add(j)
			switch {
			case j.urgent():
				o.urgent.add(j)
			case !j.long():
				o.short.add(j)
			}
		}
		o.jobs += int(m.jobs)
		o.refused += m.refused
		o.over += m.over
		o.crossed += m.crossed
	}
	return o
}
