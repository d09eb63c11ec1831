package forward

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"teaselloft/internal/core/copymap"

	"teaselloft/internal/model/message"
)

// Each request adds a tenth of a retry to the budget, which limits the attempts to 1.1 times the requests plus the
// burst.
const (
	retryRatio = 0.1
	retryBurst = 10.0
)

// noOwnerRetryAfter is the Retry-After of requests refused because there is no owner. A takeover takes less than 3 s.
const noOwnerRetryAfter = 3 * time.Second

// outageRetryAfter is the Retry-After of non-idempotent requests refused during an outage of the platform.
const outageRetryAfter = 5 * time.Second

// Step returns the state after a message and the effects to carry out in order.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case RequestArrived:
		return s.onRequest(m)
	case GrantReceived:
		return s.onGrant(m)
	case DenyReceived:
		return s.onDeny(m)
	case SendFinished:
		return s.onSendFinished(m)
	case RequestCanceled:
		return s.onRequestCanceled(m)
	case OwnerChanged:
		return s.onOwnerChanged(m)
	case LinkChanged:
		return s.onLinkChanged(m)
	case GatherReceived:
		return s.onGather(m)
	case FetchReceived:
		return s.onFetch(m)
	case AnswerReceived:
		return s.onAnswer(m)
	case StaticShareChanged:
		return s.onStaticShareChanged(m)
	case Tick:
		return s.onTick(m)
	default:
		panic(fmt.Sprintf("forward: unknown message %T", m))
	}
}

// onRequest requests a grant. A non-idempotent request with a known key gets the stored answer or is refused.
func (s State) onRequest(m RequestArrived) (State, []Effect) {
	s.retryBudget = min(s.retryBudget+retryRatio, retryBurst)
	r := m.Request
	q := request{request: r, correction: m.Correction, config: m.Config}
	if r.Idempotent {
		return s.requestGrant(q, m.Now)
	}
	s.keys = s.keys.WithoutExpired(m.Now)
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
	return s.requestGrant(q, m.Now)
}

// keyOf returns the idempotency key of a request, scoped to its service.
func keyOf(r message.Request) string {
	return r.Service + "\x00" + r.Key
}

// requestGrant asks the owner for a grant, uses a static slot, waits for an owner or refuses the request.
func (s State) requestGrant(q request, now time.Time) (State, []Effect) {
	t, ok := s.owners[q.request.Service]
	if ok && t.reachable {
		q.phase = asked
		q.owner = t.owner.Entry
		q.epoch = t.owner.Epoch
		return s.withRequest(q), []Effect{s.grantRequestFrame(q, now)}
	}
	if slot, ok := s.freeStaticSlot(q); ok {
		return s.send(q, slot, 0, true)
	}
	if len(s.static[q.request.Service]) > 0 && !q.request.Idempotent {
		return s.refuse(q, message.Refusal{
			Reason:     message.ReasonNoClaim,
			Detail:     "the platform, which records non-idempotent requests, does not answer",
			RetryAfter: outageRetryAfter,
		})
	}
	if ok && t.downTooLong(now) {
		return s.refuse(q, message.Refusal{
			Reason:     message.ReasonNoOwner,
			Detail:     "the link to the owner of the service is broken",
			RetryAfter: time.Second,
		})
	}
	if q.phase != waiting || s.waitingCount < MaxWaiting {
		q.phase = waiting
		q.owner = ""
		return s.withRequest(q), nil
	}
	return s.refuse(q, message.Refusal{
		Reason:     message.ReasonNoOwner,
		Detail:     "too many requests wait for an owner of the service",
		RetryAfter: noOwnerRetryAfter,
	})
}

func (s State) grantRequestFrame(q request, now time.Time) SendFrame {
	return SendFrame{To: q.owner, Frame: message.GrantRequest{
		Request: q.request,
		Left:    q.request.Deadline.Sub(now),
		Exclude: q.exclude,
	}}
}

// send has the caller link send the request to an executor.
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
		Owner:      q.owner,
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
		Verdict: message.Refuse{Refusal: r, Config: q.config, Owner: q.owner},
		Last:    true,
	}
}

// onGrant sends the request, or returns the grant if the request no longer waits for it.
func (s State) onGrant(m GrantReceived) (State, []Effect) {
	g := m.Grant
	if g.Epoch < s.gatheredEpochs[g.Service] {
		// A later owner has gathered this entry instance's grants without this one, so it must not be used.
		return s, nil
	}
	q, ok := s.request(g.ID)
	if ok && q.phase == granted && q.epoch == g.Epoch && q.executor == g.Executor.ID && !q.static {
		// This repeats the grant in use. Returning it would free the slot while the request runs.
		return s, nil
	}
	if !ok || (q.phase != asked && q.phase != waiting) {
		return s, []Effect{SendFrame{To: m.From, Frame: message.Release{
			ID: g.ID, Service: g.Service, Epoch: g.Epoch, Executor: g.Executor.ID, Outcome: message.NotRun,
		}}}
	}
	q.owner = m.From
	return s.send(q, g.Executor, g.Epoch, false)
}

// onDeny refuses the request, waits for another owner, or fetches the answer of a duplicate.
func (s State) onDeny(m DenyReceived) (State, []Effect) {
	q, ok := s.request(m.Deny.ID)
	if !ok || q.phase != asked || m.Deny.Epoch < q.epoch {
		return s, nil
	}
	switch m.Deny.Refusal.Reason {
	case message.ReasonNoOwner:
		s = s.withOwnerUnready(q.request.Service, m.Deny.Epoch, m.Now)
		return s.requestGrant(q, m.Now)
	case message.ReasonDuplicate:
		if m.Deny.Holder == "" || m.Deny.Holder == s.self {
			return s.refuse(q, m.Deny.Refusal)
		}
		q.phase = fetching
		q.holder = m.Deny.Holder
		q.fetchStarted = m.Now
		q.refusal = m.Deny.Refusal
		return s.withRequest(q), []Effect{SendFrame{To: m.Deny.Holder, Frame: message.FetchAnswer{
			ID: q.request.ID, Service: q.request.Service, Key: q.request.Key,
		}}}
	default:
		return s.refuse(q, m.Deny.Refusal)
	}
}

// withOwnerUnready returns a copy that delays grant requests to an owner whose epoch has ended or not yet begun.
func (s State) withOwnerUnready(service string, epoch uint64, now time.Time) State {
	t, ok := s.owners[service]
	if !ok || t.owner.Epoch > epoch {
		return s
	}
	t.reachable = false
	t.retryAt = now.Add(ownerRetryInterval)
	s.owners = copymap.With(s.owners, service, t)
	return s
}

// onSendFinished returns the grant and retries the request if the outcome, the deadline and the retry budget allow it.
func (s State) onSendFinished(m SendFinished) (State, []Effect) {
	q, ok := s.request(m.Result.ID)
	if !ok || q.phase != granted {
		return s, nil
	}
	effects := s.release(q, m.Result.Outcome, m.Result.RunTime)
	if !q.request.Idempotent && m.Result.Outcome == message.Answered {
		s.keys = s.keys.WithAnswer(keyOf(q.request), m.Result.Answer)
	}
	if !m.Result.Retry {
		s = s.withoutRequest(q.request.ID)
		return s.useStaticSlots(q.request.Service, m.Now, effects)
	}
	mayRetry := q.request.Idempotent || m.Result.Outcome == message.NotRun
	if !mayRetry || s.retryBudget < 1 || !m.Now.Before(q.request.Deadline) {
		s = s.withoutRequest(q.request.ID)
		if !q.request.Idempotent && m.Result.Outcome == message.NotRun {
			s.keys = s.keys.WithoutKey(keyOf(q.request), q.request.ID)
		}
		effects = append(effects, Verdict{ID: q.request.ID, Verdict: message.NoRetry{}, Last: true})
		return s.useStaticSlots(q.request.Service, m.Now, effects)
	}
	s.retryBudget--
	q.exclude = append(slices.Clone(q.exclude), q.executor)
	q.phase = waiting
	s = s.withRequest(q)
	s, more := s.requestGrant(q, m.Now)
	return s.useStaticSlots(q.request.Service, m.Now, append(effects, more...))
}

// release returns a grant to the owner that gave it or, if a later epoch is known, to the owner of that epoch. Slots of
// a static share need no release.
func (s State) release(q request, o message.Outcome, runTime time.Duration) []Effect {
	if q.static {
		return nil
	}
	to := q.owner
	if t, ok := s.owners[q.request.Service]; ok && t.owner.Epoch >= q.epoch && t.owner.Entry != "" {
		to = t.owner.Entry
	}
	return []Effect{SendFrame{To: to, Frame: message.Release{
		ID: q.request.ID, Service: q.request.Service, Epoch: q.epoch,
		Executor: q.executor, Outcome: o, RunTime: runTime,
	}}}
}

// onRequestCanceled withdraws a request that the caller link has not sent, or returns its grant.
func (s State) onRequestCanceled(m RequestCanceled) (State, []Effect) {
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
		return s, []Effect{SendFrame{To: q.owner, Frame: message.Withdraw{ID: m.ID, Service: q.request.Service}}}
	case granted:
		return s.useStaticSlots(q.request.Service, m.Now, s.release(q, message.NotRun, 0))
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
