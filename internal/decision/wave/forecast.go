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

// Estimates holds the durations that a dry run assumes for each instance, and a hook for its writes.
type Estimates struct {
	Drain   func(instance string) time.Duration
	Reboot  func(instance string) time.Duration
	OnWrite func(r record.Record) // called for each simulated write, may be nil
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
	sim := newSimulation(s, w, now, e)
	idleDeadline := now.Add(forecastQuietPeriod)
	for range maxForecastSteps {
		if sim.decideUntilIdle() {
			idleDeadline = sim.now.Add(sim.state.settings.Cooldown + forecastQuietPeriod)
		}
		if stored, _ := sim.state.Wave(w.ID); stored.Record.Phase == record.Done && len(sim.ongoing) == 0 {
			return sim.result(), nil
		}
		next := sim.roundUp(sim.nextEvent())
		if next.After(idleDeadline) && len(sim.ongoing) == 0 {
			return sim.result(), nil
		}
		sim.advance(next)
	}
	return Forecast{}, ErrNoConvergence
}

func newSimulation(s State, w record.Wave, now time.Time, e Estimates) *simulation {
	sim := &simulation{
		now: now, live: maps.Clone(s.live), rebootEnds: map[string]time.Time{},
		estimates: e, ongoing: map[string]Outage{},
	}
	for itr := s.pendingWrites.Iterator(); !itr.Done(); {
		key, _, _ := itr.Next()
		s = s.withoutPendingWrite(key)
	}
	for itr := s.instances.Iterator(); !itr.Done(); {
		_, stored, _ := itr.Next()
		sim.revision = max(sim.revision, stored.Revision)
	}
	sim.revision++
	stored, _ := s.Wave(w.ID)
	s = s.WithWave(w.WithPhase(record.Running, now), stored.Revision).WithNow(now)
	s.epoch, s.loaded, s.validUntil = forecastEpoch, true, now.AddDate(10, 0, 0)
	sim.state = s
	sim.updateList()
	return sim
}

// decideUntilIdle lets the planner decide until it writes nothing more, and returns whether it wrote anything.
func (sim *simulation) decideUntilIdle() bool {
	wrote := false
	for {
		sim.now = sim.now.Add(forecastWriteDuration)
		var effects []Effect
		sim.state, effects = Step(sim.state, Tick{Now: sim.now})
		again := false
		for _, e := range effects {
			w, ok := e.(Write)
			if !ok {
				continue
			}
			again = true
			sim.confirmWrite(w)
		}
		if !again {
			return wrote
		}
		wrote = true
	}
}

// confirmWrite answers a write and tracks its effect on the instance.
func (sim *simulation) confirmWrite(w Write) {
	sim.revision++
	sim.forecast.Writes++
	if sim.estimates.OnWrite != nil {
		sim.estimates.OnWrite(w.Record)
	}
	sim.state, _ = Step(sim.state, WriteResult{Now: sim.now, Record: w.Record, Revision: sim.revision})
	i, ok := w.Record.(record.Instance)
	if !ok {
		return
	}
	switch i.State {
	case record.Draining:
		sim.ongoing[i.ID] = Outage{Instance: i.ID, Pool: i.Pool, Place: sim.state.place(i.ID), Start: sim.now}
	case record.Rebooting:
		sim.rebootEnds[i.ID] = sim.now.Add(sim.estimates.Reboot(i.ID))
		delete(sim.live, i.ID)
	case record.Serving:
		if o, out := sim.ongoing[i.ID]; out {
			o.End = sim.now
			sim.forecast.Outages = append(sim.forecast.Outages, o)
			delete(sim.ongoing, i.ID)
		}
	case record.Out:
	}
}

// nextEvent returns the time of the next end of a drain or reboot or of the planner's next wake time.
func (sim *simulation) nextEvent() time.Time {
	next := sim.state.NextWake()
	consider := func(t time.Time) {
		if !t.After(sim.now) {
			t = sim.now.Add(forecastWriteDuration) // the time passed while writes were answered
		}
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, id := range sim.state.Draining() {
		consider(sim.drainEnd(id))
	}
	for _, t := range sim.rebootEnds {
		consider(t)
	}
	if next.IsZero() {
		return sim.now.AddDate(1, 0, 0) // no event is expected: later than any idle deadline
	}
	return next
}

// roundUp rounds the time up to the next tick on a large site, so that a dry run costs a few hundred steps and not
// one for each event.
func (sim *simulation) roundUp(t time.Time) time.Time {
	if len(sim.state.declared) < forecastLargeSiteSize {
		return t
	}
	return t.Add(forecastLargeSiteTick - 1).Truncate(forecastLargeSiteTick)
}

// drainEnd returns when the planner observes that the instance is drained.
func (sim *simulation) drainEnd(id string) time.Time {
	stored, _ := sim.state.Instance(id)
	return stored.Record.Since.Add(max(sim.estimates.Drain(id), sim.state.settings.DrainGrace) + forecastDrainDelay)
}

// advance sets the time and reports the requests in flight and the instance list as of then.
func (sim *simulation) advance(to time.Time) {
	sim.now = to
	counts := map[string]int{}
	for _, id := range sim.state.Draining() {
		counts[id] = 1
		if !sim.drainEnd(id).After(to) {
			counts[id] = 0
		}
	}
	if len(counts) > 0 {
		sim.state, _ = Step(sim.state, InFlight{Now: to, Counts: counts})
	}
	sim.updateList()
}

// updateList delivers the instance list without the rebooting instances and then, if any have finished, a second one
// that includes them. The planner takes an instance for rebooted after a list has omitted it.
func (sim *simulation) updateList() {
	sim.publishList()
	back := false
	for id, until := range sim.rebootEnds {
		if until.After(sim.now) {
			continue
		}
		at := sim.state.place(id)
		sim.live[id] = message.Listing{ID: id, Zone: at.Zone, Rack: at.Rack, State: "live"}
		delete(sim.rebootEnds, id)
		back = true
	}
	if back {
		sim.publishList()
	}
}

func (sim *simulation) publishList() {
	list := make([]message.Listing, 0, len(sim.live))
	for _, l := range sim.live {
		list = append(list, l)
	}
	sim.state, _ = Step(sim.state, InstancesListed{Now: sim.now, Instances: list})
}

func (sim *simulation) result() Forecast {
	f := sim.forecast
	f.Blocked = maps.Clone(sim.state.blocked)
	f.End = sim.now
	if n := len(f.Outages); n > 0 {
		f.End = f.Outages[n-1].End // before the sort, outages are in the order of their ends
	}
	slices.SortFunc(f.Outages, func(a, b Outage) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Instance, b.Instance))
	})
	return f
}
