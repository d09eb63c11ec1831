package schedule

import (
	"log/slog"
	"time"

	"teaselloft/internal/model/job"
)

// batchEvictDelay is how long the batch tasks of an executor that is being emptied may go on.
const batchEvictDelay = 2500 * time.Millisecond

// minReadyTime is how long a run must be known before it counts as at work: an executor lists a run that a former owner
// has ordered to stop until the stop has ended, which takes 0.4 s at most on the users' sheets.
const minReadyTime = time.Second

// handleVacate closes executors for new tasks, moves what lasts and reports which are empty.
func (t *transition) handleVacate(m Vacate) {
	var empty []string
	for _, id := range m.Executors {
		e, ok := t.s.executors.Get(id)
		if !ok {
			continue
		}
		if t.s.now >= e.vacateUntil {
			t.emit(note(slog.LevelInfo, "executor.vacate", "executor", id, "runs", len(e.runs)))
			e.vacatingSince = t.s.now
		}
		e.vacateUntil = m.Until
		t.s = t.s.withExecutor(e)
		if len(e.runs) == 0 && e.open && e.failingSince == 0 {
			empty = append(empty, id)
			continue
		}
		t.evictRuns(id)
	}
	t.emit(Answer{Token: m.Token, Empty: empty})
}

// evictRuns stops the lasting tasks of an executor as far as the misses that their steps allow, and batch tasks that take too long.
func (t *transition) evictRuns(id string) {
	e, _ := t.s.executors.Get(id)
	for i := 0; i < len(e.runs); i++ {
		r := e.runs[i]
		if r.phase != running {
			continue
		}
		j, _, ok := t.findTask(r.task)
		if !ok {
			continue
		}
		step := j.sub.Steps[r.task.Step]
		if step.Lasting && t.mayEvict(j, r.task) || !step.Lasting && t.s.now-e.vacatingSince > batchEvictDelay {
			e = t.stopRun(e, i)
			t.s = t.s.withExecutor(e)
		}
	}
}

// mayEvict reports whether a task of a lasting step may be taken away now.
func (t *transition) mayEvict(j jobState, task job.Task) bool {
	i, _ := j.find(task)
	step := j.sub.Steps[task.Step]
	unready := 0
	for index, x := range j.taskSets[i].tasks {
		if index != task.Index && !t.isReady(task, index, x) {
			unready++
		}
	}
	return unready < max(1, step.Misses)
}

func (t *transition) isReady(task job.Task, index int, x taskState) bool {
	if x.phase != running {
		return false
	}
	e, ok := t.s.executors.Get(x.executor)
	if !ok || e.failingSince != 0 {
		return false
	}
	task.Index = index
	i := e.findRun(task, x.run)
	return i >= 0 && e.runs[i].percent >= 100 && t.s.now-e.runs[i].since > minReadyTime
}
