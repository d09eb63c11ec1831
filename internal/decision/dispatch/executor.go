package dispatch

import (
	"math"
	"slices"
	"time"

	"teaselloft/internal/model/message"
)

// executor is the owner's view of one executor.
type executor struct {
	target    message.Executor
	available bool
	used      int
	long      int
	reserved  int // static shares of members that do not answer
	recent    float64
	failures  int // consecutive
	ejections int // since the last success
	until     time.Time
	probation bool // after an ejection: one grant at a time until one succeeds
}

// recentWeight is the weight of the latest grant in an executor's recent share; it spans about 256 grants.
const recentWeight = 1.0 / 256

// ejected reports whether failures keep the executor from new grants.
func (e executor) ejected(now time.Time) bool {
	return now.Before(e.until) || e.probation && e.used > 0
}

// free returns the number of slots that can be granted.
func (e executor) free(slots int, now time.Time) int {
	if !e.available || e.ejected(now) {
		return 0
	}
	return max(0, slots-e.used-e.reserved)
}

// WithGrant returns a copy with one more slot in use.
func (e executor) WithGrant(s size) executor {
	e.used++
	if s == long {
		e.long++
	}
	return e
}

// WithRelease returns a copy with one slot less in use.
func (e executor) WithRelease(s size) executor {
	e.used--
	if s == long {
		e.long--
	}
	return e
}

// WithOutcome returns a copy that has learned from the end of a send; allowed says whether it may be ejected.
func (e executor) WithOutcome(o message.Outcome, now time.Time, opts Options, allowed bool) executor {
	if o == message.Answered {
		e.failures = 0
		e.ejections = 0
		e.probation = false
		return e
	}
	e.failures++
	if !allowed || e.failures < opts.Failures && !e.probation {
		return e
	}
	e.until = now.Add(min(opts.Ejection<<min(e.ejections, 10), opts.EjectionMost))
	e.ejections++
	e.failures = 0
	e.probation = true
	return e
}

// withExecutor returns a copy in which the executor at i is e.
func (s State) withExecutor(i int, e executor) State {
	s.executors = slices.Clone(s.executors)
	s.executors[i] = e
	return s
}

// executorIndex returns the position of an executor, or -1.
func (s State) executorIndex(id string) int {
	return slices.IndexFunc(s.executors, func(e executor) bool { return e.target.ID == id })
}

// mayEject reports whether another ejection leaves at least half of the available executors.
func (s State) mayEject() bool {
	available, out := 0, 0
	for _, e := range s.executors {
		if e.available {
			available++
			if s.now.Before(e.until) {
				out++
			}
		}
	}
	return 2*(out+1) <= available
}

// withRecent returns a copy that counts a grant to the executor at i in the recent shares.
func (s State) withRecent(i int) State {
	s.executors = slices.Clone(s.executors)
	for j := range s.executors {
		s.executors[j].recent *= 1 - recentWeight
	}
	s.executors[i].recent += recentWeight
	return s
}

// capacity sums up what is free over the executors.
type capacity struct {
	total int // slots of available executors, without static shares
	free  int
	long  int // slots that long work uses
	short int // slots that other work uses
}

func (s State) capacity() capacity {
	var c capacity
	for _, e := range s.executors {
		c.long += e.long
		c.short += e.used - e.long
		if e.available {
			c.total += max(0, s.service.Slots-e.reserved)
			c.free += e.free(s.service.Slots, s.now)
		}
	}
	return c
}

// zoneBonus and recentFactor weigh an executor's zone and its share of recent grants against a slot in use.
// With 8 in place of 24 the spread after a replacement was 1.2, above the target of 1.1; 64 took away half of what the zone saves.
const (
	zoneBonus    = 0.25
	recentFactor = 24.0
)

// choose returns the position of the best executor for a ticket, or -1.
func (s State) choose(t ticket) int {
	best, least := -1, 0.0
	for i, e := range s.executors {
		if e.free(s.service.Slots, s.now) == 0 || slices.Contains(t.exclude, e.target.ID) {
			continue
		}
		if t.size == long && e.long >= s.longSlots(s.service.Slots) {
			continue
		}
		score := float64(e.used+e.reserved) + recentFactor*e.recent*float64(len(s.executors))
		if e.target.Zone == t.request.Zone {
			score -= zoneBonus
		}
		if best < 0 || score < least {
			best, least = i, score
		}
	}
	return best
}

// longSlots returns how many of the given slots long work may hold.
func (s State) longSlots(slots int) int {
	return max(1, int(float64(slots)*s.longCap))
}

// leastPeak is the peak of short work, in slots, that is taken for none.
const leastPeak = 0.5

// withCap returns a copy whose cap on long work leaves room for the recent peak of short work.
func (s State) withCap(c capacity) State {
	s.longCap = s.options.LongCap
	if s.options.CapDecay == 0 || c.total == 0 {
		return s
	}
	halves := s.now.Sub(s.peakAt).Seconds() / s.options.CapDecay.Seconds()
	s.peak = max(float64(c.short), s.peak*math.Exp2(-halves))
	s.peakAt = s.now
	if s.peak < leastPeak {
		s.peak = 0
	}
	s.longCap = max(s.longCap, 1-s.options.Reserve-s.peak/float64(c.total))
	return s
}

// capRises returns when the cap lets one more long request in, or the zero time when waiting does not help.
func (s State) capRises(c capacity) time.Time {
	room := float64(c.total)*(1-s.options.Reserve) - float64(c.long+1)
	target := max(room, leastPeak)
	if s.options.CapDecay == 0 || room < float64(c.short) || s.peak <= target || c.free == 0 {
		return time.Time{}
	}
	decay := math.Log2(s.peak/target) * float64(s.options.CapDecay)
	return s.peakAt.Add(time.Duration(decay) + time.Millisecond)
}
