package forward

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"teaselloft/internal/core/copymap"

	"teaselloft/internal/model/message"
)

// Retry budget: each request earns a tenth of a retry, so that attempts stay within 1.1 times the requests.
const (
	retryShare = 0.1
	retryBurst = 10.0
)

// noOwnerRetry is the Retry-After of requests refused because no owner is known; a takeover takes less than 3 s.
const noOwnerRetry = 3 * time.Second

// outageRetry is the Retry-After of non-idempotent requests during an outage of the platform.
const outageRetry = 5 * time.Second

// Step returns the state after a message and the effects to carry out.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Arrive:
		return s.arrive(m)
	case Granted:
		return s.grantedBy(m)
	case Denied:
		return s.denied(m)
	case Finished:
		return s.finished(m)
	case Abandoned:
		return s.abandoned(m)
	case Owner:
		return s.ownerChanged(m)
	case Linked:
		return s.linked(m)
	case Gathered:
		return s.gathered(m)
	case Fetched:
		return s.fetched(m)
	case Stored:
		return s.stored(m)
	case Static:
		return s.staticChanged(m)
	case Tick:
		return s.tick(m)
	default:
		panic(fmt.Sprintf("forward: unknown message %T", m))
	}
}

// arrive asks the owner for a grant, after answering a key that this entry instance has seen.
func (s State) arrive(m Arrive) (State, []Effect) {
	s.budget = min(s.budget+retryShare, retryBurst)
	r := m.Request
	q := request{request: r, correction: m.Correction, config: m.Config}
	if r.Idempotent {
		return s.ask(q, m.Now)
	}
	s.keys = s.keys.WithoutOld(m.Now)
	key := keyOf(r)
	if a, ok := s.keys.Answer(key); ok {
		return s, []Effect{Verdict{ID: r.ID, Verdict: message.Replay{Answer: a, Config: m.Config}, Last: true}}
	}
	if s.keys.Has(key) {
		return s, []Effect{q.refuse(message.Refusal{
			Reason: message.ReasonDuplicate,
			Detail: "an earlier request with this idempotency key may have run or still runs",
		})}
	}
	if s.keys.Full() {
		return s, []Effect{q.refuse(message.Refusal{Reason: message.ReasonOverload, RetryAfter: time.Minute})}
	}
	s.keys = s.keys.WithKey(key, r.ID, m.Now)
	return s.ask(q, m.Now)
}

// keyOf scopes an idempotency key to its service.
func keyOf(r message.Request) string {
	return r.Service + "\x00" + r.Key
}

// ask sends an Ask to the owner, uses a static slot, or waits for an owner.
func (s State) ask(q request, now time.Time) (State, []Effect) {
	t, ok := s.owners[q.request.Service]
	if ok && t.reachable {
		q.phase = asked
		q.asked = t.owner.Entry
		q.epoch = t.owner.Epoch
		return s.withRequest(q), []Effect{s.askFrame(q, now)}
	}
	if slot, ok := s.freeSlot(q); ok {
		return s.send(q, slot, 0, true)
	}
	if len(s.static[q.request.Service]) > 0 && !q.request.Idempotent {
		return s.refuse(q, message.Refusal{
			Reason:     message.ReasonNoClaim,
			Detail:     "the platform, which records non-idempotent requests, does not answer",
			RetryAfter: outageRetry,
		})
	}
	if ok && t.cutOff(now) {
		return s.refuse(q, message.Refusal{
			Reason:     message.ReasonNoOwner,
			Detail:     "the link to the owner of the service is broken",
			RetryAfter: time.Second,
		})
	}
	if q.phase != waiting || s.waiting < MaxWaiting {
		q.phase = waiting
		q.asked = ""
		return s.withRequest(q), nil
	}
	return s.refuse(q, message.Refusal{
		Reason:     message.ReasonNoOwner,
		Detail:     "too many requests wait for an owner of the service",
		RetryAfter: noOwnerRetry,
	})
}

func (s State) askFrame(q request, now time.Time) Frame {
	return Frame{To: q.asked, Frame: message.GrantRequest{
		Request: q.request,
		Left:    q.request.Deadline.Sub(now),
		Exclude: q.exclude,
	}}
}

// send lets the caller link send the request to an executor.
func (s State) send(q request, to message.Executor, epoch uint64, static bool) (State, []Effect) {
	q.phase = granted
	q.executor = to.ID
	q.epoch = epoch
	q.static = static
	return s.withRequest(q), []Effect{Verdict{ID: q.request.ID, Verdict: message.Send{
		Executor:   to,
		Service:    q.request.Service,
		Correction: q.correction,
		Config:     q.config,
		Owner:      q.asked,
		Epoch:      epoch,
	}}}
}

// refuse ends a request that was not sent.
func (s State) refuse(q request, r message.Refusal) (State, []Effect) {
	s = s.withoutRequest(q.request.ID)
	if !q.request.Idempotent {
		s.keys = s.keys.WithoutKey(keyOf(q.request), q.request.ID)
	}
	return s, []Effect{q.refuse(r)}
}

func (q request) refuse(r message.Refusal) Verdict {
	return Verdict{
		ID:      q.request.ID,
		Verdict: message.Refuse{Refusal: r, Config: q.config, Owner: q.asked},
		Last:    true,
	}
}

// grantedBy sends the request, or returns a grant that came too late.
func (s State) grantedBy(m Granted) (State, []Effect) {
	g := m.Grant
	if g.Epoch < s.floors[g.Service] {
		// The next owner has already gathered this entry instance's grants without this one.
		return s, nil
	}
	q, ok := s.request(g.ID)
	if ok && q.phase == granted && q.epoch == g.Epoch && q.executor == g.Executor.ID && !q.static {
		return s, nil
	}
	if !ok || (q.phase != asked && q.phase != waiting) {
		return s, []Effect{Frame{To: m.From, Frame: message.Release{
			ID: g.ID, Service: g.Service, Epoch: g.Epoch, Executor: g.Executor.ID, Outcome: message.NotRun,
		}}}
	}
	q.asked = m.From
	return s.send(q, g.Executor, g.Epoch, false)
}

// denied refuses the request, waits for another owner, or fetches the answer of a duplicate.
func (s State) denied(m Denied) (State, []Effect) {
	q, ok := s.request(m.Deny.ID)
	if !ok || q.phase != asked || m.Deny.Epoch < q.epoch {
		return s, nil
	}
	switch m.Deny.Refusal.Reason {
	case message.ReasonNoOwner:
		s = s.withUnreachable(q.request.Service, m.Deny.Epoch, m.Now)
		return s.ask(q, m.Now)
	case message.ReasonDuplicate:
		if m.Deny.Holder == "" || m.Deny.Holder == s.self {
			return s.refuse(q, m.Deny.Refusal)
		}
		q.phase = fetching
		q.holder = m.Deny.Holder
		q.fetched = m.Now
		q.refusal = m.Deny.Refusal
		return s.withRequest(q), []Effect{Frame{To: m.Deny.Holder, Frame: message.FetchAnswer{
			ID: q.request.ID, Service: q.request.Service, Key: q.request.Key,
		}}}
	default:
		return s.refuse(q, m.Deny.Refusal)
	}
}

// withUnreachable pauses asking an owner whose epoch has ended or not yet begun.
func (s State) withUnreachable(service string, epoch uint64, now time.Time) State {
	t, ok := s.owners[service]
	if !ok || t.owner.Epoch > epoch {
		return s
	}
	t.reachable = false
	t.retry = now.Add(linkRetry)
	s.owners = copymap.With(s.owners, service, t)
	return s
}

// finished returns the grant and retries if the outcome, the deadline and the retry budget allow it.
func (s State) finished(m Finished) (State, []Effect) {
	q, ok := s.request(m.Finish.ID)
	if !ok || q.phase != granted {
		return s, nil
	}
	effects := s.release(q, m.Finish.Outcome, m.Finish.RunTime)
	if !q.request.Idempotent && m.Finish.Outcome == message.Answered {
		s.keys = s.keys.WithAnswer(keyOf(q.request), m.Finish.Answer)
	}
	if !m.Finish.Retry {
		s = s.withoutRequest(q.request.ID)
		return s.refill(q.request.Service, m.Now, effects)
	}
	mayRetry := q.request.Idempotent || m.Finish.Outcome == message.NotRun
	if !mayRetry || s.budget < 1 || !m.Now.Before(q.request.Deadline) {
		s = s.withoutRequest(q.request.ID)
		if !q.request.Idempotent && m.Finish.Outcome == message.NotRun {
			s.keys = s.keys.WithoutKey(keyOf(q.request), q.request.ID)
		}
		effects = append(effects, Verdict{ID: q.request.ID, Verdict: message.NoRetry{}, Last: true})
		return s.refill(q.request.Service, m.Now, effects)
	}
	s.budget--
	q.exclude = append(slices.Clone(q.exclude), q.executor)
	q.phase = waiting
	s = s.withRequest(q)
	s, more := s.ask(q, m.Now)
	return s.refill(q.request.Service, m.Now, append(effects, more...))
}

// release returns a grant to the service's present owner.
func (s State) release(q request, o message.Outcome, runTime time.Duration) []Effect {
	if q.static {
		return nil
	}
	to := q.asked
	if t, ok := s.owners[q.request.Service]; ok && t.owner.Epoch >= q.epoch && t.owner.Entry != "" {
		to = t.owner.Entry
	}
	return []Effect{Frame{To: to, Frame: message.Release{
		ID: q.request.ID, Service: q.request.Service, Epoch: q.epoch,
		Executor: q.executor, Outcome: o, RunTime: runTime,
	}}}
}

// abandoned takes a request back that the caller link has not sent.
func (s State) abandoned(m Abandoned) (State, []Effect) {
	q, ok := s.request(m.ID)
	if !ok {
		return s, nil
	}
	s = s.withoutRequest(m.ID)
	if !q.request.Idempotent {
		s.keys = s.keys.WithoutKey(keyOf(q.request), m.ID)
	}
	switch q.phase {
	case asked:
		return s, []Effect{Frame{To: q.asked, Frame: message.Withdraw{ID: m.ID, Service: q.request.Service}}}
	case granted:
		return s.refill(q.request.Service, m.Now, s.release(q, message.NotRun, 0))
	case waiting, fetching:
		return s, nil
	default:
		panic(fmt.Sprintf("forward: unknown phase %d", q.phase))
	}
}

func sortByArrival(requests []request) {
	slices.SortFunc(requests, func(a, b request) int {
		return cmp.Compare(a.request.ID.Sequence, b.request.ID.Sequence)
	})
}
