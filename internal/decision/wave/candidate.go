package wave

import (
	"cmp"
	"fmt"
	"slices"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// candidate is an instance that a wave or a move wants out.
type candidate struct {
	kept  Kept[record.Instance]
	wave  record.Wave // zero for a move
	place fleet.Place
}

// buildWanted finds the instances that running waves still have to maintain, and what waves have out.
func (p *pass) buildWanted() {
	for itr := p.state.waves.Iterator(); !itr.Done(); {
		_, k, _ := itr.Next()
		if k.Record.Phase == record.Running {
			p.running = append(p.running, k.Record)
		}
	}
	for id := range p.state.declared {
		k, _ := p.instance(id)
		p.buildWantedOne(k.Record)
	}
}

func (p *pass) buildWantedOne(r record.Instance) {
	if r.Wave != "" && (r.State == record.Draining || r.State == record.Rebooting) {
		p.taken[r.Wave]++
		if !waits(r) {
			p.zones[p.state.place(r.ID).Zone] = true
		}
	}
	if r.State != record.Serving {
		return
	}
	for _, w := range p.running {
		if !maintained(w, r) && p.state.selects(w, r) {
			p.wanted[r.ID] = w.ID
			break
		}
	}
	if wave, ok := p.wanted[r.ID]; ok && r.Target == "" && p.entered(r) {
		p.taken[wave]++
		p.zones[p.state.place(r.ID).Zone] = true
	}
}

// maintained returns whether the serving instance needs nothing more from the wave.
//
// An instance that another wave maintained since this one began counts too: two waves that took turns
// on the same instances would never end.
func maintained(w record.Wave, r record.Instance) bool {
	return r.Wave == w.ID || r.Wave != "" && r.Since.After(w.Since)
}

// entered returns whether a ledger of its pool lists the instance.
func (p *pass) entered(r record.Instance) bool {
	return slices.ContainsFunc(p.byPool[r.Pool], func(v *service) bool { return v.lists(r.ID) })
}

// selects returns whether the wave is declared for the instance.
func (s State) selects(w record.Wave, r record.Instance) bool {
	at := s.place(r.ID)
	switch {
	case w.Pool != "" && w.Pool != r.Pool:
		return false
	case w.Zone != "" && w.Zone != at.Zone:
		return false
	case w.Rack != "" && w.Rack != at.Rack:
		return false
	default:
		return len(w.Instances) == 0 || slices.Contains(w.Instances, r.ID)
	}
}

// candidates returns moves by instance and then the waves' instances by zone and rack.
func (p *pass) candidates() []candidate {
	waves := map[string]record.Wave{}
	for _, w := range p.running {
		waves[w.ID] = w
	}
	var found []candidate
	for id := range p.state.declared {
		k, _ := p.instance(id)
		r := k.Record
		moves := r.Target != "" && r.Target != r.Pool
		wave, wanted := p.wanted[id]
		if r.State != record.Serving || !moves && !wanted {
			continue
		}
		c := candidate{kept: k, place: p.state.place(id)}
		if !moves {
			c.wave = waves[wave]
		}
		found = append(found, c)
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.wave.ID, b.wave.ID),
			cmp.Compare(a.place.Zone, b.place.Zone),
			cmp.Compare(a.place.Rack, b.place.Rack),
			cmp.Compare(a.kept.Record.ID, b.kept.Record.ID),
		)
	})
	return found
}

// takeOut reserves headroom for as many candidates as the budgets and the rules allow.
func (p *pass) takeOut() {
	for _, c := range p.candidates() {
		if reason := p.refusal(c); reason != "" {
			p.blocked[c.kept.Record.ID] = reason
			continue
		}
		p.reserve(c)
	}
}

// refusal returns why the candidate stays in service for now, or "".
func (p *pass) refusal(c candidate) string {
	s, id := p.state, c.kept.Record.ID
	switch {
	case s.now.Sub(s.listTime()) > s.settings.ListLimit:
		return "the instance list is older than " + s.settings.ListLimit.String()
	case !s.Live(id):
		return "not live in the instance list"
	case !p.idle(c.kept.Record.Key()):
		return "a write of its record is under way"
	}
	if target := c.kept.Record.Target; target != "" {
		if _, exists := s.fleet.Pool(target); !exists {
			return fmt.Sprintf("pool %q does not exist", target)
		}
	}
	if reason := p.waveRefusal(c); reason != "" {
		return reason
	}
	for _, v := range p.byPool[c.kept.Record.Pool] {
		if reason := p.serviceRefusal(v, c); reason != "" {
			return reason
		}
	}
	return ""
}

func (p *pass) waveRefusal(c candidate) string {
	w := c.wave
	switch {
	case w.ID == "" || p.entered(c.kept.Record):
		return ""
	case w.MaxUnavailable > 0 && p.taken[w.ID] >= w.MaxUnavailable:
		return fmt.Sprintf("wave %q has its most of %d instances out", w.ID, w.MaxUnavailable)
	case len(p.zones) > 0 && !p.zones[c.place.Zone]:
		return "instances of another zone are out"
	default:
		return ""
	}
}

func (p *pass) serviceRefusal(v *service, c candidate) string {
	name := v.config.Name
	if v.lists(c.kept.Record.ID) {
		return ""
	}
	if !p.idle(v.ledger.Key()) {
		return fmt.Sprintf("a write of the ledger of service %q is under way", name)
	}
	if c.wave.ID != "" && len(v.out) > 0 && !v.out[v.domain.NameOf(c.place)] {
		return fmt.Sprintf("service %q has instances of another %s out", name, v.domain)
	}
	if ahead, _ := p.state.ahead.Get(name); ahead > p.state.watched {
		// The instance records may be older than the ledger and show an instance that has moved away as serving.
		return fmt.Sprintf("the ledger of service %q is newer than the instance records", name)
	}
	if v.headroomWithout(c.place) < 0 {
		return fmt.Sprintf("service %q has %d serving and needs %d after the loss of its largest %s",
			name, v.count, v.config.Budget.Available, v.domain)
	}
	if until, ok := p.state.held.Get(name); ok && p.state.now.Before(until) {
		return fmt.Sprintf("service %q lost instances and is left alone", name)
	}
	return ""
}

// reserve enters the candidate in the ledgers of its pool; a pool without services has no budget to keep.
func (p *pass) reserve(c candidate) {
	r := c.kept.Record
	if c.wave.ID != "" && !p.entered(r) {
		p.taken[c.wave.ID]++
		p.zones[c.place.Zone] = true
	}
	services := p.byPool[r.Pool]
	if len(services) == 0 {
		p.drain(c.kept, c.wave.ID)
		return
	}
	for _, v := range services {
		if v.lists(r.ID) {
			continue
		}
		v.ledger = v.ledger.WithInstance(r.ID, c.kept.Revision)
		v.changed = true
		v.add(c.place, -1)
		v.out[v.domain.NameOf(c.place)] = true
	}
}
