package wave_test

import (
	"slices"

	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// checkWrite checks a value before it replaces the stored one.
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
		if r.State == record.Rebooting && w.busy[r.ID] > 0 {
			w.fail("instance %s reboots with %d requests in flight", r.ID, w.busy[r.ID])
		}
	case record.Ledger:
		before := w.ledger(r.Service)
		if r.Epoch < before.Epoch {
			w.fail("ledger %s went back from epoch %d to %d", r.Service, before.Epoch, r.Epoch)
		}
		w.checkSubscribed(before, r)
	case record.Wave, record.Member, record.Owner, record.Claim, record.ClaimSegment, record.ConfigHead:
	}
}

// checkSubscribed checks that a ledger with more entries still leaves the budget by the stored records.
func (w *world) checkSubscribed(before, after record.Ledger) {
	added := slices.ContainsFunc(after.Out, func(id string) bool { return !slices.Contains(before.Out, id) })
	if !added {
		return
	}
	serving := func(id string) bool { return w.instance(id).State == record.Serving }
	if left := w.left(after, func(id string) string { return w.instance(id).Pool }, serving); left < 0 {
		w.fail("ledger of %s is oversubscribed by %d: %v", after.Service, -left, after.Out)
	}
}

// left returns the headroom of a service with the given ledger, counted independently of the planner.
func (w *world) left(l record.Ledger, pool func(string) string, serving func(string) bool) int {
	s, _ := w.fleet.Service(l.Service)
	counts := map[string]int{}
	total, most := 0, 0
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
		most = max(most, counts[domain])
	}
	return total - most - s.Budget.Available
}

// checkKnown checks that what a planner takes out leaves the budget by everything it was told.
func (w *world) checkKnown(p *planner, e wave.Write) {
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
	if left := w.left(l, pool, serving); left < 0 {
		w.fail("planner spends %d more than the headroom of %s that it knows: %v", -left, l.Service, l.Out)
	}
	if !w.now.Before(p.until) {
		w.fail("planner writes the ledger of %s without a proof of its epoch", l.Service)
	}
}

// checkStore checks that every instance out of service holds headroom in each ledger of its pool.
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
