package wave

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// ErrNoConvergence means that a dry run did not finish within its limit of steps.
var ErrNoConvergence = errors.New("dry run does not converge")

// Estimates holds the durations that a dry run assumes, by instance.
type Estimates struct {
	Drain   func(instance string) time.Duration
	Reboot  func(instance string) time.Duration
	OnWrite func(r record.Record) // called for each simulated write unless nil
}

// Outage is the predicted time of one instance out of service.
type Outage struct {
	Instance string      `json:"instance"`
	Pool     string      `json:"pool"`
	Place    fleet.Place `json:"place"`
	Start    time.Time   `json:"start"`
	End      time.Time   `json:"end"`
}

// Forecast is the result of a dry run.
type Forecast struct {
	Outages []Outage          `json:"outages"` // by start time
	Blocked map[string]string `json:"blocked"` // why an instance is not taken out, by instance
	End     time.Time         `json:"end"`
	Writes  int               `json:"writes"` // to the key-value store
}

const (
	forecastEpoch         = 1 << 62               // above every real epoch, so that no ledger shows a newer planner
	forecastQuietPeriod   = 90 * time.Second      // without writes or outages, after which a dry run ends
	forecastWriteDuration = 10 * time.Millisecond // of a write in the dry run
	forecastDrainDelay    = 20 * time.Millisecond // until the planner observes a drain: one write and the next decision
	forecastLargeSiteTick = 10 * time.Second      // between decisions on a large site; lengthens a wave by a few percent
	forecastLargeSiteSize = 200                   // instances from which a site counts as large
	maxForecastSteps      = 200_000               // 5,000 instances need about 20,000
)

// simulation runs Step against a platform that accepts every write and an instance list that is never late.
type simulation struct {
	state      State
	now        time.Time
	revision   int64
	live       map[string]message.Listing
	rebootEnds map[string]time.Time // when the reboot of each rebooting instance ends
	estimates  Estimates
	ongoing    map[string]Outage // by instance
	forecast   Forecast
}

// DryRun predicts what the wave would do if it started at the given time. The error is ErrNoConvergence if the dry
// run does not end.
func DryRun(s State, w record.Wave, now time.Time, e Estimates) (Forecast, error) {
	r := newSimulation(s, w, now, e)
	quiet := now.Add(forecastQuietPeriod)
	for range maxForecastSteps {
		if r.decideUntilIdle() {
			quiet = r.now.Add(r.state.settings.Cooldown + forecastQuietPeriod)
		}
		if k, _ := r.state.Wave(w.ID); k.Record.Phase == record.Done && len(r.ongoing) == 0 {
			return r.result(), nil
		}
		next := r.roundUp(r.nextEvent())
		if next.After(quiet) && len(r.ongoing) == 0 {
			return r.result(), nil
		}
		r.advance(next)
	}
	return Forecast{}, ErrNoConvergence
}

func newSimulation(s State, w record.Wave, now time.Time, e Estimates) *simulation {
	r := &simulation{
		now: now, live: maps.Clone(s.live), rebootEnds: map[string]time.Time{},
		estimates: e, ongoing: map[string]Outage{},
	}
	for itr := s.pendingWrites.Iterator(); !itr.Done(); {
		key, _, _ := itr.Next()
		s = s.withoutPendingWrite(key)
	}
	for itr := s.instances.Iterator(); !itr.Done(); {
		_, k, _ := itr.Next()
		r.revision = max(r.revision, k.Revision)
	}
	r.revision++
	k, _ := s.Wave(w.ID)
	s = s.WithWave(w.WithPhase(record.Running, now), k.Revision).WithNow(now)
	s.epoch, s.loaded, s.validUntil = forecastEpoch, true, now.AddDate(10, 0, 0)
	r.state = s
	r.updateList()
	return r
}

// decideUntilIdle lets the planner decide until it writes nothing more, and returns whether it wrote anything.
func (r *simulation) decideUntilIdle() bool {
	wrote := false
	for {
		r.now = r.now.Add(forecastWriteDuration)
		var effects []Effect
		r.state, effects = Step(r.state, Tick{Now: r.now})
		again := false
		for _, e := range effects {
			w, ok := e.(Write)
			if !ok {
				continue
			}
			again = true
			r.confirmWrite(w)
		}
		if !again {
			return wrote
		}
		wrote = true
	}
}

// confirmWrite answers a write and tracks its effect on the instance.
func (r *simulation) confirmWrite(w Write) {
	r.revision++
	r.forecast.Writes++
	if r.estimates.OnWrite != nil {
		r.estimates.OnWrite(w.Record)
	}
	r.state, _ = Step(r.state, WriteResult{Now: r.now, Record: w.Record, Revision: r.revision})
	i, ok := w.Record.(record.Instance)
	if !ok {
		return
	}
	switch i.State {
	case record.Draining:
		r.ongoing[i.ID] = Outage{Instance: i.ID, Pool: i.Pool, Place: r.state.place(i.ID), Start: r.now}
	case record.Rebooting:
		r.rebootEnds[i.ID] = r.now.Add(r.estimates.Reboot(i.ID))
		delete(r.live, i.ID)
	case record.Serving:
		if o, out := r.ongoing[i.ID]; out {
			o.End = r.now
			r.forecast.Outages = append(r.forecast.Outages, o)
			delete(r.ongoing, i.ID)
		}
	case record.Out:
	}
}

// nextEvent returns the time of the next end of a drain or reboot or of the planner's next wake time.
func (r *simulation) nextEvent() time.Time {
	next := r.state.NextWake()
	earlier := func(t time.Time) {
		if !t.After(r.now) {
			t = r.now.Add(forecastWriteDuration) // the time passed while writes were answered
		}
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, id := range r.state.Draining() {
		earlier(r.drainEnd(id))
	}
	for _, t := range r.rebootEnds {
		earlier(t)
	}
	if next.IsZero() {
		return r.now.AddDate(1, 0, 0)
	}
	return next
}

// roundUp rounds the time up to the next tick on a large site, so that a dry run costs a few hundred steps and not
// one for each event.
func (r *simulation) roundUp(t time.Time) time.Time {
	if len(r.state.declared) < forecastLargeSiteSize {
		return t
	}
	return t.Add(forecastLargeSiteTick - 1).Truncate(forecastLargeSiteTick)
}

// drainEnd returns when the planner observes that the instance is drained.
func (r *simulation) drainEnd(id string) time.Time {
	k, _ := r.state.Instance(id)
	return k.Record.Since.Add(max(r.estimates.Drain(id), r.state.settings.DrainGrace) + forecastDrainDelay)
}

// advance sets the time and reports the requests in flight and the instance list as of then.
func (r *simulation) advance(to time.Time) {
	r.now = to
	counts := map[string]int{}
	for _, id := range r.state.Draining() {
		counts[id] = 1
		if !r.drainEnd(id).After(to) {
			counts[id] = 0
		}
	}
	if len(counts) > 0 {
		r.state, _ = Step(r.state, InFlight{Now: to, Counts: counts})
	}
	r.updateList()
}

// updateList delivers the instance list first without the rebooting instances and then, if any have finished, with
// those that are back.
func (r *simulation) updateList() {
	r.publishList()
	back := false
	for id, until := range r.rebootEnds {
		if until.After(r.now) {
			continue
		}
		at := r.state.place(id)
		r.live[id] = message.Listing{ID: id, Zone: at.Zone, Rack: at.Rack, State: "live"}
		delete(r.rebootEnds, id)
		back = true
	}
	if back {
		r.publishList()
	}
}

func (r *simulation) publishList() {
	list := make([]message.Listing, 0, len(r.live))
	for _, l := range r.live {
		list = append(list, l)
	}
	r.state, _ = Step(r.state, InstancesListed{Now: r.now, Instances: list})
}

func (r *simulation) result() Forecast {
	f := r.forecast
	f.Blocked = maps.Clone(r.state.blocked)
	f.End = r.now
	if n := len(f.Outages); n > 0 {
		f.End = f.Outages[n-1].End
	}
	slices.SortFunc(f.Outages, func(a, b Outage) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Instance, b.Instance))
	})
	return f
}
