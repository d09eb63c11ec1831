package capacity

import (
	"cmp"
	"fmt"
	"slices"

	"teaselloft/internal/model/fleet"
)

// Step returns the state after the message and the moves that it leads to.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Sampled:
		for service, value := range m.Demand {
			s = s.withSample(service, value, m.Now)
		}
		return s, nil
	case Viewed:
		return decide(s, m)
	default:
		panic(fmt.Sprintf("capacity: message %T", m))
	}
}

// decide moves at most one instance to and one from each pool; the next view shows them under way.
func decide(s State, m Viewed) (State, []Effect) {
	var effects []Effect
	spare := slices.Clone(m.Pools[m.Fleet.Spare])
	if m.Fleet.Spare == "" {
		return s, nil
	}
	services := slices.Clone(m.Fleet.Services)
	slices.SortFunc(services, func(a, b fleet.Service) int { return cmp.Compare(a.Name, b.Name) })
	for _, v := range services {
		if v.Pool == m.Fleet.Spare || shared(services, v) {
			continue
		}
		p := newPool(s, v, m.Pools[v.Pool], spare)
		s = s.withTrend(v.Name, p.short(), p.over(), m.Now)
		t, _ := s.trends.Get(v.Name)
		switch {
		case s.lasts(t.short, m.Now):
			i, ok := p.take(spare)
			if !ok {
				continue
			}
			spare = slices.DeleteFunc(spare, func(o Member) bool { return o.ID == i.ID })
			effects = append(effects, Move{Instance: i.ID, Pool: v.Pool, Reason: p.reason("too few")})
		case s.lasts(t.over, m.Now):
			i, _ := p.surplus()
			effects = append(effects, Move{Instance: i.ID, Pool: m.Fleet.Spare, Reason: p.reason("more than needed")})
		}
	}
	return s, effects
}

// shared returns whether another service runs in the same pool; such a pool keeps its size.
func shared(services []fleet.Service, v fleet.Service) bool {
	return slices.ContainsFunc(services, func(o fleet.Service) bool { return o.Pool == v.Pool && o.Name != v.Name })
}

// pool is a service's pool while its size is decided.
type pool struct {
	service fleet.Service
	domain  fleet.Domain
	members []Member // without the lost ones
	need    int
	spared  int // need at the lower threshold
}

func newPool(s State, v fleet.Service, members, spare []Member) pool {
	usable := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Lost })
	peak := s.Peak(v.Name)
	return pool{
		service: v,
		domain:  domain(v.Budget, append(places(usable), places(spare)...)),
		members: usable,
		need:    Need(v, peak),
		spared:  Need(v, peak*s.settings.Shrink),
	}
}

func places(members []Member) []fleet.Place {
	list := make([]fleet.Place, 0, len(members))
	for _, m := range members {
		list = append(list, m.Place)
	}
	return list
}

func (p pool) short() bool {
	return left(p.domain, places(p.members)) < p.need
}

func (p pool) over() bool {
	_, ok := p.surplus()
	return ok
}

// surplus returns an instance of the fullest domain without which the pool is still large enough.
func (p pool) surplus() (Member, bool) {
	counts := p.counts()
	order := slices.Clone(p.members)
	slices.SortFunc(order, func(a, b Member) int {
		return cmp.Or(cmp.Compare(counts[p.domain.NameOf(b.Place)], counts[p.domain.NameOf(a.Place)]), cmp.Compare(b.ID, a.ID))
	})
	for _, m := range order {
		if m.Moves {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(p.members), func(o Member) bool { return o.ID == m.ID })
		return m, left(p.domain, places(rest)) >= p.spared
	}
	return Member{}, false
}

// take returns the spare instance whose domain holds the fewest of the pool's instances.
func (p pool) take(spare []Member) (Member, bool) {
	counts := p.counts()
	free := slices.DeleteFunc(slices.Clone(spare), func(m Member) bool { return m.Lost || m.Moves })
	if len(free) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(free, func(a, b Member) int {
		return cmp.Or(cmp.Compare(counts[p.domain.NameOf(a.Place)], counts[p.domain.NameOf(b.Place)]), cmp.Compare(a.ID, b.ID))
	}), true
}

func (p pool) counts() map[string]int {
	counts := map[string]int{}
	for _, m := range p.members {
		counts[p.domain.NameOf(m.Place)]++
	}
	return counts
}

func (p pool) reason(what string) string {
	return fmt.Sprintf("service %q holds %d instances, %s for %d serving through the loss of a %s",
		p.service.Name, len(p.members), what, p.need, p.domain)
}
