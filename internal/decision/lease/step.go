package lease

import (
	"fmt"
	"time"
)

// maxFlying keep-alives sent every 0.5 s cover the 2 s of a lease: a store that answers within that time is
// slow but keeps the lease.
const maxFlying = 4

// State is the lease of an entry instance; the zero State has none.
type State struct {
	id          int64 // 0 for no lease
	incarnation string
	registered  bool      // the member key is bound to the lease
	granting    bool      // a grant has no answer yet
	flying      int       // keep-alives of the lease without an answer
	proved      time.Time // when the latest answered keep-alive was sent
	stopped     bool
}

// ID returns the lease, 0 for none.
func (s State) ID() int64 { return s.id }

// Incarnation returns the incarnation that the lease belongs to.
func (s State) Incarnation() string { return s.incarnation }

// WithLease returns a copy that holds a lease under which nothing is registered.
func (s State) WithLease(id int64) State {
	s.id = id
	s.registered = false
	s.granting = false
	s.flying = 0
	s.proved = time.Time{}
	return s
}

// WithGranting returns a copy that asked for a lease.
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

// WithFlying returns a copy with the given number of unanswered keep-alives.
func (s State) WithFlying(n int) State {
	s.flying = n
	return s
}

// Step applies one message; messages about an earlier lease change nothing.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Begin:
		return s.WithIncarnation(m.Incarnation).grant()
	case Due:
		return s.due()
	case Granted:
		return s.granted(m)
	case Renewed:
		return s.renewed(m)
	case Registered:
		s.registered = s.registered || m.ID == s.id && s.id != 0
		return s, nil
	case Gone:
		return s.gone(m)
	case Failed:
		return s.failed(m)
	case Stop:
		s.stopped = true
		return s.stop()
	case Revoked:
		return s.WithLease(0), []Effect{Finish{}}
	default:
		panic(fmt.Sprintf("lease: unknown message %T", m))
	}
}

func (s State) grant() (State, []Effect) {
	return s.WithGranting(), []Effect{Grant{}}
}

func (s State) due() (State, []Effect) {
	switch {
	case s.stopped || s.granting:
		return s, nil
	case s.id == 0:
		return s.grant()
	case s.flying >= maxFlying:
		return s, []Effect{Wait{}}
	default:
		return s.WithFlying(s.flying + 1), []Effect{Renew{ID: s.id}, Wait{}}
	}
}

func (s State) granted(m Granted) (State, []Effect) {
	s = s.WithLease(m.ID)
	if s.stopped {
		return s.stop()
	}
	return s, []Effect{Register{ID: m.ID, Incarnation: s.incarnation}, Wait{}}
}

// renewed publishes no proof before the member key exists: until then a lost lease would go unnoticed by others.
func (s State) renewed(m Renewed) (State, []Effect) {
	if m.ID != s.id {
		return s, nil
	}
	s = s.WithFlying(s.flying - 1)
	if !s.registered || s.stopped || !m.Sent.After(s.proved) {
		return s, nil
	}
	s.proved = m.Sent
	return s, []Effect{Publish{Incarnation: s.incarnation, Sent: m.Sent, TTL: m.TTL}}
}

// gone continues as a new member, since another entry instance may have taken over.
func (s State) gone(m Gone) (State, []Effect) {
	if m.ID != s.id {
		return s, nil
	}
	if s.stopped {
		return s.WithLease(0), nil // Revoked follows
	}
	return s.WithIncarnation(m.Incarnation).grant()
}

func (s State) failed(m Failed) (State, []Effect) {
	switch {
	case m.ID != s.id:
		return s, nil
	case m.ID != 0:
		return s.WithFlying(s.flying - 1), []Effect{Pause{}}
	case s.stopped:
		return s.WithLease(0), []Effect{Finish{}}
	default:
		return s.WithLease(0), []Effect{Pause{}}
	}
}

func (s State) stop() (State, []Effect) {
	switch {
	case s.granting:
		return s, nil
	case s.id == 0:
		return s, []Effect{Finish{}}
	default:
		return s, []Effect{Revoke{ID: s.id}}
	}
}
