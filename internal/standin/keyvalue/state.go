package keyvalue

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// MaxValue is the largest value of a key, in bytes.
const MaxValue = 1 << 20

// DefaultHistory is the number of events that a state keeps for watches.
const DefaultHistory = 10_000

// State is the whole store; the zero State is not usable.
type State struct {
	revision  int64
	compacted int64 // oldest revision that a watch can start from
	keep      int   // events
	lastLease int64
	pairs     *immutable.SortedMap[string, Pair]
	leases    *immutable.SortedMap[int64, lease]
	watches   *immutable.SortedMap[uint64, Watch]
	history   *immutable.List[Event]
}

// lease is a granted lease; its keys are shared between states and replaced, never changed.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    []string // sorted
}

// New returns an empty store that keeps the given number of events for watches.
func New(history int) State {
	return State{
		revision:  1,
		compacted: 1,
		keep:      max(history, 1),
		pairs:     immutable.NewSortedMap[string, Pair](nil),
		leases:    immutable.NewSortedMap[int64, lease](nil),
		watches:   immutable.NewSortedMap[uint64, Watch](nil),
		history:   immutable.NewList[Event](),
	}
}

// Revision returns the revision of the last change.
func (s State) Revision() int64 { return s.revision }

// Keys returns the number of keys.
func (s State) Keys() int { return s.pairs.Len() }

// Leases returns the number of leases.
func (s State) Leases() int { return s.leases.Len() }

// Watches returns the number of open watches.
func (s State) Watches() int { return s.watches.Len() }

// Expiry returns the time at which the next lease expires and whether there is a lease.
func (s State) Expiry() (time.Time, bool) {
	var next time.Time
	for itr := s.leases.Iterator(); !itr.Done(); {
		_, l, _ := itr.Next()
		if next.IsZero() || l.expires.Before(next) {
			next = l.expires
		}
	}
	return next, s.leases.Len() > 0
}

// WithPair returns a copy in which the pair is written at the next revision.
func (s State) WithPair(key, value string, leaseID int64) State {
	old, exists := s.pairs.Get(key)
	s.revision++
	p := Pair{Key: key, Value: value, Created: s.revision, Modified: s.revision, Version: 1, Lease: leaseID}
	if exists {
		p.Created = old.Created
		p.Version = old.Version + 1
	}
	s = s.withoutBinding(old)
	if l, ok := s.leases.Get(leaseID); ok {
		l.keys = append(slices.Clone(l.keys), key)
		s.leases = s.leases.Set(leaseID, l)
	}
	s.pairs = s.pairs.Set(key, p)
	return s.withEvent(Event{Pair: p})
}

// WithoutPair returns a copy in which the key is deleted at the next revision.
func (s State) WithoutPair(key string) State {
	old, _ := s.pairs.Get(key)
	s.revision++
	s = s.withoutBinding(old)
	s.pairs = s.pairs.Delete(key)
	return s.withEvent(Event{Pair: Pair{Key: key, Modified: s.revision}, Deleted: true})
}

// withoutBinding unbinds a pair from its lease.
func (s State) withoutBinding(p Pair) State {
	l, ok := s.leases.Get(p.Lease)
	if !ok {
		return s
	}
	l.keys = slices.DeleteFunc(slices.Clone(l.keys), func(k string) bool { return k == p.Key })
	s.leases = s.leases.Set(p.Lease, l)
	return s
}

// withEvent appends to the history and forgets the oldest event beyond the limit.
func (s State) withEvent(e Event) State {
	s.history = s.history.Append(e)
	if s.history.Len() > s.keep {
		s.compacted = s.history.Get(0).Pair.Modified + 1
		s.history = s.history.Slice(1, s.history.Len())
	}
	return s
}

// WithCompacted returns a copy that forgot the history before a revision.
func (s State) WithCompacted(revision int64) State {
	first := 0
	for first < s.history.Len() && s.history.Get(first).Pair.Modified < revision {
		first++
	}
	s.history = s.history.Slice(first, s.history.Len())
	s.compacted = max(s.compacted, min(revision, s.revision+1))
	return s
}
