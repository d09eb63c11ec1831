package dispatch

import (
	"time"

	"teaselloft/internal/model/message"
)

// HeldGrants returns the grants in flight. It omits their idempotency keys, because a later owner finds these in the
// claim.
func (s State) HeldGrants(now time.Time) []message.HeldGrant {
	held := make([]message.HeldGrant, 0, s.grants.byID.Len())
	for it := s.grants.byID.Iterator(); !it.Done(); {
		id, g, _ := it.Next()
		held = append(held, message.HeldGrant{
			ID:       id,
			Executor: g.target.ID,
			Left:     g.deadline.Add(-s.options.GracePeriod).Sub(now),
		})
	}
	return held
}

// Loads returns the number of grants in flight by executor ID.
func (s State) Loads() map[string]int {
	loads := make(map[string]int, len(s.executors))
	for _, e := range s.executors {
		loads[e.target.ID] = e.used
	}
	return loads
}
