package quota

import (
	"teaselloft/internal/model/job"
)

// kinds is the number of resources, and amounts holds an amount of each.
const kinds = 3

type amounts [kinds]int64

// largestAmount is more than any site has; sums over all pools stay within int64.
const largestAmount = job.MaxResource * job.MaxTasks

// amountsOf returns the amounts of resources. A negative one is a sum that has overflowed.
func amountsOf(r job.Resources) amounts {
	a := amounts{r.CPU, r.Memory, r.GPU}
	for i := range a {
		if a[i] < 0 || a[i] > largestAmount {
			a[i] = largestAmount
		}
	}
	return a
}

// plus returns a + b.
func (a amounts) plus(b amounts) amounts {
	for r := range a {
		a[r] += b[r]
	}
	return a
}

func (a amounts) resources() job.Resources {
	return job.Resources{CPU: a[0], Memory: a[1], GPU: a[2]}
}

// maxOf returns the larger amount of each resource.
func maxOf(a, b amounts) amounts {
	for r := range a {
		a[r] = max(a[r], b[r])
	}
	return a
}

// isNone reports whether all amounts are zero.
func (a amounts) isNone() bool { return a == amounts{} }

// fill allocates an amount by max-min fairness: each element gets the same level, but at least its floor and at most its
// demand. The floors must fit in the available amount.
func fill(available int64, floors, demands []int64) []int64 {
	out := make([]int64, len(demands))
	total := func(level int64) int64 {
		sum := int64(0)
		for i := range demands {
			out[i] = max(floors[i], min(level, demands[i]))
			sum += out[i]
		}
		return sum
	}
	low, high := int64(0), max(0, available) // the level is in low..high
	for low < high {
		if level := low + (high-low+1)/2; total(level) <= available {
			low = level
		} else {
			high = level - 1
		}
	}
	total(low)
	return out
}
