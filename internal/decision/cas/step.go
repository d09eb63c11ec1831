package cas

import (
	"fmt"
	"time"
)

// State is the state of one write. It is immutable.
type State struct {
	expected int64
	isDelete bool
	deadline time.Time
	inDoubt  bool // an earlier attempt may have taken effect
}

// New returns the state of a write that expects the key at a revision, 0 for a key that must not exist.
func New(expected int64, isDelete bool, deadline time.Time) State {
	return State{expected: expected, isDelete: isDelete, deadline: deadline}
}

// WithInDoubt returns a copy in which an earlier attempt may have taken effect.
func (s State) WithInDoubt() State {
	s.inDoubt = true
	return s
}

// Step returns the state after the message and the effects to carry out in order.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Begin:
		return s, []Effect{Attempt{}}
	case Succeeded:
		return s, finish(Done, m.Revision)
	case CompareFailed:
		return s, s.handleCompareFailed()
	case AnswerLost:
		return s.WithInDoubt(), s.beforeDeadline(m.Now, ReadBack{})
	case NotApplied:
		return s, s.beforeDeadline(m.Now, Pause{}, Attempt{})
	case Rejected:
		return s, s.handleRejected()
	case KeyFound:
		return s, s.handleKeyFound(m)
	case KeyMissing:
		return s, s.handleKeyMissing(m.Now)
	case ReadFailed:
		return s, s.beforeDeadline(m.Now, Pause{}, ReadBack{})
	default:
		panic(fmt.Sprintf("cas: unknown message %T", m))
	}
}

func finish(r Result, revision int64) []Effect {
	return []Effect{Finish{Result: r, Revision: revision}}
}

// beforeDeadline returns the effects, or an unresolved end once the deadline has passed.
func (s State) beforeDeadline(now time.Time, effects ...Effect) []Effect {
	if now.Before(s.deadline) {
		return effects
	}
	return finish(Unresolved, 0)
}

// handleCompareFailed reads the key back if an earlier attempt may have changed it, and otherwise reports a conflict.
func (s State) handleCompareFailed() []Effect {
	if s.inDoubt {
		return []Effect{ReadBack{}}
	}
	return finish(Conflict, 0)
}

func (s State) handleRejected() []Effect {
	if s.inDoubt {
		return finish(Unresolved, 0)
	}
	return finish(Invalid, 0)
}

func (s State) handleKeyFound(m KeyFound) []Effect {
	switch {
	case m.Revision == s.expected:
		return s.beforeDeadline(m.Now, Pause{}, Attempt{})
	case m.SameValue && !s.isDelete && m.Revision > s.expected:
		return finish(Done, m.Revision)
	default:
		return finish(Conflict, 0)
	}
}

func (s State) handleKeyMissing(now time.Time) []Effect {
	switch {
	case s.isDelete:
		return finish(Done, 0)
	case s.expected == 0:
		return s.beforeDeadline(now, Pause{}, Attempt{})
	default:
		return finish(Conflict, 0)
	}
}
