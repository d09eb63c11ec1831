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
	kind     string
	hash     string
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
func (s grants) With(g grant) grants {
	s.byID = s.byID.Set(g.id, g)
	s.deadlines = s.deadlines.Set(g.deadlineKey(), g.id)
	return s
}

// Without returns a copy without the grant.
func (s grants) Without(g grant) grants {
	s.byID = s.byID.Delete(g.id)
	s.deadlines = s.deadlines.Delete(g.deadlineKey())
	return s
}

// EarliestDeadline returns the grant with the earliest deadline.
func (s grants) EarliestDeadline() (grant, bool) {
	if s.deadlines.Len() == 0 {
		return grant{}, false
	}
	it := s.deadlines.Iterator()
	_, id, _ := it.Next()
	return s.byID.Get(id)
}

// OfMember returns the member's grants that were given before the sequence or are known from a report.
func (s grants) OfMember(member string, before uint64) []grant {
	var found []grant
	it := s.byID.Iterator()
	for !it.Done() {
		_, g, _ := it.Next()
		if g.entry == member && (g.sequence < before || g.epoch == 0) {
			found = append(found, g)
		}
	}
	return found
}
