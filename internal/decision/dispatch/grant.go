package dispatch

import (
	"time"

	"teaselloft/internal/model/message"

	"github.com/benbjohnson/immutable"
)

// grant is a slot given to a request, or one that a member reported to hold.
type grant struct {
	sequence uint64
	id       message.ID
	from     string
	target   message.Executor
	epoch    uint64    // 0 for a reported one
	deadline time.Time // when the slot is free at the latest
	size     size
	kind     string
	hash     string
}

func (g grant) instant() instant {
	return instant{at: g.deadline, sequence: g.sequence}
}

// frame returns the message that delivers the grant.
func (g grant) frame(service string) message.Grant {
	return message.Grant{ID: g.id, Service: service, Epoch: g.epoch, Executor: g.target}
}

// grants holds the slots in use; there are at most as many as slots, but for reported ones.
type grants struct {
	byID      *immutable.Map[message.ID, grant]
	deadlines *immutable.SortedMap[instant, message.ID]
}

func newGrants() grants {
	return grants{
		byID:      immutable.NewMap[message.ID, grant](idHasher{}),
		deadlines: immutable.NewSortedMap[instant, message.ID](instantOrder{}),
	}
}

// With returns a copy with the grant.
func (s grants) With(g grant) grants {
	s.byID = s.byID.Set(g.id, g)
	s.deadlines = s.deadlines.Set(g.instant(), g.id)
	return s
}

// Without returns a copy without the grant.
func (s grants) Without(g grant) grants {
	s.byID = s.byID.Delete(g.id)
	s.deadlines = s.deadlines.Delete(g.instant())
	return s
}

// Due returns the grant with the earliest deadline.
func (s grants) Due() (grant, bool) {
	if s.deadlines.Len() == 0 {
		return grant{}, false
	}
	it := s.deadlines.Iterator()
	_, id, _ := it.Next()
	return s.byID.Get(id)
}

// Of returns the member's grants that were given before the sequence or reported by others.
func (s grants) Of(member string, before uint64) []grant {
	var found []grant
	it := s.byID.Iterator()
	for !it.Done() {
		_, g, _ := it.Next()
		if g.from == member && (g.sequence < before || g.epoch == 0) {
			found = append(found, g)
		}
	}
	return found
}
