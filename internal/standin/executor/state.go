package executor

import (
	"time"

	"github.com/benbjohnson/immutable"
)

// State is the immutable state of one executor; use New, the zero value is not usable.
type State struct {
	slots      int
	maxConns   int
	defaultRun time.Duration
	mode       Mode
	leaving    bool
	freezeEnd  time.Time // zero unless frozen
	rebootEnd  time.Time // zero unless rebooting
	deferred   *immutable.List[Message]
	running    *immutable.SortedMap[uint64, struct{}]
	executions *immutable.SortedMap[string, int]
	counters   Counters
}

// Counters holds the counters of one executor.
type Counters struct {
	Executions  int `json:"executions"`  // requests started
	Running     int `json:"running"`     // requests running now
	Highest     int `json:"highest"`     // most requests running at once
	Held        int `json:"held"`        // starts and answers deferred until a freeze ends
	Over        int `json:"over"`        // requests started while all slots were in use
	Connections int `json:"connections"` // open now
	Most        int `json:"most"`        // most connections open at once, including rejected ones
	Rejected    int `json:"rejected"`    // connections beyond the limit
}

// New returns an idle executor.
func New(slots, connections int, run time.Duration) State {
	return State{
		slots:      slots,
		maxConns:   connections,
		defaultRun: run,
		mode:       ModeNone,
		deferred:   immutable.NewList[Message](),
		running:    immutable.NewSortedMap[uint64, struct{}](nil),
		executions: immutable.NewSortedMap[string, int](nil),
	}
}

// Counters returns the current counters.
func (s State) Counters() Counters {
	c := s.counters
	c.Held = s.deferred.Len()
	return c
}

// Leaving reports whether the executor is marked as leaving.
func (s State) Leaving() bool { return s.leaving }

// Down reports whether the executor is rebooting.
func (s State) Down() bool { return !s.rebootEnd.IsZero() }

// Executions returns the number of executions by idempotency key, for keys with at least least executions.
func (s State) Executions(least int) map[string]int {
	found := map[string]int{}
	for itr := s.executions.Iterator(); !itr.Done(); {
		key, n, _ := itr.Next()
		if n >= least {
			found[key] = n
		}
	}
	return found
}

// Wake returns the time at which the next freeze or reboot ends, and false if there is none.
func (s State) Wake() (time.Time, bool) {
	switch {
	case s.freezeEnd.IsZero():
		return s.rebootEnd, !s.rebootEnd.IsZero()
	case s.rebootEnd.IsZero() || s.freezeEnd.Before(s.rebootEnd):
		return s.freezeEnd, true
	default:
		return s.rebootEnd, true
	}
}

// WithStart returns a copy in which the request is running and counted.
func (s State) WithStart(id uint64, key string) State {
	if s.running.Len() >= s.slots {
		s.counters.Over++
	}
	n, _ := s.executions.Get(key)
	s.executions = s.executions.Set(key, n+1)
	s.counters.Executions++
	return s.withRunning(s.running.Set(id, struct{}{}))
}

// WithFinish returns a copy in which the request is no longer running.
func (s State) WithFinish(id uint64) State {
	return s.withRunning(s.running.Delete(id))
}

func (s State) withRunning(running *immutable.SortedMap[uint64, struct{}]) State {
	s.running = running
	s.counters.Running = running.Len()
	s.counters.Highest = max(s.counters.Highest, running.Len())
	return s
}

// WithConnections returns a copy with the given number of open connections.
func (s State) WithConnections(n int) State {
	s.counters.Connections = n
	s.counters.Most = max(s.counters.Most, n)
	return s
}
