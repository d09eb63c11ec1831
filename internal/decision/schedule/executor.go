package schedule

import (
	"slices"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// runState is a run on an executor. It is immutable.
type runState struct {
	task     job.Task
	run      uint64
	need     job.Resources
	phase    phase
	since    time.Duration // of the phase
	known    time.Duration // when the last order about it was answered
	settled  bool          // a stop was answered: it is listed as ended, or never starts
	percent  int
	pace     int
	figure   float64
	paceAsk  time.Duration
	lasts    bool
	serves   bool
	filler   bool
	target   time.Duration
	stray    bool // nothing is known of its job
	expected time.Duration
}

// executorState is what the owner knows of one life of an executor. It is immutable.
type executorState struct {
	info     site.Executor
	listed   bool // the store lists it
	born     int64
	open     bool          // it has answered a hold under this owner's fence
	opened   time.Duration // when it did so first
	failing  time.Duration // since when holds fail; 0 when the last one was answered
	clock    int64         // ms, its clock
	clockAt  time.Duration // when the clock was read
	expires  int64         // the latest expiry that any call carried, on its clock
	seen     uint64        // number of the last end that was taken into account
	ack      uint64        // number of the last end whose effects are stored
	marks    []mark
	holding  bool
	deferred time.Duration // when a hold is due that waits for a write
	runs     []runState
	taken    job.Resources // what the runs take, those that are being stopped included
	faults   float64       // failed ends, less successful ones
	barred   time.Duration // it gets no tasks until then
	vacate   time.Duration // it is being emptied until then
	vacating time.Duration // since when it is being emptied
	slowness float64       // smoothed duration of its runs against the estimate
	calm     time.Duration // since when its serving tasks have kept their targets
}

// mark says that ends up to number are stored once generation is.
type mark struct {
	number     uint64
	generation uint64
}

func (e executorState) find(t job.Task, run uint64) int {
	return slices.IndexFunc(e.runs, func(r runState) bool { return r.task == t && r.run == run })
}

func (e executorState) withRun(r runState) executorState {
	if i := e.find(r.task, r.run); i >= 0 {
		e.taken = e.taken.Minus(e.runs[i].need).Plus(r.need)
		e.runs = slices.Clone(e.runs)
		e.runs[i] = r
		return e
	}
	e.taken = e.taken.Plus(r.need)
	e.runs = append(slices.Clip(e.runs), r)
	return e
}

func (e executorState) withoutRun(i int) executorState {
	e.taken = e.taken.Minus(e.runs[i].need)
	e.runs = slices.Delete(slices.Clone(e.runs), i, i+1)
	return e
}

// at returns the executor's clock at a time, in ms.
func (e executorState) at(now time.Duration) int64 {
	return e.clock + (now - e.clockAt).Milliseconds()
}

// lapsed reports whether everything on it must have been ended for want of a lease.
func (e executorState) lapsed(now time.Duration) bool {
	if e.clockAt == 0 {
		return false
	}
	left := time.Duration(float64(e.expires-e.clock) / clockDrift * float64(time.Millisecond))
	return now >= e.clockAt+left+proofMargin
}

// usable reports whether tasks may be started on it by an owner that was last confirmed at a time.
//
// A life that began after a takeover has not seen the fence of the next owner, so
// that only a confirmation after its first answer shows that no other owner uses it.
func (e executorState) usable(now, confirmed time.Duration) bool {
	if !e.open || confirmed <= e.opened || !e.listed || e.info.Draining || e.failing != 0 || now < e.vacate || now < e.barred {
		return false
	}
	return !slices.ContainsFunc(e.runs, func(r runState) bool { return r.stray })
}

// lasting counts the runs that last.
func (e executorState) lasting() int {
	n := 0
	for _, r := range e.runs {
		if r.lasts {
			n++
		}
	}
	return n
}
