package capacity

import (
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// Settings tune the sizing of pools.
type Settings struct {
	WindowMinutes int           // length of the demand history that is kept
	Quantile      float64       // of the per-minute demand that counts as the peak
	ShrinkFactor  float64       // an instance is surplus if the pool covers the peak times this factor without it
	Dwell         time.Duration // how long a shortage or surplus must last before an instance moves
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		WindowMinutes: 6 * 60,
		Quantile:      0.95,
		ShrinkFactor:  1.1, // hysteresis: a rise in demand of up to 10% takes back no instance just given up
		Dwell:         10 * time.Minute,
	}
}

// demandHistory is the measured demand of one service, in slots.
type demandHistory struct {
	minute time.Time // start of the current minute
	sum    float64   // of the current minute's samples
	count  int       // of the current minute's samples
	means  []float64 // of the past minutes, oldest first; copied on write
}

// imbalance records since when a pool has had too few or too many instances; the zero time means that it has not.
type imbalance struct {
	shortageSince time.Time
	surplusSince  time.Time
}

// State holds the measured demand and the imbalance of each service. It is immutable.
type State struct {
	settings   Settings
	demand     *immutable.SortedMap[string, demandHistory]
	imbalances *immutable.SortedMap[string, imbalance]
}

// New returns a state without samples.
func New(s Settings) State {
	return State{
		settings:   s,
		demand:     immutable.NewSortedMap[string, demandHistory](nil),
		imbalances: immutable.NewSortedMap[string, imbalance](nil),
	}
}

// Peak returns the configured quantile of the service's per-minute demand over the window, in slots.
func (s State) Peak(service string) float64 {
	d, _ := s.demand.Get(service)
	if len(d.means) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d.means))
	rank := int(math.Ceil(s.settings.Quantile*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// withSample returns a copy with one more sample. Each minute is kept as its mean, which smooths out peaks of
// a few seconds.
func (s State) withSample(service string, value float64, now time.Time) State {
	d, _ := s.demand.Get(service)
	minute := now.Truncate(time.Minute)
	if !minute.Equal(d.minute) {
		if d.count > 0 {
			keep := d.means[max(0, len(d.means)+1-s.settings.WindowMinutes):]
			d.means = append(slices.Clone(keep), d.sum/float64(d.count))
		}
		d.minute, d.sum, d.count = minute, 0, 0
	}
	d.sum += value
	d.count++
	s.demand = s.demand.Set(service, d)
	return s
}

// withImbalance returns a copy that records whether the service's pool has a shortage or a surplus at now.
func (s State) withImbalance(service string, shortage, surplus bool, now time.Time) State {
	since, _ := s.imbalances.Get(service)
	since.shortageSince = conditionSince(since.shortageSince, shortage, now)
	since.surplusSince = conditionSince(since.surplusSince, surplus, now)
	s.imbalances = s.imbalances.Set(service, since)
	return s
}

// conditionSince returns since when a condition has held: unchanged if it held before, the zero time if it does not.
func conditionSince(before time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	default:
		return before
	}
}

// persists returns whether the condition has held since then for at least the dwell time.
func (s State) persists(since, now time.Time) bool {
	return !since.IsZero() && now.Sub(since) >= s.settings.Dwell
}
