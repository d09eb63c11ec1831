package dispatch

import (
	"math"
	"slices"
	"time"

	"teaselloft/internal/model/message"
)

// executor is the owner's view of one executor.
type executor struct {
	target       message.Executor
	available    bool
	used         int     // slots granted
	long         int     // slots granted to long requests
	reserved     int     // slots in the static shares of members that may be using them
	recentShare  float64 // share of the service's recent grants
	failures     int     // consecutive
	ejections    int     // since the last success
	ejectedUntil time.Time
	probation    bool // after an ejection: one grant at a time until one succeeds
}

// recentWeight is the weight of the latest grant in an executor's recentShare, an exponential average over about 256
// grants.
const recentWeight = 1.0 / 256

// ejected reports whether the executor gets no new grant because of failures.
func (e executor) ejected(now time.Time) bool {
	return now.Before(e.ejectedUntil) || e.probation && e.used > 0
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

// WithRelease returns a copy with one less slot in use.
func (e executor) WithRelease(s size) executor {
	e.used--
	if s == long {
		e.long--
	}
	return e
}

// WithOutcome returns a copy updated with the outcome of a send; mayEject says whether the executor may be ejected.
func (e executor) WithOutcome(o message.Outcome, now time.Time, opts Options, mayEject bool) executor {
	if o == message.Answered {
		e.failures = 0
		e.ejections = 0
		e.probation = false
		return e
	}
	e.failures++
	if !mayEject || e.failures < opts.FailureThreshold && !e.probation {
		return e
	}
	e.ejectedUntil = now.Add(min(opts.BaseEjection<<min(e.ejections, 10), opts.MaxEjection))
	e.ejections++
	e.failures = 0
	e.probation = true
	return e
}

// withExecutor returns a copy with the executor at index i replaced by e.
func (s State) withExecutor(i int, e executor) State {
	s.executors = slices.Clone(s.executors)
	s.executors[i] = e
	return s
}

// executorIndex returns the index of an executor, or -1.
func (s State) executorIndex(id string) int {
	return slices.IndexFunc(s.executors, func(e executor) bool { return e.target.ID == id })
}

// mayEject reports whether at least half of the available executors remain after another ejection.
func (s State) mayEject() bool {
	available, ejected := 0, 0
	for _, e := range s.executors {
		if e.available {
			available++
			if s.now.Before(e.ejectedUntil) {
				ejected++
			}
		}
	}
	return 2*(ejected+1) <= available
}

// withRecentGrant returns a copy that counts a grant to the executor at index i in the recent shares.
func (s State) withRecentGrant(i int) State {
	s.executors = slices.Clone(s.executors)
	for j := range s.executors {
		s.executors[j].recentShare *= 1 - recentWeight
	}
	s.executors[i].recentShare += recentWeight
	return s
}

// capacity holds the slots of all executors.
type capacity struct {
	total int // slots of available executors, without reserved ones
	free  int // slots that can be granted now
	long  int // slots in use by long requests
	short int // slots in use by other requests
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

// zoneBonus and recentFactor weigh an executor's availability zone and its share of recent grants against a slot in
// use. With a recentFactor of 8, the busiest executor got 1.2 times the mean number of requests after all executors
// were replaced, above the bound of 1.1; 64 lost half of the savings from the zone bonus.
const (
	zoneBonus    = 0.25
	recentFactor = 24.0
)

// chooseExecutor returns the index of the best executor for a ticket, or -1.
func (s State) chooseExecutor(t ticket) int {
	best, bestScore := -1, 0.0
	for i, e := range s.executors {
		if e.free(s.service.Slots, s.now) == 0 || slices.Contains(t.exclude, e.target.ID) {
			continue
		}
		if t.size == long && e.long >= s.longSlots(s.service.Slots) {
			continue
		}
		score := float64(e.used+e.reserved) + recentFactor*e.recentShare*float64(len(s.executors))
		if e.target.Zone == t.request.Zone {
			score -= zoneBonus
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// longSlots returns how many of the given slots long requests may hold.
func (s State) longSlots(slots int) int {
	return max(1, int(float64(slots)*s.longCap))
}

// minPeak is the peak of short requests, in slots, below which the peak counts as 0.
const minPeak = 0.5

// withLongCap returns a copy whose cap on long requests leaves room for the recent peak of short ones.
func (s State) withLongCap(c capacity) State {
	s.longCap = s.options.LongCap
	if s.options.PeakHalfLife == 0 || c.total == 0 {
		return s
	}
	halfLives := s.now.Sub(s.shortPeakAt).Seconds() / s.options.PeakHalfLife.Seconds()
	s.shortPeak = max(float64(c.short), s.shortPeak*math.Exp2(-halfLives))
	s.shortPeakAt = s.now
	if s.shortPeak < minPeak {
		s.shortPeak = 0
	}
	s.longCap = max(s.longCap, 1-s.options.UrgentReserve-s.shortPeak/float64(c.total))
	return s
}

// nextCapRise returns when the cap will allow one more long request because the peak of short requests has decayed far
// enough, or the zero time if waiting does not help.
func (s State) nextCapRise(c capacity) time.Time {
	// The largest peak at which the cap allows one more long request than there are now.
	allowedPeak := float64(c.total)*(1-s.options.UrgentReserve) - float64(c.long+1)
	targetPeak := max(allowedPeak, minPeak)
	if s.options.PeakHalfLife == 0 || allowedPeak < float64(c.short) || s.shortPeak <= targetPeak || c.free == 0 {
		return time.Time{}
	}
	decay := math.Log2(s.shortPeak/targetPeak) * float64(s.options.PeakHalfLife)
	return s.shortPeakAt.Add(time.Duration(decay) + time.Millisecond)
}
