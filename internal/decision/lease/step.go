package lease

import "fmt"

// State is the lease of an entry instance; the zero State has none.
type State struct {
	id          int64 // 0 for no lease
	incarnation string
	registered  bool // the member key is bound to the lease
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
	return s
}

// WithIncarnation returns a copy with another incarnation.
func (s State) WithIncarnation(incarnation string) State {
	s.incarnation = incarnation
	return s
}

// WithRegistered returns a copy whose member key is bound to its lease.
func (s State) WithRegistered() State {
	s.registered = true
	return s
}

// WithStopped returns a copy that asks for no further lease.
func (s State) WithStopped() State {
	s.stopped = true
	return s
}

// Step applies one message.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Begin:
		return s.WithIncarnation(m.Incarnation), []Effect{Grant{}}
	case Granted:
		return s.granted(m)
	case Renewed:
		return s.renewed(m)
	case Registered:
		if m.ID == s.id {
			s = s.WithRegistered()
		}
		return s, nil
	case Gone:
		// Another entry instance may have taken over, so the process continues as a new member.
		return s.WithLease(0).WithIncarnation(m.Incarnation), []Effect{Grant{}}
	case Failed:
		return s, append([]Effect{Pause{}}, s.next())
	case Stop:
		return s.stop()
	case Revoked:
		return s.WithLease(0), []Effect{Finish{}}
	default:
		panic(fmt.Sprintf("lease: unknown message %T", m))
	}
}

func (s State) granted(m Granted) (State, []Effect) {
	s = s.WithLease(m.ID)
	if s.stopped {
		return s, []Effect{Revoke{ID: m.ID}}
	}
	return s, []Effect{Register{ID: m.ID, Incarnation: s.incarnation}, Renew{ID: m.ID}}
}

// renewed publishes no proof before the member key exists: until then a lost lease would go unnoticed by others.
func (s State) renewed(m Renewed) (State, []Effect) {
	var effects []Effect
	if s.registered {
		effects = append(effects, Publish{Incarnation: s.incarnation, Sent: m.Sent, TTL: m.TTL})
	}
	return s, append(effects, s.next())
}

func (s State) next() Effect {
	if s.id == 0 {
		return Grant{}
	}
	return Renew{ID: s.id}
}

func (s State) stop() (State, []Effect) {
	s = s.WithStopped()
	if s.id == 0 {
		return s, []Effect{Finish{}}
	}
	return s, []Effect{Revoke{ID: s.id}}
}
