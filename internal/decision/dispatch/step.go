package dispatch

import (
	"fmt"
	"time"
)

// Step applies a message to the state and returns the new state and the effects to carry out in order.
func Step(s State, m Message) (State, []Effect) {
	s = s.withNow(messageTime(m))
	s, effects := s.apply(m)
	s, more := s.expire()
	effects = append(effects, more...)
	s, more = s.repeatGathers()
	effects = append(effects, more...)
	s, more = s.activateIfReady().startWrite()
	effects = append(effects, more...)
	s, more = s.grantFreeSlots()
	return s, append(effects, more...)
}

func (s State) apply(m Message) (State, []Effect) {
	switch m := m.(type) {
	case Configure:
		return s.configure(m), nil
	case Start:
		return s.startEpoch(m)
	case ExtendOwnership:
		return s.extendOwnership(m), nil
	case Stop:
		return s.endEpoch()
	case GrantRequest:
		return s.onGrantRequest(m)
	case Release:
		return s.release(m), nil
	case Withdraw:
		return s.withdraw(m), nil
	case HeldGrants:
		return s.onHeldGrants(m)
	case ReachabilityChanged:
		return s.onReachabilityChanged(m)
	case LinkRestored:
		return s.onLinkRestored(m)
	case MemberDead:
		return s.onMemberDead(m), nil
	case WriteResult:
		return s.onWriteResult(m)
	case Tick:
		return s, nil
	default:
		panic(fmt.Sprintf("unknown dispatch message %T", m))
	}
}

// messageTime returns the time that a message carries.
func messageTime(m Message) time.Time {
	switch m := m.(type) {
	case Configure:
		return m.Now
	case Start:
		return m.Now
	case ExtendOwnership:
		return m.Now
	case Stop:
		return m.Now
	case GrantRequest:
		return m.Now
	case Release:
		return m.Now
	case Withdraw:
		return m.Now
	case HeldGrants:
		return m.Now
	case ReachabilityChanged:
		return m.Now
	case LinkRestored:
		return m.Now
	case MemberDead:
		return m.Now
	case WriteResult:
		return m.Now
	case Tick:
		return m.Now
	default:
		panic(fmt.Sprintf("unknown dispatch message %T", m))
	}
}

// expire denies the queued requests and ends the grants whose deadline has passed.
func (s State) expire() (State, []Effect) {
	var effects []Effect
	for {
		t, ok := s.queue.EarliestDeadline()
		if !ok || t.request.Deadline.After(s.now) {
			break
		}
		s = s.withoutTicket(t)
		effects = append(effects, s.deny(t.entry, t.request.ID, newRefusal(reasonDeadline, 0)))
	}
	for {
		g, ok := s.grants.EarliestDeadline()
		if !ok || g.deadline.After(s.now) {
			break
		}
		s = s.withoutGrant(g).withEnded(g)
	}
	return s, effects
}
