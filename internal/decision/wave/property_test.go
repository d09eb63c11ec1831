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

// actions returns the random events by name. Each draws its own parameters.
func actions(w *world) map[string]func(*rapid.T) {
	index := rapid.IntRange(0, len(w.planners)-1) // an index is short in failure output, unlike a planner
	instance := rapid.SampledFrom(w.ids())
	waves := rapid.SampledFrom([]string{"w1", "w2"})
	awake := func(t *rapid.T) *worker {
		p := w.planners[index.Draw(t, "planner")]
		if p.paused {
			t.Skip("paused")
		}
		return p
	}
	return map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second)
		},
		"decide": func(t *rapid.T) { w.deliver(awake(t), wave.Tick{Now: w.now}) },
		"watch":  func(t *rapid.T) { w.deliverChanges(awake(t), rapid.IntRange(1, 50).Draw(t, "changes")) },
		"list":   func(t *rapid.T) { w.sendList(awake(t)) },
		"count":  func(t *rapid.T) { w.reportInFlight(awake(t)) },
		"call": func(t *rapid.T) {
			p := w.planners[index.Draw(t, "planner")]
			if len(p.calls) == 0 {
				t.Skip("no call")
			}
			end := rapid.SampledFrom([]int{answered, answered, answered, lostBefore, lostAfter, lostLate}).Draw(t, "end")
			w.finishCall(p, rapid.IntRange(0, len(p.calls)-1).Draw(t, "call"), end)
		},
		"round": func(t *rapid.T) { w.runRound(awake(t)) },
		"late": func(t *rapid.T) {
			if len(w.late) == 0 {
				t.Skip("no late write")
			}
			e := w.late[0]
			w.late = w.late[1:]
			w.put(e.Record, e.Expected)
		},
		"win":   func(t *rapid.T) { w.startEpoch(awake(t)) },
		"pause": func(t *rapid.T) { p := w.planners[index.Draw(t, "planner")]; p.paused = !p.paused },
		"reboot": func(t *rapid.T) {
			for range 3 {
				w.advanceReboot(instance.Draw(t, "instance"))
			}
		},
		"load":  func(t *rapid.T) { w.setLoad(instance.Draw(t, "instance"), rapid.IntRange(0, 1).Draw(t, "requests")) },
		"crash": func(t *rapid.T) { w.down[instance.Draw(t, "instance")] = true },
		"domain": func(t *rapid.T) {
			zone := rapid.Bool().Draw(t, "zone")
			lost, _ := w.declared(instance.Draw(t, "instance"))
			for _, id := range w.ids() {
				if i, _ := w.declared(id); i.Zone == lost.Zone && (zone || i.Rack == lost.Rack) {
					w.down[id] = true
				}
			}
		},
		"repair": func(*rapid.T) { clear(w.down) },
		"operate": func(t *rapid.T) {
			c := rapid.SampledFrom([]wave.Command{wave.Start, wave.Pause, wave.Resume, wave.Cancel}).Draw(t, "command")
			w.operate(waves.Draw(t, "wave"), c)
		},
		"move": func(t *rapid.T) {
			w.move(instance.Draw(t, "instance"), rapid.SampledFrom([]string{"calendar", "notices", "backoffice"}).Draw(t, "pool"))
		},
		"": func(t *rapid.T) {
			if w.violation != nil {
				t.Fatal(w.violation)
			}
		},
	}
}

type worker = planner

// Guards against headroom that is used twice, instances in no pool or two, reboots with requests in flight and
// instances that never return, while domains fail, answers are lost or late, and two planners with overlapping
// epochs act.
func TestInvariantsUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(chaosFleet())
		w.put(record.Wave{ID: "w1", Phase: record.Running, Since: w.now}, 0)
		w.put(record.Wave{ID: "w2", Pool: "calendar", MaxUnavailable: 2, Phase: record.Planned}, 0)
		t.Repeat(actions(w))
		w.repairAll()
		if w.violation != nil {
			t.Fatal(w.violation)
		}
		for _, id := range w.ids() {
			r := w.instance(id)
			waits := r.Target == "" || w.planners[0].state.Report().Blocked[id] != ""
			if r.State != record.Serving || !waits {
				t.Fatalf("instance %s is %s with target %q after everything was repaired", id, r.State, r.Target)
			}
		}
		for _, s := range w.fleet.Services {
			if l := w.ledger(s.Name); len(l.Out) > 0 {
				t.Fatalf("ledger of %s still lists %v", s.Name, l.Out)
			}
		}
		w.checkBlockedReported(t, "w1")
		w.checkBlockedReported(t, "w2")
	})
}

// checkBlockedReported checks that the wave has ended, or that the report gives a reason for each instance that it
// still has to maintain.
func (w *world) checkBlockedReported(t *rapid.T, id string) {
	if w.wave(id).Phase != record.Running {
		return
	}
	blocked := w.planners[0].state.Report().Blocked
	pending := 0
	for instance, g := range w.wave(id).Progress {
		if g.Step != wave.StepPending {
			continue
		}
		pending++
		if blocked[instance] == "" {
			t.Fatalf("wave %s leaves instance %s %s without a reason", id, instance, g.Step)
		}
	}
	if pending == 0 {
		t.Fatalf("wave %s still runs: %s", id, wave.Summary(w.wave(id)))
	}
}
