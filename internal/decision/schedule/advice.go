package schedule

import (
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/model/job"
)

// Limits of the calls for advice.
const (
	adviceRetry   = 500 * time.Millisecond // between two calls for one work
	adviceWorkers = 12                     // executors named in a call: each lengthens it
	ticketMargin  = 150 * time.Millisecond // a ticket this close to its end may arrive too late
)

// granted returns the executors that may run a work with their tickets; ok is false while advice is missing.
func (t *turn) granted(j jobState, index int, hosts []*host) (by map[string]string, ok bool) {
	if j.queue.Advice == nil {
		return nil, true
	}
	k := j.tickets[index]
	if t.s.now < k.until-ticketMargin {
		return k.by, true
	}
	if k.asked == 0 || t.s.now-k.asked > adviceRetry {
		t.ask(j, index, hosts)
	}
	t.s.mustPump = true
	return nil, false
}

func (t *turn) ask(j jobState, index int, hosts []*host) {
	w := j.works[index]
	var names []string
	for _, h := range hosts {
		if l := j.sub.Steps[w.step].Label; l == "" || slices.Contains(h.e.info.Labels, l) {
			names = append(names, h.e.info.ID)
		}
	}
	if len(names) == 0 {
		return
	}
	first := int(t.s.now.Milliseconds()) % len(names) // later calls name other executors
	names = slices.Concat(names[first:], names[:first])
	names = names[:min(len(names), adviceWorkers)]
	j = j.withTickets(index, tickets{asked: t.s.now, until: j.tickets[index].until, by: j.tickets[index].by})
	t.s = t.s.withJob(j)
	t.emit(Advise{Step: job.Task{Job: j.sub.ID, Occurrence: w.occurrence, Step: w.step}, Executors: names})
}

func (j jobState) withTickets(index int, k tickets) jobState {
	all := make(map[int]tickets, len(j.tickets)+1)
	for i, x := range j.tickets {
		all[i] = x
	}
	all[index] = k
	j.tickets = all
	return j
}

func (t *turn) advised(m Advised) {
	j, _, ok := t.task(m.Step)
	if !ok {
		return
	}
	if m.Err != nil {
		t.emit(note(slog.LevelWarn, "advice.failed", "job", string(j.sub.ID), "step", m.Step.Step, "error", m.Err))
		return
	}
	index, _ := j.find(m.Step)
	by := make(map[string]string, len(m.Grants))
	for _, g := range m.Grants {
		by[g.Executor] = g.Ticket
	}
	k := tickets{asked: m.Now, until: m.Now + m.Valid, by: by}
	if len(by) == 0 {
		k.until = 0 // none of those named may run it: the next call names others
	}
	t.s = t.s.withJob(j.withTickets(index, k))
	t.s.mustPump = true
}

// dropTicket forgets a ticket that an executor did not accept.
func (t *turn) dropTicket(task job.Task, executor string) {
	j, _, ok := t.task(task)
	if !ok {
		return
	}
	index, _ := j.find(task)
	k := j.tickets[index]
	by := make(map[string]string, len(k.by))
	for id, ticket := range k.by {
		if id != executor {
			by[id] = ticket
		}
	}
	k.by = by
	if len(by) == 0 {
		k.until = 0
	}
	t.s = t.s.withJob(j.withTickets(index, k))
}
