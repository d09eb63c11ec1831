package wave_test

import (
	"slices"

	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// checkWrite checks the invariants of a record before it replaces the stored one.
func (w *world) checkWrite(r record.Record) {
	switch r := r.(type) {
	case record.Instance:
		before := w.instance(r.ID)
		if _, ok := w.fleet.Pool(r.Pool); !ok {
			w.fail("instance %s is in pool %q, which does not exist", r.ID, r.Pool)
		}
		if r.Pool != before.Pool && (before.State == record.Serving || before.State == record.Draining || r.Pool != before.Target) {
			w.fail("instance %s moved from %s to %s in state %s with target %q", r.ID, before.Pool, r.Pool, before.State, before.Target)
		}
		if r.State == record.Rebooting && w.inFlight[r.ID] > 0 {
			w.fail("instance %s reboots with %d requests in flight", r.ID, w.inFlight[r.ID])
		}
	case record.Ledger:
		before := w.ledger(r.Service)
		if r.Epoch < before.Epoch {
			w.fail("ledger %s went back from epoch %d to %d", r.Service, before.Epoch, r.Epoch)
		}
		w.checkReserved(before, r)
	case record.Wave, record.Member, record.Owner, record.Claim, record.ClaimSegment, record.ConfigHead:
	}
}

// checkReserved checks by the stored records that additional ledger entries leave the budget intact.
func (w *world) checkReserved(before, after record.Ledger) {
	added := slices.ContainsFunc(after.Out, func(id string) bool { return !slices.Contains(before.Out, id) })
	if !added {
		return
	}
	serving := func(id string) bool { return w.instance(id).State == record.Serving }
	if n := w.headroom(after, func(id string) string { return w.instance(id).Pool }, serving); n < 0 {
		w.fail("ledger of %s is oversubscribed by %d: %v", after.Service, -n, after.Out)
	}
}

// headroom computes the headroom of a service with the given ledger independently of the planner.
func (w *world) headroom(l record.Ledger, pool func(string) string, serving func(string) bool) int {
	s, _ := w.fleet.Service(l.Service)
	counts := map[string]int{}
	total, largest := 0, 0
	for _, id := range w.ids() {
		if pool(id) != s.Pool || !serving(id) || slices.Contains(l.Out, id) {
			continue
		}
		i, _ := w.declared(id)
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
func (w *world) checkPlanner(p *planner, e wave.Write) {
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
	if n := w.headroom(l, pool, serving); n < 0 {
		w.fail("planner reserves %d more than the known headroom of %s: %v", -n, l.Service, l.Out)
	}
	if !w.now.Before(p.until) {
		w.fail("planner writes the ledger of %s after its epoch expired", l.Service)
	}
}

// checkStore checks that every instance out of service has an entry in each ledger of its pool.
func (w *world) checkStore() {
	for _, id := range w.ids() {
		r := w.instance(id)
		if r.State == record.Serving {
			continue
		}
		for _, s := range w.fleet.Services {
			if s.Pool == r.Pool && !slices.Contains(w.ledger(s.Name).Out, id) {
				w.fail("instance %s is %s without an entry in the ledger of %s", id, r.State, s.Name)
			}
		}
	}
}
