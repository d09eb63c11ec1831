package schedule

import (
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// handleEndedRun processes the end of a run, unless it was processed before.
func (t *transition) handleEndedRun(id string, end port.EndedRun) {
	e, _ := t.s.executor(id)
	if end.Number <= e.lastEnd {
		return
	}
	e.lastEnd = end.Number
	var r runState
	if i := e.findRun(end.Task, end.Run); i >= 0 {
		r = *e.runs[i]
		e = e.withoutRun(i)
	}
	t.openReported(end.Task)
	j, x, ok := t.findTask(end.Task)
	longRunning := ok && j.sub.Steps[end.Task.Step].LongRunning
	level := slog.LevelInfo
	if !longRunning {
		e = e.withRunStats(r, end.Outcome, t.s.now)
		if end.Outcome == job.OutcomeDone {
			level = slog.LevelDebug // the log line of the job reports it
			t.observeRunTime(r, j)
			e = t.observeEnd(e, r, j)
		}
	}
	t.s = t.s.withExecutor(e)
	t.emit(note(level, "run.ended", "task", end.Task, "run", end.Run, "executor", id, "how", end.Outcome))
	// A task that is done by its stored progress has no run.
	if end.Outcome == job.OutcomeDone && ok && !longRunning && x.run != 0 && x.run != end.Run && x.phase != waiting {
		t.emit(note(slog.LevelWarn, "run.repeated", "task", end.Task.String(), "run", end.Run, "executor", id,
			"phase", int(x.phase), "current", x.run, "on", x.executor))
	}
	if !ok || x.phase == done || j.state.Final() {
		return
	}
	switch end.Outcome {
	case job.OutcomeDone:
		if longRunning {
			t.restart(end)
		} else {
			t.noteReplaced(&e, &j, x.phase)
			t.complete(end)
		}
	case job.OutcomeFailed:
		t.handleFailedRun(id, end)
	case job.OutcomeStopped, job.OutcomeLeaseExpired, job.OutcomeGangBroken, job.OutcomeGangTimeout:
		t.requeue(end.Task, end.Run, end.Checkpoint, 0)
	}
}

// withRunStats updates the fault count and the slowness of the executor from the end of a run.
func (e executorState) withRunStats(r runState, outcome job.Outcome, now time.Duration) executorState {
	switch outcome {
	case job.OutcomeDone:
		e.faults = max(0, e.faults-1)
		if r.estimate > 0 && r.phase == running {
			ratio := float64(now-r.since) / float64(r.estimate)
			const weight = 0.2 // of the latest run in the moving average
			e.slowness = (1-weight)*max(e.slowness, 0.1) + weight*min(ratio, 10)
		}
	case job.OutcomeFailed, job.OutcomeStopped, job.OutcomeLeaseExpired, job.OutcomeGangBroken, job.OutcomeGangTimeout:
	}
	return e
}

// complete processes the end as done of a task, or of a whole gang: its members end as done together, and the ends of the
// others may be lost with their executors.
func (t *transition) complete(end port.EndedRun) {
	j, _, _ := t.findTask(end.Task)
	if !j.sub.Steps[end.Task.Step].Gang {
		t.completeTask(end.Task, end.Run)
		return
	}
	for index, x := range j.taskSet(end.Task.Occurrence, end.Task.Step).tasks.All() {
		if x.phase != done {
			member := end.Task
			member.Index = index
			t.completeTask(member, end.Run)
		}
	}
}

// completeTask marks a task as done after a run and makes the steps that depend on it ready.
func (t *transition) completeTask(task job.Task, ended uint64) {
	_, x, _ := t.findTask(task)
	other, run := x.executor, x.run
	surplus := x.run != ended && (x.phase == starting || x.phase == running || x.phase == stopping) // it may not be needed, but not have ended either
	t.updateTask(task, func(x taskState) taskState {
		// A member of a gang may still be listed there when the job ends.
		return taskState{phase: done, run: x.run, failedRuns: x.failedRuns, executor: x.executor}
	})
	if surplus && x.phase != stopping { // an earlier run has finished, so the current one is not needed
		if e, ok := t.s.executor(other); ok {
			if i := e.findRun(task, run); i >= 0 {
				t.s = t.s.withExecutor(t.stopRun(e, i))
			}
		}
	}
	if surplus {
		t.noteSurplus(task.Job)
	}
	j, _ := t.s.job(task.Job)
	if o := j.occurrence(task.Occurrence); o.sets[task.Step].isDone() {
		if o.unfinished == 0 {
			j = j.withOver(o)
		}
		if j.complete() && !j.outcome.Final() {
			j.outcome = job.Completed
		}
		t.s = t.s.withJob(j)
		t.s = t.s.withOccurrenceRanks(task.Job, task.Occurrence)
		j, _ = t.s.job(task.Job)
	}
	t.s = t.s.withChange(j)
}

// Limits for the attribution of failed runs to executors, and for the next runs of their tasks.
const (
	quarantineFaults = 3               // failed runs minus successful runs at which an executor is quarantined
	earlyFailure     = 1 * time.Second // a long-running task that fails sooner counts against its executor, and waits longer for its next run
	failedRetryDelay = 50 * time.Millisecond
	maxRestartDelay  = 3 * time.Second // callers expect the next run of a long-running task within 6 s
)

func (t *transition) handleFailedRun(id string, end port.EndedRun) {
	j, x, _ := t.findTask(end.Task)
	longRunning := j.sub.Steps[end.Task.Step].LongRunning
	// Only the first failed run of a task counts against its executor.
	if len(x.failedRuns) == 0 && (!longRunning || t.s.now-x.since < earlyFailure) {
		t.recordFault(id)
	}
	if slices.Contains(x.failedRuns, end.Run) {
		return // already counted by a former owner
	}
	t.updateTask(end.Task, func(x taskState) taskState {
		x.failedOn = id
		if !longRunning {
			x.failedRuns = append(slices.Clip(x.failedRuns), end.Run)
		}
		return x
	})
	if longRunning {
		t.restart(end)
		return
	}
	t.requeue(end.Task, end.Run, end.Checkpoint, t.s.now+failedRetryDelay)
	j, x, _ = t.findTask(end.Task)
	if len(x.failedRuns) >= max(1, j.queue.Attempts) && !j.outcome.Final() {
		j.outcome = job.Failed
		t.emit(note(slog.LevelInfo, "job.failed", "job", string(j.sub.ID), "task", end.Task.String(), "attempts", len(x.failedRuns), "executor", id))
		t.s = t.s.withJob(j)
		t.s = t.s.withAllRanks(end.Task.Job)
		j, _ = t.s.job(end.Task.Job)
	}
	t.s = t.s.withChange(j)
}

// restart requeues a long-running task whose run has ended by itself. The delay doubles with each run in succession that
// ends early, so that a task which cannot work does not load executors with starts.
func (t *transition) restart(end port.EndedRun) {
	_, x, _ := t.findTask(end.Task)
	if x.run != end.Run {
		return
	}
	early := 0
	if t.s.now-x.since < earlyFailure {
		early = x.earlyEnds + 1
	}
	t.updateTask(end.Task, func(x taskState) taskState { x.earlyEnds = early; return x })
	delay := failedRetryDelay
	for n := 1; n < early && delay < maxRestartDelay; n++ {
		delay *= 2
	}
	t.requeue(end.Task, end.Run, end.Checkpoint, t.s.now+min(delay, maxRestartDelay))
}

// recordFault counts a failed run against an executor and quarantines the executor at the limit.
func (t *transition) recordFault(id string) {
	e, _ := t.s.executor(id)
	e.faults++
	if e.faults >= quarantineFaults {
		e.faults = quarantineFaults - 1 // a further failed run starts the next quarantine
		e.quarantinedUntil = t.s.now + t.s.policy.Quarantine
		t.emit(note(slog.LevelWarn, "executor.barred", "executor", id, "faults", quarantineFaults, "for", t.s.policy.Quarantine))
	}
	t.s = t.s.withExecutor(e)
}
