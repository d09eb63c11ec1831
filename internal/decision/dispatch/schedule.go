package dispatch

import (
	"slices"
	"time"

	"teaselloft/internal/model/message"
)

// maxLaneTries bounds the requests of a lane that are considered for one free slot.
const maxLaneTries = 4

// grantFreeSlots grants free slots to the requests whose turn it is.
func (s State) grantFreeSlots() (State, []Effect) {
	var effects []Effect
	for s.mayGrant() && s.queue.Len() > 0 {
		next, e, granted := s.grantNext()
		s = next
		if !granted {
			break
		}
		effects = append(effects, e)
	}
	return s, effects
}

// mayGrant reports whether the owner may grant requests.
func (s State) mayGrant() bool {
	return s.phase == active && s.now.Before(s.ownedUntil)
}

// grantNext grants a slot to a request of the first lane that can use one.
func (s State) grantNext() (State, Effect, bool) {
	c := s.capacity()
	if c.free == 0 {
		return s, nil, false
	}
	s = s.withLongCap(c)
	for _, lane := range s.laneOrder() {
		if s.queue.lanes[lane].length == 0 || !s.laneAllowed(lane, c) {
			continue
		}
		next, e, granted := s.serveLane(lane)
		s = next
		if granted {
			return s, e, true
		}
	}
	return s, nil, false
}

// laneOrder returns the lanes in the order in which they are served.
func (s State) laneOrder() []int {
	order := make([]int, 0, laneCount+1)
	if s.grantsSinceAged >= s.options.AgingPeriod-1 {
		if lane, ok := s.agedLane(); ok {
			order = append(order, lane)
		}
	}
	for lane := range laneCount {
		order = append(order, lane)
	}
	return order
}

// agedLane returns the lane whose next request has waited longest, if that is longer than the aging delay.
func (s State) agedLane() (int, bool) {
	found, since := -1, s.now.Add(-s.options.AgingDelay)
	for lane := range laneCount {
		if t, ok := s.queue.Next(lane); ok && t.queuedAt.Before(since) {
			found, since = lane, t.queuedAt
		}
	}
	return found, found >= 0
}

// laneAllowed reports whether a lane may use one of the free slots. The first sizeCount lanes are those of the urgent
// class, which may use the reserve.
func (s State) laneAllowed(lane int, c capacity) bool {
	if size(lane%int(sizeCount)) == long && c.long >= s.longSlots(c.total) {
		return false
	}
	reserve := int(float64(c.total) * s.options.UrgentReserve)
	return lane < int(sizeCount) || c.free > reserve
}

// serveLane grants a slot to the next request of a lane that can use one.
func (s State) serveLane(lane int) (State, Effect, bool) {
	for range maxLaneTries {
		t, ok := s.queue.Next(lane)
		if !ok {
			return s, nil, false
		}
		if m, _ := s.member(t.entry); !m.up {
			// The entry instance repeats the request once it is reachable.
			s = s.withoutTicket(t)
			continue
		}
		if learned := s.runTimes.Size(t.request.Kind(), s.options.LongFactor); learned != t.size {
			s.queue = s.queue.WithSize(t, learned)
			continue
		}
		t.exclude = s.excluded(t)
		i := s.chooseExecutor(t)
		if i >= 0 {
			s, e := s.grantTo(t, i)
			return s, e, true
		}
		if len(t.exclude) == 0 {
			return s, nil, false
		}
		s.queue = s.queue.WithTurn(t, s.turnCost(t)) // so that others do not wait for its executors
	}
	return s, nil, false
}

// excluded returns the executors that a ticket may not use. If no other executor is available, none is excluded.
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

// grantTo grants the ticket a slot of the executor at index i.
func (s State) grantTo(t ticket, i int) (State, Effect) {
	s.queue = s.queue.WithTurn(t, s.turnCost(t)).Without(t)
	s = s.withSequence().withRecentGrant(i)
	if t.class != message.Urgent && s.grantsSinceAged >= s.options.AgingPeriod-1 {
		s.grantsSinceAged = 0
	} else {
		s.grantsSinceAged++
	}
	g := grant{
		sequence: s.sequence,
		id:       t.request.ID,
		entry:    t.entry,
		target:   s.executors[i].target,
		epoch:    s.epoch,
		deadline: t.request.Deadline.Add(s.options.GracePeriod),
		size:     t.size,
		kind:     t.request.Kind(),
		hash:     t.hash,
	}
	s = s.withGrant(g)
	return s, SendFrame{To: t.entry, Frame: g.frame(s.service.Name)}
}

// minTurnCost is the least cost of a turn, so that callers take turns even before any run time is known.
const minTurnCost = time.Millisecond

// turnCost returns the cost of a turn that is charged to the caller.
func (s State) turnCost(t ticket) time.Duration {
	return max(t.work, minTurnCost)
}
