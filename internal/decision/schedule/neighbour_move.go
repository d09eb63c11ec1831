package schedule

import (
	"log/slog"
	"slices"
	"time"
)

// Limits on the moves of tasks away from their neighbours.
const (
	moveDelay    = 8 * time.Second // with throttling alone
	moveInterval = time.Second     // between two moves in the pool
)

// moveFromNeighbours moves a task to a better executor if throttling alone doesn't help: a best-effort task that is stopped
// for the sake of a serving task, or a serving task over its target beside tasks that can't be throttled.
func (t *transition) moveFromNeighbours(id string) {
	if t.s.interference.Learned() == 0 {
		return
	}
	e := t.markOver(id)
	stopped := e.idleSince != 0 && t.s.now-e.idleSince > moveDelay
	slowed := e.overSince != 0 && t.s.now-e.overSince > moveDelay
	if !stopped && !slowed || t.s.now-t.s.lastMove < moveInterval || !t.s.owns() {
		return
	}
	for i, r := range e.runs {
		if r.phase == running && (stopped && r.isThrottledToZero() || slowed && t.isSlowedByOthers(e, *r)) && t.moveRun(e, i) {
			return
		}
	}
}

// isThrottledToZero reports whether a best-effort task makes no progress.
func (r *runState) isThrottledToZero() bool {
	return r.bestEffort && r.speed == 0 && r.speedCertain == speedOrdered
}

// markOver records since when a serving task of an executor has been over its target.
func (t *transition) markOver(id string) executorState {
	e, _ := t.s.executor(id)
	over := slices.ContainsFunc(e.runs, func(r *runState) bool { return r.isOverTarget() })
	if over != (e.overSince != 0) {
		e.overSince = 0
		if over {
			e.overSince = t.s.now
		}
		t.s = t.s.withExecutor(e)
	}
	return e
}

// isOverTarget reports whether a serving task exceeds the target of its tail latency.
func (r *runState) isOverTarget() bool {
	return r.serving && r.phase == running && r.latencyTarget > 0 && r.metric > float64(r.latencyTarget.Milliseconds())
}

// isSlowedByOthers reports whether a serving task is over its target beside a task that is known to slow it down and can't
// be throttled.
func (t *transition) isSlowedByOthers(e executorState, v runState) bool {
	if !v.isOverTarget() {
		return false
	}
	for _, r := range e.runs {
		if !r.bestEffort && r.phase == running && t.s.interference.Slowing(v.image, r.image) > 0 {
			return true
		}
	}
	return false
}

// moveRun stops a run whose task then starts on another executor, if that is better and the allowed misses permit it. A
// batch task without checkpoints would lose its work.
func (t *transition) moveRun(e executorState, i int) bool {
	r := *e.runs[i]
	j, x, ok := t.findTask(r.task)
	if !ok || x.run != r.run || j.queue.Advice != nil {
		return false
	}
	step := j.sub.Steps[r.task.Step]
	if step.Gang || !step.LongRunning && !step.Checkpoints || step.LongRunning && (step.AllowedMisses == 0 || !t.mayEvict(j, r.task)) {
		return false
	}
	if room := t.s.quotaRooms(); room.isLimitedBelow(j.account) {
		return false // the account may not start the task again
	}
	ts := j.taskSet(r.task.Occurrence, r.task.Step)
	if ts == nil {
		return false
	}
	p := t.s.newPlacement(j, ts)
	t.setNeighbourCosts(p)
	if p.costs == nil {
		return false
	}
	without := e.withoutRun(i)
	here := p.neighbourCost(&candidate{executor: &without})
	best := p.best(t.s.candidates(), taskState{failedOn: e.info.ID})
	if best == nil || best.executor.info.ID == e.info.ID || 2*p.neighbourCost(best) >= here {
		return false
	}
	t.s.lastMove = t.s.now
	t.emit(note(slog.LevelInfo, "interference.moved", "task", r.task.String(), "run", r.run, "executor", e.info.ID, "image", step.Image,
		"better", best.executor.info.ID, "cost", here, "there", p.neighbourCost(best)))
	t.s = t.s.withExecutor(t.stopRun(e, i))
	return true
}
