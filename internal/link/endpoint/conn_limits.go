package endpoint

import (
	"teaselloft/internal/model/fleet"

	"github.com/benbjohnson/immutable"
)

// ConnLimits are the limits of the idle connections that an entry instance keeps to each executor.
//
// The slots of an executor limit the requests in flight from all entry instances. Its connections therefore stay within
// the declared number if each member keeps at most (connections - slots) / members idle connections.
type ConnLimits struct {
	spare    map[string]int                   // connections beyond the slots, by pool
	declared map[string]string                // declared pool by instance
	moved    *immutable.Map[string, string]   // current pool by instance, if it is not the declared one
	members  *immutable.Map[string, struct{}] // live entry instances
}

// NewConnLimits returns the limits that apply until a configuration and the members are known.
func NewConnLimits() ConnLimits {
	return ConnLimits{
		moved:   immutable.NewMap[string, string](nil),
		members: immutable.NewMap[string, struct{}](nil),
	}
}

// WithFleet returns a copy with the given configuration.
func (l ConnLimits) WithFleet(f fleet.Fleet) ConnLimits {
	l.spare = map[string]int{}
	l.declared = map[string]string{}
	for _, s := range f.Services {
		n := max(0, s.Connections-s.Slots)
		if old, ok := l.spare[s.Pool]; ok {
			n = min(n, old)
		}
		l.spare[s.Pool] = n
	}
	for _, p := range f.Pools {
		for _, i := range p.Instances {
			l.declared[i.ID] = p.Name
		}
	}
	return l
}

// WithMember returns a copy in which the entry instance is live.
func (l ConnLimits) WithMember(entry string) ConnLimits {
	l.members = l.members.Set(entry, struct{}{})
	return l
}

// WithoutMember returns a copy in which the entry instance is not live.
func (l ConnLimits) WithoutMember(entry string) ConnLimits {
	l.members = l.members.Delete(entry)
	return l
}

// WithPool returns a copy in which the instance is in the given pool.
func (l ConnLimits) WithPool(instance, pool string) ConnLimits {
	l.moved = l.moved.Set(instance, pool)
	return l
}

// WithDeclaredPool returns a copy in which the instance is in its declared pool.
func (l ConnLimits) WithDeclaredPool(instance string) ConnLimits {
	l.moved = l.moved.Delete(instance)
	return l
}

// Members returns the number of live entry instances, at least 1 for this instance.
func (l ConnLimits) Members() int {
	return max(1, l.members.Len())
}

// MaxIdle returns the maximum number of idle connections to an executor.
func (l ConnLimits) MaxIdle(executor string) int {
	pool, ok := l.moved.Get(executor)
	if !ok {
		pool = l.declared[executor]
	}
	spare, ok := l.spare[pool]
	if !ok {
		spare = defaultConnections - defaultSlots
	}
	return spare / l.Members()
}
