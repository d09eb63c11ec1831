package quota

import (
	"slices"
	"time"
)

// setTargets sets the amounts that the pools should have. What the pools with a recent report can use is allocated by
// max-min fairness; the remainder is spread evenly. The other pools keep what they have.
func (d *division) setTargets(now time.Duration) {
	if d.account.removed {
		return // all targets are zero
	}
	for i := range d.pools {
		d.pools[i].demand = d.demandOf(&d.pools[i])
	}
	order := d.order(now)
	least := d.leastAmounts(order)
	for r, maximum := range d.account.maximum {
		if maximum > 0 {
			d.spread(r, d.keep(r), least)
		}
	}
}

// keep sets the targets of a resource for the pools without a recent report, and returns what is left for the others.
func (d *division) keep(r int) int64 {
	limits := sum(d.pools, func(v *view) int64 { return v.share.limit[r] })
	available := d.capacity[r]
	for i := range d.pools {
		v := &d.pools[i]
		if v.fresh {
			continue
		}
		v.target[r] = v.share.limit[r]
		if limits > d.capacity[r] {
			v.target[r] = int64(float64(v.share.limit[r]) * float64(d.capacity[r]) / float64(limits))
		}
		available -= v.floor[r]
	}
	return max(0, available)
}

// spread allocates an amount of a resource to the pools with a recent report.
func (d *division) spread(r int, available int64, least map[int]amounts) {
	demands, floors := make([]int64, len(d.pools)), make([]int64, len(d.pools))
	for i, g := range least {
		demands[i], floors[i] = max(d.pools[i].demand[r], g[r]), g[r]
	}
	spreadOver := int64(0)
	for i, amount := range fill(available, floors, demands) {
		v := &d.pools[i]
		if !v.fresh {
			continue
		}
		v.target[r] = amount
		available -= amount
		if v.active {
			spreadOver++
		}
	}
	for i := range d.pools {
		if v := &d.pools[i]; v.fresh && v.active && available > 0 {
			v.target[r] += available / spreadOver
		}
	}
}

// demandOf returns what a pool could use soon. A backlog counts only up to the present use or half of the maximum, so
// that a pool without free executors does not take what others can use. Limits beyond that grow with use.
func (d *division) demandOf(v *view) amounts {
	var demand amounts
	for r, maximum := range d.account.maximum {
		if maximum > 0 && v.fresh {
			demand[r] = v.used[r] + min(v.wanted[r], max(v.used[r], maximum/2, v.largest[r]))
		}
	}
	return demand
}

// order returns the indexes of the pools with demand. Which is first changes with time, so that each can start tasks if
// the maximum is not enough for a task in every pool.
func (d *division) order(now time.Duration) []int {
	var order []int
	for i := range d.pools {
		if !d.pools[i].demand.isNone() {
			order = append(order, i)
		}
	}
	if len(order) == 0 {
		return nil
	}
	first := int(now/turn) % len(order)
	return slices.Concat(order[first:], order[:first])
}

// leastAmounts returns, for the pools that get anything, the amount with which one of their tasks can run. A pool with a
// task that is larger than the maximum gets enough for it only if no pool has other tasks.
func (d *division) leastAmounts(order []int) map[int]amounts {
	available := d.capacity
	for i := range d.pools {
		for r := range available {
			if v := &d.pools[i]; !v.fresh {
				available[r] = max(0, available[r]-v.floor[r])
			}
		}
	}
	least := map[int]amounts{}
	for _, i := range order {
		if d.isOversized(&d.pools[i]) {
			continue
		}
		g, fits := d.pools[i].leastAmounts(d.account.maximum), true
		for r := range g {
			fits = fits && g[r] <= available[r]
		}
		if !fits {
			g = amounts{} // its smaller tasks
		}
		for r := range g {
			available[r] -= g[r]
		}
		least[i] = g
	}
	for _, i := range order {
		v := &d.pools[i]
		if !d.isOversized(v) {
			continue
		}
		if len(least) > 0 {
			least[i] = amounts{}
			continue
		}
		return map[int]amounts{i: d.leastOversized(v)}
	}
	return least
}

// leastOversized returns the amount for a pool with a task that is larger than the maximum. Beyond the maximum it gets a
// resource only once the other pools may use none of it, because it may run smaller tasks instead.
func (d *division) leastOversized(v *view) amounts {
	g := v.leastAmounts(d.account.maximum)
	for r, maximum := range d.account.maximum {
		if g[r] <= maximum {
			continue
		}
		if sum(d.pools, func(o *view) int64 { return o.floor[r] }) > v.floor[r] {
			g[r] = maximum
		} else {
			d.capacity[r] = g[r]
		}
	}
	return g
}

// leastAmounts returns the amount with which a task of the pool can run, in addition to nothing.
func (v *view) leastAmounts(maximum amounts) amounts {
	var g amounts
	for r := range g {
		if maximum[r] > 0 && v.wanted[r] > 0 {
			g[r] = v.largest[r]
		}
	}
	return g
}

// isOversized reports whether a task of the pool is larger than the maximum.
func (d *division) isOversized(v *view) bool {
	for r, maximum := range d.account.maximum {
		if maximum > 0 && v.wanted[r] > 0 && v.largest[r] > maximum {
			return true
		}
	}
	return false
}
