package schedule

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// commit emits Commits of the changed jobs. While one is in flight, others follow only if they are full, so that an owner
// with few changes makes few calls to the store.
func (t *transition) commit() {
	for lane := range t.s.inFlight {
		if t.s.inFlight[lane] != nil {
			continue
		}
		eligible := t.s.eligibleChanges()
		first := !t.s.committing()
		if first && (t.s.now < t.s.lastCommitResultAt+t.s.policy.CommitInterval || len(eligible) == 0 && !t.s.awaitsConfirmation()) {
			return
		}
		if !first && len(eligible) < fullCommit {
			return
		}
		t.commitChanges(lane, eligible)
	}
}

// fullCommit is the number of changed jobs that fill a commit; some take two entries.
const fullCommit = maxCommitEntries * 3 / 4

// committing reports whether a commit is in flight.
func (s State) committing() bool {
	return slices.ContainsFunc(s.inFlight[:], func(p *pendingCommit) bool { return p != nil })
}

// eligibleChanges returns the jobs that a commit can contain, the oldest change first.
func (s State) eligibleChanges() []*jobState {
	var jobs []*jobState
	for i := s.changed.Iterator(); !i.Done() && len(jobs) < maxCommitEntries; {
		_, id, _ := i.Next()
		if j, ok := s.jobs.Get(id); ok && !j.inCommit {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

func (t *transition) commitChanges(lane int, changed []*jobState) {
	t.s.lastCommit++
	t.s.confirmationDue = false
	p := pendingCommit{number: t.s.lastCommit, sent: t.s.now}
	c := Commit{Lane: lane, Number: p.number}
	if t.s.usedChanged && !t.s.holdsRecord() && t.s.recordInFlight() == nil { // commits of different lanes may be applied in any order
		var record cluster.Used
		record, p.used = t.s.usedExecutors()
		c.Writes = append(c.Writes, port.Write{Key: cluster.PrefixUsed + t.s.Pool, Value: job.Encode(record)})
		p.last = t.s.handingOver
		t.s.usedChanged, t.s.recordedAt = false, t.s.now
	}
	for _, x := range changed {
		j := *x
		writes, deletes := t.s.recordChanges(j)
		if len(c.Writes)+len(c.Deletes)+len(writes)+len(deletes) > maxCommitEntries {
			break
		}
		c.Writes, c.Deletes = append(c.Writes, writes...), append(c.Deletes, deletes...)
		p.jobs = append(p.jobs, pendingJob{id: j.sub.ID, generation: j.dirtyGeneration, outcome: j.outcome, stored: j.stored, cancelTokens: j.cancelTokens, ended: j.ended})
		t.s.changed = t.s.changed.Delete(j.dirtyGeneration)
		j.progressWritten = j.progressWritten || j.stored && !j.outcome.Final()
		j.dirtyGeneration, j.cancelTokens, j.ended, j.inCommit = 0, nil, nil, true
		t.s = t.s.withJob(j)
	}
	t.s.inFlight[lane] = &p
	t.emit(c)
}

// awaitsConfirmation reports whether an executor can't be used until a write has confirmed the ownership of the pool, the
// record of the used executors is out of date, or the confirmation of the ownership is too old. A commit without records
// of jobs is enough for each of them.
func (s State) awaitsConfirmation() bool {
	return s.usedChanged && !s.holdsRecord() || s.now >= s.nextConfirmationAt && (s.lastOpenedAt != 0 && s.lastOpenedAt >= s.confirmedAt || s.confirmationDue)
}

// recordChanges returns the writes and deletions that bring the stored records of a job up to date.
func (s State) recordChanges(j jobState) (writes []port.Write, deletes []string) {
	id := string(j.sub.ID)
	key, progress := job.PrefixJob+s.Pool+"/"+id, job.PrefixProgress+s.Pool+"/"+id
	switch {
	case j.state.Final(): // its retention has passed
		return nil, []string{key}
	case j.outcome.Final():
		r := job.Record{State: j.outcome, Digest: j.digest, Queue: j.sub.Queue, Path: j.sub.Path, Accepted: j.accepted, Ended: s.unixMilli, Account: j.sub.Account}
		if j.outcome == job.Completed {
			r.Surplus = j.surplusAt
		}
		if j.progressWritten {
			deletes = []string{progress}
		}
		return []port.Write{{Key: key, Value: job.Encode(r)}}, deletes
	case !j.stored:
		sub := j.sub
		r := job.Record{Submission: &sub, Digest: j.digest, Queue: j.sub.Queue, Path: j.sub.Path, Accepted: j.accepted, Version: j.version}
		return []port.Write{{Key: key, Value: job.Encode(r)}}, nil
	default:
		return []port.Write{{Key: progress, Value: job.Encode(j.progress())}}, nil
	}
}

// Extra delays of the next commit after the store has refused a write.
const (
	refusedWriteBackoff        = 100 * time.Millisecond
	refusedConfirmationBackoff = 500 * time.Millisecond // of a commit without any record, which no caller waits for
)

func (t *transition) handleCommitResult(m CommitResult) {
	lane := t.s.laneOf(m.Number)
	if lane < 0 {
		return
	}
	p := t.s.inFlight[lane]
	t.s.inFlight[lane] = nil
	t.s.lastCommitResultAt = m.Now
	for _, x := range p.jobs {
		if j, ok := t.s.job(x.id); ok {
			j.inCommit = false
			t.s = t.s.withJob(j)
		}
	}
	if errors.Is(m.Err, port.ErrRefused) {
		t.s.lastCommitResultAt = m.Now + refusedWriteBackoff
		if len(p.jobs) == 0 && p.used == nil {
			t.s.nextConfirmationAt = m.Now + refusedConfirmationBackoff
		}
		t.s.usedChanged = t.s.usedChanged || p.used != nil
		for _, x := range p.jobs {
			t.revert(x)
		}
		return
	}
	t.s.placementDue = t.s.placementDue || t.s.awaitsConfirmation()
	t.s.confirmedAt = max(t.s.confirmedAt, p.sent)
	if p.used != nil {
		t.s.recorded = p.used
	}
	if p.last {
		t.emit(HandedOver{}, note(slog.LevelInfo, "pool.handed", "executors", len(p.used), "after", m.Now-p.sent))
	}
	t.requeueVanished()
	for _, x := range p.jobs {
		t.markStored(x)
	}
	t.acknowledgeEndedRuns()
}

// requeueVanished requeues the tasks whose runs vanished before the ownership was last confirmed.
func (t *transition) requeueVanished() {
	vanished := t.s.vanished
	t.s.vanished = nil
	for _, r := range vanished {
		if r.at < t.s.confirmedAt {
			t.requeue(r.task, r.run, "", 0)
		} else {
			t.s.vanished = append(t.s.vanished, r)
		}
	}
}

// answer sends the same answer to several requests.
func (t *transition) answer(err error, tokens ...[]uint64) {
	for _, token := range slices.Concat(tokens...) {
		t.emit(Answer{Token: token, Err: err})
	}
}

// cancelResult returns the answer to a cancellation of a job whose outcome is stored.
func cancelResult(final job.State) error {
	if final == job.Cancelled {
		return nil
	}
	return port.ErrNoJob
}

// laneOf returns the lane of a commit in flight, or -1.
func (s State) laneOf(number uint64) int {
	return slices.IndexFunc(s.inFlight[:], func(p *pendingCommit) bool { return p != nil && p.number == number })
}

// stalled reports whether the store did not answer a commit.
func (s State) stalled() bool {
	return slices.ContainsFunc(s.inFlight[:], func(p *pendingCommit) bool { return p != nil && p.stalled })
}

// isStalled reports whether a job is in a commit whose store call got no answer.
func (s State) isStalled(id job.ID) bool {
	return slices.ContainsFunc(s.inFlight[:], func(p *pendingCommit) bool {
		return p != nil && p.stalled && slices.ContainsFunc(p.jobs, func(x pendingJob) bool { return x.id == id })
	})
}

// handleCommitStalled answers the callers that wait for a store that does not respond. The outcome is unknown for jobs
// in the commit; new jobs that are not part of it are refused.
func (t *transition) handleCommitStalled(m CommitStalled) {
	lane := t.s.laneOf(m.Number)
	if lane < 0 || t.s.inFlight[lane].stalled {
		return
	}
	p := *t.s.inFlight[lane]
	p.stalled, p.jobs = true, slices.Clone(p.jobs)
	for i, x := range p.jobs {
		t.answer(port.ErrUnknownOutcome, x.cancelTokens)
		p.jobs[i].cancelTokens = nil
		if j, ok := t.s.job(x.id); ok && !x.stored {
			t.answer(port.ErrUnknownOutcome, j.submitTokens)
			j.submitTokens = nil
			t.s = t.s.withJob(j)
		}
	}
	t.s.inFlight[lane] = &p
	for i := t.s.changed.Iterator(); !i.Done(); {
		gen, id, _ := i.Next()
		j, ok := t.s.job(id)
		if !ok || j.stored || j.inCommit {
			continue
		}
		t.emit(note(slog.LevelInfo, "job.refused", "job", string(id), "reason", "store does not answer"))
		t.answer(port.ErrNotAccepted, j.submitTokens)
		t.answer(port.ErrUnavailable, j.cancelTokens)
		t.s.changed = t.s.changed.Delete(gen)
		t.s.jobs = t.s.jobs.Delete(id)
	}
}

// revert restores the state of a job after the write that contained it had no effect.
func (t *transition) revert(x pendingJob) {
	j, ok := t.s.job(x.id)
	if !ok {
		return
	}
	j.ended = slices.Concat(x.ended, j.ended)
	switch {
	case !x.stored:
		t.emit(note(slog.LevelInfo, "job.refused", "job", string(x.id), "reason", "store refused the write"))
		t.answer(port.ErrNotAccepted, j.submitTokens)
		t.answer(port.ErrUnavailable, x.cancelTokens, j.cancelTokens)
		if j.dirtyGeneration != 0 {
			t.s.changed = t.s.changed.Delete(j.dirtyGeneration)
		}
		t.s.jobs = t.s.jobs.Delete(x.id)
		return
	case j.state.Final(): // a later sweep retries the removal of the outcome
		t.s.ended = t.s.ended.Set(x.id, struct{}{})
		return
	case x.outcome == job.Cancelled:
		t.answer(port.ErrUnavailable, x.cancelTokens)
		if j.outcome == job.Cancelled && len(j.cancelTokens) == 0 {
			j.outcome = job.Queued
		}
		switch { // the runs that have ended meanwhile were not acted on
		case j.complete():
			j.outcome = job.Completed
		case j.outcome == job.Queued && j.exhausted():
			j.outcome = job.Failed
		}
	default:
		j.cancelTokens = slices.Concat(x.cancelTokens, j.cancelTokens)
	}
	if j.dirtyGeneration != 0 {
		t.s.changed = t.s.changed.Delete(j.dirtyGeneration)
	}
	j.dirtyGeneration = x.generation // with the earlier generation, the ended runs that depend on it stay unacknowledged
	t.s.changed = t.s.changed.Set(x.generation, x.id)
	t.s = t.s.withJob(j)
	t.s = t.s.withAllRanks(x.id)
}

// markStored applies a successful write to a job and answers the callers that waited for it.
func (t *transition) markStored(x pendingJob) {
	j, ok := t.s.job(x.id)
	if !ok {
		return
	}
	if j.state.Final() {
		t.s.jobs = t.s.jobs.Delete(x.id)
		return
	}
	t.answer(nil, j.submitTokens)
	t.answer(cancelResult(x.outcome), x.cancelTokens)
	j.submitTokens = nil
	first := !j.stored
	j.stored = true
	t.s = t.s.withJob(j)
	t.stopRuns(x.id, x.ended)
	if x.outcome.Final() {
		t.emit(note(slog.LevelInfo, "job.ended", "job", string(x.id), "queue", j.sub.Queue, "state", x.outcome.String(),
			"after", t.s.unixMilli-j.accepted, "late", t.s.now > j.objective && x.outcome == job.Completed))
		t.closeJob(j, x.outcome)
		return
	}
	if first {
		t.emit(note(slog.LevelInfo, "job.accepted", "job", string(x.id), "queue", j.sub.Queue, "steps", len(j.sub.Steps), "objective", j.objective-t.s.now))
		t.reportOversized(j)
		t.openDue()
	}
	t.s = t.s.withAllRanks(x.id)
}

// reportOversized reports the first step of a job for whose tasks no executor of the pool is large enough.
func (t *transition) reportOversized(j jobState) {
	for i, step := range j.sub.Steps {
		if !t.s.mayFit(step) {
			need, largest := step.Demand(), t.s.largest[step.Label]
			t.emit(note(slog.LevelWarn, "job.oversized", "job", string(j.sub.ID), "step", i, "label", step.Label, "cpu", need.CPU, "memory", need.Memory,
				"gpu", need.GPU, "largest.cpu", largest.CPU, "largest.memory", largest.Memory, "largest.gpu", largest.GPU))
			return
		}
	}
}

// closeJob stops the remaining runs of a job and reduces its state to its outcome.
func (t *transition) closeJob(j jobState, final job.State) {
	id := j.sub.ID
	j.outcome = final
	t.s = t.s.withJob(j)
	t.s = t.s.withAllRanks(id) // deletes its task sets from the ready queue
	for _, o := range j.open.All() {
		j.ended = append(slices.Clip(j.ended), o)
	}
	t.stopRuns(id, j.ended)
	t.answer(cancelResult(final), j.cancelTokens)
	if j.dirtyGeneration != 0 {
		t.s.changed = t.s.changed.Delete(j.dirtyGeneration)
	}
	t.s.ended = t.s.ended.Set(id, struct{}{})
	recovered := j.recovered && len(t.s.unsettled) > 0 // a former owner's executors may run tasks of it
	ended := jobState{
		account: j.account,
		sub:     job.Submission{ID: id, Queue: j.sub.Queue, Path: j.sub.Path, Account: j.sub.Account}, queue: j.queue, accepted: j.accepted, endedAt: t.s.unixMilli,
		state: final, outcome: final, stored: true, started: true, digest: j.digest, surplusAt: j.surplusAt,
	}
	t.s = t.s.withJob(ended)
	if recovered && t.s.hasAccounts() {
		t.s = t.s.withEndedBefore(ended).withMayRun()
	}
}

// acknowledgeEndedRuns acknowledges to the executors the ended runs whose effects are stored, so that they can drop
// them.
func (t *transition) acknowledgeEndedRuns() {
	stored := t.s.generation
	if first := t.s.changed.Iterator(); !first.Done() {
		gen, _, _ := first.Next()
		stored = gen - 1
	}
	for _, p := range t.s.inFlight {
		if p != nil {
			for _, x := range p.jobs {
				stored = min(stored, x.generation-1)
			}
		}
	}
	t.s.eachExecutor(func(x *executorState) {
		if len(x.pendingAcks) == 0 {
			return
		}
		e, advanced := *x, false
		for len(e.pendingAcks) > 0 && e.pendingAcks[0].generation <= stored {
			e.ackedEnd, advanced = e.pendingAcks[0].number, true
			e.pendingAcks = e.pendingAcks[1:]
		}
		if !advanced {
			return
		}
		if e.heartbeatInFlight {
			t.s = t.s.withExecutor(e)
			return
		}
		t.sendHeartbeat(e, t.s.heartbeatWait(), 0, false)
	})
}
