package soak

import "fmt"

// lasts reports whether a task is long-running.
func (l *Ledger) lasts(task string) bool {
	id, step, ok := parseTask(task)
	j := l.jobs[id]
	return ok && j != nil && step < len(j.job.Steps) && j.job.Steps[step].Lasting
}

// idleLongRunning returns the tasks of accepted long-running jobs that should have a run and have none.
func (l *Ledger) idleLongRunning() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	running := map[string]bool{}
	for _, runs := range l.runs {
		for task := range runs {
			running[task] = true
		}
	}
	var idle []string
	for id, x := range l.jobs {
		if x.accepted == 0 || x.cancelRequested || !x.job.Steps[0].Lasting {
			continue
		}
		for index := range x.job.Steps[0].Count {
			task := fmt.Sprintf("%s.0.0.%d", id, index)
			if end, ok := l.lastEnd[task]; !running[task] && (!ok || l.now() > end+restartBound) {
				idle = append(idle, task)
			}
		}
	}
	return idle
}
