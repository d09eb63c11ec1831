package dispatch

import (
	"time"

	"teaselloft/internal/model/message"
)

// Bounds of the RetryAfter hint of a refusal.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

const reasonDeadline = message.ReasonDeadline

func newRefusal(reason message.Reason, wait time.Duration) message.Refusal {
	return message.Refusal{Reason: reason, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

func (s State) deny(to string, id message.ID, r message.Refusal) Effect {
	return SendFrame{To: to, Frame: message.Deny{ID: id, Service: s.service.Name, Epoch: s.epoch, Refusal: r}}
}

func (s State) denyDuplicate(to string, id message.ID, holder string) Effect {
	return SendFrame{To: to, Frame: message.Deny{
		ID:      id,
		Service: s.service.Name,
		Epoch:   s.epoch,
		Refusal: message.Refusal{Reason: message.ReasonDuplicate},
		Holder:  holder,
	}}
}

func (s State) onGrantRequest(m GrantRequest) (State, []Effect) {
	id := m.Request.ID
	if s.phase == idle {
		return s, []Effect{s.deny(m.From, id, newRefusal(message.ReasonNoOwner, 0))}
	}
	if _, ok := s.queue.tickets.Get(id); ok {
		return s, nil // repeated request: the answer to the first one is still to come
	}
	if g, ok := s.grants.byID.Get(id); ok {
		return s.onGrantedRequest(m, g)
	}
	if !m.Request.Deadline.After(s.now) {
		return s, []Effect{s.deny(m.From, id, newRefusal(reasonDeadline, 0))}
	}
	t := s.newTicket(m)
	if t.hash != "" {
		return s.admitNonIdempotent(t)
	}
	return s.admit(t)
}

// onGrantedRequest answers a repeated request that already has a grant.
//
// A grant that is known only from a member's report (epoch 0) is not sent again, nor is one of an executor that the
// request excludes.
func (s State) onGrantedRequest(m GrantRequest, g grant) (State, []Effect) {
	unusable := g.epoch == 0
	for _, id := range m.Exclude {
		unusable = unusable || id == g.target.ID
	}
	if !unusable && !s.mayGrant() {
		return s, []Effect{s.deny(m.From, m.Request.ID, newRefusal(message.ReasonNoOwner, 0))}
	}
	if !unusable {
		// The frame was lost when the link broke, so it is sent again; the entry instance uses one grant for each ID.
		// The grant gets a new sequence, since the answer to a GatherGrants that is in flight cannot list it.
		s = s.withSequence()
		s.grants = s.grants.Without(g)
		g.sequence = s.sequence
		s.grants = s.grants.With(g)
		return s, []Effect{SendFrame{To: m.From, Frame: g.frame(s.service.Name)}}
	}
	if g.hash != "" {
		return s, []Effect{s.denyDuplicate(m.From, m.Request.ID, g.entry)}
	}
	// The request failed on that executor and its release was lost.
	return s.withoutGrant(g).onGrantRequest(m)
}

func (s State) newTicket(m GrantRequest) ticket {
	s = s.withSequence()
	kind := m.Request.Kind()
	t := ticket{
		request:  m.Request,
		entry:    m.From,
		exclude:  m.Exclude,
		queuedAt: s.now,
		class:    s.queueClass(m.Request),
		size:     s.runTimes.Size(kind, s.options.LongFactor),
		work:     s.runTimes.ExpectedWork(kind),
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

// queueClass returns the class in which a request is queued.
//
// If a caller has as many requests of the class queued as the service has slots,
// its further requests are queued after those of all classes, but urgent ones as
// normal, so that its burst does not delay other callers' requests of any class.
func (s State) queueClass(r message.Request) message.Class {
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

// admit queues a ticket unless it exceeds a limit of the queue.
func (s State) admit(t ticket) (State, []Effect) {
	if r, refused := s.checkLimits(t); refused {
		return s, []Effect{s.deny(t.entry, t.request.ID, r)}
	}
	return s.withTicket(t), nil
}

func (s State) withTicket(t ticket) State {
	s = s.withSequence()
	t.sequence = s.sequence
	s.queue = s.queue.With(t)
	return s
}

// checkLimits returns a refusal if the queue is full, the caller has too many requests in it or the expected wait
// exceeds the deadline.
func (s State) checkLimits(t ticket) (message.Refusal, bool) {
	wait := s.expectedWait(t)
	length := s.queue.Len()
	if length >= s.options.QueueLimit {
		return newRefusal(message.ReasonOverload, wait), true
	}
	// A caller may have at most as many requests queued as there are free places in the queue, so that others always
	// find a place.
	own, _ := s.queue.callers.Get(t.request.Caller)
	if own.total() >= min(s.options.CallerQueueLimit, s.options.QueueLimit-length) {
		return newRefusal(message.ReasonFairShare, wait), true
	}
	if s.now.Add(wait).After(t.request.Deadline) {
		return newRefusal(reasonDeadline, wait), true
	}
	return message.Refusal{}, false
}

// expectedWait returns the wait of a new ticket that the learned run times predict.
func (s State) expectedWait(t ticket) time.Duration {
	c := s.capacity()
	if c.total == 0 {
		return 0
	}
	return s.queue.WorkAhead(t) / time.Duration(c.total)
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

// withoutTicket returns a copy without a ticket that was not granted.
func (s State) withoutTicket(t ticket) State {
	s.queue = s.queue.Without(t)
	return s.withUnused(t.hash, t.request.ID)
}

// release frees a slot and records the outcome and the run time.
func (s State) release(m Release) State {
	r := m.Release
	g, ok := s.grants.byID.Get(r.ID)
	if !ok || g.entry != m.From || g.target.ID != r.Executor {
		return s
	}
	s = s.withoutGrant(g)
	if i := s.executorIndex(r.Executor); i >= 0 {
		s = s.withExecutor(i, s.executors[i].WithOutcome(r.Outcome, s.now, s.options, s.mayEject()))
	}
	// A run that ended at its deadline counts too, or the run times of kinds that always exceed it would stay unknown.
	if r.Outcome != message.NotRun && r.RunTime > 0 && g.kind != "" {
		s.runTimes = s.runTimes.With(g.kind, r.RunTime)
	}
	if r.Outcome == message.NotRun {
		return s.withUnused(g.hash, g.id)
	}
	return s.withEnded(g)
}

// withGrant returns a copy with the grant and its slot in use.
func (s State) withGrant(g grant) State {
	s.grants = s.grants.With(g)
	if i := s.executorIndex(g.target.ID); i >= 0 {
		s = s.withExecutor(i, s.executors[i].WithGrant(g.size))
	}
	return s
}

// withoutGrant returns a copy without the grant and with its slot free.
func (s State) withoutGrant(g grant) State {
	s.grants = s.grants.Without(g)
	if i := s.executorIndex(g.target.ID); i >= 0 {
		s = s.withExecutor(i, s.executors[i].WithRelease(g.size))
	}
	return s
}
