package fairshare

import (
	"cmp"
	"math"
	"slices"

	"teaselloft/internal/model/job"
)

// Unlimited is the bound of a resource that is not limited.
const Unlimited = math.MaxInt64

// Account is a client account that uses the pool or has tasks for it.
type Account struct {
	Weight float64 // positive
	Used   job.Resources
	Ready  bool // it has tasks that could start now
}

// Dominant returns the largest of the shares of the capacity that are used.
func Dominant(used, capacity job.Resources) float64 {
	return max(share(used.CPU, capacity.CPU), share(used.Memory, capacity.Memory), share(used.GPU, capacity.GPU))
}

func share(used, capacity int64) float64 {
	switch {
	case used <= 0:
		return 0
	case capacity <= 0:
		return 1
	}
	return float64(used) / float64(capacity)
}

// Level returns the dominant share per unit of weight that is fair: if every account that is ready uses its weight times
// the level, and every other one what it uses now but not more than that, the pool is full.
func Level(capacity job.Resources, accounts []Account) float64 {
	type idle struct{ weight, used float64 }
	var others []idle
	room, weights := 1.0, 0.0
	for _, a := range accounts {
		weights += a.Weight
		if !a.Ready {
			others = append(others, idle{weight: a.Weight, used: Dominant(a.Used, capacity)})
		}
	}
	// Those that use the least per weight leave the most to the rest.
	slices.SortFunc(others, func(a, b idle) int { return cmp.Compare(a.used/a.weight, b.used/b.weight) })
	for _, a := range others {
		if a.used/a.weight >= room/weights {
			break
		}
		room, weights = room-a.used, weights-a.weight
	}
	if weights <= 0 {
		return math.Inf(1) // nobody is ready
	}
	return room / weights
}

// Share returns the bound up to which an account of a weight may start tasks before accounts that exceed theirs.
func Share(capacity job.Resources, weight, level float64) job.Resources {
	part := func(amount int64) int64 { return int64(math.Round(min(weight*level, 1) * float64(amount))) }
	return job.Resources{CPU: part(capacity.CPU), Memory: part(capacity.Memory), GPU: part(capacity.GPU)}
}

// Tasks returns how many of a number of equal tasks an account may start within a bound.
func Tasks(bound, used, need job.Resources, most int) int {
	n := fit(bound.CPU, used.CPU, need.CPU, int64(most))
	n = fit(bound.Memory, used.Memory, need.Memory, n)
	return int(fit(bound.GPU, used.GPU, need.GPU, n))
}

func fit(bound, used, need, most int64) int64 {
	switch {
	case used > bound:
		return 0
	case need <= 0:
		return most
	}
	return min(most, (bound-used)/need)
}
