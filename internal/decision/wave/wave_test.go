package wave_test

import (
	"fmt"
	"testing"
	"time"

	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// sample returns a fleet with one service in three zones of two racks each, and an empty spare pool.
func sample(perRack int, b fleet.Budget) fleet.Fleet {
	pool := fleet.Pool{Name: "calendar", Fleet: "halyard"}
	spare := fleet.Pool{Name: "backoffice", Fleet: "halyard"}
	for _, zone := range []string{"a", "b", "c"} {
		for rack := range 2 {
			for n := range perRack {
				pool.Instances = append(pool.Instances, fleet.Instance{
					ID: fmt.Sprintf("cal-%s%d-%d", zone, rack, n), Zone: zone, Rack: fmt.Sprintf("%s%d", zone, rack),
				})
			}
		}
	}
	return fleet.Fleet{
		Version: 1, Spare: spare.Name, Zones: []string{"a", "b", "c"},
		Pools:    []fleet.Pool{pool, spare},
		Services: []fleet.Service{{Name: "flag-calendar", Pool: pool.Name, Slots: 8, Budget: b}},
	}
}

// listAll returns an instance list with every instance live.
func listAll(f fleet.Fleet) []message.Listing {
	var list []message.Listing
	for _, p := range f.Pools {
		for _, i := range p.Instances {
			list = append(list, message.Listing{ID: i.ID, Zone: i.Zone, Rack: i.Rack, State: "live"})
		}
	}
	return list
}

// stepAll applies the messages in order and returns all effects.
func stepAll(s wave.State, messages ...wave.Message) (wave.State, []wave.Effect) {
	var effects []wave.Effect
	for _, m := range messages {
		var more []wave.Effect
		s, more = wave.Step(s, m)
		effects = append(effects, more...)
	}
	return s, effects
}

// newPlanner returns the state of a planner in epoch 1 that has the fleet, the instance list and all records.
func newPlanner(f fleet.Fleet) wave.State {
	s, _ := stepAll(wave.New(wave.Defaults()),
		wave.ConfigChanged{Fleet: f},
		wave.InstancesListed{Now: start, Instances: listAll(f)},
		wave.OwnershipWon{Now: start, Epoch: 1, Until: start.Add(time.Hour)},
		wave.RecordsLoaded{},
	)
	return s
}

func fixed(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

// Guards against a wave that takes out more instances than the budget allows, or omits an instance.
func TestDryRunMaintainsEveryInstanceOnce(t *testing.T) {
	c := qt.New(t)
	f := sample(2, fleet.Budget{Available: 6, Domain: fleet.DomainZone})
	w := record.Wave{ID: "w1", Pool: "calendar"}
	plan, err := wave.DryRun(newPlanner(f), w, start,
		wave.Estimates{Drain: fixed(time.Minute), Reboot: fixed(3 * time.Minute)})
	c.Assert(err, qt.IsNil)
	c.Assert(plan.Blocked, qt.HasLen, 0)
	c.Assert(plan.Outages, qt.HasLen, 12)
	seen := map[string]bool{}
	for _, o := range plan.Outages {
		c.Assert(seen[o.Instance], qt.IsFalse)
		seen[o.Instance] = true
		together := 0
		for _, other := range plan.Outages {
			if other.Start.Before(o.End) && o.Start.Before(other.End) {
				together++
				c.Assert(other.Place.Zone, qt.Equals, o.Place.Zone)
			}
		}
		c.Assert(together <= 4, qt.IsTrue)
	}
	// The budget allows two instances out at a time: six batches, each of which drains and reboots in four minutes.
	c.Assert(plan.End.Sub(start) < 6*4*time.Minute+time.Minute, qt.IsTrue, qt.Commentf("end %s", plan.End.Sub(start)))
}

// Guards against a budget that allows no outage at all and is not reported.
func TestDryRunReportsBlockedInstances(t *testing.T) {
	c := qt.New(t)
	f := sample(1, fleet.Budget{Available: 6, Domain: fleet.DomainRack})
	plan, err := wave.DryRun(newPlanner(f), record.Wave{ID: "w1"}, start, wave.Estimates{Drain: fixed(0), Reboot: fixed(0)})
	c.Assert(err, qt.IsNil)
	c.Assert(plan.Outages, qt.HasLen, 0)
	c.Assert(plan.Blocked, qt.HasLen, 6)
	c.Assert(plan.Blocked["cal-a0-0"], qt.Equals,
		`service "flag-calendar" has 6 serving and needs 6 after the loss of its largest rack`)
}
