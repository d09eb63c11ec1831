package lease

import (
	"fmt"
	"time"
)

// maxUnanswered is the number of keep-alives that may be in flight. Four of them, sent every 0.5 s, cover the 2 s TTL
// of a lease, so that a slow store that answers within the TTL still keeps the lease alive.
const maxUnanswered = 4

// State is the lease state of an entry instance. The zero State holds no lease.
type State struct {
	id          int64 // 0 if there is no lease
	incarnation string
	registered  bool      // the member key is bound to the lease
	granting    bool      // a grant request is unanswered
	unanswered  int       // keep-alives in flight
	confirmedAt time.Time // Sent of the latest PublishValidity
	stopped     bool
}

// ID returns the ID of the lease, or 0 if there is none.
func (s State) ID() int64 { return s.id }

// Incarnation returns the incarnation that the lease belongs to.
func (s State) Incarnation() string { return s.incarnation }

// WithLease returns a copy with a new lease that the member key is not yet bound to, or without a lease if id is 0.
func (s State) WithLease(id int64) State {
	s.id = id
	s.registered = false
	s.granting = false
	s.unanswered = 0
	s.confirmedAt = time.Time{}
	return s
}

// WithGranting returns a copy that waits for a lease to be granted.
func (s State) WithGranting() State {
	s = s.WithLease(0)
	s.granting = true
	return s
}

// WithIncarnation returns a copy with another incarnation.
func (s State) WithIncarnation(incarnation string) State {
	s.incarnation = incarnation
	return s
}

// WithUnanswered returns a copy with the given number of unanswered keep-alives.
func (s State) WithUnanswered(n int) State {
	s.unanswered = n
	return s
}

// Step applies a message and returns the new state and the effects to carry out in order.
// Messages about an earlier lease are ignored.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Start:
		return s.WithIncarnation(m.Incarnation).requestLease()
	case TimerFired:
		return s.onTimer()
	case Granted:
		return s.onGranted(m)
	case Renewed:
		return s.onRenewed(m)
	case Registered:
		s.registered = s.registered || m.ID == s.id && s.id != 0
		return s, nil
	case Lost:
		return s.onLost(m)
	case RequestFailed:
		return s.onRequestFailed(m)
	case Stop:
		s.stopped = true
		return s.revoke()
	case Revoked:
		return s.WithLease(0), []Effect{Done{}}
	default:
		panic(fmt.Sprintf("lease: unknown message %T", m))
	}
}

func (s State) requestLease() (State, []Effect) {
	return s.WithGranting(), []Effect{Grant{}}
}

func (s State) onTimer() (State, []Effect) {
	switch {
	case s.stopped || s.granting:
		return s, nil
	case s.id == 0:
		return s.requestLease()
	case s.unanswered >= maxUnanswered:
		return s, []Effect{ScheduleRenewal{}}
	default:
		return s.WithUnanswered(s.unanswered + 1), []Effect{Renew{ID: s.id}, ScheduleRenewal{}}
	}
}

func (s State) onGranted(m Granted) (State, []Effect) {
	s = s.WithLease(m.ID)
	if s.stopped {
		return s.revoke()
	}
	return s, []Effect{Register{ID: m.ID, Incarnation: s.incarnation}, ScheduleRenewal{}}
}

// onRenewed publishes the validity of the lease only once the member key is registered: without the key, other entry
// instances would not notice that the lease was lost.
func (s State) onRenewed(m Renewed) (State, []Effect) {
	if m.ID != s.id {
		return s, nil
	}
	s = s.WithUnanswered(s.unanswered - 1)
	if !s.registered || s.stopped || !m.Sent.After(s.confirmedAt) {
		return s, nil
	}
	s.confirmedAt = m.Sent
	return s, []Effect{PublishValidity{Incarnation: s.incarnation, Sent: m.Sent, TTL: m.TTL}}
}

// onLost requests a lease for a fresh incarnation, since another entry instance may have taken over.
func (s State) onLost(m Lost) (State, []Effect) {
	if m.ID != s.id {
		return s, nil
	}
	if s.stopped {
		return s.WithLease(0), nil // Revoked follows
	}
	return s.WithIncarnation(m.Incarnation).requestLease()
}

func (s State) onRequestFailed(m RequestFailed) (State, []Effect) {
	switch {
	case m.ID != s.id:
		return s, nil
	case m.ID != 0:
		return s.WithUnanswered(s.unanswered - 1), []Effect{Backoff{}}
	case s.stopped:
		return s.WithLease(0), []Effect{Done{}}
	default:
		return s.WithLease(0), []Effect{Backoff{}}
	}
}

func (s State) revoke() (State, []Effect) {
	switch {
	case s.granting:
		return s, nil
	case s.id == 0:
		return s, []Effect{Done{}}
	default:
		return s, []Effect{Revoke{ID: s.id}}
	}
}
