package schedule

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// reported takes over the list of the pool's executors.
func (t *turn) reported(list []site.Executor) {
	listed := map[string]bool{}
	for _, x := range list {
		listed[x.ID] = true
		e, ok := t.s.executors.Get(x.ID)
		if !ok {
			t.appeared(x)
			continue
		}
		t.changed(e, x)
	}
	t.s.each(func(e executorState) {
		if e.listed && !listed[e.info.ID] {
			e.listed = false
			t.s = t.s.withExecutor(e)
			t.emit(note(slog.LevelInfo, "executor.unlisted", "executor", e.info.ID, "runs", len(e.runs)))
		}
	})
	t.s.mustPump = true
}

func (t *turn) appeared(x site.Executor) {
	t.emit(Connect{Executor: x}, note(slog.LevelInfo, "executor.listed", "executor", x.ID, "pool", x.Pool, "instance", x.Instance))
	t.hold(executorState{info: x, listed: true, born: x.Born}, 0, 0, false)
}

func (t *turn) changed(e executorState, x site.Executor) {
	if x.Born != 0 && e.born != 0 && x.Born != e.born || x.Address != e.info.Address {
		if x.Born != 0 && e.born != 0 && x.Born < e.born {
			return // the list is older than what the executor says itself
		}
		t.emit(Connect{Executor: x})
		e = t.reborn(e, x.Born)
		e.info, e.listed = x, true
		t.hold(e, 0, 0, false)
		return
	}
	if x.Draining != e.info.Draining {
		t.emit(note(slog.LevelInfo, "executor.draining", "executor", x.ID, "draining", x.Draining, "remaining", x.Remaining))
	}
	e.info, e.listed = x, true
	t.s = t.s.withExecutor(e)
	if !e.holding && e.deferred == 0 {
		t.hold(e, 0, 0, false)
	}
}

// reborn returns the state of a new life of an executor, which runs nothing of the former one.
func (t *turn) reborn(e executorState, born int64) executorState {
	t.emit(note(slog.LevelInfo, "executor.reborn", "executor", e.info.ID, "born", born, "before", e.born, "runs", len(e.runs)))
	e = t.release(e)
	return executorState{info: e.info, listed: e.listed, born: born, holding: e.holding}
}

// holdWait returns how long a hold waits for an end: the longer, the more executors there are to ask.
func (s State) holdWait() time.Duration {
	return min(max(s.policy.HoldWait, time.Duration(s.executors.Len())*holdEach), holdLongest)
}

// hold asks an executor for its runs and extends their lease.
func (t *turn) hold(e executorState, wait, after time.Duration, reset bool) {
	h := port.Heartbeat{Fence: t.s.Epoch, Wait: wait}
	if e.failing == 0 && e.open {
		h.Ack = e.ack // an executor that was silent may have begun a new life, whose ends have the same numbers
	}
	if e.clockAt != 0 && e.failing == 0 {
		h.Expires = e.at(t.s.now+after) + t.s.policy.Lease.Milliseconds()
		e.expires = max(e.expires, h.Expires)
	}
	e.holding, e.deferred = true, 0
	t.s = t.s.withExecutor(e)
	t.emit(HoldRuns{Executor: e.info.ID, Hold: h, After: after, Reset: reset})
}

func (t *turn) held(m Held) {
	e, ok := t.s.executors.Get(m.Executor)
	if !ok {
		return
	}
	e.holding = false
	switch {
	case errors.Is(m.Err, port.ErrFenced):
		t.s = t.s.withExecutor(e)
		t.emit(Superseded{Executor: m.Executor})
	case m.Err != nil:
		t.missed(e, m)
	default:
		t.answered(e, m)
	}
}

func (t *turn) missed(e executorState, m Held) {
	if e.failing == 0 {
		e.failing = m.Now
		t.emit(note(slog.LevelWarn, "executor.silent", "executor", e.info.ID, "error", m.Err, "answered", m.Now-e.clockAt))
		t.hold(e, 0, 0, true) // at once on a new connection: the open one may have gone silent
		return
	}
	t.hold(e, 0, t.s.policy.HoldBackoff, true)
}

func (t *turn) answered(e executorState, m Held) {
	h := m.Holding
	if e.born != 0 && h.Born != 0 && h.Born != e.born {
		e = t.reborn(e, h.Born)
	}
	if h.Born != 0 {
		e.born = h.Born
	}
	if e.failing != 0 {
		t.emit(note(slog.LevelInfo, "executor.back", "executor", e.info.ID, "after", m.Now-e.failing))
	}
	e.failing, e.clock, e.clockAt = 0, h.Clock, m.Now
	if !e.open {
		e.open, e.opened = true, m.Now
		t.emit(note(slog.LevelInfo, "executor.open", "executor", e.info.ID, "active", len(h.Runs), "ends", len(h.Ended)))
	}
	t.s.mustPump = t.s.mustPump || len(h.Ended) > 0
	t.s = t.s.withExecutor(e)
	before := t.s.gen
	for _, end := range h.Ended {
		t.ended(e.info.ID, end)
	}
	t.reconcile(e.info.ID, m)
	t.pace(e.info.ID)
	t.next(e.info.ID, before)
	if t.s.unsettled[e.info.ID] {
		t.settle(func(id string) bool { return id != e.info.ID })
	}
}

// next plans the following hold: at once, or once the ends that were listed are stored.
func (t *turn) next(id string, before uint64) {
	e, _ := t.s.executors.Get(id)
	if e.seen > e.ack {
		if t.s.gen == before && t.s.changed.Len() == 0 && t.s.flight == nil {
			e.ack, e.marks = e.seen, nil
		} else if len(e.marks) == 0 || e.marks[len(e.marks)-1].number < e.seen {
			e.marks = append(slices.Clip(e.marks), mark{number: e.seen, generation: t.s.gen})
		}
	}
	if e.seen > e.ack {
		e.deferred = t.s.now + t.s.policy.HoldPause
		t.s = t.s.withExecutor(e)
		return
	}
	t.hold(e, t.s.holdWait(), 0, false)
}

// settle keeps those executors of the former owner whose runs are still unknown; nil keeps none.
func (t *turn) settle(keep func(string) bool) {
	left := map[string]bool{}
	for id := range t.s.unsettled {
		if keep != nil && keep(id) {
			left[id] = true
		}
	}
	t.s.unsettled = left
	if len(left) > 0 {
		return
	}
	for i := t.s.jobs.Iterator(); !i.Done(); {
		id, j, _ := i.Next()
		if j.recovered {
			j.recovered = false
			t.s = t.s.withJob(j)
			t.s = t.s.withAllRanks(id)
		}
	}
}

// ended takes one end into account, once.
func (t *turn) ended(id string, end port.EndedRun) {
	e, _ := t.s.executors.Get(id)
	if end.Number <= e.seen {
		return
	}
	e.seen = end.Number
	var r runState
	if i := e.find(end.Task, end.Run); i >= 0 {
		r = e.runs[i]
		e = e.withoutRun(i)
	}
	e = e.withOutcome(r, end.Outcome, t.s.now)
	t.s = t.s.withExecutor(e)
	j, x, ok := t.task(end.Task)
	level := slog.LevelInfo
	if end.Outcome == job.OutcomeDone {
		level = slog.LevelDebug // the job's own line tells it
	}
	t.emit(note(level, "run.ended", "task", end.Task.String(), "run", end.Run, "executor", id, "how", end.Outcome.String()))
	if !ok || x.phase == done || j.state.Final() {
		return
	}
	switch end.Outcome {
	case job.OutcomeDone:
		t.finished(end.Task)
	case job.OutcomeFailed:
		t.failed(id, end)
	case job.OutcomeStopped, job.OutcomeLeaseExpired, job.OutcomeGangBroken, job.OutcomeGangTimeout:
		t.free(end.Task, end.Run, end.Checkpoint, 0)
	}
}

// withOutcome learns from an end how reliable and how fast the executor is.
func (e executorState) withOutcome(r runState, how job.Outcome, now time.Duration) executorState {
	switch how {
	case job.OutcomeDone:
		e.faults = max(0, e.faults-1)
		if r.expected > 0 && r.phase == running {
			ratio := float64(now-r.since) / float64(r.expected)
			const weight = 0.2 // of the latest run in the smoothed ratio
			e.slowness = (1-weight)*max(e.slowness, 0.1) + weight*min(ratio, 10)
		}
	case job.OutcomeFailed, job.OutcomeStopped, job.OutcomeLeaseExpired, job.OutcomeGangBroken, job.OutcomeGangTimeout:
	}
	return e
}

// finished marks a task as done and opens what waited for it.
func (t *turn) finished(task job.Task) {
	_, x, _ := t.task(task)
	other, run := x.executor, x.run
	t.withTask(task, func(x taskState) taskState {
		return taskState{phase: done, run: x.run, failed: x.failed}
	})
	if x.phase == starting || x.phase == running { // an earlier run was done: the present one is not needed
		if e, ok := t.s.executors.Get(other); ok {
			if i := e.find(task, run); i >= 0 {
				t.s = t.s.withExecutor(t.stop(e, i))
			}
		}
	}
	j, _ := t.s.jobs.Get(task.Job)
	i, _ := j.find(task)
	if j.works[i].done == len(j.works[i].tasks) {
		if j.complete() && !j.outcome.Final() {
			j.outcome = job.Completed
		}
		t.s = t.s.withJob(j)
		t.s = t.s.withAllRanks(task.Job)
		j, _ = t.s.jobs.Get(task.Job)
	}
	t.s = t.s.withChange(j)
}

// Limits of what a failed run says of its executor.
const (
	mostFaults  = 3               // failed ends, less successful ones, that bar an executor
	earlyFault  = 1 * time.Second // a lasting task that fails so soon says something of its executor
	failedPause = 50 * time.Millisecond
)

func (t *turn) failed(id string, end port.EndedRun) {
	j, x, _ := t.task(end.Task)
	lasting := j.sub.Steps[end.Task.Step].LongRunning
	if len(x.failed) == 0 && (!lasting || t.s.now-x.since < earlyFault) {
		t.blame(id)
	}
	if slices.Contains(x.failed, end.Run) {
		return // counted before, by a former owner
	}
	t.withTask(end.Task, func(x taskState) taskState {
		x.failedOn = id
		if !lasting {
			x.failed = append(slices.Clip(x.failed), end.Run)
		}
		return x
	})
	t.free(end.Task, end.Run, end.Checkpoint, t.s.now+failedPause)
	if lasting {
		return
	}
	j, x, _ = t.task(end.Task)
	if len(x.failed) >= max(1, j.queue.Attempts) && !j.outcome.Final() {
		j.outcome = job.Failed
		t.emit(note(slog.LevelInfo, "job.failed", "job", string(j.sub.ID), "task", end.Task.String(), "attempts", len(x.failed), "executor", id))
		t.s = t.s.withJob(j)
		t.s = t.s.withAllRanks(end.Task.Job)
		j, _ = t.s.jobs.Get(end.Task.Job)
	}
	t.s = t.s.withChange(j)
}

// blame counts a failed end against an executor and bars it when there are many.
func (t *turn) blame(id string) {
	e, _ := t.s.executors.Get(id)
	e.faults++
	if e.faults >= mostFaults {
		e.faults = mostFaults - 1
		e.barred = t.s.now + t.s.policy.Quarantine
		t.emit(note(slog.LevelWarn, "executor.barred", "executor", id, "faults", mostFaults, "for", t.s.policy.Quarantine))
	}
	t.s = t.s.withExecutor(e)
}
