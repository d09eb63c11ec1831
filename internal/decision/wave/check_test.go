package wave_test

import (
	"slices"

	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// checkWrite checks the invariants of a record before it replaces the stored one.
func (sim *simulation) checkWrite(r record.Record) {
	switch r := r.(type) {
	case record.Instance:
		before := sim.instance(r.ID)
		if _, ok := sim.fleet.Pool(r.Pool); !ok {
			sim.fail("instance %s is in pool %q, which does not exist", r.ID, r.Pool)
		}
		if r.Pool != before.Pool && (before.State == record.Serving || before.State == record.Draining || r.Pool != before.Target) {
			sim.fail("instance %s moved from %s to %s in state %s with target %q", r.ID, before.Pool, r.Pool, before.State, before.Target)
		}
		if r.State == record.Rebooting && sim.inFlight[r.ID] > 0 {
			sim.fail("instance %s reboots with %d requests in flight", r.ID, sim.inFlight[r.ID])
		}
	case record.Ledger:
		before := sim.ledger(r.Service)
		if r.Epoch < before.Epoch {
			sim.fail("ledger %s went back from epoch %d to %d", r.Service, before.Epoch, r.Epoch)
		}
		sim.checkReserved(before, r)
	case record.Wave, record.Member, record.Owner, record.Claim, record.ClaimSegment, record.ConfigHead:
	}
}

// checkReserved checks by the stored records that additional ledger entries leave the budget intact.
func (sim *simulation) checkReserved(before, after record.Ledger) {
	added := slices.ContainsFunc(after.Out, func(id string) bool { return !slices.Contains(before.Out, id) })
	if !added {
		return
	}
	serving := func(id string) bool { return sim.instance(id).State == record.Serving }
	if n := sim.headroom(after, func(id string) string { return sim.instance(id).Pool }, serving); n < 0 {
		sim.fail("ledger of %s is oversubscribed by %d: %v", after.Service, -n, after.Out)
	}
}

// headroom computes the headroom of a service with the given ledger independently of the planner.
func (sim *simulation) headroom(l record.Ledger, pool func(string) string, serving func(string) bool) int {
	s, _ := sim.fleet.Service(l.Service)
	counts := map[string]int{}
	total, largest := 0, 0
	for _, id := range sim.ids() {
		if pool(id) != s.Pool || !serving(id) || slices.Contains(l.Out, id) {
			continue
		}
		i, _ := sim.declared(id)
		domain := i.Zone
		if s.Budget.Domain == fleet.DomainRack {
			domain = i.Rack
		}
		total++
		counts[domain]++
		largest = max(largest, counts[domain])
	}
	return total - largest - s.Budget.Available
}

// checkPlanner checks that a planner reserves no more than the headroom in its own state, and only while it owns the
// epoch.
func (sim *simulation) checkPlanner(p *planner, e wave.Write) {
	l, ok := e.Record.(record.Ledger)
	if !ok {
		return
	}
	before := p.state.Ledger(l.Service).Record
	if !slices.ContainsFunc(l.Out, func(id string) bool { return !slices.Contains(before.Out, id) }) {
		return
	}
	get := func(id string) record.Instance { k, _ := p.state.Instance(id); return k.Record }
	pool := func(id string) string { return get(id).Pool }
	serving := func(id string) bool { return get(id).State == record.Serving && p.state.Live(id) }
	if n := sim.headroom(l, pool, serving); n < 0 {
		sim.fail("planner reserves %d more than the known headroom of %s: %v", -n, l.Service, l.Out)
	}
	if !sim.now.Before(p.until) {
		sim.fail("planner writes the ledger of %s after its epoch expired", l.Service)
	}
}

// checkStore checks that every instance out of service has an entry in each ledger of its pool.
func (sim *simulation) checkStore() {
	for _, id := range sim.ids() {
		r := sim.instance(id)
		if r.State == record.Serving {
			continue
		}
		for _, s := range sim.fleet.Services {
			if s.Pool == r.Pool && !slices.Contains(sim.ledger(s.Name).Out, id) {
				sim.fail("instance %s is %s without an entry in the ledger of %s", id, r.State, s.Name)
			}
		}
	}
}
