package schedule

import (
	"cmp"
	"log/slog"
	"strings"

	"teaselloft/internal/model/job"
)

// Limits that keep the cost of a step of the decision from growing with the number of occurrences that are due at once, for
// example of a schedule whose start has long passed.
const (
	// maxQueuedTaskSets is the number of task sets in the occurrences of a job of which no task has run. The next one waits
	// for them.
	maxQueuedTaskSets = 256
	// maxOpenedTaskSets is the number of task sets of all jobs that a step opens.
	maxOpenedTaskSets = 1024
)

// dueOccurrence is the key of the next occurrence of a schedule in the queue of the due ones.
type dueOccurrence struct {
	at int64 // Unix milliseconds
	id job.ID
}

type dueOrder struct{}

// Compare implements immutable.Comparer.
func (dueOrder) Compare(a, b dueOccurrence) int {
	return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(string(a.id), string(b.id)))
}

// mayOpen reports whether the next occurrence is opened as soon as it is due. Occurrences that have begun do not count, since
// the capacity of the pool limits them, and they may overlap.
func (j jobState) mayOpen() bool {
	return j.next < j.sub.Occurrences() && j.schedulable() && (j.queued == 0 || (j.queued+1)*len(j.sub.Steps) <= maxQueuedTaskSets)
}

// dueCount returns the number of occurrences that are due.
func (j jobState) dueCount(unixMilli int64) int {
	switch interval := j.sub.Interval.Milliseconds(); {
	case j.sub.Due(0) > unixMilli:
		return 0
	case interval == 0:
		return j.sub.Occurrences()
	default:
		return int(min(int64(j.sub.Occurrences()), (unixMilli-j.sub.Due(0))/interval+1))
	}
}

// withDue adds the next occurrence of a schedule to the queue of the due ones, or removes it, according to the state of the job,
// which is about to replace the one before.
func (s State) withDue(j *jobState) State {
	var before *dueOccurrence
	if x, ok := s.jobs.Get(j.sub.ID); ok {
		before = x.due
	}
	j.due = nil
	if j.mayOpen() {
		j.due = &dueOccurrence{at: j.sub.Due(j.next), id: j.sub.ID}
	}
	if before == j.due || before != nil && j.due != nil && *before == *j.due {
		return s
	}
	if before != nil {
		s.due = s.due.Delete(*before)
	}
	if j.due != nil {
		s.due = s.due.Set(*j.due, struct{}{})
	}
	return s
}

// openDue opens occurrences that are due, the earliest first. The rest waits for the next step.
func (t *transition) openDue() {
	for left := maxOpenedTaskSets; left > 0 && t.s.due.Len() > 0; {
		d, _, _ := t.s.due.Iterator().Next()
		if d.at > t.s.unixMilli {
			return
		}
		left -= t.openOccurrences(d.id, left)
	}
}

// openOccurrences opens occurrences of a job that are due, and returns the number of their task sets.
func (t *transition) openOccurrences(id job.ID, limit int) (opened int) {
	j, _ := t.s.job(id)
	first := j.next
	for j.mayOpen() && j.sub.Due(j.next) <= t.s.unixMilli && opened < limit {
		j = j.withNext(t.s.now)
		opened += len(j.sub.Steps)
	}
	if behind := j.dueCount(t.s.unixMilli) > j.next; behind != j.behind {
		j.behind = behind
		t.emit(note(slog.LevelInfo, "schedule.behind", "job", string(id), "behind", behind, "next", j.next, "due", j.dueCount(t.s.unixMilli),
			"times", j.sub.Occurrences(), "queued", j.queued, "open", j.open.Len()))
	}
	t.s = t.s.withJob(j)
	for number := first; number < j.next; number++ {
		t.s = t.s.withOccurrenceRanks(id, number)
	}
	if j.complete() && !j.outcome.Final() { // occurrences that were opened out of turn are over
		j, _ = t.s.job(id)
		j.outcome = job.Completed
		t.s = t.s.withChange(j)
	}
	return max(1, opened)
}

// openReported opens the occurrence of a task of which an executor reports a run, unless it is open or over. A former owner has
// started the run, and has opened more occurrences than the stored progress tells, or its clock was ahead.
func (t *transition) openReported(task job.Task) {
	j, ok := t.s.job(task.Job)
	if !ok || j.state.Final() || task.Occurrence < j.next || !j.has(task) || j.occurrence(task.Occurrence) != nil {
		return
	}
	t.s = t.s.withJob(j.withOutOfTurn(task.Occurrence, t.s.now))
	t.s = t.s.withOccurrenceRanks(task.Job, task.Occurrence)
}
