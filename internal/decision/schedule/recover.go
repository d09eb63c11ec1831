package schedule

import (
	"log/slog"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// StoredJob holds the records of a job in the store; Progress is empty if there is no progress record.
type StoredJob struct {
	ID       job.ID
	Record   job.Record
	Progress job.Progress
}

// Recover returns the state of an owner that has just taken over the pool.
//
// The executors may still run tasks for the former owner. Tasks of recovered jobs do not start until all executors
// have answered a heartbeat with the new fencing token or their leases have expired.
func Recover(s State, c *site.Config, stored []StoredJob, executors []site.Executor) (State, []Effect) {
	t := &transition{s: s}
	t.s.config = c
	for _, e := range executors {
		t.s.unsettled[e.ID] = true
	}
	t.s.settleDeadline = t.s.now + time.Duration(float64(t.s.policy.Lease)/minClockRate) + time.Second
	recovered := 0
	for _, x := range stored {
		if x.Record.Submission == nil {
			t.s = t.s.withJob(jobState{
				sub: job.Submission{ID: x.ID, Queue: x.Record.Queue}, queue: t.s.queueOf(job.Submission{Queue: x.Record.Queue}),
				accepted: x.Record.Accepted, ended: x.Record.Ended, state: x.Record.State, outcome: x.Record.State,
				stored: true, started: true, digest: x.Record.Digest,
			})
			t.s.ended = t.s.ended.Set(x.ID, struct{}{})
			continue
		}
		recovered++
		t.recoverJob(x)
	}
	t.emit(note(slog.LevelInfo, "pool.recovered", "open", recovered,
		"ended", len(stored)-recovered, "executors", len(executors), "config", c.Version))
	t.addDueOccurrences()
	t.handleExecutorsListed(executors)
	if len(executors) == 0 {
		t.settle(nil)
	}
	return t.s, t.effects
}

func (t *transition) recoverJob(x StoredJob) {
	j := t.s.newJob(*x.Record.Submission, x.Record.Digest, x.Record.Accepted, t.s.now)
	j.objective -= time.Duration(t.s.unixMilli-x.Record.Accepted) * time.Millisecond
	j.stored, j.recovered = true, true
	if j.sub.Repeat > 0 {
		next := 0
		for next < j.sub.Occurrences() && j.sub.Due(next) <= t.s.unixMilli {
			j = j.withOccurrence(next, t.s.now)
			next++
		}
		t.s.repeating = t.s.repeating.Set(x.ID, next)
	}
	j = j.withProgress(x.Progress)
	if j.complete() {
		j.outcome = job.Completed
		t.s = t.s.withChange(j)
		return
	}
	t.s = t.s.withJob(j)
	t.s = t.s.withAllRanks(x.ID)
}
