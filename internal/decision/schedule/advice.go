package schedule

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"teaselloft/internal/model/job"
)

// Limits on advice requests.
const (
	adviceRetryInterval = 500 * time.Millisecond // minimum time between two requests for a task set
	maxAdviceExecutors  = 12                     // executors named in a request; each one makes the call longer
	ticketMargin        = 150 * time.Millisecond // a ticket that expires sooner may be expired when the order arrives
)

// ticketsFor returns the tickets for a task set by executor, nil if its queue needs none; ok is false while no valid
// advice is known.
func (t *transition) ticketsFor(j jobState, ts *taskSet, candidates []candidate) (byExecutor map[string]string, ok bool) {
	if j.queue.Advice == nil {
		return nil, true
	}
	a := *ts.advice
	if t.s.now < a.validUntil-ticketMargin {
		if byExecutor = t.s.presentTickets(a); len(byExecutor) > 0 {
			return byExecutor, true
		}
	}
	if a.requestedAt == 0 || t.s.now-a.requestedAt > adviceRetryInterval {
		t.requestAdvice(j, *ts, candidates)
	}
	t.s.placementDue = true
	return nil, false
}

// presentTickets returns the tickets for the present incarnations of their executors.
func (s State) presentTickets(a advice) map[string]string {
	isFormer := func(id, _ string) bool {
		e, ok := s.executors.Get(id)
		return ok && e.calledSince > a.askedAt
	}
	for id, ticket := range a.tickets {
		if isFormer(id, ticket) {
			present := maps.Clone(a.tickets)
			maps.DeleteFunc(present, isFormer)
			return present
		}
	}
	return a.tickets
}

func (t *transition) requestAdvice(j jobState, ts taskSet, candidates []candidate) {
	var ids []string
	for _, c := range candidates {
		if l := j.sub.Steps[ts.step].Label; l == "" || slices.Contains(c.executor.info.Labels, l) {
			ids = append(ids, c.executor.info.ID)
		}
	}
	if len(ids) == 0 {
		return
	}
	offset := int(t.s.now.Milliseconds()) % len(ids) // later requests include other executors
	ids = slices.Concat(ids[offset:], ids[:offset])
	ids = ids[:min(len(ids), maxAdviceExecutors)]
	a := *ts.advice
	a.requestedAt = t.s.now
	ts.advice = &a
	t.s = t.s.withJob(j.withTaskSet(ts))
	t.emit(Advise{Step: job.Task{Job: j.sub.ID, Occurrence: ts.occurrence, Step: ts.step}, Executors: ids})
}

func (t *transition) handleAdviceResult(m AdviceResult) {
	j, ok := t.s.job(m.Step.Job)
	if !ok {
		return
	}
	before := j.taskSet(m.Step.Occurrence, m.Step.Step)
	if before == nil {
		return
	}
	if m.Err != nil {
		t.emit(note(slog.LevelWarn, "advice.failed", "job", string(j.sub.ID), "step", m.Step.Step, "error", m.Err))
		return
	}
	byExecutor := make(map[string]string, len(m.Grants))
	for _, g := range m.Grants {
		byExecutor[g.Executor] = g.Ticket
	}
	a := advice{requestedAt: m.Now, askedAt: before.advice.requestedAt, validUntil: m.Now + m.ValidFor, tickets: byExecutor}
	if len(byExecutor) == 0 {
		a.validUntil = 0 // no named executor may run it, so the next request includes others
	}
	ts := *before
	ts.advice = &a
	t.s = t.s.withJob(j.withTaskSet(ts))
	t.s.placementDue = true
}

// dropTicket removes a ticket that its executor has rejected.
func (t *transition) dropTicket(task job.Task, executor string) {
	j, ok := t.s.job(task.Job)
	if !ok {
		return
	}
	before := j.taskSet(task.Occurrence, task.Step)
	if before == nil {
		return
	}
	a := *before.advice
	byExecutor := make(map[string]string, len(a.tickets))
	for id, ticket := range a.tickets {
		if id != executor {
			byExecutor[id] = ticket
		}
	}
	a.tickets = byExecutor
	if len(byExecutor) == 0 {
		a.validUntil = 0
	}
	ts := *before
	ts.advice = &a
	t.s = t.s.withJob(j.withTaskSet(ts))
}
