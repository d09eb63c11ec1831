package schedule

import (
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// reconcile compares what an executor lists with what the owner believes.
func (t *turn) reconcile(id string, m Held) {
	e, _ := t.s.executors.Get(id)
	listed := map[job.Task]port.ActiveRun{}
	for _, a := range m.Holding.Runs {
		listed[a.Task] = a
	}
	for _, r := range slices.Clone(e.runs) {
		if a, ok := listed[r.task]; ok && a.Run == r.run {
			e = t.seen(e, r, a, m)
		} else {
			e = t.unseen(e, r, m)
		}
	}
	for _, a := range m.Holding.Runs {
		if e.find(a.Task, a.Run) < 0 {
			e = t.adopt(e, a)
		}
	}
	t.s = t.s.withExecutor(e)
}

// stopRetry is how long a stop may stay without effect before it is sent again.
const stopRetry = 300 * time.Millisecond

// seen updates a run that the executor lists.
func (t *turn) seen(e executorState, r runState, a port.ActiveRun, m Held) executorState {
	r.percent, r.figure = a.Percent, a.Metric
	if r.phase == starting {
		r.phase, r.since, r.known = running, t.s.now, t.s.now
		t.withTask(r.task, func(x taskState) taskState {
			if x.run == r.run && x.phase == starting {
				x.phase, x.since = running, t.s.now
			}
			return x
		})
	}
	if a.Checkpoint != "" {
		if _, x, ok := t.task(r.task); ok && x.run == r.run && x.saved != a.Checkpoint {
			t.withTask(r.task, func(x taskState) taskState { x.saved = a.Checkpoint; return x })
		}
	}
	e = e.withRun(r)
	if r.phase == stopping && !r.settled && m.Sent-r.known > stopRetry {
		return t.stop(e, e.find(r.task, r.run))
	}
	return e
}

// unseen decides on a run that the executor does not list.
func (t *turn) unseen(e executorState, r runState, m Held) executorState {
	gone := false
	switch r.phase {
	case running:
		gone = r.known < m.Sent
	case stopping:
		gone = r.settled && r.known < m.Sent
		if !gone && !r.settled && m.Sent-r.known > stopRetry {
			return t.stop(e, e.find(r.task, r.run))
		}
	case starting:
		limit := time.Duration(float64(t.s.policy.StartExpiry)/clockDrift) + proofMargin
		gone = m.Sent-r.since > limit
	case waiting, done:
	}
	if !gone {
		return e
	}
	t.emit(note(slog.LevelInfo, "run.gone", "task", r.task.String(), "run", r.run, "executor", e.info.ID, "phase", int(r.phase)))
	t.free(r.task, r.run, "", 0)
	return e.withoutRun(e.find(r.task, r.run))
}

// adopt takes over a run that the owner did not order, or stops it.
func (t *turn) adopt(e executorState, a port.ActiveRun) executorState {
	j, x, ok := t.task(a.Task)
	r := runState{task: a.Task, run: a.Run, phase: running, since: t.s.now, known: t.s.now, percent: a.Percent, figure: a.Metric, pace: 100}
	if !ok {
		r.stray = true
		t.emit(note(slog.LevelWarn, "run.stray", "task", a.Task.String(), "run", a.Run, "executor", e.info.ID))
		e = e.withRun(r)
		return t.stop(e, len(e.runs)-1)
	}
	step := j.sub.Steps[a.Task.Step]
	r.lasts = step.LongRunning
	r.need, r.serves, r.filler, r.target = step.Demand(), step.LatencySensitive(), step.BestEffort, step.LatencyTarget
	e = e.withRun(r)
	if x.phase != waiting || a.Run < x.run || j.state.Final() || j.outcome.Final() {
		t.emit(note(slog.LevelInfo, "run.unwanted", "task", a.Task.String(), "run", a.Run, "executor", e.info.ID))
		return t.stop(e, len(e.runs)-1)
	}
	t.emit(note(slog.LevelInfo, "run.adopted", "task", a.Task.String(), "run", a.Run, "executor", e.info.ID))
	j.begun = true
	t.s = t.s.withJob(j)
	t.withTask(a.Task, func(x taskState) taskState {
		x.phase, x.run, x.executor, x.since, x.saved = running, a.Run, e.info.ID, t.s.now, a.Checkpoint
		return x
	})
	return e
}
