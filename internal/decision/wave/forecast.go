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

// ErrNoConvergence means that the dry run did not settle within its limit of steps.
var ErrNoConvergence = errors.New("dry run does not settle")

// Estimates holds the durations that a dry run assumes.
type Estimates struct {
	Drain   func(instance string) time.Duration
	Reboot  func(instance string) time.Duration
	OnWrite func(r record.Record) // sees each write unless nil
}

// Outage is one instance's expected time out of service.
type Outage struct {
	Instance string      `json:"instance"`
	Pool     string      `json:"pool"`
	Place    fleet.Place `json:"place"`
	Start    time.Time   `json:"start"`
	End      time.Time   `json:"end"`
}

// Forecast is the result of a dry run.
type Forecast struct {
	Outages []Outage          `json:"outages"` // by start
	Blocked map[string]string `json:"blocked"` // why an instance is never taken out
	End     time.Time         `json:"end"`
	Writes  int               `json:"writes"` // to the platform
}

const (
	forecastEpoch    = 1 << 62 // above every real epoch, so that the dry run may act on any ledger
	quietPeriod      = 90 * time.Second
	writeDuration    = 10 * time.Millisecond // time that a write takes in the dry run
	drainDelay       = 20 * time.Millisecond // until a drain is seen in force: a write and the next decision
	largeSiteTick    = 10 * time.Second      // large sites decide at these times only, which lengthens a wave by a few percent
	largeSiteSize    = 200                   // instances from which a site counts as large
	maxForecastSteps = 200_000               // steps; 5,000 instances need about 20,000
)

// simulation runs Step against a platform that answers every write and an instance list that is never late.
type simulation struct {
	state      State
	now        time.Time
	revision   int64
	live       map[string]message.Listing
	rebootEnds map[string]time.Time // rebooting instances, until when
	estimates  Estimates
	ongoing    map[string]Outage
	forecast   Forecast
}

// DryRun returns what the wave would do from the state at the given time; it changes nothing.
func DryRun(s State, w record.Wave, now time.Time, e Estimates) (Forecast, error) {
	r := newSimulation(s, w, now, e)
	quiet := now.Add(quietPeriod)
	for range maxForecastSteps {
		if r.decideUntilIdle() {
			quiet = r.now.Add(r.state.settings.Cooldown + quietPeriod)
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
	r := &simulation{now: now, live: maps.Clone(s.live), rebootEnds: map[string]time.Time{}, estimates: e, ongoing: map[string]Outage{}}
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
	s.epoch, s.loaded, s.leaseUntil = forecastEpoch, true, now.AddDate(10, 0, 0)
	r.state = s
	r.updateList()
	return r
}

// decideUntilIdle lets the planner decide until it writes nothing more, and returns whether it wrote anything.
func (r *simulation) decideUntilIdle() bool {
	wrote := false
	for {
		r.now = r.now.Add(writeDuration)
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

// nextEvent returns when the nextEvent drain or reboot ends or the planner wants to wake.
func (r *simulation) nextEvent() time.Time {
	next := r.state.NextWake()
	earlier := func(t time.Time) {
		if !t.After(r.now) {
			t = r.now.Add(writeDuration) // it passed while writes were answered
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

// roundUp rounds a time up for a large site, so that a dry run costs a few hundred steps and not one for each event.
func (r *simulation) roundUp(t time.Time) time.Time {
	if len(r.state.declared) < largeSiteSize {
		return t
	}
	return t.Add(largeSiteTick - 1).Truncate(largeSiteTick)
}

func (r *simulation) drainEnd(id string) time.Time {
	k, _ := r.state.Instance(id)
	return k.Record.Since.Add(max(r.estimates.Drain(id), r.state.settings.DrainGrace) + drainDelay)
}

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

// updateList publishes the instance updateList: once with the rebooting instances absent, then with those that are back.
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
