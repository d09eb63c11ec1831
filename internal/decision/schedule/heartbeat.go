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

// handleExecutorsListed applies the current list of the pool's executors.
func (t *transition) handleExecutorsListed(list []site.Executor) {
	listed := map[string]bool{}
	for _, x := range list {
		listed[x.ID] = true
		e, ok := t.s.executor(x.ID)
		if !ok {
			t.addExecutor(x)
			continue
		}
		t.updateExecutor(e, x)
	}
	t.s.eachExecutor(func(x *executorState) {
		if x.listed && !listed[x.info.ID] {
			e := *x
			e.listed = false
			t.s = t.s.withExecutor(e)
			t.emit(note(slog.LevelInfo, "executor.unlisted", "executor", e.info.ID, "runs", len(e.runs)))
		}
	})
	t.s = t.s.withLargest()
	t.s.placementDue = true
}

func (t *transition) addExecutor(x site.Executor) {
	t.emit(Connect{Executor: x}, note(slog.LevelInfo, "executor.listed", "executor", x.ID, "pool", x.Pool, "instance", x.Instance))
	t.sendHeartbeat(executorState{info: x, listed: true, born: x.Born}, 0, 0, false)
}

func (t *transition) updateExecutor(e executorState, x site.Executor) {
	if x.Born != 0 && x.Born == e.born && x.Address != e.info.Address {
		t.emit(Connect{Executor: x})
		e.info, e.listed = x, true
		t.sendHeartbeat(e, 0, 0, false)
		return
	}
	if x.Born != 0 && e.born != 0 && x.Born != e.born || x.Address != e.info.Address {
		if x.Born != 0 && e.born != 0 && x.Born < e.born {
			return // the list is older than the executor's own report
		}
		t.emit(Connect{Executor: x})
		e = t.newIncarnation(e, x.Born)
		e.info, e.listed = x, true
		t.sendHeartbeat(e, 0, 0, false)
		return
	}
	if x.Draining != e.info.Draining {
		t.emit(note(slog.LevelInfo, "executor.draining", "executor", x.ID, "draining", x.Draining, "remaining", x.Remaining))
	}
	e.info, e.listed = x, true
	t.s = t.s.withExecutor(e)
	if !e.heartbeatInFlight && e.nextHeartbeatAt == 0 {
		t.sendHeartbeat(e, 0, 0, false)
	}
}

// newIncarnation returns the state of an executor that has restarted. The runs of the former incarnation have ended, and
// another owner may have acknowledged an end as done, so that their tasks wait for a confirmation of the ownership.
func (t *transition) newIncarnation(e executorState, born int64) executorState {
	t.emit(note(slog.LevelInfo, "executor.reborn", "executor", e.info.ID, "born", born, "before", e.born, "runs", len(e.runs)))
	e = t.endIncarnation(e)
	e.born = born
	return e
}

// endIncarnation returns the state of an executor whose incarnation has ended with all its runs.
func (t *transition) endIncarnation(e executorState) executorState {
	for _, r := range e.runs {
		t.s.vanished = append(slices.Clip(t.s.vanished), vanishedRun{task: r.task, run: r.run, at: t.s.now})
	}
	t.s.usedChanged = true
	return executorState{info: e.info, listed: e.listed, born: e.born, heartbeatInFlight: e.heartbeatInFlight}
}

// handleExecutorsReplaced ends the wait for silent executors whose instances run a later one. As after a restart, their
// tasks wait for a confirmation of the ownership. An executor that answers is not replaced, whatever the list says.
func (t *transition) handleExecutorsReplaced(ids []string) {
	replaced := map[string]bool{}
	for _, id := range ids {
		e, ok := t.s.executor(id)
		if !ok || e.replaced || e.open && e.failingSince == 0 {
			continue
		}
		t.emit(note(slog.LevelInfo, "executor.replaced", "executor", id, "instance", e.info.Instance, "born", e.born, "runs", len(e.runs),
			"awaited", t.s.unsettled[id]))
		e = t.endIncarnation(e)
		e.replaced = true
		t.s = t.s.withExecutor(e)
		replaced[id] = true
	}
	if len(replaced) > 0 && len(t.s.unsettled) > 0 {
		t.settle(func(id string) bool { return !replaced[id] })
	}
}

// heartbeatWait returns how long an executor may delay its answer while no run ends. It grows with the number of
// executors, which limits the rate of calls.
func (s State) heartbeatWait() time.Duration {
	wait := min(max(s.policy.HeartbeatWait, time.Duration(s.executors.Len())*heartbeatWaitPerExecutor), maxHeartbeatWait)
	if s.commitOverdue {
		return min(wait, outageHeartbeatWait)
	}
	return wait
}

// sendHeartbeat asks an executor for its runs, after a delay, and renews their lease.
func (t *transition) sendHeartbeat(e executorState, wait, delay time.Duration, reset bool) {
	h := port.Heartbeat{FencingToken: t.s.Epoch, Wait: wait}
	if e.failingSince == 0 && e.open {
		h.Ack = e.ackedEnd // a silent executor may have restarted, and the new incarnation reuses the numbers
	}
	if e.clockReadAt != 0 && e.failingSince == 0 && t.s.now+delay <= t.s.validUntil() {
		h.Expires = e.localTime(t.s.now+delay) + t.s.policy.Lease.Milliseconds()
		e.leaseExpires = max(e.leaseExpires, h.Expires)
	}
	e.heartbeatInFlight, e.nextHeartbeatAt = true, 0
	t.s = t.s.withExecutor(e)
	t.emit(SendHeartbeat{Executor: e.info.ID, Heartbeat: h, Delay: delay, Reset: reset})
}

func (t *transition) handleHeartbeatResult(m HeartbeatResult) {
	e, ok := t.s.executor(m.Executor)
	if !ok {
		return
	}
	e.heartbeatInFlight = false
	switch {
	case errors.Is(m.Err, port.ErrFenced):
		t.s = t.s.withExecutor(e)
		t.emit(StepDown{Executor: m.Executor})
	case m.Err != nil:
		t.handleHeartbeatFailure(e, m)
	default:
		t.handleReport(e, m)
	}
}

func (t *transition) handleHeartbeatFailure(e executorState, m HeartbeatResult) {
	if e.failingSince == 0 {
		e.failingSince = m.Now
		if e.open && len(e.runs) == 0 {
			// It has no runs, so the next owner does not have to know it. It is used again after a commit that names it.
			e.open, t.s.usedChanged = false, true
		}
		t.emit(note(slog.LevelWarn, "executor.silent", "executor", e.info.ID, "error", m.Err, "answered", m.Now-e.clockReadAt))
		t.sendHeartbeat(e, 0, 0, true) // retries at once on a new connection, since the open one may be dead
		return
	}
	t.sendHeartbeat(e, 0, t.s.policy.HeartbeatBackoff, true)
}

func (t *transition) handleReport(e executorState, m HeartbeatResult) {
	report := m.Report
	if e.born != 0 && report.Born != 0 && report.Born != e.born {
		e = t.newIncarnation(e, report.Born)
	}
	if report.Born != 0 {
		e.born = report.Born
	}
	if e.failingSince != 0 {
		t.emit(note(slog.LevelInfo, "executor.back", "executor", e.info.ID, "after", m.Now-e.failingSince))
	}
	e.replaced = false
	e.failingSince, e.clock, e.clockReadAt, e.acceptedAt = 0, report.Clock, m.Now, m.Sent
	if !e.open {
		e.open, e.openedAt = true, m.Now
		// The former owner may have extended the lease until just before.
		e.leaseExpires = max(e.leaseExpires, report.Clock+(t.s.policy.Lease+leaseMargin).Milliseconds())
		t.s.lastOpenedAt, t.s.usedChanged = m.Now, true
		t.s = t.s.withFormerAnswer(e.info.ID)
		t.emit(note(slog.LevelInfo, "executor.open", "executor", e.info.ID, "active", len(report.Runs), "ends", len(report.Ended)))
	}
	t.s.placementDue = t.s.placementDue || len(report.Ended) > 0
	t.s = t.s.withExecutor(e)
	generationBefore := t.s.generation
	for _, end := range report.Ended {
		t.handleEndedRun(e.info.ID, end)
	}
	t.reconcile(e.info.ID, m)
	t.adjustThrottle(e.info.ID)
	t.planNextHeartbeat(e.info.ID, generationBefore)
	if t.s.unsettled[e.info.ID] {
		t.settle(func(id string) bool { return id != e.info.ID })
	}
}

// planNextHeartbeat sends the next heartbeat at once, or defers it until the ended runs in the last report are stored,
// for HeartbeatInterval at most.
func (t *transition) planNextHeartbeat(id string, generationBefore uint64) {
	e, _ := t.s.executor(id)
	if e.lastEnd > e.ackedEnd {
		if t.s.generation == generationBefore && t.s.changed.Len() == 0 && !t.s.committing() {
			e.ackedEnd, e.pendingAcks = e.lastEnd, nil
		} else if len(e.pendingAcks) == 0 || e.pendingAcks[len(e.pendingAcks)-1].number < e.lastEnd {
			e.pendingAcks = append(slices.Clip(e.pendingAcks), pendingAck{number: e.lastEnd, generation: t.s.generation})
		}
	}
	if e.lastEnd > e.ackedEnd {
		e.nextHeartbeatAt = t.s.now + t.s.policy.HeartbeatInterval
		t.s = t.s.withExecutor(e)
		return
	}
	wait := t.s.heartbeatWait()
	if e.openedAt == t.s.now && !t.s.owns() {
		wait = min(wait, takeoverHeartbeatWait)
	}
	t.sendHeartbeat(e, wait, 0, false)
}

// takeoverHeartbeatWait is the wait of the second heartbeat to an executor if the ownership has to be confirmed before
// leases can be extended. Those of the former owner may be about to expire.
const takeoverHeartbeatWait = 100 * time.Millisecond

// settle reduces the set of executors that may have runs of the former owner to those for which keep returns true. A nil
// keep empties it. Once the set is empty, the tasks of recovered jobs may start.
func (t *transition) settle(keep func(string) bool) {
	remaining := map[string]bool{}
	for id := range t.s.unsettled {
		if keep != nil && keep(id) {
			remaining[id] = true
		}
	}
	t.s.unsettled = remaining
	if len(remaining) > 0 {
		return
	}
	t.s.usedChanged, t.s.former = true, formerEnded{} // without those that did not answer
	for i := t.s.jobs.Iterator(); !i.Done(); {
		id, j, _ := i.Next()
		if j.recovered {
			settled := *j
			settled.recovered = false
			t.s = t.s.withJob(settled)
			t.s = t.s.withAllRanks(id)
		}
	}
}

// handleEndedRun processes the end of a run, unless it was processed before.
func (t *transition) handleEndedRun(id string, end port.EndedRun) {
	e, _ := t.s.executor(id)
	if end.Number <= e.lastEnd {
		return
	}
	e.lastEnd = end.Number
	var r runState
	if i := e.findRun(end.Task, end.Run); i >= 0 {
		r = e.runs[i]
		e = e.withoutRun(i)
	}
	j, x, ok := t.findTask(end.Task)
	longRunning := ok && j.sub.Steps[end.Task.Step].LongRunning
	level := slog.LevelInfo
	if !longRunning {
		e = e.withRunStats(r, end.Outcome, t.s.now)
		if end.Outcome == job.OutcomeDone {
			level = slog.LevelDebug // the log line of the job reports it
		}
	}
	t.s = t.s.withExecutor(e)
	t.emit(note(level, "run.ended", "task", end.Task.String(), "run", end.Run, "executor", id, "how", end.Outcome.String()))
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
	i, _ := j.taskSetIndex(end.Task)
	if !j.sub.Steps[end.Task.Step].Gang {
		t.completeTask(end.Task, end.Run)
		return
	}
	for index, x := range j.taskSets[i].tasks {
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
	t.updateTask(task, func(x taskState) taskState {
		return taskState{phase: done, run: x.run, failedRuns: x.failedRuns}
	})
	if x.run != ended && (x.phase == starting || x.phase == running) { // an earlier run has finished, so the current one is not needed
		if e, ok := t.s.executor(other); ok {
			if i := e.findRun(task, run); i >= 0 {
				t.s = t.s.withExecutor(t.stopRun(e, i))
			}
		}
	}
	j, _ := t.s.job(task.Job)
	i, _ := j.taskSetIndex(task)
	if j.taskSets[i].done == len(j.taskSets[i].tasks) {
		if j.complete() && !j.outcome.Final() {
			j.outcome = job.Completed
		}
		t.s = t.s.withJob(j)
		t.s = t.s.withAllRanks(task.Job)
		j, _ = t.s.job(task.Job)
	}
	t.s = t.s.withChange(j)
}

// Limits for the attribution of failed runs to executors.
const (
	quarantineFaults = 3               // failed runs minus successful runs at which an executor is quarantined
	earlyFailure     = 1 * time.Second // a long-running task that fails sooner counts against its executor
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
