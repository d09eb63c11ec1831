package schedule

import (
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// reconcile compares the runs that an executor lists with those in the state and resolves the differences.
func (t *transition) reconcile(id string, m HeartbeatResult) {
	e, _ := t.s.executor(id)
	runs := slices.Clone(e.runs) // changed in place, because a report concerns all of them
	report := newReportIndex(m.Report.Runs)
	known := make([]bool, len(m.Report.Runs))
	var missing, unstopped []runState
	for i, x := range runs {
		r := *x
		at := report.find(r.task, r.run)
		if at < 0 {
			missing = append(missing, r)
			continue
		}
		known[at] = true
		reported := t.withReported(r, m.Report.Runs[at])
		runs[i] = &reported
		if r.phase == stopping && !r.stopConfirmed && m.Sent-r.lastOrderAt > stopRetryInterval {
			unstopped = append(unstopped, r)
		}
	}
	e.runs = runs
	for _, r := range unstopped {
		e = t.stopRun(e, e.findRun(r.task, r.run))
	}
	for _, r := range missing {
		e = t.reconcileMissing(e, r, m)
	}
	adopted := map[runKey]bool{}
	for i, a := range m.Report.Runs {
		if key := (runKey{a.Task, a.Run}); !known[i] && !adopted[key] { // a report may name a run twice
			adopted[key] = true
			e = t.adoptRun(e, a)
		}
	}
	t.s = t.s.withExecutor(e)
}

type runKey struct {
	task job.Task
	run  uint64
}

// reportIndex finds the runs in a report.
type reportIndex struct {
	runs  []port.ActiveRun
	byKey map[runKey]int // nil for a short report
}

// maxScannedRuns is the number of reported runs up to which a scan costs less than an index.
const maxScannedRuns = 128

func newReportIndex(runs []port.ActiveRun) reportIndex {
	x := reportIndex{runs: runs}
	if len(runs) > maxScannedRuns {
		x.byKey = make(map[runKey]int, len(runs))
		for i, a := range slices.Backward(runs) {
			x.byKey[runKey{a.Task, a.Run}] = i
		}
	}
	return x
}

// find returns the position of the first report of a run, or -1.
func (x reportIndex) find(task job.Task, run uint64) int {
	if x.byKey != nil {
		if i, ok := x.byKey[runKey{task, run}]; ok {
			return i
		}
		return -1
	}
	for i := range x.runs {
		if a := &x.runs[i]; a.Run == run && sameTask(a.Task, task) {
			return i
		}
	}
	return -1
}

// sameTask compares the numbers first, since tasks of one job often run on one executor.
func sameTask(a, b job.Task) bool {
	return a.Index == b.Index && a.Step == b.Step && a.Occurrence == b.Occurrence && a.Job == b.Job
}

// stopRetryInterval is the time after which an unconfirmed stop order is sent again.
const stopRetryInterval = 300 * time.Millisecond

// withReported returns a run as its executor lists it.
func (t *transition) withReported(r runState, a port.ActiveRun) runState {
	r = r.withProgress(a, t.s.now)
	r.former = false
	if r.phase == starting {
		r.phase, r.since, r.lastOrderAt = running, t.s.now, t.s.now
		t.confirmStart(r)
	}
	if a.Checkpoint != "" {
		if _, x, ok := t.findTask(r.task); ok && x.run == r.run && x.checkpoint != a.Checkpoint {
			t.updateTask(r.task, func(x taskState) taskState { x.checkpoint = a.Checkpoint; return x })
		}
	}
	return r
}

// withProgress returns a copy with the progress that a report shows.
func (r runState) withProgress(a port.ActiveRun, now time.Duration) runState {
	r.percent, r.metric = a.Percent, a.Metric
	switch {
	case a.Percent >= 100:
		r.unreadySince = 0
	case r.unreadySince == 0:
		r.unreadySince = now
	}
	return r
}

// reconcileMissing handles a run that the executor does not list. It counts as gone only if the report lists all ended
// runs, and the heartbeat was sent after the last order about it was answered, or after its start must have expired.
func (t *transition) reconcileMissing(e executorState, r runState, m HeartbeatResult) executorState {
	if r.former {
		return t.endFormerRun(e, r, m.Report)
	}
	gone := false
	switch r.phase {
	case running:
		gone = r.lastOrderAt < m.Sent
	case stopping:
		gone = r.stopConfirmed && r.lastOrderAt < m.Sent
		if !gone && !r.stopConfirmed && m.Sent-r.lastOrderAt > stopRetryInterval {
			return t.stopRun(e, e.findRun(r.task, r.run))
		}
	case starting:
		limit := time.Duration(float64(t.s.policy.StartExpiry)/minClockRate) + leaseMargin
		gone = m.Sent-r.since > limit
	case waiting, done:
	}
	if !gone || m.Report.IsPartial() {
		return e
	}
	t.emit(note(slog.LevelInfo, "run.gone", "task", r.task.String(), "run", r.run, "executor", e.info.ID, "phase", int(r.phase)))
	t.requeue(r.task, r.run, "", 0)
	return e.withoutRun(e.findRun(r.task, r.run))
}

// endFormerRun removes a run of an earlier incarnation that the present one does not list and will not start any more.
func (t *transition) endFormerRun(e executorState, r runState, report port.ExecutorReport) executorState {
	if report.IsPartial() {
		return e
	}
	t.s.vanished = append(slices.Clip(t.s.vanished), vanishedRun{task: r.task, run: r.run, at: t.s.now})
	return e.withoutRun(e.findRun(r.task, r.run))
}

// withAdopted returns a copy with a further run. Its list of runs must be a copy of the caller's own, which grows in place: a
// new owner adopts all runs of an executor at once.
func (e executorState) withAdopted(r runState) executorState {
	e.allocated = e.allocated.Plus(r.need)
	e.strays += boolToInt(r.stray)
	e.runs = append(e.runs, &r)
	return e
}

// adoptRun takes over a run that this owner did not order, or stops it if it is not wanted.
func (t *transition) adoptRun(e executorState, a port.ActiveRun) executorState {
	t.openReported(a.Task)
	j, x, ok := t.findTask(a.Task)
	r := runState{task: a.Task, run: a.Run, phase: running, since: t.s.now, lastOrderAt: t.s.now, speed: 100}.withProgress(a, t.s.now)
	if !ok {
		r.stray, r.account = true, j.account
		t.emit(note(slog.LevelWarn, "run.stray", "task", a.Task.String(), "run", a.Run, "executor", e.info.ID))
		e = e.withAdopted(r)
		return t.stopRun(e, len(e.runs)-1)
	}
	step := j.sub.Steps[a.Task.Step]
	r.longRunning, r.account = step.LongRunning, j.account
	r.need, r.serving, r.bestEffort, r.latencyTarget = step.Demand(), step.LatencySensitive(), step.BestEffort, step.LatencyTarget
	if r.bestEffort {
		r.speed, r.speedCertain = 0, speedAdopted // executors don't report to which speed a former owner has throttled it
	}
	r.image = t.imageOf(step)
	e = e.withAdopted(r)
	if x.phase != waiting || a.Run < x.run || j.state.Final() || j.outcome.Final() {
		t.emit(note(slog.LevelInfo, "run.unwanted", "task", a.Task.String(), "run", a.Run, "executor", e.info.ID,
			"phase", int(x.phase), "current", x.run, "on", x.executor))
		t.noteSurplus(a.Task.Job)
		return t.stopRun(e, len(e.runs)-1)
	}
	t.emit(note(slog.LevelInfo, "run.adopted", "task", a.Task.String(), "run", a.Run, "executor", e.info.ID))
	j.started = true
	t.s = t.s.withJob(j)
	t.updateTask(a.Task, func(x taskState) taskState {
		x.phase, x.run, x.executor, x.since, x.checkpoint = running, a.Run, e.info.ID, t.s.now, a.Checkpoint
		return x
	})
	return e
}
