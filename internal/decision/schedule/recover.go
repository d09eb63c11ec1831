package schedule

import (
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/quota"
	"teaselloft/internal/model/site"
)

// StoredJob holds the records of a job in the store; Progress is empty if there is no progress record.
type StoredJob struct {
	ID       job.ID
	Record   job.Record
	Progress job.Progress
}

// UnreadableJob is a job of which a record can't be decoded. Its account is known if only the record of the progress is
// invalid.
type UnreadableJob struct {
	ID           job.ID
	Account      string // empty for a job of no account
	AccountKnown bool
}

// Stored is what a new owner has read of its pool from the store.
type Stored struct {
	Jobs       []StoredJob
	Unreadable []UnreadableJob        // jobs with a record that can't be decoded
	Listed     []site.Executor        // those of the store's list
	Used       cluster.Used           // executors that the former owner used
	Limits     map[string]quota.Limit // parts of the accounts' quotas that the pool may use
	UsedLost   bool                   // whether the record of the used executors can't be decoded
	// FormerEnded reports whether the process that wrote the record of the used executors does not own the pool any more, and
	// FormerExited whether it has exited.
	FormerEnded, FormerExited bool
}

// isPartial reports whether the record of the used executors may lack some.
func (s Stored) isPartial() bool { return s.UsedLost || s.Used.Partial }

// unknownExecutor stands for the executors that an unreadable record may name. It never answers.
const unknownExecutor = ""

// Recover returns the state of an owner that has just taken over the pool.
//
// The executors in the record of the used executors may still run tasks for the former owner, also those that are not in
// the list any more. Tasks of recovered jobs do not start until all of them have answered a heartbeat with the new fencing
// token or their leases have expired, which a write has to confirm. Other executors have no runs, because an owner uses none
// before a record that names it is stored. A job with an unreadable record stays in the store as it is; its tasks do not
// start.
func Recover(s State, c *site.Config, stored Stored) (State, []Effect) {
	t := &transition{s: s}
	t.s.config = c
	t.s = t.s.withLimits(stored.Limits)
	unlisted := unlistedExecutors(s.Pool, stored)
	executors := slices.Concat(stored.Listed, unlisted)
	born := map[string]int64{}
	for _, e := range stored.Listed {
		born[e.ID] = e.Born
		if stored.Used.Epoch == 0 {
			t.s.unsettled[e.ID] = 0 // there is no record
		}
	}
	t.s.continuous = make(map[string]int64, len(stored.Used.Executors))
	for _, u := range stored.Used.Executors {
		if u.Lapse <= 0 && !u.Resumed {
			t.s.continuous[u.ID] = u.Born
		}
		t.s.unsettled[u.ID] = t.s.lapseTime(u.Lapse)
		if u.Born != 0 && born[u.ID] > u.Born {
			t.s.unsettled[u.ID] = t.s.now // the runs of the former incarnation have ended
		}
	}
	if stored.isPartial() {
		t.s.unsettled[unknownExecutor] = t.s.lapseTime(stored.Used.Lapse)
	}
	t.s = t.s.withFormerOwner(stored)
	t.s.recorded = usedSet{}
	for _, u := range stored.Used.Executors {
		t.s.recorded[u.ID] = usedEntry{released: u.Lapse > 0}
	}
	if stored.isPartial() {
		t.s.recorded[unknownExecutor] = usedEntry{released: stored.Used.Lapse > 0}
	}
	recovered := 0
	for _, x := range stored.Jobs {
		if x.Record.Submission == nil {
			t.recoverOutcome(x)
			continue
		}
		recovered++
		t.recoverJob(x)
	}
	for _, x := range stored.Unreadable {
		t.s = t.s.withUnreadable(x)
	}
	t.emit(note(slog.LevelInfo, "pool.recovered", "open", recovered, "ended", len(stored.Jobs)-recovered, "unreadable", len(stored.Unreadable),
		"executors", len(stored.Listed), "unlisted", len(unlisted), "config", c.Version,
		"former", t.s.former, "recorded", len(stored.Used.Executors), "by", stored.Used.Epoch, "wait", t.s.waitLeft()))
	t.openDue()
	t.handleExecutorsListed(executors)
	t.handleExecutorsListed(stored.Listed) // the others remain until they have no runs
	t.inheritFormerLeases(stored.Used)
	t.s = t.s.withMayRun()
	if len(t.s.unsettled) == 0 {
		t.settle(nil)
	}
	return t.s, t.effects
}

// inheritFormerLeases marks the executors that have restarted since the former owner has written the record, or that had
// done so shortly before.
func (t *transition) inheritFormerLeases(used cluster.Used) {
	for _, u := range used.Executors {
		e, ok := t.s.executor(u.ID)
		if !ok {
			continue
		}
		e.formerLeases = t.s.lapseTime(u.Lease)
		if u.Born != 0 && e.born > u.Born {
			e.restarted, e.formerLeases = true, t.s.now+t.s.policy.waitForFormerCalls()
		}
		t.s = t.s.withExecutor(e)
	}
}

// lapseTime returns the time by which runs have ended according to a record that was written before now, or 0 if the
// record does not tell. Another writer may have damaged the record, so that no wait exceeds the longest one.
func (s State) lapseTime(lapse int64) time.Duration {
	if lapse <= 0 {
		return 0
	}
	return s.now + time.Duration(min(lapse, s.policy.maxWait().Milliseconds()))*time.Millisecond
}

// recoverOutcome recovers a job that has ended.
func (t *transition) recoverOutcome(x StoredJob) {
	t.s = t.s.withAccount(x.Record.Account)
	j := jobState{
		account: t.s.accounts.id(x.Record.Account),
		sub:     job.Submission{ID: x.ID, Queue: x.Record.Queue, Path: x.Record.Path, Account: x.Record.Account}, queue: t.s.queueOf(job.Submission{Queue: x.Record.Queue}),
		accepted: x.Record.Accepted, endedAt: x.Record.Ended, state: x.Record.State, outcome: x.Record.State,
		stored: true, started: true, digest: x.Record.Digest, surplusAt: x.Record.Surplus,
	}
	t.s = t.s.withJob(j)
	t.s.ended = t.s.ended.Set(x.ID, struct{}{})
	t.s = t.s.withEndedBefore(j)
}

// unlistedExecutors returns the executors that the former owner used and that are not in the list.
func unlistedExecutors(pool string, stored Stored) []site.Executor {
	listed := make(map[string]bool, len(stored.Listed))
	for _, e := range stored.Listed {
		listed[e.ID] = true
	}
	var unlisted []site.Executor
	for _, u := range stored.Used.Executors {
		if !listed[u.ID] {
			unlisted = append(unlisted, site.Executor{ID: u.ID, Address: u.Address, Pool: pool, Instance: u.Instance, Born: u.Born})
		}
	}
	return unlisted
}

func (t *transition) recoverJob(x StoredJob) {
	t.s = t.s.withAccount(x.Record.Submission.Account)
	j := t.s.newJob(*x.Record.Submission, x.Record.Version, x.Record.Digest, x.Record.Accepted, t.s.now)
	j.objective -= time.Duration(t.s.unixMilli-x.Record.Accepted) * time.Millisecond
	j.stored, j.recovered, j.progressWritten = true, true, true
	j = j.withProgress(x.Progress, t.s.now)
	if j.complete() {
		j.outcome = job.Completed
		t.s = t.s.withChange(j)
		return
	}
	t.s = t.s.withJob(j)
	t.s = t.s.withAllRanks(x.ID)
}
