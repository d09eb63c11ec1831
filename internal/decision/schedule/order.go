package schedule

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// stopRun orders the executor to stop a run.
func (t *transition) stopRun(e executorState, i int) executorState {
	return t.stopEach(e, []int{i})
}

// stopEach orders the executor to stop the runs at some positions.
func (t *transition) stopEach(e executorState, positions []int) executorState {
	e.runs = slices.Clone(e.runs)
	for _, i := range positions {
		r := *e.runs[i]
		if r.phase != stopping {
			r.phase, r.since = stopping, t.s.now
		}
		r.lastOrderAt = t.s.now
		e.runs[i] = &r
		t.emit(StopRun{Executor: e.info.ID, Stop: port.Stop{Task: r.task, Run: r.run, FencingToken: e.fencingToken}})
		t.updateTask(r.task, func(x taskState) taskState {
			if x.run == r.run && x.phase != done {
				x.phase, x.since = stopping, t.s.now
			}
			return x
		})
	}
	return e
}

// stopRuns stops the last run of each task of some occurrences of a job. Earlier runs are being stopped already. A member of a
// gang may still run after the others have ended.
func (t *transition) stopRuns(id job.ID, occurrences []*occurrence) {
	byNumber := make(map[int]*occurrence, len(occurrences))
	executors := map[string]bool{}
	for _, o := range occurrences {
		byNumber[o.number] = o
		for _, ts := range o.sets {
			for _, x := range ts.tasks.All() {
				executors[x.executor] = true
			}
		}
	}
	for _, executor := range slices.Sorted(maps.Keys(executors)) {
		e, ok := t.s.executor(executor)
		if !ok {
			continue
		}
		if last := e.lastRuns(id, byNumber); len(last) > 0 {
			t.s = t.s.withExecutor(t.stopEach(e, last))
		}
	}
}

// lastRuns returns the positions of the runs that are the last ones of tasks of some occurrences of a job, and are not being
// stopped.
func (e executorState) lastRuns(id job.ID, byNumber map[int]*occurrence) (last []int) {
	for i, r := range e.runs {
		o := byNumber[r.task.Occurrence]
		if r.task.Job != id || r.phase == stopping || r.stray || o == nil {
			continue
		}
		if x := o.sets[r.task.Step].tasks.Get(r.task.Index); x.executor == e.info.ID && x.run == r.run {
			last = append(last, i)
		}
	}
	return last
}

func (t *transition) handleOrderResult(m OrderResult) {
	e, ok := t.s.executor(m.Executor)
	if !ok || m.FencingToken != e.fencingToken { // the order was for an earlier incarnation
		return
	}
	if errors.Is(m.Err, port.ErrFenced) {
		t.emit(StepDown{Executor: m.Executor, Reason: errSucceeded})
		return
	}
	if m.Kind == OrderThrottle {
		t.handleThrottleResult(e, m)
		return
	}
	i := e.findRun(m.Task, m.Run)
	if i < 0 {
		return
	}
	if m.Kind == OrderStop {
		t.handleStopResult(e, i, m)
		return
	}
	t.handleStartResult(e, i, m)
}

func (t *transition) handleStopResult(e executorState, i int, m OrderResult) {
	r := *e.runs[i]
	confirmed := m.Err == nil || errors.Is(m.Err, port.ErrStaleRun) || errors.Is(m.Err, port.ErrExpired) || errors.Is(m.Err, port.ErrRejected)
	if confirmed {
		r.stopConfirmed, r.lastOrderAt = true, t.s.now
		t.s = t.s.withExecutor(e.withRun(r))
	}
}

// startRetryDelay keeps a task from being sent again at once to an executor that has just refused it.
const startRetryDelay = 100 * time.Millisecond

func (t *transition) handleStartResult(e executorState, i int, m OrderResult) {
	r := *e.runs[i]
	switch {
	case m.Err == nil:
		if r.phase == starting {
			r.phase, r.since = running, t.s.now
			t.confirmStart(r)
		}
		r.lastOrderAt = t.s.now
		t.s = t.s.withExecutor(e.withRun(r))
	case definitelyRefused(m.Err):
		t.emit(note(slog.LevelInfo, "start.refused", "task", m.Task.String(), "run", m.Run, "executor", m.Executor, "error", m.Err))
		e = e.withoutRun(i)
		if errors.Is(m.Err, port.ErrUnhealthy) || errors.Is(m.Err, port.ErrNotConnected) {
			e.quarantinedUntil = max(e.quarantinedUntil, t.s.now+t.s.policy.HeartbeatBackoff)
		}
		t.s = t.s.withExecutor(e)
		if errors.Is(m.Err, port.ErrTicketRejected) {
			t.dropTicket(m.Task, e.info.ID)
		}
		t.requeue(m.Task, m.Run, "", t.s.now+startRetryDelay)
	default:
		t.emit(note(slog.LevelWarn, "start.unsure", "task", m.Task.String(), "run", m.Run, "executor", m.Executor, "error", m.Err))
		t.s = t.s.withExecutor(t.stopRun(e, i))
	}
}

// confirmStart records that a run of a long-running task has started. Whether another task may be evicted depends on it.
func (t *transition) confirmStart(r runState) {
	if !r.longRunning {
		return
	}
	t.updateTask(r.task, func(x taskState) taskState {
		if x.run == r.run && x.phase == starting {
			x.phase, x.since = running, t.s.now
		}
		return x
	})
}

// definitelyRefused reports whether an order that failed with err had no effect and never will have one.
func definitelyRefused(err error) bool {
	for _, definite := range []error{
		port.ErrExpired, port.ErrNoCapacity, port.ErrTicketRejected, port.ErrUnhealthy, port.ErrRejected, port.ErrNotConnected, port.ErrWrongIncarnation,
	} {
		if errors.Is(err, definite) && !errors.Is(err, port.ErrUnknownOutcome) {
			return true
		}
	}
	return false
}
