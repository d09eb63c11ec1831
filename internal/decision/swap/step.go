package swap

import (
	"fmt"
	"time"
)

// State is one write on its way.
type State struct {
	expected  int64
	deletes   bool
	deadline  time.Time
	uncertain bool // an earlier attempt may have taken effect
}

// New returns the state of a write of a key with an expected revision, 0 for a missing key.
func New(expected int64, deletes bool, deadline time.Time) State {
	return State{expected: expected, deletes: deletes, deadline: deadline}
}

// WithUncertain returns a copy that knows that an attempt may have taken effect.
func (s State) WithUncertain() State {
	s.uncertain = true
	return s
}

// Step applies one message.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Begin:
		return s, []Effect{Attempt{}}
	case Accepted:
		return s, finish(Done, m.Revision)
	case Refused:
		return s, s.refused()
	case Lost:
		return s.WithUncertain(), s.unless(m.Now, ReadBack{})
	case Failed:
		return s, s.unless(m.Now, Pause{}, Attempt{})
	case Rejected:
		return s, s.rejected()
	case Found:
		return s, s.found(m)
	case Missing:
		return s, s.missing(m.Now)
	case Unread:
		return s, s.unless(m.Now, Pause{}, ReadBack{})
	default:
		panic(fmt.Sprintf("swap: unknown message %T", m))
	}
}

func finish(r Result, revision int64) []Effect {
	return []Effect{Finish{Result: r, Revision: revision}}
}

// unless returns the effects, or the end of the write when its time is over.
func (s State) unless(now time.Time, effects ...Effect) []Effect {
	if now.Before(s.deadline) {
		return effects
	}
	return finish(Unresolved, 0)
}

// refused reads the key back when an earlier attempt may be what changed it.
func (s State) refused() []Effect {
	if s.uncertain {
		return []Effect{ReadBack{}}
	}
	return finish(Conflict, 0)
}

func (s State) rejected() []Effect {
	if s.uncertain {
		return finish(Unresolved, 0)
	}
	return finish(Impossible, 0)
}

func (s State) found(m Found) []Effect {
	switch {
	case m.Revision == s.expected:
		return s.unless(m.Now, Pause{}, Attempt{})
	case m.Same && !s.deletes && m.Revision > s.expected:
		return finish(Done, m.Revision)
	default:
		return finish(Conflict, 0)
	}
}

func (s State) missing(now time.Time) []Effect {
	switch {
	case s.deletes:
		return finish(Done, 0)
	case s.expected == 0:
		return s.unless(now, Pause{}, Attempt{})
	default:
		return finish(Conflict, 0)
	}
}
