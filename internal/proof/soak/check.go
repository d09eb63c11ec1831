package soak

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"teaselloft/internal/standin/site"
)

// checkStart records the start of a run and checks it against the job and the executor's other runs.
func (l *Ledger) checkStart(e site.Start) {
	id, occurrence, step, ok := parseTask(e.Task)
	j := l.jobs[id]
	if !ok || j == nil || occurrence >= j.job.Occurrences() {
		l.note("UNASKED", "%s started %s, which nobody handed in", e.Executor, e.Task)
		return
	}
	for other, runs := range l.runs {
		if run, running := runs[e.Task]; running {
			l.note("TWICE", "%s run %d starts on %s while run %d is on %s", e.Task, e.Run, e.Executor, run, other)
		}
	}
	l.startedLater(e)
	l.endIdle(e.Task)
	if l.runs[e.Executor] == nil {
		l.runs[e.Executor] = map[string]uint64{}
	}
	l.runs[e.Executor][e.Task] = e.Run
	switch {
	case l.done[e.Task]:
		l.note("TWICE", "%s run %d starts on %s after its success was taken note of", e.Task, e.Run, e.Executor)
	case j.refused == j.attempts:
		l.note("REFUSED", "%s starts on %s, and all %d attempts to hand it in were refused", e.Task, e.Executor, j.attempts)
	case l.failures[e.Task] >= site.Attempts && !j.job.Steps[step].Lasting:
		l.note("BUDGET", "%s run %d starts after %d failed runs", e.Task, e.Run, l.failures[e.Task])
	case time.Until(j.job.Due(occurrence)) > earlyBound:
		l.note("EARLY", "%s run %d starts %v before it is due", e.Task, e.Run, time.Until(j.job.Due(occurrence)))
	case j.cancelled != 0 && l.now() > j.cancelled+cancelBound && l.noFaultSince(j.cancelled, false):
		l.note("UNASKED", "%s run %d starts %v after its cancellation", e.Task, e.Run, l.now()-j.cancelled)
	}
	l.checkOrder(e, j.job, occurrence, step)
	used := 0
	for task := range l.runs[e.Executor] {
		if other, _, s, ok := parseTask(task); ok && l.jobs[other] != nil {
			used += l.jobs[other].job.Steps[s].CPU
		}
	}
	if used > site.CPU {
		l.note("LIMIT", "%s holds %d of %d thousandths of a core with %s", e.Executor, used, site.CPU, e.Task)
	}
}

// checkOrder checks that the steps before have ended.
func (l *Ledger) checkOrder(e site.Start, j site.Job, occurrence, step int) {
	for _, before := range j.Steps[step].After {
		for index := range j.Steps[before].Count {
			if task := fmt.Sprintf("%s.%d.%d.%d", j.ID, occurrence, before, index); !l.ended[task] {
				l.note("ORDER", "%s starts before %s has ended", e.Task, task)
			}
		}
	}
}

// parseTask parses the job, the occurrence and the step from a task's name.
func parseTask(task string) (id string, occurrence, step int, ok bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, 0, false
	}
	occurrence, errOccurrence := strconv.Atoi(parts[1])
	step, errStep := strconv.Atoi(parts[2])
	return parts[0], occurrence, step, errOccurrence == nil && errStep == nil
}
