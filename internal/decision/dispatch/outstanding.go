package dispatch

import (
	"time"

	"teaselloft/internal/model/message"
)

// Grants returns the deadlines of the grants in flight.
func (s State) Grants() map[message.ID]time.Time {
	deadlines := make(map[message.ID]time.Time, s.grants.byID.Len())
	for it := s.grants.byID.Iterator(); !it.Done(); {
		id, g, _ := it.Next()
		deadlines[id] = g.deadline
	}
	return deadlines
}

// Loads returns the grants in flight on each executor.
func (s State) Loads() map[string]int {
	loads := make(map[string]int, len(s.executors))
	for _, e := range s.executors {
		loads[e.target.ID] = e.used
	}
	return loads
}
