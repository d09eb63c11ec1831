package endpoint

import (
	"teaselloft/internal/model/fleet"

	"github.com/benbjohnson/immutable"
)

// Bounds tell how many idle connections an entry instance may keep to each executor.
//
// Requests in flight are bounded by the slots of an executor over all entry
// instances, so its connections stay within the declared number when every
// member keeps at most (connections - slots) / members idle ones.
type Bounds struct {
	spare    map[string]int // connections beyond the slots, by pool
	declared map[string]string
	placed   *immutable.Map[string, string]
	members  *immutable.Map[string, struct{}]
}

// NewBounds returns the bounds before a configuration and members are known.
func NewBounds() Bounds {
	return Bounds{
		placed:  immutable.NewMap[string, string](nil),
		members: immutable.NewMap[string, struct{}](nil),
	}
}

// WithFleet returns a copy for the given configuration.
func (b Bounds) WithFleet(f fleet.Fleet) Bounds {
	b.spare = map[string]int{}
	b.declared = map[string]string{}
	for _, s := range f.Services {
		n := max(0, s.Connections-s.Slots)
		if old, ok := b.spare[s.Pool]; ok {
			n = min(n, old)
		}
		b.spare[s.Pool] = n
	}
	for _, p := range f.Pools {
		for _, i := range p.Instances {
			b.declared[i.ID] = p.Name
		}
	}
	return b
}

// WithMember returns a copy in which the entry instance is live.
func (b Bounds) WithMember(entry string) Bounds {
	b.members = b.members.Set(entry, struct{}{})
	return b
}

// WithoutMember returns a copy in which the entry instance is not live.
func (b Bounds) WithoutMember(entry string) Bounds {
	b.members = b.members.Delete(entry)
	return b
}

// WithPlace returns a copy in which the instance is in the given pool.
func (b Bounds) WithPlace(instance, pool string) Bounds {
	b.placed = b.placed.Set(instance, pool)
	return b
}

// WithoutPlace returns a copy in which the instance is in its declared pool.
func (b Bounds) WithoutPlace(instance string) Bounds {
	b.placed = b.placed.Delete(instance)
	return b
}

// Members returns the number of live entry instances, at least this one.
func (b Bounds) Members() int {
	return max(1, b.members.Len())
}

// Idle returns how many idle connections to keep to an executor.
func (b Bounds) Idle(executor string) int {
	pool, ok := b.placed.Get(executor)
	if !ok {
		pool = b.declared[executor]
	}
	spare, ok := b.spare[pool]
	if !ok {
		spare = defaultConnections - defaultSlots
	}
	return spare / b.Members()
}
