package capacity

import (
	"cmp"
	"fmt"
	"slices"

	"teaselloft/internal/model/fleet"
)

// Step returns the state after the message and the moves that the message causes.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case DemandSampled:
		for service, value := range m.Demand {
			s = s.withSample(service, value, m.Now)
		}
		return s, nil
	case PoolsListed:
		return decide(s, m)
	default:
		panic(fmt.Sprintf("capacity: unknown message %T", m))
	}
}

// decide moves at most one instance to or from each pool whose shortage or surplus persists. The next PoolsListed
// message shows the instance as moving.
func decide(s State, m PoolsListed) (State, []Effect) {
	var effects []Effect
	spare := slices.Clone(m.Pools[m.Fleet.Spare])
	if m.Fleet.Spare == "" {
		return s, nil
	}
	services := slices.Clone(m.Fleet.Services)
	slices.SortFunc(services, func(a, b fleet.Service) int { return cmp.Compare(a.Name, b.Name) })
	for _, svc := range services {
		if svc.Pool == m.Fleet.Spare || shared(services, svc) {
			continue
		}
		p := newPool(s, svc, m.Pools[svc.Pool], spare)
		s = s.withImbalance(svc.Name, p.hasShortage(), p.hasSurplus(), m.Now)
		since, _ := s.imbalances.Get(svc.Name)
		switch {
		case s.persists(since.shortageSince, m.Now):
			added, ok := p.pickSpare(spare)
			if !ok {
				continue
			}
			spare = slices.DeleteFunc(spare, func(m Member) bool { return m.ID == added.ID })
			effects = append(effects, Move{Instance: added.ID, Pool: svc.Pool, Reason: p.reason("too few")})
		case s.persists(since.surplusSince, m.Now):
			removed, _ := p.surplus()
			effects = append(effects, Move{Instance: removed.ID, Pool: m.Fleet.Spare, Reason: p.reason("more than needed")})
		}
	}
	return s, effects
}

// shared returns whether another service runs in the same pool. A shared pool keeps its size.
func shared(services []fleet.Service, svc fleet.Service) bool {
	return slices.ContainsFunc(services, func(o fleet.Service) bool { return o.Pool == svc.Pool && o.Name != svc.Name })
}

// pool is a service's pool and the number of instances that it needs.
type pool struct {
	service        fleet.Service
	domain         fleet.Domain
	members        []Member // without the failed ones
	need           int
	needWithMargin int // need at the peak times the shrink factor
}

func newPool(s State, svc fleet.Service, members, spare []Member) pool {
	usable := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Failed })
	peak := s.Peak(svc.Name)
	return pool{
		service:        svc,
		domain:         bufferDomain(svc.Budget, append(places(usable), places(spare)...)),
		members:        usable,
		need:           RequiredServing(svc, peak),
		needWithMargin: RequiredServing(svc, peak*s.settings.ShrinkFactor),
	}
}

func places(members []Member) []fleet.Place {
	list := make([]fleet.Place, 0, len(members))
	for _, m := range members {
		list = append(list, m.Place)
	}
	return list
}

func (p pool) hasShortage() bool {
	return worstCaseServing(p.domain, places(p.members)) < p.need
}

func (p pool) hasSurplus() bool {
	_, ok := p.surplus()
	return ok
}

// surplus returns an instance of the domain with the most members, and whether the pool is large enough without it.
func (p pool) surplus() (Member, bool) {
	counts := p.countByDomain()
	order := slices.Clone(p.members)
	slices.SortFunc(order, func(a, b Member) int {
		return cmp.Or(cmp.Compare(counts[p.domain.NameOf(b.Place)], counts[p.domain.NameOf(a.Place)]), cmp.Compare(b.ID, a.ID))
	})
	for _, m := range order {
		if m.Moving {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(p.members), func(o Member) bool { return o.ID == m.ID })
		return m, worstCaseServing(p.domain, places(rest)) >= p.needWithMargin
	}
	return Member{}, false
}

// pickSpare returns the spare instance whose domain has the fewest members of the pool.
func (p pool) pickSpare(spare []Member) (Member, bool) {
	counts := p.countByDomain()
	free := slices.DeleteFunc(slices.Clone(spare), func(m Member) bool { return m.Failed || m.Moving })
	if len(free) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(free, func(a, b Member) int {
		return cmp.Or(cmp.Compare(counts[p.domain.NameOf(a.Place)], counts[p.domain.NameOf(b.Place)]), cmp.Compare(a.ID, b.ID))
	}), true
}

func (p pool) countByDomain() map[string]int {
	counts := map[string]int{}
	for _, m := range p.members {
		counts[p.domain.NameOf(m.Place)]++
	}
	return counts
}

func (p pool) reason(comparison string) string {
	return fmt.Sprintf("service %q has %d instances, %s to keep %d in service after the loss of a %s",
		p.service.Name, len(p.members), comparison, p.need, p.domain)
}
