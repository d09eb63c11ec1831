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

// ErrForecast means that the dry run did not settle within its limit of steps.
var ErrForecast = errors.New("dry run does not settle")

// Expect holds the durations that a dry run assumes.
type Expect struct {
	Drain  func(instance string) time.Duration
	Reboot func(instance string) time.Duration
	Wrote  func(r record.Record) // sees each write unless nil
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
	forecastEpoch = 1 << 62 // above every real epoch, so that the dry run may act on any ledger
	forecastQuiet = 90 * time.Second
	forecastWrite = 10 * time.Millisecond // time that a write takes in the dry run
	forecastSeen  = 20 * time.Millisecond // until a drain is seen in force: a write and the next decision
	forecastTick  = 10 * time.Second      // large sites decide at these times only, which lengthens a wave by a few percent
	forecastLarge = 200                   // instances from which a site counts as large
	maxForecast   = 200_000               // steps; 5,000 instances need about 20,000
)

// rehearsal runs Step against a platform that answers every write and an instance list that is never late.
type rehearsal struct {
	state    State
	now      time.Time
	revision int64
	live     map[string]message.Listing
	down     map[string]time.Time // rebooting instances, until when
	expect   Expect
	out      map[string]Outage
	forecast Forecast
}

// Plan returns what the wave would do from the state at the given time; it changes nothing.
func Plan(s State, w record.Wave, now time.Time, e Expect) (Forecast, error) {
	r := newRehearsal(s, w, now, e)
	quiet := now.Add(forecastQuiet)
	for range maxForecast {
		if r.settle() {
			quiet = r.now.Add(r.state.settings.Hold + forecastQuiet)
		}
		if k, _ := r.state.Wave(w.ID); k.Record.Phase == record.Done && len(r.out) == 0 {
			return r.finish(), nil
		}
		next := r.tick(r.next())
		if next.After(quiet) && len(r.out) == 0 {
			return r.finish(), nil
		}
		r.advance(next)
	}
	return Forecast{}, ErrForecast
}

func newRehearsal(s State, w record.Wave, now time.Time, e Expect) *rehearsal {
	r := &rehearsal{now: now, live: maps.Clone(s.live), down: map[string]time.Time{}, expect: e, out: map[string]Outage{}}
	for itr := s.open.Iterator(); !itr.Done(); {
		key, _, _ := itr.Next()
		s = s.withClosed(key)
	}
	for itr := s.instances.Iterator(); !itr.Done(); {
		_, k, _ := itr.Next()
		r.revision = max(r.revision, k.Revision)
	}
	r.revision++
	k, _ := s.Wave(w.ID)
	s = s.WithWave(w.WithPhase(record.Running, now), k.Revision).WithNow(now)
	s.epoch, s.loaded, s.until = forecastEpoch, true, now.AddDate(10, 0, 0)
	r.state = s
	r.list()
	return r
}

// settle lets the planner decide until it writes nothing more, and returns whether it wrote anything.
func (r *rehearsal) settle() bool {
	wrote := false
	for {
		r.now = r.now.Add(forecastWrite)
		var effects []Effect
		r.state, effects = Step(r.state, Time{Now: r.now})
		again := false
		for _, e := range effects {
			w, ok := e.(Write)
			if !ok {
				continue
			}
			again = true
			r.confirm(w)
		}
		if !again {
			return wrote
		}
		wrote = true
	}
}

func (r *rehearsal) confirm(w Write) {
	r.revision++
	r.forecast.Writes++
	if r.expect.Wrote != nil {
		r.expect.Wrote(w.Record)
	}
	r.state, _ = Step(r.state, Written{Now: r.now, Record: w.Record, Revision: r.revision})
	i, ok := w.Record.(record.Instance)
	if !ok {
		return
	}
	switch i.State {
	case record.Draining:
		r.out[i.ID] = Outage{Instance: i.ID, Pool: i.Pool, Place: r.state.place(i.ID), Start: r.now}
	case record.Rebooting:
		r.down[i.ID] = r.now.Add(r.expect.Reboot(i.ID))
		delete(r.live, i.ID)
	case record.Serving:
		if o, out := r.out[i.ID]; out {
			o.End = r.now
			r.forecast.Outages = append(r.forecast.Outages, o)
			delete(r.out, i.ID)
		}
	case record.Out:
	}
}

// next returns when the next drain or reboot ends or the planner wants to wake.
func (r *rehearsal) next() time.Time {
	next := r.state.Wake()
	earlier := func(t time.Time) {
		if !t.After(r.now) {
			t = r.now.Add(forecastWrite) // it passed while writes were answered
		}
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, id := range r.state.Draining() {
		earlier(r.drained(id))
	}
	for _, t := range r.down {
		earlier(t)
	}
	if next.IsZero() {
		return r.now.AddDate(1, 0, 0)
	}
	return next
}

// tick rounds a time up for a large site, so that a dry run costs a few hundred steps and not one for each event.
func (r *rehearsal) tick(t time.Time) time.Time {
	if len(r.state.declared) < forecastLarge {
		return t
	}
	return t.Add(forecastTick - 1).Truncate(forecastTick)
}

func (r *rehearsal) drained(id string) time.Time {
	k, _ := r.state.Instance(id)
	return k.Record.Since.Add(max(r.expect.Drain(id), r.state.settings.Grace) + forecastSeen)
}

func (r *rehearsal) advance(to time.Time) {
	r.now = to
	counts := map[string]int{}
	for _, id := range r.state.Draining() {
		counts[id] = 1
		if !r.drained(id).After(to) {
			counts[id] = 0
		}
	}
	if len(counts) > 0 {
		r.state, _ = Step(r.state, Flights{Now: to, Counts: counts})
	}
	r.list()
}

// list publishes the instance list: once with the rebooting instances absent, then with those that are back.
func (r *rehearsal) list() {
	r.publish()
	back := false
	for id, until := range r.down {
		if until.After(r.now) {
			continue
		}
		at := r.state.place(id)
		r.live[id] = message.Listing{ID: id, Zone: at.Zone, Rack: at.Rack, State: "live"}
		delete(r.down, id)
		back = true
	}
	if back {
		r.publish()
	}
}

func (r *rehearsal) publish() {
	list := make([]message.Listing, 0, len(r.live))
	for _, l := range r.live {
		list = append(list, l)
	}
	r.state, _ = Step(r.state, Listed{Now: r.now, Instances: list})
}

func (r *rehearsal) finish() Forecast {
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
