package capacity

import (
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// Settings are the limits of the decision.
type Settings struct {
	Window   int           // minutes of demand that are kept
	Quantile float64       // of the minutes that is the observed peak
	Shrink   float64       // factor on the peak below which an instance is given back
	Dwell    time.Duration // for which a surplus or shortage must last
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Window:   6 * 60,
		Quantile: 0.95,
		Shrink:   1.1, // the second threshold: demand that rises by less brings no instance back
		Dwell:    10 * time.Minute,
	}
}

// demand is the measured demand of one service.
type demand struct {
	minute time.Time // that is being summed up
	sum    float64
	count  int
	means  []float64 // of the past minutes, oldest first; never changed in place
}

// trend says since when a service holds too few or too many instances.
type trend struct {
	short time.Time // zero while it does not
	over  time.Time
}

// State is the measured demand and the trends by service; it is an immutable value.
type State struct {
	settings Settings
	demand   *immutable.SortedMap[string, demand]
	trends   *immutable.SortedMap[string, trend]
}

// New returns a state that has measured nothing.
func New(s Settings) State {
	return State{
		settings: s,
		demand:   immutable.NewSortedMap[string, demand](nil),
		trends:   immutable.NewSortedMap[string, trend](nil),
	}
}

// Peak returns the quantile of the service's demand over the window, in slots.
func (s State) Peak(service string) float64 {
	d, _ := s.demand.Get(service)
	if len(d.means) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d.means))
	rank := int(math.Ceil(s.settings.Quantile*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// withSample returns a copy that has measured one value; minutes are kept as means, so that peaks of seconds vanish.
func (s State) withSample(service string, value float64, now time.Time) State {
	d, _ := s.demand.Get(service)
	minute := now.Truncate(time.Minute)
	if !minute.Equal(d.minute) {
		if d.count > 0 {
			keep := d.means[max(0, len(d.means)+1-s.settings.Window):]
			d.means = append(slices.Clone(keep), d.sum/float64(d.count))
		}
		d.minute, d.sum, d.count = minute, 0, 0
	}
	d.sum += value
	d.count++
	s.demand = s.demand.Set(service, d)
	return s
}

// withTrend returns a copy with the trend of a service at the given time.
func (s State) withTrend(service string, short, over bool, now time.Time) State {
	t, _ := s.trends.Get(service)
	t.short = since(t.short, short, now)
	t.over = since(t.over, over, now)
	s.trends = s.trends.Set(service, t)
	return s
}

func since(before time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	default:
		return before
	}
}

// lasts returns whether the trend holds for the dwell.
func (s State) lasts(t, now time.Time) bool {
	return !t.IsZero() && now.Sub(t) >= s.settings.Dwell
}
