package wave

import (
	"cmp"
	"fmt"
	"slices"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// candidate is a serving instance that a wave or a move needs out of service.
type candidate struct {
	instance Versioned[record.Instance]
	wave     record.Wave // zero for a move
	place    fleet.Place
}

// findPending collects the running waves, the instances that they still have to maintain and the instances that
// waves have out.
func (p *pass) findPending() {
	for itr := p.state.waves.Iterator(); !itr.Done(); {
		_, stored, _ := itr.Next()
		if stored.Record.Phase == record.Running {
			p.runningWaves = append(p.runningWaves, stored.Record)
		}
	}
	for id := range p.state.declared {
		stored, _ := p.instance(id)
		p.classify(stored.Record)
	}
}

// classify records which running wave still has to maintain the instance, or that a wave has it out. An instance that
// still serves but is reserved for a running wave counts as out.
func (p *pass) classify(r record.Instance) {
	if r.Wave != "" && (r.State == record.Draining || r.State == record.Rebooting) {
		p.outByWave[r.Wave]++
		if !stalled(r) {
			p.zonesOut[p.state.place(r.ID).Zone] = true
		}
	}
	if r.State != record.Serving {
		return
	}
	for _, w := range p.runningWaves {
		if !maintained(w, r) && p.state.selects(w, r) {
			p.pendingWave[r.ID] = w.ID
			break
		}
	}
	if wave, ok := p.pendingWave[r.ID]; ok && r.Target == "" && p.hasReservation(r) {
		p.outByWave[wave]++
		p.zonesOut[p.state.place(r.ID).Zone] = true
	}
}

// maintained returns whether the wave has nothing more to do for the serving instance, whose record names the wave
// that maintained it last.
//
// An instance that another wave maintained after this one began to run counts as maintained. Otherwise two waves
// over the same instances could alternate forever.
func maintained(w record.Wave, r record.Instance) bool {
	return r.Wave == w.ID || r.Wave != "" && r.Since.After(w.Since)
}

// hasReservation returns whether the ledger of any service of its pool lists the instance.
func (p *pass) hasReservation(r record.Instance) bool {
	return slices.ContainsFunc(p.servicesByPool[r.Pool], func(svc *service) bool { return svc.hasEntry(r.ID) })
}

// selects returns whether the instance is in the wave's scope.
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

// candidates returns the instances to move and then those of each wave, sorted by zone, rack and ID.
func (p *pass) candidates() []candidate {
	waves := map[string]record.Wave{}
	for _, w := range p.runningWaves {
		waves[w.ID] = w
	}
	var found []candidate
	for id := range p.state.declared {
		stored, _ := p.instance(id)
		r := stored.Record
		moves := r.Target != "" && r.Target != r.Pool
		wave, wanted := p.pendingWave[id]
		if r.State != record.Serving || !moves && !wanted {
			continue
		}
		c := candidate{instance: stored, place: p.state.place(id)}
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
			cmp.Compare(a.instance.Record.ID, b.instance.Record.ID),
		)
	})
	return found
}

// reserveCandidates reserves headroom for as many candidates as the budgets and rules allow, and records why the
// others are blocked.
func (p *pass) reserveCandidates() {
	for _, c := range p.candidates() {
		if reason := p.blockReason(c); reason != "" {
			p.blocked[c.instance.Record.ID] = reason
			continue
		}
		p.reserve(c)
	}
}

// blockReason returns why the candidate has to stay in service for now, or "" if it may be taken out.
func (p *pass) blockReason(c candidate) string {
	s, id := p.state, c.instance.Record.ID
	switch {
	case s.now.Sub(s.listTime()) > s.settings.MaxListAge:
		return "the instance list is older than " + s.settings.MaxListAge.String()
	case !s.Live(id):
		return "not live in the instance list"
	case !p.writable(c.instance.Record.Key()):
		return "a write of its record is under way"
	}
	if target := c.instance.Record.Target; target != "" {
		if _, exists := s.fleet.Pool(target); !exists {
			return fmt.Sprintf("pool %q does not exist", target)
		}
	}
	if reason := p.waveBlockReason(c); reason != "" {
		return reason
	}
	for _, svc := range p.servicesByPool[c.instance.Record.Pool] {
		if reason := p.serviceBlockReason(svc, c); reason != "" {
			return reason
		}
	}
	return ""
}

func (p *pass) waveBlockReason(c candidate) string {
	w := c.wave
	switch {
	case w.ID == "" || p.hasReservation(c.instance.Record):
		return ""
	case w.MaxUnavailable > 0 && p.outByWave[w.ID] >= w.MaxUnavailable:
		return fmt.Sprintf("wave %q has its most of %d instances out", w.ID, w.MaxUnavailable)
	case len(p.zonesOut) > 0 && !p.zonesOut[c.place.Zone]:
		return "instances of another zone are out"
	default:
		return ""
	}
}

func (p *pass) serviceBlockReason(svc *service, c candidate) string {
	name := svc.config.Name
	if svc.hasEntry(c.instance.Record.ID) {
		return ""
	}
	if !p.writable(svc.ledger.Key()) {
		return fmt.Sprintf("a write of the ledger of service %q is under way", name)
	}
	if c.wave.ID != "" && len(svc.domainsOut) > 0 && !svc.domainsOut[svc.domain.NameOf(c.place)] {
		return fmt.Sprintf("service %q has instances of another %s out", name, svc.domain)
	}
	if readBack, _ := p.state.readAhead.Get(name); readBack > p.state.watchRevision {
		// The instance records may be older than the ledger and still show an instance as serving that has moved away.
		return fmt.Sprintf("the ledger of service %q is newer than the instance records", name)
	}
	if svc.headroomWithout(c.place) < 0 {
		return fmt.Sprintf("service %q has %d serving and needs %d after the loss of its largest %s",
			name, svc.servingTotal, svc.config.Budget.Available, svc.domain)
	}
	if until, ok := p.state.cooldowns.Get(name); ok && p.state.now.Before(until) {
		return fmt.Sprintf("service %q lost instances and is left alone", name)
	}
	return ""
}

// reserve adds the candidate to the ledgers of its pool's services. In a pool without services there is no budget,
// so the instance starts to drain at once.
func (p *pass) reserve(c candidate) {
	r := c.instance.Record
	if c.wave.ID != "" && !p.hasReservation(r) {
		p.outByWave[c.wave.ID]++
		p.zonesOut[c.place.Zone] = true
	}
	services := p.servicesByPool[r.Pool]
	if len(services) == 0 {
		p.startDrain(c.instance, c.wave.ID)
		return
	}
	for _, svc := range services {
		if svc.hasEntry(r.ID) {
			continue
		}
		svc.ledger = svc.ledger.WithInstance(r.ID, c.instance.Revision)
		svc.changed = true
		svc.addServing(c.place, -1)
		svc.domainsOut[svc.domain.NameOf(c.place)] = true
	}
}
