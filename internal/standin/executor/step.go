package executor

import (
	"fmt"
	"time"

	"github.com/benbjohnson/immutable"
)

// Step applies one message and returns the new state and the effects to carry out.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case RequestArrived:
		return s.handleArrival(m)
	case RunFinished:
		return s.handleFinish(m)
	case ConnOpened:
		return s.handleConn()
	case ConnClosed:
		return s.WithConnections(s.counters.Connections - 1), nil
	case SetRun:
		s.defaultRun = m.Run
		return s, nil
	case SetLeaving:
		s.leaving = m.Leaving
		return s, nil
	case SetMode:
		return s.setMode(m.Mode)
	case Freeze:
		s.freezeEnd = m.Now.Add(m.For)
		return s, nil
	case Reboot:
		return s.reboot(m)
	case Tick:
		return s.tick(m.Now)
	default:
		panic(fmt.Sprintf("executor: unknown message %T", m))
	}
}

func (s State) handleArrival(m RequestArrived) (State, []Effect) {
	if !s.freezeEnd.IsZero() {
		s.deferred = s.deferred.Append(m)
		return s, nil
	}
	run := s.defaultRun
	if m.HasRun {
		run = m.Run
	}
	return s.WithStart(m.ID, m.Key), []Effect{Start{ID: m.ID, Run: run}}
}

func (s State) handleFinish(m RunFinished) (State, []Effect) {
	if _, ok := s.running.Get(m.ID); !ok {
		return s, []Effect{Reply{ID: m.ID, Shape: Nothing}} // aborted by a reboot
	}
	if !s.freezeEnd.IsZero() {
		s.deferred = s.deferred.Append(m)
		return s, nil
	}
	return s.WithFinish(m.ID), []Effect{Reply{ID: m.ID, Shape: s.mode.shape()}}
}

func (m Mode) shape() Shape {
	switch m {
	case ModeClose:
		return Nothing
	case ModeHalf:
		return Half
	case ModeError:
		return Failure
	default:
		return Whole
	}
}

func (s State) handleConn() (State, []Effect) {
	s = s.WithConnections(s.counters.Connections + 1)
	if s.counters.Connections <= s.maxConns {
		return s, nil
	}
	s.counters.Rejected++
	return s, []Effect{Reject{}}
}

func (s State) setMode(m Mode) (State, []Effect) {
	before := s.refuses()
	s.mode = m
	return s, s.listenEffects(before)
}

// refuses reports whether connections are refused.
func (s State) refuses() bool {
	return s.mode == ModeRefuse || s.Down()
}

// listenEffects returns the effect needed when refuses differs from its earlier value.
func (s State) listenEffects(before bool) []Effect {
	switch {
	case s.refuses() == before:
		return nil
	case before:
		return []Effect{Listen{}}
	default:
		return []Effect{Refuse{}}
	}
}

// reboot aborts the running and the deferred requests.
func (s State) reboot(m Reboot) (State, []Effect) {
	effects := []Effect{Refuse{CloseConns: true}}
	for itr := s.deferred.Iterator(); !itr.Done(); {
		_, deferred := itr.Next()
		effects = append(effects, Reply{ID: id(deferred), Shape: Nothing})
	}
	s.deferred = immutable.NewList[Message]()
	s.freezeEnd = time.Time{}
	s.rebootEnd = m.Now.Add(m.For)
	return s.withRunning(immutable.NewSortedMap[uint64, struct{}](nil)), effects
}

// id returns the request ID of a deferred message.
func id(m Message) uint64 {
	switch m := m.(type) {
	case RequestArrived:
		return m.ID
	case RunFinished:
		return m.ID
	case ConnOpened, ConnClosed, SetRun, SetLeaving, SetMode, Freeze, Reboot, Tick:
		panic(fmt.Sprintf("executor: message %T is never deferred", m))
	default:
		panic(fmt.Sprintf("executor: unknown message %T", m))
	}
}

func (s State) tick(now time.Time) (State, []Effect) {
	var effects []Effect
	if s.Down() && !now.Before(s.rebootEnd) {
		before := s.refuses()
		s.rebootEnd = time.Time{}
		effects = s.listenEffects(before)
	}
	if s.freezeEnd.IsZero() || now.Before(s.freezeEnd) {
		return s, effects
	}
	s.freezeEnd = time.Time{}
	deferred := s.deferred
	s.deferred = immutable.NewList[Message]()
	for itr := deferred.Iterator(); !itr.Done(); {
		_, m := itr.Next()
		var more []Effect
		s, more = Step(s, m)
		effects = append(effects, more...)
	}
	return s, effects
}
