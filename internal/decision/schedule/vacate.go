package schedule

import (
	"log/slog"
	"time"

	"teaselloft/internal/model/job"
)

// patience is how long the batch tasks of an executor that is being emptied may go on.
const patience = 2500 * time.Millisecond

// steady is how long a run must be known before it counts as at work: an executor lists a run that a former owner
// has ordered to stop until the stop has ended, which takes 0.4 s at most on the users' sheets.
const steady = time.Second

// vacate closes executors for new tasks, moves what lasts and reports which are empty.
func (t *turn) vacate(m Vacate) {
	var empty []string
	for _, id := range m.Executors {
		e, ok := t.s.executors.Get(id)
		if !ok {
			continue
		}
		if t.s.now >= e.vacate {
			t.emit(note(slog.LevelInfo, "executor.vacate", "executor", id, "runs", len(e.runs)))
			e.vacating = t.s.now
		}
		e.vacate = m.Until
		t.s = t.s.withExecutor(e)
		if len(e.runs) == 0 && e.open && e.failing == 0 {
			empty = append(empty, id)
			continue
		}
		t.evacuate(id)
	}
	t.emit(Answer{Token: m.Token, Empty: empty})
}

// evacuate stops the lasting tasks of an executor as far as the misses that their steps allow, and batch tasks that take too long.
func (t *turn) evacuate(id string) {
	e, _ := t.s.executors.Get(id)
	for i := 0; i < len(e.runs); i++ {
		r := e.runs[i]
		if r.phase != running {
			continue
		}
		j, _, ok := t.task(r.task)
		if !ok {
			continue
		}
		step := j.sub.Steps[r.task.Step]
		if step.LongRunning && t.mayMiss(j, r.task) || !step.LongRunning && t.s.now-e.vacating > patience {
			e = t.stop(e, i)
			t.s = t.s.withExecutor(e)
		}
	}
}

// mayMiss reports whether a task of a lasting step may be taken away now.
func (t *turn) mayMiss(j jobState, task job.Task) bool {
	i, _ := j.find(task)
	step := j.sub.Steps[task.Step]
	away := 0
	for index, x := range j.works[i].tasks {
		if index != task.Index && !t.atWork(task, index, x) {
			away++
		}
	}
	return away < max(1, step.AllowedMisses)
}

func (t *turn) atWork(task job.Task, index int, x taskState) bool {
	if x.phase != running {
		return false
	}
	e, ok := t.s.executors.Get(x.executor)
	if !ok || e.failing != 0 {
		return false
	}
	task.Index = index
	i := e.find(task, x.run)
	return i >= 0 && e.runs[i].percent >= 100 && t.s.now-e.runs[i].since > steady
}
