package schedule

import (
	"slices"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// runState is a run on an executor. It is immutable.
type runState struct {
	task          job.Task
	run           uint64
	need          job.Resources
	phase         phase
	since         time.Duration // of the phase
	lastOrderAt   time.Duration // when the last order about it was answered
	stopConfirmed bool          // a stop was answered: it is listed as ended, or never starts
	percent       int
	speed         int
	metric        float64
	speedSentAt   time.Duration
	longRunning   bool
	serving       bool
	bestEffort    bool
	target        time.Duration
	stray         bool // nothing is known of its job
	estimate      time.Duration
}

// executorState is what the owner knows of one life of an executor. It is immutable.
type executorState struct {
	info              site.Executor
	listed            bool // the store lists it
	born              int64
	open              bool          // it has answered a hold under this owner's fence
	openedAt          time.Duration // when it did so first
	failingSince      time.Duration // since when holds fail; 0 when the last one was answered
	clock             int64         // ms, its clock
	clockReadAt       time.Duration // when the clock was read
	leaseExpires      int64         // the latest expiry that any call carried, on its clock
	lastEnd           uint64        // number of the last end that was taken into account
	ackedEnd          uint64        // number of the last end whose effects are stored
	pendingAcks       []pendingAck
	heartbeatInFlight bool
	nextHeartbeatAt   time.Duration // when a hold is due that waits for a write
	runs              []runState
	allocated         job.Resources // what the runs take, those that are being stopped included
	faults            float64       // failed ends, less successful ones
	quarantinedUntil  time.Duration // it gets no tasks until then
	vacateUntil       time.Duration // it is being emptied until then
	vacatingSince     time.Duration // since when it is being emptied
	slowness          float64       // smoothed duration of its runs against the estimate
	calmSince         time.Duration // since when its serving tasks have kept their targets
}

// pendingAck says that ends up to number are stored once generation is.
type pendingAck struct {
	number     uint64
	generation uint64
}

func (e executorState) findRun(t job.Task, run uint64) int {
	return slices.IndexFunc(e.runs, func(r runState) bool { return r.task == t && r.run == run })
}

func (e executorState) withRun(r runState) executorState {
	if i := e.findRun(r.task, r.run); i >= 0 {
		e.allocated = e.allocated.Minus(e.runs[i].need).Plus(r.need)
		e.runs = slices.Clone(e.runs)
		e.runs[i] = r
		return e
	}
	e.allocated = e.allocated.Plus(r.need)
	e.runs = append(slices.Clip(e.runs), r)
	return e
}

func (e executorState) withoutRun(i int) executorState {
	e.allocated = e.allocated.Minus(e.runs[i].need)
	e.runs = slices.Delete(slices.Clone(e.runs), i, i+1)
	return e
}

// localTime returns the executor's clock localTime a time, in ms.
func (e executorState) localTime(now time.Duration) int64 {
	return e.clock + (now - e.clockReadAt).Milliseconds()
}

// leaseExpired reports whether everything on it must have been ended for want of a lease.
func (e executorState) leaseExpired(now time.Duration) bool {
	if e.clockReadAt == 0 {
		return false
	}
	left := time.Duration(float64(e.leaseExpires-e.clock) / minClockRate * float64(time.Millisecond))
	return now >= e.clockReadAt+left+leaseMargin
}

// usable reports whether tasks may be started on it by an owner that was last confirmed at a time.
//
// A life that began after a takeover has not seen the fence of the next owner, so
// that only a confirmation after its first answer shows that no other owner uses it.
func (e executorState) usable(now, confirmed time.Duration) bool {
	if !e.open || confirmed <= e.openedAt || !e.listed || e.info.Draining || e.failingSince != 0 || now < e.vacateUntil || now < e.quarantinedUntil {
		return false
	}
	return !slices.ContainsFunc(e.runs, func(r runState) bool { return r.stray })
}

// longRunningRuns counts the runs that last.
func (e executorState) longRunningRuns() int {
	n := 0
	for _, r := range e.runs {
		if r.longRunning {
			n++
		}
	}
	return n
}
