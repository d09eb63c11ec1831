package quota

import (
	"math/bits"

	"teaselloft/internal/model/job"
)

// Scaled returns the limit to apply while the configuration has the given maximum. A lower maximum than that of the record
// lowers the limit in proportion; a higher one does not raise it. The result is 0 for a resource without a maximum, which the
// caller must not apply. It is also 0 for a resource that the record does not limit, and without a record: parts that owners
// derive from their configurations could together exceed the maximum, because owners learn of a new configuration at
// different times.
func (l Limit) Scaled(maximum job.Resources) job.Resources {
	return job.Resources{
		CPU:    scale(l.Limit.CPU, l.Maximum.CPU, maximum.CPU),
		Memory: scale(l.Limit.Memory, l.Maximum.Memory, maximum.Memory),
		GPU:    scale(l.Limit.GPU, l.Maximum.GPU, maximum.GPU),
	}
}

// scale returns limit x to / from, rounded down, without an intermediate overflow.
func scale(limit, from, to int64) int64 {
	switch {
	case to <= 0 || from <= 0:
		return 0
	case to >= from || limit <= 0:
		return limit
	}
	high, low := bits.Mul64(uint64(limit), uint64(to))
	if high >= uint64(from) {
		return limit // more than the record's maximum by many times: only a damaged record has it
	}
	q, _ := bits.Div64(high, low, uint64(from))
	return int64(q)
}
