package dispatch

import (
	"time"

	"teaselloft/internal/model/message"

	"github.com/benbjohnson/immutable"
)

// grant is a slot granted to a request by this owner, or held according to the report of a member.
type grant struct {
	sequence uint64
	id       message.ID
	entry    string
	target   message.Executor
	epoch    uint64    // 0 for a reported grant
	deadline time.Time // when the slot becomes free at the latest
	size     size
	kind     string // of the request; empty for a reported grant
	hash     string // of the idempotency key; empty for an idempotent request
}

func (g grant) deadlineKey() deadlineKey {
	return deadlineKey{at: g.deadline, sequence: g.sequence}
}

// frame returns the frame that delivers the grant.
func (g grant) frame(service string) message.Grant {
	return message.Grant{ID: g.id, Service: service, Epoch: g.epoch, Executor: g.target}
}

// grants holds the grants in flight. Apart from reported ones, there are at most as many as slots.
type grants struct {
	byID      *immutable.Map[message.ID, grant]
	deadlines *immutable.SortedMap[deadlineKey, message.ID]
}

func newGrants() grants {
	return grants{
		byID:      immutable.NewMap[message.ID, grant](idHasher{}),
		deadlines: immutable.NewSortedMap[deadlineKey, message.ID](deadlineOrder{}),
	}
}

// With returns a copy with the grant.
func (gs grants) With(g grant) grants {
	gs.byID = gs.byID.Set(g.id, g)
	gs.deadlines = gs.deadlines.Set(g.deadlineKey(), g.id)
	return gs
}

// Without returns a copy without the grant.
func (gs grants) Without(g grant) grants {
	gs.byID = gs.byID.Delete(g.id)
	gs.deadlines = gs.deadlines.Delete(g.deadlineKey())
	return gs
}

// EarliestDeadline returns the grant with the earliest deadline.
func (gs grants) EarliestDeadline() (grant, bool) {
	if gs.deadlines.Len() == 0 {
		return grant{}, false
	}
	it := gs.deadlines.Iterator()
	_, id, _ := it.Next()
	return gs.byID.Get(id)
}

// OfMember returns the member's grants that were given before the sequence or are known from a report.
func (gs grants) OfMember(member string, before uint64) []grant {
	var found []grant
	it := gs.byID.Iterator()
	for !it.Done() {
		_, g, _ := it.Next()
		if g.entry == member && (g.sequence < before || g.epoch == 0) {
			found = append(found, g)
		}
	}
	return found
}
