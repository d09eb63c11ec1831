package quota

import (
	"cmp"
	"maps"
	"slices"

	"teaselloft/internal/model/quota"
)

// Reasons of a new division, as the log shows them.
const (
	reasonDemand  = "demand"
	reasonMaximum = "maximum"
	reasonRemoved = "removed"
	reasonNew     = "new"
	reasonUnknown = "unknown limit in force"
)

// view is what counts of a pool in the division of one account.
type view struct {
	name                  string
	share                 share
	used, wanted, largest amounts
	active, fresh         bool
	reducible             bool    // its limit and bound may be lowered in this write
	confirmed             bool    // its owner applies the lowered limit, so that only that and its runs count
	mayUse                amounts // at most, without regard to its limit
	floor                 amounts // least bound with the present limit
	demand                amounts
	target                amounts
	limit, bound          amounts // proposed
}

// division is the division of one account under construction.
type division struct {
	account   account
	capacity  amounts // maximum, or the largest task if that is more and nothing else is to run
	pools     []view
	mayRaise  [kinds]bool
	reason    string
	justified bool
	raised    bool
}

// proposal is a division that is worth a write.
type proposal struct {
	pools   []view
	reduced []string // pools whose limit or bound falls, the largest reduction first
	reason  string
	maximum amounts
	raises  bool // a limit
}

func (p proposal) record(a account, version uint64) quota.Record {
	r := quota.Record{Version: version, Maximum: p.maximum.resources(), Pools: make(map[string]quota.Share, len(p.pools))}
	if a.removed {
		r.Maximum = a.record.Maximum
	}
	for _, v := range p.pools {
		r.Pools[v.name] = quota.Share{Limit: v.limit.resources(), Bound: v.bound.resources()}
	}
	return r
}

// propose returns a new division of an account if it is worth a write. Limits and bounds fall only where reducible allows
// it.
func (s State) propose(name string, a account, reducible func(pool string) bool) (proposal, bool) {
	if s.isSettled(name, a) {
		return proposal{}, false
	}
	d := s.newDivision(name, a, reducible)
	d.setTargets(s.now)
	d.require()
	for r := range d.capacity {
		if a.maximum[r] > 0 {
			d.lower(r)
			d.raise(r)
		}
	}
	p := proposal{pools: d.pools, reason: cmp.Or(d.reason, reasonDemand), maximum: a.maximum, raises: d.raised}
	if !d.justified {
		return p, false
	}
	reduction := map[string]float64{}
	for _, v := range d.pools {
		for r := range v.limit {
			if v.limit[r] < v.share.limit[r] || v.bound[r] < v.share.bound[r] {
				fall := v.share.limit[r] - v.limit[r] + v.share.bound[r] - v.bound[r]
				reduction[v.name] += float64(fall) / float64(max(1, a.maximum[r]))
			}
		}
	}
	p.reduced = slices.SortedFunc(maps.Keys(reduction), func(x, y string) int {
		return cmp.Or(cmp.Compare(reduction[y], reduction[x]), cmp.Compare(x, y))
	})
	return p, true
}

// isSettled reports whether no pool could use more than its limit, and nothing else requires a write. It spares the
// division of most accounts.
func (s State) isSettled(name string, a account) bool {
	if a.record.Version == 0 && !a.removed {
		return false
	}
	recorded := amountsOf(a.record.Maximum)
	var limits amounts // or the use that exceeds them
	for pool, x := range a.shares {
		p := s.pools[pool]
		u := p.use(name)
		demand := amountsOf(u.Used).plus(amountsOf(u.Wanted))
		for r, maximum := range a.maximum {
			limits[r] += max(x.limit[r], s.mayUse(p, x, name)[r])
			if maximum > 0 && s.isFresh(p) && demand[r] > x.limit[r] {
				return false
			}
		}
		if x.lowered > a.record.Version {
			return false
		}
	}
	for r, maximum := range a.maximum {
		if maximum > 0 && (limits[r] > maximum || a.removed) || recorded[r] > maximum {
			return false
		}
	}
	return true
}

func (s State) newDivision(name string, a account, reducible func(pool string) bool) *division {
	d := &division{account: a, capacity: a.maximum}
	for r := range d.mayRaise {
		d.mayRaise[r] = !a.removed && s.now >= a.raisesAfter[r]
	}
	recorded := amountsOf(a.record.Maximum)
	for _, pool := range slices.Sorted(maps.Keys(a.shares)) {
		p, x := s.pools[pool], a.shares[pool]
		scaled := amountsOf(quota.Limit{Maximum: a.record.Maximum, Limit: x.limit.resources()}.Scaled(a.maximum.resources()))
		for r := range a.maximum {
			switch {
			case a.maximum[r] == 0:
				x.limit[r], x.bound[r] = 0, 0 // of an earlier maximum
			case recorded[r] > a.maximum[r]:
				x.limit[r] = scaled[r] // so that owners do not go back to the unscaled one when the record has the new maximum
			}
		}
		v := view{name: pool, share: x, active: p.active, fresh: s.isFresh(p), reducible: reducible(pool), limit: x.limit, bound: x.bound, floor: x.bound}
		v.mayUse = s.mayUse(p, x, name)
		gone := s.isGone(p)
		if !gone {
			u := p.use(name)
			v.used, v.wanted, v.largest = amountsOf(u.Used), amountsOf(u.Wanted), amountsOf(u.Largest)
		}
		v.confirmed = gone || v.fresh && p.inForce[name] >= x.lowered && x.lowered <= a.record.Version
		for r := range v.floor {
			// An owner that still uses an earlier configuration may start tasks above the limit after its report.
			ended := v.bound[r] >= unbounded && s.hasEnded(p)
			if v.reducible && (v.confirmed || ended) && s.now >= a.raisesAfter[r] {
				v.floor[r] = max(x.limit[r], v.used[r])
			}
			d.mayRaise[r] = d.mayRaise[r] && !s.mustReport(p, x)
		}
		d.pools = append(d.pools, v)
	}
	return d
}

// each returns a value of each pool.
func each(pools []view, value func(v *view) int64) []int64 {
	out := make([]int64, len(pools))
	for i := range pools {
		out[i] = value(&pools[i])
	}
	return out
}

// sum returns the sum of a value over the pools.
func sum(pools []view, value func(v *view) int64) int64 {
	total := int64(0)
	for i := range pools {
		total += value(&pools[i])
	}
	return total
}

// require notes the reasons for which a write is necessary whatever the pools need.
func (d *division) require() {
	a := d.account
	recorded := amountsOf(a.record.Maximum)
	for r, maximum := range a.maximum {
		switch {
		case maximum > 0 && recorded[r] > maximum:
			d.justified, d.reason = true, reasonMaximum // owners scale their limits down until a record has the new maximum
		case recorded[r] > maximum && d.mayRaise[r]:
			d.justified, d.reason = true, reasonMaximum // the limits must not count once there is a maximum again
		}
	}
	// Without limits to give, a first record tells later lenders that there may be runs from the time without a quota.
	isUnbounded := slices.ContainsFunc(d.pools, func(v view) bool { return slices.Contains(v.bound[:], unbounded) })
	if d.isFirst() && (isUnbounded || d.mayRaise == [kinds]bool{true, true, true}) {
		d.justified, d.reason = true, reasonNew
	}
	for i := range d.pools {
		x := d.pools[i].share
		if x.lowered > a.record.Version {
			d.justified, d.reason = true, reasonUnknown
		}
	}
}

// isFirst reports whether the account has no record yet, so that nothing can start. The first record also gives limits to
// pools without demand.
func (d *division) isFirst() bool { return d.account.record.Version == 0 && !d.account.removed }

// lower lowers limits of a resource to their targets, if pools would otherwise lack it or the limits exceed the maximum.
func (d *division) lower(r int) {
	over := sum(d.pools, func(v *view) int64 { return max(v.limit[r], v.mayUse[r]) }) > d.capacity[r]
	switch {
	case d.account.removed:
		over = sum(d.pools, func(v *view) int64 { return v.limit[r] }) > 0
	case over:
		d.keepRoomFree(r)
	}
	excess := sum(d.pools, func(v *view) int64 {
		if !v.reducible {
			return 0
		}
		return max(0, v.limit[r]-v.target[r])
	})
	lacking := sum(d.pools, func(v *view) int64 {
		if !d.isShort(v, r) {
			return 0
		}
		return max(0, v.target[r]-max(v.limit[r], v.floor[r]))
	})
	lacking -= max(0, d.free(r)) + sum(d.pools, func(v *view) int64 {
		if !v.fresh || v.confirmed {
			return 0
		}
		return max(0, v.bound[r]-max(v.limit[r], v.used[r])) // freed once the owner confirms its limit
	})
	unit := max(1, d.account.maximum[r]/gainDivisor)
	if excess == 0 || !over && (lacking <= 0 || excess < min(lacking, unit)) {
		return
	}
	for i := range d.pools {
		if v := &d.pools[i]; v.reducible && v.limit[r] > v.target[r] {
			v.limit[r] = v.target[r]
			d.justified = true
		}
	}
	switch {
	case d.account.removed:
		d.reason = reasonRemoved
	case over:
		d.reason = reasonMaximum
	}
}

// keepRoomFree lowers the targets of a resource so that no pool starts tasks that bring the account above a lowered
// maximum while others still use more than their targets. Nothing may start while all together use the maximum.
func (d *division) keepRoomFree(r int) {
	room := d.capacity[r] - sum(d.pools, func(v *view) int64 { return v.mayUse[r] })
	if room <= 0 {
		for i := range d.pools {
			d.pools[i].target[r] = 0
		}
		return
	}
	wanted := each(d.pools, func(v *view) int64 { return max(0, v.target[r]-v.mayUse[r]) })
	for i, amount := range fill(room, make([]int64, len(wanted)), wanted) {
		if v := &d.pools[i]; v.target[r] > v.mayUse[r] {
			v.target[r] = v.mayUse[r] + amount
		}
	}
}

// free returns how much of a resource may be added to the bounds.
func (d *division) free(r int) int64 {
	return d.capacity[r] - sum(d.pools, func(v *view) int64 { return v.floor[r] })
}

// isShort reports whether a pool would hold back tasks for want of a resource and can get enough more to justify a write.
func (d *division) isShort(v *view, r int) bool {
	return v.fresh && v.demand[r] > v.share.limit[r] && v.target[r]-v.share.limit[r] >= d.leastGain(v, r)
}

// leastGain returns the increase of a limit that justifies a write: what the pool lacks, or a part of the maximum. If the
// target has room for any task of the pool, so must the limit after the write.
func (d *division) leastGain(v *view, r int) int64 {
	least := d.account.maximum[r] / gainDivisor
	if one := v.used[r] + v.largest[r]; v.target[r] >= one {
		least = max(least, one-v.share.limit[r])
	}
	return max(1, min(v.demand[r]-v.share.limit[r], least))
}

// raise raises limits of a resource by what is free: first those of the pools that are short, then the others.
func (d *division) raise(r int) {
	for i := range d.pools {
		v := &d.pools[i]
		v.bound[r] = v.floor[r]
	}
	free := d.free(r)
	if !d.mayRaise[r] || free < 0 {
		return
	}
	raised := false
	for _, short := range []bool{true, false} {
		wants := func(v *view) bool { return v.fresh && v.target[r] > v.limit[r] && d.isShort(v, r) == short }
		cost := func(v *view) int64 {
			if !wants(v) {
				return 0
			}
			return max(0, v.target[r]-v.bound[r])
		}
		grants := fill(free, make([]int64, len(d.pools)), each(d.pools, cost))
		for i := range d.pools {
			v := &d.pools[i]
			if !wants(v) {
				continue
			}
			limit := min(v.target[r], v.bound[r]+grants[i])
			if short && limit-v.share.limit[r] < d.leastGain(v, r) || !short && !raised && !d.isFirst() || limit <= v.limit[r] {
				continue
			}
			free -= max(0, limit-v.bound[r])
			v.limit[r], v.bound[r] = limit, max(v.bound[r], limit)
			raised, d.raised, d.justified = true, true, true
		}
	}
}
