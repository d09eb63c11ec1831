package forward

import (
	"slices"
	"time"

	"teaselloft/internal/core/copymap"

	"teaselloft/internal/model/message"
)

// ownerRetryInterval is the delay before an owner that was unreachable or not ready is asked again.
const ownerRetryInterval = 100 * time.Millisecond

// maxLinkDowntime is how long requests wait for a broken link. It exceeds the 3 s within which the service of a dead
// owner is taken over.
const maxLinkDowntime = 4 * time.Second

// fetchTimeout limits the wait for a stored answer, whose frames are lost if the link breaks.
const fetchTimeout = time.Second

// onOwnerChanged requests grants from the new owner for all requests that have none.
func (s State) onOwnerChanged(m OwnerChanged) (State, []Effect) {
	service := m.Owner.Service
	old, ok := s.owners[service]
	if ok && old.owner.Epoch > m.Owner.Epoch {
		return s, nil
	}
	t := ownerTarget{owner: m.Owner, reachable: m.Reachable && m.Owner.Entry != ""}
	if ok && old.owner.Epoch == m.Owner.Epoch && old.owner.Entry == m.Owner.Entry {
		t.downSince = old.downSince
	}
	s.owners = copymap.With(s.owners, service, t)
	return s.requestGrants(service, m.Now, func(q request) bool {
		return q.phase == waiting || q.epoch < m.Owner.Epoch || q.owner != m.Owner.Entry
	})
}

// onLinkChanged repeats grant requests that may have been lost with a link. While the link is down, the requests wait.
func (s State) onLinkChanged(m LinkChanged) (State, []Effect) {
	var effects []Effect
	for service, t := range s.owners {
		if t.owner.Entry != m.Entry {
			continue
		}
		t = t.withLink(m.Up, m.Now)
		s.owners = copymap.With(s.owners, service, t)
		var more []Effect
		s, more = s.requestGrants(service, m.Now, func(request) bool { return true })
		effects = append(effects, more...)
	}
	if m.Up {
		return s, effects
	}
	return s.failFetches(effects, func(q request) bool { return q.holder == m.Entry })
}

// withLink returns a copy whose link came up or went down.
func (t ownerTarget) withLink(up bool, now time.Time) ownerTarget {
	t.reachable = up
	t.retryAt = time.Time{}
	if up {
		t.downSince = time.Time{}
		return t
	}
	t.retryAt = now.Add(ownerRetryInterval)
	if t.downSince.IsZero() {
		t.downSince = now
	}
	return t
}

// downTooLong reports whether a live owner has been unreachable for so long that requests are refused, so that
// callers try another entry instance.
func (t ownerTarget) downTooLong(now time.Time) bool {
	return !t.downSince.IsZero() && now.Sub(t.downSince) >= maxLinkDowntime
}

// onTick asks owners that were unreachable or not ready again, and ends overdue fetches. Sending a frame to an
// unreachable owner makes the entry link dial it.
func (s State) onTick(m Tick) (State, []Effect) {
	var effects []Effect
	for service, t := range s.owners {
		if t.retryAt.IsZero() || m.Now.Before(t.retryAt) {
			continue
		}
		t.reachable = true
		t.retryAt = time.Time{}
		s.owners = copymap.With(s.owners, service, t)
		var more []Effect
		s, more = s.requestGrants(service, m.Now, func(q request) bool { return q.phase == waiting })
		effects = append(effects, more...)
	}
	return s.failFetches(effects, func(q request) bool { return m.Now.Sub(q.fetchStarted) >= fetchTimeout })
}

// NextWake returns when Tick is due, zero for never.
func (s State) NextWake() time.Time {
	var wake time.Time
	if s.fetchingCount > 0 {
		for it := s.requests.Iterator(); !it.Done(); {
			_, q, _ := it.Next()
			if due := q.fetchStarted.Add(fetchTimeout); q.phase == fetching && (wake.IsZero() || due.Before(wake)) {
				wake = due
			}
		}
	}
	for _, t := range s.owners {
		if !t.retryAt.IsZero() && (wake.IsZero() || t.retryAt.Before(wake)) {
			wake = t.retryAt
		}
	}
	return wake
}

// requestGrants requests grants for the matching requests of a service that have none.
func (s State) requestGrants(service string, now time.Time, match func(request) bool) (State, []Effect) {
	var effects []Effect
	for _, q := range s.requestsOf(service) {
		if q.phase != waiting && q.phase != asked || !match(q) {
			continue
		}
		var more []Effect
		s, more = s.requestGrant(q, now)
		effects = append(effects, more...)
	}
	return s, effects
}

// failFetches refuses the matching duplicates that wait for a stored answer.
func (s State) failFetches(effects []Effect, match func(request) bool) (State, []Effect) {
	if s.fetchingCount == 0 {
		return s, effects
	}
	for it := s.requests.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		if q.phase != fetching || !match(q) {
			continue
		}
		var more []Effect
		s, more = s.refuse(q, q.refusal)
		effects = append(effects, more...)
	}
	return s, effects
}

// onGather reports the grants in flight to the owner and rejects grants of lower epochs from now on.
func (s State) onGather(m GatherReceived) (State, []Effect) {
	g := m.Gather
	if g.Epoch < s.gatheredEpochs[g.Service] {
		return s, nil
	}
	s.gatheredEpochs = copymap.With(s.gatheredEpochs, g.Service, g.Epoch)
	s.static = copymap.With(s.static, g.Service, nil)
	report := SendFrame{To: m.From, Frame: message.HeldGrants{
		Service:  g.Service,
		Epoch:    g.Epoch,
		Sequence: g.Sequence,
		Grants:   append(s.grantsInFlight(g.Service, m.Now), m.OtherGrants...),
	}}
	// The owner drops grants that are not in the report, so the grant requests without an answer are repeated.
	s, requests := s.requestGrants(g.Service, m.Now, func(q request) bool {
		return q.phase == asked && q.owner == m.From
	})
	return s, append([]Effect{report}, requests...)
}

func (s State) onFetch(m FetchReceived) (State, []Effect) {
	a, ok := s.keys.Answer(m.Fetch.Service + "\x00" + m.Fetch.Key)
	return s, []Effect{SendFrame{To: m.From, Frame: message.StoredAnswer{ID: m.Fetch.ID, Found: ok, Answer: a}}}
}

func (s State) onAnswer(m AnswerReceived) (State, []Effect) {
	q, ok := s.request(m.Answer.ID)
	if !ok || q.phase != fetching {
		return s, nil
	}
	if !m.Answer.Found {
		return s.refuse(q, q.refusal)
	}
	s = s.withoutRequest(m.Answer.ID)
	// The request was not sent from here, and the holder keeps the key and its answer.
	s.keys = s.keys.WithoutKey(keyOf(q.request), q.request.ID)
	return s, []Effect{Verdict{
		ID:      q.request.ID,
		Verdict: message.Replay{Answer: m.Answer.Answer, Config: q.config},
		Last:    true,
	}}
}

// onStaticShareChanged sets the usable static slots and uses them for waiting requests.
func (s State) onStaticShareChanged(m StaticShareChanged) (State, []Effect) {
	s.static = copymap.With(s.static, m.Service, m.Slots)
	return s.useStaticSlots(m.Service, m.Now, nil)
}

// useStaticSlots sends waiting requests of a service to free static slots and refuses the non-idempotent ones.
func (s State) useStaticSlots(service string, now time.Time, effects []Effect) (State, []Effect) {
	if len(s.static[service]) == 0 {
		return s, effects
	}
	s, more := s.requestGrants(service, now, func(q request) bool {
		return q.phase == waiting
	})
	return s, append(effects, more...)
}

// freeStaticSlot returns the executor that has a free static slot for an idempotent request and the fewest slots in
// use.
func (s State) freeStaticSlot(q request) (message.Executor, bool) {
	slots := s.static[q.request.Service]
	if len(slots) == 0 || !q.request.Idempotent {
		return message.Executor{}, false
	}
	used := s.InFlight()
	best := -1
	for i, slot := range slots {
		free := slot.Count - used[slot.Executor.ID]
		if free <= 0 || slices.Contains(q.exclude, slot.Executor.ID) {
			continue
		}
		if best < 0 || used[slot.Executor.ID] < used[slots[best].Executor.ID] {
			best = i
		}
	}
	if best < 0 {
		return message.Executor{}, false
	}
	return slots[best].Executor, true
}
