package schedule

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// commit stores what has changed, unless a write is on its way.
func (t *turn) commit() {
	if t.s.flight != nil || t.s.now < t.s.lastWrite+t.s.policy.CommitGap || t.s.changed.Len() == 0 && !t.s.unconfirmed() {
		return
	}
	t.s.commits++
	f := flight{number: t.s.commits, sent: t.s.now}
	c := Commit{Number: f.number}
	for i := t.s.changed.Iterator(); !i.Done(); {
		gen, id, _ := i.Next()
		j, ok := t.s.jobs.Get(id)
		if !ok {
			t.s.changed = t.s.changed.Delete(gen)
			continue
		}
		writes, removes := t.s.records(j)
		if len(c.Writes)+len(c.Removes)+len(writes)+len(removes) > maxSpace {
			break
		}
		c.Writes, c.Removes = append(c.Writes, writes...), append(c.Removes, removes...)
		f.jobs = append(f.jobs, flightJob{id: id, gen: gen, final: j.outcome, stored: j.stored, cancels: j.cancels})
		t.s.changed = t.s.changed.Delete(gen)
		j.dirty, j.cancels = 0, nil
		t.s = t.s.withJob(j)
	}
	t.s.flight = &f
	t.emit(c)
}

// unconfirmed reports whether an executor waits for a confirmation of the ownership, for which a write without records serves.
func (s State) unconfirmed() bool {
	waits := false
	s.each(func(e executorState) { waits = waits || e.open && e.opened >= s.confirmed })
	return waits
}

// records returns what has to be written of a job.
func (s State) records(j jobState) (writes []port.Write, removes []string) {
	id := string(j.sub.ID)
	key, progress := job.PrefixJob+s.Pool+"/"+id, job.PrefixProgress+s.Pool+"/"+id
	switch {
	case j.state.Final(): // its outcome was kept long enough
		return nil, []string{key}
	case j.outcome.Final():
		r := job.Record{State: j.outcome, Digest: j.digest, Queue: j.sub.Queue, Accepted: j.accepted, Ended: s.unix}
		return []port.Write{{Key: key, Value: job.Encode(r)}}, []string{progress}
	case !j.stored:
		sub := j.sub
		r := job.Record{Submission: &sub, Digest: j.digest, Queue: j.sub.Queue, Accepted: j.accepted}
		return []port.Write{{Key: key, Value: job.Encode(r)}}, nil
	default:
		return []port.Write{{Key: progress, Value: job.Encode(j.progress())}}, nil
	}
}

// refusedPause is how long a store that refused a write is left alone.
const refusedPause = 100 * time.Millisecond

func (t *turn) committed(m Committed) {
	f := t.s.flight
	if f == nil || f.number != m.Number {
		return
	}
	t.s.flight = nil
	t.s.lastWrite = m.Now
	if errors.Is(m.Err, port.ErrRefused) {
		t.s.lastWrite = m.Now + refusedPause
		for _, x := range f.jobs {
			t.undo(x)
		}
		return
	}
	t.s.mustPump = t.s.mustPump || t.s.unconfirmed()
	t.s.confirmed = f.sent
	for _, x := range f.jobs {
		t.stored(x)
	}
	t.acknowledge()
}

// answer ends requests with the same answer.
func (t *turn) answer(err error, tokens ...[]uint64) {
	for _, token := range slices.Concat(tokens...) {
		t.emit(Answer{Token: token, Err: err})
	}
}

// late returns the answer to a cancellation of a job with a stored outcome.
func late(final job.State) error {
	if final == job.Cancelled {
		return nil
	}
	return port.ErrNoJob
}

// holds reports whether a commit writes a job.
func (f *flight) holds(id job.ID) bool {
	return slices.ContainsFunc(f.jobs, func(x flightJob) bool { return x.id == id })
}

// stalls reports whether a job is in a commit that has got no answer yet.
func (f *flight) stalls(id job.ID) bool {
	return f != nil && f.stalled && f.holds(id)
}

// stalled lets callers go that wait for a store which does not answer: those in the write learn that
// its outcome is unknown, new jobs that are in no write are refused.
func (t *turn) stalled(m Stalled) {
	if t.s.flight == nil || t.s.flight.number != m.Number || t.s.flight.stalled {
		return
	}
	f := *t.s.flight
	f.stalled, f.jobs = true, slices.Clone(f.jobs)
	for i, x := range f.jobs {
		t.answer(port.ErrUnknownOutcome, x.cancels)
		f.jobs[i].cancels = nil
		if j, ok := t.s.jobs.Get(x.id); ok && !x.stored {
			t.answer(port.ErrUnknownOutcome, j.submits)
			j.submits = nil
			t.s = t.s.withJob(j)
		}
	}
	t.s.flight = &f
	for i := t.s.changed.Iterator(); !i.Done(); {
		gen, id, _ := i.Next()
		j, ok := t.s.jobs.Get(id)
		if !ok || j.stored || f.holds(id) {
			continue
		}
		t.emit(note(slog.LevelInfo, "job.refused", "job", string(id), "reason", "store does not answer"))
		t.answer(port.ErrNotAccepted, j.submits)
		t.answer(port.ErrUnavailable, j.cancels)
		t.s.changed = t.s.changed.Delete(gen)
		t.s.jobs = t.s.jobs.Delete(id)
	}
}

// undo takes back what a write that had no effect was to store.
func (t *turn) undo(x flightJob) {
	j, ok := t.s.jobs.Get(x.id)
	if !ok {
		return
	}
	switch {
	case !x.stored:
		t.emit(note(slog.LevelInfo, "job.refused", "job", string(x.id), "reason", "store refused the write"))
		t.answer(port.ErrNotAccepted, j.submits)
		t.answer(port.ErrUnavailable, x.cancels, j.cancels)
		if j.dirty != 0 {
			t.s.changed = t.s.changed.Delete(j.dirty)
		}
		t.s.jobs = t.s.jobs.Delete(x.id)
		return
	case j.state.Final(): // the removal of an outcome is tried again by a later sweep
		t.s.ended = t.s.ended.Set(x.id, struct{}{})
		return
	case x.final == job.Cancelled:
		t.answer(port.ErrUnavailable, x.cancels)
		if j.outcome == job.Cancelled && len(j.cancels) == 0 {
			j.outcome = job.Queued
		}
		if j.complete() {
			j.outcome = job.Completed
		}
	default:
		j.cancels = slices.Concat(x.cancels, j.cancels)
	}
	if j.dirty != 0 {
		t.s.changed = t.s.changed.Delete(j.dirty)
	}
	j.dirty = x.gen // the earlier generation keeps the ends that depend on it unacknowledged
	t.s.changed = t.s.changed.Set(x.gen, x.id)
	t.s = t.s.withJob(j)
	t.s = t.s.withAllRanks(x.id)
}

// stored takes note that what a write held of a job is stored.
func (t *turn) stored(x flightJob) {
	j, ok := t.s.jobs.Get(x.id)
	if !ok {
		return
	}
	if j.state.Final() {
		t.s.jobs = t.s.jobs.Delete(x.id)
		return
	}
	t.answer(nil, j.submits)
	t.answer(late(x.final), x.cancels)
	j.submits = nil
	first := !j.stored
	j.stored = true
	if x.final.Final() {
		t.emit(note(slog.LevelInfo, "job.ended", "job", string(x.id), "queue", j.sub.Queue, "state", x.final.String(),
			"after", t.s.unix-j.accepted, "late", t.s.now > j.objective && x.final == job.Completed))
		t.close(j, x.final)
		return
	}
	t.s = t.s.withJob(j)
	if first {
		t.emit(note(slog.LevelInfo, "job.accepted", "job", string(x.id), "queue", j.sub.Queue, "steps", len(j.sub.Steps), "objective", j.objective-t.s.now))
		if j.sub.Repeat > 0 {
			t.s.timed = t.s.timed.Set(x.id, 0)
			t.dueOccurrences()
		}
	}
	t.s = t.s.withAllRanks(x.id)
}

// close keeps only the outcome of a job and stops what still runs of it.
func (t *turn) close(j jobState, final job.State) {
	id := j.sub.ID
	j.outcome = final
	t.s = t.s.withJob(j)
	t.s = t.s.withAllRanks(id) // takes its works from the ready ones
	t.stopJob(id)
	t.answer(late(final), j.cancels)
	if j.dirty != 0 {
		t.s.changed = t.s.changed.Delete(j.dirty)
	}
	t.s.timed = t.s.timed.Delete(id)
	t.s.ended = t.s.ended.Set(id, struct{}{})
	t.s = t.s.withJob(jobState{
		sub: job.Submission{ID: id, Queue: j.sub.Queue}, queue: j.queue, accepted: j.accepted, ended: t.s.unix,
		state: final, outcome: final, stored: true, begun: true, digest: j.digest,
	})
}

// acknowledge lets executors forget the ends whose effects are stored.
func (t *turn) acknowledge() {
	stored := t.s.gen
	if first := t.s.changed.Iterator(); !first.Done() {
		gen, _, _ := first.Next()
		stored = gen - 1
	}
	t.s.each(func(e executorState) {
		advanced := false
		for len(e.marks) > 0 && e.marks[0].generation <= stored {
			e.ack, advanced = e.marks[0].number, true
			e.marks = e.marks[1:]
		}
		if !advanced {
			return
		}
		if e.holding {
			t.s = t.s.withExecutor(e)
			return
		}
		t.hold(e, t.s.holdWait(), 0, false)
	})
}
