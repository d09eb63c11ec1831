package forward

import (
	"slices"
	"time"

	"teaselloft/internal/core/copymap"

	"teaselloft/internal/model/message"
)

// linkRetry is the pause before an owner that could not be reached or was not ready is asked again.
const linkRetry = 100 * time.Millisecond

// linkLimit is how long requests wait for a broken link; a dead owner's service is taken over within 3 s.
const linkLimit = 4 * time.Second

// fetchLimit bounds the wait for a stored answer, since the frames can be lost with their link.
const fetchLimit = time.Second

// ownerChanged asks the new owner for every request that has no grant yet.
func (s State) ownerChanged(m Owner) (State, []Effect) {
	service := m.Owner.Service
	old, ok := s.owners[service]
	if ok && old.owner.Epoch > m.Owner.Epoch {
		return s, nil
	}
	t := target{owner: m.Owner, reachable: m.Reachable && m.Owner.Entry != ""}
	if ok && old.owner.Epoch == m.Owner.Epoch && old.owner.Entry == m.Owner.Entry {
		t.down = old.down
	}
	s.owners = copymap.With(s.owners, service, t)
	return s.askAgain(service, m.Now, func(q request) bool {
		return q.phase == waiting || q.epoch < m.Owner.Epoch || q.asked != m.Owner.Entry
	})
}

// linked asks again what may have been lost with a link, and stops asking an owner that cannot be reached.
func (s State) linked(m Linked) (State, []Effect) {
	var effects []Effect
	for service, t := range s.owners {
		if t.owner.Entry != m.Entry {
			continue
		}
		t = t.withLink(m.Up, m.Now)
		s.owners = copymap.With(s.owners, service, t)
		var more []Effect
		s, more = s.askAgain(service, m.Now, func(request) bool { return true })
		effects = append(effects, more...)
	}
	if m.Up {
		return s, effects
	}
	return s.giveUpFetches(effects, func(q request) bool { return q.holder == m.Entry })
}

// withLink returns a copy whose link came up or went down.
func (t target) withLink(up bool, now time.Time) target {
	t.reachable = up
	t.retry = time.Time{}
	if up {
		t.down = time.Time{}
		return t
	}
	t.retry = now.Add(linkRetry)
	if t.down.IsZero() {
		t.down = now
	}
	return t
}

// cutOff says whether the owner lives but has been out of reach for so long that callers had better try elsewhere.
func (t target) cutOff(now time.Time) bool {
	return !t.down.IsZero() && now.Sub(t.down) >= linkLimit
}

// tick asks the owners behind broken links again, which makes the link dial.
func (s State) tick(m Tick) (State, []Effect) {
	var effects []Effect
	for service, t := range s.owners {
		if t.retry.IsZero() || m.Now.Before(t.retry) {
			continue
		}
		t.reachable = true
		t.retry = time.Time{}
		s.owners = copymap.With(s.owners, service, t)
		var more []Effect
		s, more = s.askAgain(service, m.Now, func(q request) bool { return q.phase == waiting })
		effects = append(effects, more...)
	}
	return s.giveUpFetches(effects, func(q request) bool { return m.Now.Sub(q.fetched) >= fetchLimit })
}

// NextWake returns when Tick is due, zero for never.
func (s State) NextWake() time.Time {
	var wake time.Time
	if s.fetches > 0 {
		for it := s.requests.Iterator(); !it.Done(); {
			_, q, _ := it.Next()
			if due := q.fetched.Add(fetchLimit); q.phase == fetching && (wake.IsZero() || due.Before(wake)) {
				wake = due
			}
		}
	}
	for _, t := range s.owners {
		if !t.retry.IsZero() && (wake.IsZero() || t.retry.Before(wake)) {
			wake = t.retry
		}
	}
	return wake
}

// askAgain asks for the requests of a service that have no grant and that match.
func (s State) askAgain(service string, now time.Time, match func(request) bool) (State, []Effect) {
	var effects []Effect
	for _, q := range s.ofService(service) {
		if q.phase != waiting && q.phase != asked || !match(q) {
			continue
		}
		var more []Effect
		s, more = s.ask(q, now)
		effects = append(effects, more...)
	}
	return s, effects
}

// giveUpFetches refuses the duplicates whose answer will not come.
func (s State) giveUpFetches(effects []Effect, match func(request) bool) (State, []Effect) {
	if s.fetches == 0 {
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

// gathered reports the grants in flight; grants of lower epochs are refused from now on.
func (s State) gathered(m Gathered) (State, []Effect) {
	g := m.Gather
	if g.Epoch < s.floors[g.Service] {
		return s, nil
	}
	s.floors = copymap.With(s.floors, g.Service, g.Epoch)
	s.static = copymap.With(s.static, g.Service, nil)
	report := Frame{To: m.From, Frame: message.HeldGrants{
		Service:  g.Service,
		Epoch:    g.Epoch,
		Sequence: g.Sequence,
		Grants:   append(s.held(g.Service, m.Now), m.Others...),
	}}
	// The owner drops grants that are not in the report, so their requests ask again.
	s, asks := s.askAgain(g.Service, m.Now, func(q request) bool {
		return q.phase == asked && q.asked == m.From
	})
	return s, append([]Effect{report}, asks...)
}

func (s State) fetched(m Fetched) (State, []Effect) {
	a, ok := s.keys.Answer(m.Fetch.Service + "\x00" + m.Fetch.Key)
	return s, []Effect{Frame{To: m.From, Frame: message.StoredAnswer{ID: m.Fetch.ID, Found: ok, Answer: a}}}
}

func (s State) stored(m Stored) (State, []Effect) {
	q, ok := s.request(m.Stored.ID)
	if !ok || q.phase != fetching {
		return s, nil
	}
	if !m.Stored.Found {
		return s.refuse(q, q.refusal)
	}
	s = s.withoutRequest(m.Stored.ID)
	s.keys = s.keys.WithoutKey(keyOf(q.request), q.request.ID)
	return s, []Effect{Verdict{
		ID:      q.request.ID,
		Verdict: message.Replay{Answer: m.Stored.Answer, Config: q.config},
		Last:    true,
	}}
}

// staticChanged starts or ends the use of static slots and starts waiting requests on them.
func (s State) staticChanged(m Static) (State, []Effect) {
	s.static = copymap.With(s.static, m.Service, m.Slots)
	return s.refill(m.Service, m.Now, nil)
}

// refill starts waiting requests of a service on free static slots, and refuses the non-idempotent ones.
func (s State) refill(service string, now time.Time, effects []Effect) (State, []Effect) {
	if len(s.static[service]) == 0 {
		return s, effects
	}
	s, more := s.askAgain(service, now, func(q request) bool {
		return q.phase == waiting
	})
	return s, append(effects, more...)
}

// freeSlot returns the executor with a free static slot and the least in use for an idempotent request.
func (s State) freeSlot(q request) (message.Executor, bool) {
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
