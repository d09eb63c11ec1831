package schedule

import (
	"log/slog"
	"time"

	"teaselloft/internal/model/job"
)

// batchEvictDelay is how long batch tasks may continue on an executor that is being vacated.
const batchEvictDelay = 2500 * time.Millisecond

// minReadyTime is how long a run must have been running before it counts as ready. An executor lists a run that a
// former owner has ordered to stop until the stop is complete, which takes up to 0.4 s according to the users' data
// sheets.
const minReadyTime = time.Second

// neverReadyTime is how long a long-running task must have been listed without being at work before it may be evicted
// whatever the others of its step do. It exceeds the short startup after which the users expect such a task at work.
const neverReadyTime = 6 * time.Second

// handleVacate closes executors to new tasks, evicts their runs as far as allowed and answers which are empty. Without a
// valid ownership none is certainly empty, because another owner may have started tasks on it.
func (t *transition) handleVacate(m Vacate) {
	var empty []string
	owns := t.s.owns()
	t.s.confirmationDue = t.s.confirmationDue || !owns
	for _, id := range m.Executors {
		e, ok := t.s.executor(id)
		if !ok {
			continue
		}
		if t.s.now >= e.vacateUntil {
			t.emit(note(slog.LevelInfo, "executor.vacate", "executor", id, "runs", len(e.runs)))
			e.vacatingSince = t.s.now
		}
		e.vacateUntil = m.Until
		t.s = t.s.withExecutor(e)
		if len(e.runs) == 0 && e.open && e.failingSince == 0 && owns {
			empty = append(empty, id)
			continue
		}
		t.evictRuns(id)
	}
	t.emit(Answer{Token: m.Token, Empty: empty})
}

// evictRuns stops the long-running tasks of an executor as far as the allowed misses of their steps permit, and the
// batch tasks that are still running after batchEvictDelay.
func (t *transition) evictRuns(id string) {
	e, _ := t.s.executor(id)
	for i := 0; i < len(e.runs); i++ {
		r := *e.runs[i]
		if r.phase != running {
			continue
		}
		j, _, ok := t.findTask(r.task)
		if !ok {
			continue
		}
		step := j.sub.Steps[r.task.Step]
		if step.LongRunning && (t.isStuck(e, r) || t.mayEvict(j, r.task)) || !step.LongRunning && t.s.now-e.vacatingSince > batchEvictDelay {
			e = t.stopRun(e, i)
			t.s = t.s.withExecutor(e)
		}
	}
}

// isStuck reports whether a run of a long-running task is not at work and won't be soon, so that stopping it makes no
// further task of its step unavailable.
func (t *transition) isStuck(e executorState, r runState) bool {
	return e.failingSince == 0 && r.unreadySince != 0 && t.s.now-r.unreadySince > neverReadyTime
}

// mayEvict reports whether a task of a long-running step may be stopped now.
func (t *transition) mayEvict(j jobState, task job.Task) bool {
	ts := j.taskSet(task.Occurrence, task.Step)
	if ts == nil {
		return false
	}
	step := j.sub.Steps[task.Step]
	unready := 0
	for index, x := range ts.tasks.All() {
		if index != task.Index && !t.isReady(task, index, *x) {
			unready++
		}
	}
	return unready < max(1, step.AllowedMisses)
}

func (t *transition) isReady(task job.Task, index int, x taskState) bool {
	if x.phase != running {
		return false
	}
	e, ok := t.s.executor(x.executor)
	if !ok || e.failingSince != 0 {
		return false
	}
	task.Index = index
	i := e.findRun(task, x.run)
	return i >= 0 && !e.runs[i].former && e.runs[i].percent >= 100 && t.s.now-e.runs[i].since > minReadyTime
}
