package schedule

import (
	"slices"
	"time"

	"teaselloft/internal/decision/interference"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// runState holds what the owner knows of a run on an executor. It is immutable.
type runState struct {
	task          job.Task
	run           uint64
	need          job.Resources
	phase         phase
	since         time.Duration // start of the phase
	lastOrderAt   time.Duration // when the last order about it was sent or answered
	stopConfirmed bool          // a stop order was answered, so the run has ended or will never start
	former        bool          // it was ordered from an earlier incarnation, and the present one has not listed its runs yet
	unreadySince  time.Duration // when a report first listed it below 100 percent; 0 if the last one did not
	percent       int           // reported progress; a long-running task is ready at 100
	speed         int           // last ordered speed in percent of full speed
	speedCertain  speedCertainty
	metric        float64 // of a serving task: its tail latency in ms; else the CPU in use
	speedSentAt   time.Duration
	longRunning   bool
	serving       bool // long-running with a latency target
	bestEffort    bool
	latencyTarget time.Duration
	stray         bool // its job is unknown
	account       accountID
	estimate      time.Duration
	image         interference.ID // 0 if it has none
}

// executorState holds what the owner knows of one incarnation of an executor. It is immutable.
type executorState struct {
	info              site.Executor
	listed            bool          // present in the store's list
	replaced          bool          // its instance runs a later executor
	born              int64         // start of the incarnation in Unix milliseconds; 0 if unknown
	fencingToken      uint64        // of all calls to this incarnation
	calledSince       time.Duration // when this owner has first called this incarnation
	restarted         bool          // calls for an earlier incarnation may have reached this one before its first answer
	formerLeases      time.Duration // when the leases that such calls have asked for have ended; 0 if there are none
	open              bool          // has answered a heartbeat with this owner's fencing token
	openedAt          time.Duration // first such answer
	resumedAt         time.Duration // the same if its runs may have been replaced by others before; else 0
	acceptedAt        time.Duration // when the last heartbeat that it has answered was sent
	failingSince      time.Duration // start of the current series of failed heartbeats; 0 if the last one succeeded
	clock             int64         // last reading of the executor's clock, in ms
	clockReadAt       time.Duration // time of that reading, on the owner's clock
	leaseExpires      int64         // latest expiry sent in any call, on the executor's clock in ms
	partial           bool          // the last report may lack ended runs
	lastEnd           uint64        // number of the last ended run that was processed
	ackedEnd          uint64        // number of the last ended run whose effects are stored
	pendingAcks       []pendingAck
	heartbeatInFlight bool
	nextHeartbeatAt   time.Duration // when a heartbeat that waits for a write is sent at the latest; 0 if none waits
	runs              []*runState   // a changed run is a copy
	allocated         job.Resources // resources of all runs, stopping ones included
	strays            int           // number of runs of unknown jobs
	faults            float64       // failed runs minus successful runs, at least 0
	quarantinedUntil  time.Duration // no tasks are started on it before
	vacateUntil       time.Duration // no tasks are started before, and its runs are moved away
	vacatingSince     time.Duration // when the vacating began
	slowness          float64       // smoothed ratio of run time to estimate
	calmSince         time.Duration // start of the calm period after which best-effort tasks may speed up
	neighbourState
}

// pendingAck records that ended runs up to number can be acknowledged once the changes up to generation are stored.
type pendingAck struct {
	number     uint64
	generation uint64
}

func (e executorState) findRun(t job.Task, run uint64) int {
	for i := range e.runs {
		if r := e.runs[i]; r.run == run && sameTask(r.task, t) {
			return i
		}
	}
	return -1
}

func (e executorState) withRun(r runState) executorState {
	if i := e.findRun(r.task, r.run); i >= 0 {
		e.allocated = e.allocated.Minus(e.runs[i].need).Plus(r.need)
		e.strays += boolToInt(r.stray) - boolToInt(e.runs[i].stray)
		e.runs = slices.Clone(e.runs)
		e.runs[i] = &r
		return e
	}
	e.allocated = e.allocated.Plus(r.need)
	e.strays += boolToInt(r.stray)
	e.runs = append(slices.Clip(e.runs), &r)
	return e
}

func (e executorState) withoutRun(i int) executorState {
	e.allocated = e.allocated.Minus(e.runs[i].need)
	e.strays -= boolToInt(e.runs[i].stray)
	e.runs = slices.Delete(slices.Clone(e.runs), i, i+1)
	return e
}

// localTime returns the executor's clock at now, in ms.
func (e executorState) localTime(now time.Duration) int64 {
	return e.clock + (now - e.clockReadAt).Milliseconds()
}

// leaseEnd returns the time by which the executor must have ended all its runs because their lease has expired, unless
// another owner has extended it. It returns false if the executor has never answered and has not restarted.
func (e executorState) leaseEnd() (time.Duration, bool) {
	if e.clockReadAt == 0 {
		return e.formerLeases, e.formerLeases != 0
	}
	left := time.Duration(float64(e.leaseExpires-e.clock) / minClockRate * float64(time.Millisecond))
	return max(e.clockReadAt+left+leaseMargin, e.formerLeases), true
}

// awaitsLapse reports whether the executor is silent with runs whose lease has expired.
func (e executorState) awaitsLapse(now time.Duration) bool {
	end, ok := e.leaseEnd()
	return ok && e.failingSince != 0 && len(e.runs) > 0 && now >= end
}

// lapsed reports whether the runs of a silent executor have ended because their lease has expired. Only a commit that
// was sent after the expiry proves that no other owner had taken the pool over until then, and extended the lease.
func (e executorState) lapsed(now, confirmedAt time.Duration) bool {
	end, _ := e.leaseEnd()
	return e.awaitsLapse(now) && confirmedAt > end
}

// usable reports whether this owner may start tasks on the executor while it owns the pool.
//
// An executor that restarts after a takeover has not seen the fencing token of the next owner, so it still
// accepts the former owner. Only a successful commit that was sent after its first answer proves that no other owner
// uses it.
func (s State) usable(e *executorState) bool {
	return e.open && s.confirmedAt > e.openedAt && e.listed && !e.info.Draining && e.failingSince == 0 && e.strays == 0 &&
		s.now >= e.vacateUntil && s.now >= e.quarantinedUntil && s.isRecorded(e) && !s.isReleased(e.info.ID)
}

// Silent returns the executors that do not answer, or have not answered this owner yet, and may have runs.
func (s State) Silent() []site.Executor {
	var silent []site.Executor
	s.eachExecutor(func(e *executorState) {
		if !e.replaced && (e.failingSince != 0 || !e.open) && (len(e.runs) > 0 || s.isUnsettled(e.info.ID)) {
			x := e.info
			x.Born = e.born
			silent = append(silent, x)
		}
	})
	return silent
}

// longRunningRuns returns the number of runs of long-running tasks.
func (e executorState) longRunningRuns() int {
	n := 0
	for _, r := range e.runs {
		if r.longRunning {
			n++
		}
	}
	return n
}
