package wave_test

import (
	"testing"
	"time"

	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"

	"pgregory.net/rapid"
)

// chaosFleet returns a fleet with a service that tolerates the loss of a zone, one that tolerates the loss of a
// rack, and spare instances.
func chaosFleet() fleet.Fleet {
	f := sample(2, fleet.Budget{Available: 6, Domain: fleet.DomainZone})
	notices := fleet.Pool{Name: "notices"}
	for _, i := range f.Pools[0].Instances {
		if i.ID[len(i.ID)-1] == '0' {
			i.ID = "not" + i.ID[3:]
			notices.Instances = append(notices.Instances, i)
		}
	}
	spare := []fleet.Instance{{ID: "spare-1", Zone: "a", Rack: "a0"}, {ID: "spare-2", Zone: "b", Rack: "b1"}}
	f.Pools[1].Instances = spare
	f.Pools = append(f.Pools, notices)
	f.Services = append(f.Services, fleet.Service{
		Name: "flag-notices", Pool: notices.Name,
		Budget: fleet.Budget{Available: 3, Domain: fleet.DomainRack},
	})
	return f
}

// actions returns the random events by name. Each draws its own parameters. The action with the empty name is the check
// that rapid runs after every event.
func actions(sim *simulation) map[string]func(*rapid.T) {
	index := rapid.IntRange(0, len(sim.planners)-1) // an index is short in failure output, unlike a planner
	instance := rapid.SampledFrom(sim.ids())
	waves := rapid.SampledFrom([]string{"w1", "w2"})
	// activePlanner draws a planner and skips the event if the planner is paused.
	activePlanner := func(t *rapid.T) *planner {
		p := sim.planners[index.Draw(t, "planner")]
		if p.paused {
			t.Skip("paused")
		}
		return p
	}
	return map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second)
		},
		"decide": func(t *rapid.T) { sim.deliver(activePlanner(t), wave.Tick{Now: sim.now}) },
		"watch":  func(t *rapid.T) { sim.deliverChanges(activePlanner(t), rapid.IntRange(1, 50).Draw(t, "changes")) },
		"list":   func(t *rapid.T) { sim.sendList(activePlanner(t)) },
		"count":  func(t *rapid.T) { sim.reportInFlight(activePlanner(t)) },
		"call": func(t *rapid.T) {
			p := sim.planners[index.Draw(t, "planner")]
			if len(p.calls) == 0 {
				t.Skip("no call")
			}
			outcome := rapid.SampledFrom([]int{answered, answered, answered, lostBefore, lostAfter, lostLate}).Draw(t, "end")
			sim.finishCall(p, rapid.IntRange(0, len(p.calls)-1).Draw(t, "call"), outcome)
		},
		"round": func(t *rapid.T) { sim.runRound(activePlanner(t)) },
		"late": func(t *rapid.T) {
			if len(sim.late) == 0 {
				t.Skip("no late write")
			}
			e := sim.late[0]
			sim.late = sim.late[1:]
			sim.put(e.Record, e.ExpectedRevision)
		},
		"win":   func(t *rapid.T) { sim.startEpoch(activePlanner(t)) },
		"pause": func(t *rapid.T) { p := sim.planners[index.Draw(t, "planner")]; p.paused = !p.paused },
		"reboot": func(t *rapid.T) {
			for range 3 {
				sim.advanceReboot(instance.Draw(t, "instance"))
			}
		},
		"load":  func(t *rapid.T) { sim.setLoad(instance.Draw(t, "instance"), rapid.IntRange(0, 1).Draw(t, "requests")) },
		"crash": func(t *rapid.T) { sim.down[instance.Draw(t, "instance")] = true },
		"domain": func(t *rapid.T) {
			zone := rapid.Bool().Draw(t, "zone")
			lost, _ := sim.declared(instance.Draw(t, "instance"))
			for _, id := range sim.ids() {
				if i, _ := sim.declared(id); i.Zone == lost.Zone && (zone || i.Rack == lost.Rack) {
					sim.down[id] = true
				}
			}
		},
		"repair": func(*rapid.T) { clear(sim.down) },
		"operate": func(t *rapid.T) {
			c := rapid.SampledFrom([]wave.Command{wave.Start, wave.Pause, wave.Resume, wave.Cancel}).Draw(t, "command")
			sim.operate(waves.Draw(t, "wave"), c)
		},
		"move": func(t *rapid.T) {
			sim.move(instance.Draw(t, "instance"), rapid.SampledFrom([]string{"calendar", "notices", "backoffice"}).Draw(t, "pool"))
		},
		"": func(t *rapid.T) {
			if sim.violation != nil {
				t.Fatal(sim.violation)
			}
		},
	}
}

// Guards against headroom that is used twice, instances in no pool or two, reboots with requests in flight and
// instances that never return, while domains fail, answers are lost or late, and two planners with overlapping
// epochs act.
func TestInvariantsUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(chaosFleet())
		sim.put(record.Wave{ID: "w1", Phase: record.Running, Since: sim.now}, 0)
		sim.put(record.Wave{ID: "w2", Pool: "calendar", MaxUnavailable: 2, Phase: record.Planned}, 0)
		t.Repeat(actions(sim))
		sim.repairAll()
		if sim.violation != nil {
			t.Fatal(sim.violation)
		}
		for _, id := range sim.ids() {
			r := sim.instance(id)
			waits := r.Target == "" || sim.planners[0].state.Report().Blocked[id] != ""
			if r.State != record.Serving || !waits {
				t.Fatalf("instance %s is %s with target %q after everything was repaired", id, r.State, r.Target)
			}
		}
		for _, s := range sim.fleet.Services {
			if l := sim.ledger(s.Name); len(l.Out) > 0 {
				t.Fatalf("ledger of %s still lists %v", s.Name, l.Out)
			}
		}
		sim.checkBlockedReported(t, "w1")
		sim.checkBlockedReported(t, "w2")
	})
}

// checkBlockedReported checks that the wave has ended, or that the report gives a reason for each instance that it
// still has to maintain.
func (sim *simulation) checkBlockedReported(t *rapid.T, id string) {
	if sim.wave(id).Phase != record.Running {
		return
	}
	blocked := sim.planners[0].state.Report().Blocked
	pending := 0
	for instance, g := range sim.wave(id).Progress {
		if g.Step != wave.StepPending {
			continue
		}
		pending++
		if blocked[instance] == "" {
			t.Fatalf("wave %s leaves instance %s %s without a reason", id, instance, g.Step)
		}
	}
	if pending == 0 {
		t.Fatalf("wave %s still runs: %s", id, wave.Summary(sim.wave(id)))
	}
}
