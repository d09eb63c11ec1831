package dispatch

import (
	"slices"
	"time"

	"teaselloft/internal/model/message"
)

// dispatchTries bounds the requests that one message looks at in a lane before it gives up on them.
const dispatchTries = 4

// pump grants free slots to the requests whose turn it is.
func (s State) pump() (State, []Effect) {
	var effects []Effect
	for s.proven() && s.queue.Len() > 0 {
		next, e, granted := s.grantNext()
		s = next
		if !granted {
			break
		}
		effects = append(effects, e)
	}
	return s, effects
}

// proven reports whether the owner may grant.
func (s State) proven() bool {
	return s.phase == active && s.now.Before(s.until)
}

// grantNext grants one slot to the first lane that may use one.
func (s State) grantNext() (State, Effect, bool) {
	c := s.capacity()
	if c.free == 0 {
		return s, nil, false
	}
	s = s.withCap(c)
	for _, lane := range s.order() {
		if s.queue.lanes[lane].length == 0 || !s.allowed(lane, c) {
			continue
		}
		next, e, granted := s.serve(lane)
		s = next
		if granted {
			return s, e, true
		}
	}
	return s, nil, false
}

// order returns the lanes in the order in which they are served.
func (s State) order() []int {
	order := make([]int, 0, laneCount+1)
	if s.aged >= s.options.AgingPeriod-1 {
		if lane, ok := s.agedLane(); ok {
			order = append(order, lane)
		}
	}
	for lane := range laneCount {
		order = append(order, lane)
	}
	return order
}

// agedLane returns the lane whose next request has waited longest, if longer than the aging time.
func (s State) agedLane() (int, bool) {
	found, since := -1, s.now.Add(-s.options.Aging)
	for lane := range laneCount {
		if t, ok := s.queue.Next(lane); ok && t.asked.Before(since) {
			found, since = lane, t.asked
		}
	}
	return found, found >= 0
}

// allowed reports whether a lane may use a free slot of the service.
func (s State) allowed(lane int, c capacity) bool {
	if size(lane%int(sizes)) == long && c.long >= s.longSlots(c.total) {
		return false
	}
	reserve := int(float64(c.total) * s.options.Reserve)
	return lane < int(sizes) || c.free > reserve
}

// serve grants a slot to the request whose turn it is in a lane.
func (s State) serve(lane int) (State, Effect, bool) {
	for range dispatchTries {
		t, ok := s.queue.Next(lane)
		if !ok {
			return s, nil, false
		}
		if m, _ := s.member(t.from); !m.up {
			// The entry instance asks again once it is reachable.
			s = s.withoutTicket(t)
			continue
		}
		if learned := s.known.Size(t.request.Kind(), s.options.LongFactor); learned != t.size {
			s.queue = s.queue.WithSize(t, learned)
			continue
		}
		t.exclude = s.excluded(t)
		i := s.choose(t)
		if i >= 0 {
			s, e := s.grantTo(t, i)
			return s, e, true
		}
		if len(t.exclude) == 0 {
			return s, nil, false
		}
		s.queue = s.queue.WithTurn(t, s.cost(t)) // others need not wait for its executors
	}
	return s, nil, false
}

// excluded returns the executors that a ticket may not use, none if it could use no other.
func (s State) excluded(t ticket) []string {
	if len(t.exclude) == 0 {
		return nil
	}
	for _, e := range s.executors {
		if e.available && !slices.Contains(t.exclude, e.target.ID) {
			return t.exclude
		}
	}
	return nil
}

// grantTo gives the ticket a slot of the executor at i.
func (s State) grantTo(t ticket, i int) (State, Effect) {
	s.queue = s.queue.WithTurn(t, s.cost(t)).Without(t)
	s = s.withSequence().withRecent(i)
	if t.class != message.Urgent && s.aged >= s.options.AgingPeriod-1 {
		s.aged = 0
	} else {
		s.aged++
	}
	g := grant{
		sequence: s.sequence,
		id:       t.request.ID,
		from:     t.from,
		target:   s.executors[i].target,
		epoch:    s.epoch,
		deadline: t.request.Deadline.Add(s.options.Linger),
		size:     t.size,
		kind:     t.request.Kind(),
		hash:     t.hash,
	}
	s = s.withGrant(g)
	return s, Reply{To: t.from, Frame: g.frame(s.service.Name)}
}

// leastCost keeps callers apart before any run time is known.
const leastCost = time.Millisecond

// cost returns what a turn costs the caller.
func (s State) cost(t ticket) time.Duration {
	return max(t.work, leastCost)
}
