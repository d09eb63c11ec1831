package dispatch

import (
	"time"

	"teaselloft/internal/model/message"
)

// Bounds of the hint after which a refused request may be sent again.
const (
	retryLeast = time.Second
	retryMost  = 30 * time.Second
)

const reasonDeadline = message.ReasonDeadline

func refusal(reason message.Reason, wait time.Duration) message.Refusal {
	return message.Refusal{Reason: reason, RetryAfter: min(max(wait, retryLeast), retryMost)}
}

func (s State) deny(to string, id message.ID, r message.Refusal) Effect {
	return Reply{To: to, Frame: message.Deny{ID: id, Service: s.service.Name, Epoch: s.epoch, Refusal: r}}
}

func (s State) denyDuplicate(to string, id message.ID, holder string) Effect {
	return Reply{To: to, Frame: message.Deny{
		ID:      id,
		Service: s.service.Name,
		Epoch:   s.epoch,
		Refusal: message.Refusal{Reason: message.ReasonDuplicate},
		Holder:  holder,
	}}
}

func (s State) ask(m Ask) (State, []Effect) {
	id := m.Request.ID
	if s.phase == idle {
		return s, []Effect{s.deny(m.From, id, refusal(message.ReasonNoOwner, 0))}
	}
	if _, ok := s.queue.tickets.Get(id); ok {
		return s, nil // asked again: the one answer is still to come
	}
	if g, ok := s.grants.byID.Get(id); ok {
		return s.askGranted(m, g)
	}
	if !m.Request.Deadline.After(s.now) {
		return s, []Effect{s.deny(m.From, id, refusal(reasonDeadline, 0))}
	}
	t := s.ticket(m)
	if t.hash != "" {
		return s.askClaim(t)
	}
	return s.admit(t)
}

// askGranted answers a request that already has a grant.
func (s State) askGranted(m Ask, g grant) (State, []Effect) {
	again := g.epoch == 0
	for _, id := range m.Exclude {
		again = again || id == g.target.ID
	}
	if !again && !s.proven() {
		return s, []Effect{s.deny(m.From, m.Request.ID, refusal(message.ReasonNoOwner, 0))}
	}
	if !again {
		// The frame was lost with its link; the entry instance uses one grant for each ID. The sequence
		// is renewed, since the answer to a Gather that is on its way cannot list the grant.
		s = s.withSequence()
		s.grants = s.grants.Without(g)
		g.sequence = s.sequence
		s.grants = s.grants.With(g)
		return s, []Effect{Reply{To: m.From, Frame: g.frame(s.service.Name)}}
	}
	if g.hash != "" {
		return s, []Effect{s.denyDuplicate(m.From, m.Request.ID, g.from)}
	}
	// The entry instance failed on that executor and its release was lost.
	return s.withoutGrant(g).ask(m)
}

func (s State) ticket(m Ask) ticket {
	s = s.withSequence()
	kind := m.Request.Kind()
	t := ticket{
		request: m.Request,
		from:    m.From,
		exclude: m.Exclude,
		asked:   s.now,
		class:   s.class(m.Request),
		size:    s.known.Size(kind, s.options.LongFactor),
		work:    s.known.Work(kind),
	}
	if !m.Request.Idempotent {
		key := m.Request.Key
		if key == "" {
			key = m.Request.ID.String()
		}
		t.hash = claimHash(key)
	}
	return t
}

// class returns the class in which a request is queued.
//
// A caller that has more requests of the class queued than the service has slots
// gets the further ones queued after all others' work, urgent ones as normal, so
// that its burst keeps nobody else's work of any class waiting.
func (s State) class(r message.Request) message.Class {
	own, _ := s.queue.callers.Get(r.Caller)
	switch {
	case own[r.Class] < max(1, s.capacity().total):
		return r.Class
	case r.Class == message.Urgent:
		return message.Normal
	default:
		return excess
	}
}

// admit queues a ticket unless the queue is full or the wait is too long.
func (s State) admit(t ticket) (State, []Effect) {
	if r, refused := s.refuse(t); refused {
		return s, []Effect{s.deny(t.from, t.request.ID, r)}
	}
	return s.withTicket(t), nil
}

func (s State) withTicket(t ticket) State {
	s = s.withSequence()
	t.sequence = s.sequence
	s.queue = s.queue.With(t)
	return s
}

// refuse applies the bounds of the queue and the expected wait.
func (s State) refuse(t ticket) (message.Refusal, bool) {
	wait := s.wait(t)
	length := s.queue.Len()
	if length >= s.options.Queue {
		return refusal(message.ReasonOverload, wait), true
	}
	// A caller may fill as much as it leaves free, so that others always find room.
	own, _ := s.queue.callers.Get(t.request.Caller)
	if own.sum() >= min(s.options.CallerQueue, s.options.Queue-length) {
		return refusal(message.ReasonFairShare, wait), true
	}
	if s.now.Add(wait).After(t.request.Deadline) {
		return refusal(reasonDeadline, wait), true
	}
	return message.Refusal{}, false
}

// wait returns the learned wait of a new ticket.
func (s State) wait(t ticket) time.Duration {
	c := s.capacity()
	if c.total == 0 {
		return 0
	}
	return s.queue.Ahead(t) / time.Duration(c.total)
}

// withdraw removes a queued request or frees its unused grant.
func (s State) withdraw(m Withdraw) State {
	if t, ok := s.queue.tickets.Get(m.ID); ok {
		return s.withoutTicket(t)
	}
	if g, ok := s.grants.byID.Get(m.ID); ok {
		return s.withoutGrant(g).withUnused(g.hash, g.id)
	}
	return s
}

// withoutTicket returns a copy without a ticket that got no grant.
func (s State) withoutTicket(t ticket) State {
	s.queue = s.queue.Without(t)
	return s.withUnused(t.hash, t.request.ID)
}

// release frees a slot and learns from its use.
func (s State) release(m Release) State {
	r := m.Release
	g, ok := s.grants.byID.Get(r.ID)
	if !ok || g.from != m.From || g.target.ID != r.Executor {
		return s
	}
	s = s.withoutGrant(g)
	if i := s.executorIndex(r.Executor); i >= 0 {
		s = s.withExecutor(i, s.executors[i].WithOutcome(r.Outcome, s.now, s.options, s.mayEject()))
	}
	// A run that was cut off at its deadline counts too, else kinds that are always cut off stay unknown.
	if r.Outcome != message.NotRun && r.RunTime > 0 && g.kind != "" {
		s.known = s.known.With(g.kind, r.RunTime)
	}
	if r.Outcome == message.NotRun {
		return s.withUnused(g.hash, g.id)
	}
	return s.withEnded(g)
}

// withGrant returns a copy with the slot in use.
func (s State) withGrant(g grant) State {
	s.grants = s.grants.With(g)
	if i := s.executorIndex(g.target.ID); i >= 0 {
		s = s.withExecutor(i, s.executors[i].WithGrant(g.size))
	}
	return s
}

// withoutGrant returns a copy with the slot free.
func (s State) withoutGrant(g grant) State {
	s.grants = s.grants.Without(g)
	if i := s.executorIndex(g.target.ID); i >= 0 {
		s = s.withExecutor(i, s.executors[i].WithRelease(g.size))
	}
	return s
}
