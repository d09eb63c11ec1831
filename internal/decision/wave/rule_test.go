package wave_test

import (
	"testing"
	"time"

	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	qt "github.com/frankban/quicktest"
)

// startWave returns a simulation in which a wave over the pool calendar has taken its first instances out.
func startWave(c *qt.C) (*simulation, *planner) {
	sim := newSimulation(sample(2, fleet.Budget{Available: 6, Domain: fleet.DomainZone}))
	p := sim.planners[0]
	sim.finishCall(p, 0, answered) // answers the first Load
	sim.put(record.Wave{ID: "w1", Pool: "calendar", Phase: record.Running, Since: sim.now}, 0)
	sim.inFlight["cal-a0-0"] = 1
	sim.runRounds(p, 3)
	c.Assert(sim.instance("cal-a0-0").State, qt.Equals, record.Draining)
	c.Assert(sim.violation, qt.IsNil)
	return sim, p
}

// runRounds lets the planner decide n times, one second apart.
func (sim *simulation) runRounds(p *planner, n int) {
	for range n {
		sim.now = sim.now.Add(time.Second)
		p.until = sim.now.Add(time.Minute)
		sim.deliver(p, wave.OwnershipWon{Now: sim.now, Epoch: sim.epoch, Until: p.until})
		sim.runRound(p)
	}
}

// Guards against a drain that is interrupted at its limit, or that waits without being reported.
func TestLongDrainIsReportedAndNotInterrupted(t *testing.T) {
	c := qt.New(t)
	sim, p := startWave(c)
	sim.now = sim.now.Add(11 * time.Minute)
	sim.runRounds(p, 2)
	c.Assert(sim.instance("cal-a0-0").State, qt.Equals, record.Draining)
	c.Assert(sim.instance("cal-a0-0").Reason, qt.Equals, "drain exceeds 10m0s, waits for the operator")
	sim.now = sim.now.Add(time.Hour)
	sim.runRounds(p, 3)
	c.Assert(sim.instance("cal-a0-0").State, qt.Equals, record.Draining)
	c.Assert(p.state.Report().Blocked["cal-a0-0"], qt.Equals, "1 requests in flight")
	sim.inFlight["cal-a0-0"] = 0
	sim.runRounds(p, 2)
	c.Assert(sim.instance("cal-a0-0").State, qt.Equals, record.Rebooting)
}

// Guards against a cancelled wave that still reboots instances or leaves them draining.
func TestCancelReturnsDrainingInstances(t *testing.T) {
	c := qt.New(t)
	sim, p := startWave(c)
	sim.operate("w1", wave.Cancel)
	sim.runRounds(p, 3)
	c.Assert(sim.instance("cal-a0-0").State, qt.Equals, record.Serving)
	c.Assert(sim.ledger("flag-calendar").Out, qt.HasLen, 0)
}

// Guards against a paused wave that takes out more instances.
func TestPausedWaveTakesNoInstanceOut(t *testing.T) {
	c := qt.New(t)
	sim, p := startWave(c)
	sim.operate("w1", wave.Pause)
	out := sim.ledger("flag-calendar").Out
	for range 30 {
		for _, id := range sim.ids() {
			sim.advanceReboot(id)
		}
		sim.runRounds(p, 4)
	}
	c.Assert(sim.ledger("flag-calendar").Out, qt.DeepEquals, out[:1], qt.Commentf("the instance with a request stays out"))
}

// Guards against a failed instance that stays out of service although it becomes live later.
func TestFailedInstanceIsReportedAndReturnsLater(t *testing.T) {
	c := qt.New(t)
	sim, p := startWave(c)
	sim.inFlight["cal-a0-0"] = 0
	for range 2 {
		sim.runRounds(p, 12)
		for _, id := range sim.ids() {
			if sim.instance(id).State == record.Rebooting && sim.reboots[id] == 0 {
				sim.advanceReboot(id) // goes down and stays down
			}
		}
		sim.now = sim.now.Add(16 * time.Minute)
	}
	sim.runRounds(p, 3)
	c.Assert(sim.instance("cal-a0-0").State, qt.Equals, record.Out)
	c.Assert(sim.instance("cal-a0-0").Reason, qt.Equals, "not live 15m0s after its reboot began")
	sim.repairAll()
	c.Assert(sim.violation, qt.IsNil)
	c.Assert(sim.instance("cal-a0-0").State, qt.Equals, record.Serving)
	c.Assert(sim.wave("w1").Phase, qt.Equals, record.Done)
}

// Guards against a wave that keeps taking out instances although none returns.
func TestRisingFailureRateStopsTheWave(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(sample(4, fleet.Budget{Available: 6, Domain: fleet.DomainZone}))
	p := sim.planners[0]
	sim.finishCall(p, 0, answered)
	sim.put(record.Wave{ID: "w1", Pool: "calendar", Phase: record.Running, Since: sim.now, MaxUnavailable: 3}, 0)
	for range 4 {
		sim.runRounds(p, 12)
		for _, id := range sim.ids() {
			sim.down[id] = sim.down[id] || sim.instance(id).State == record.Rebooting
		}
		sim.now = sim.now.Add(16 * time.Minute)
	}
	sim.runRounds(p, 3)
	c.Assert(sim.wave("w1").Phase, qt.Equals, record.Stopped)
	c.Assert(sim.ledger("flag-calendar").Out, qt.HasLen, 3)
}

// Guards against draining instances that stay out while unplanned failures break the budget.
func TestUnplannedFailuresReturnDrainingInstances(t *testing.T) {
	c := qt.New(t)
	sim, p := startWave(c)
	sim.inFlight["cal-a0-1"] = 1
	sim.down["cal-b0-0"], sim.down["cal-c0-0"] = true, true
	sim.runRounds(p, 3)
	c.Assert(sim.ledger("flag-calendar").Out, qt.HasLen, 1, qt.Commentf("8 serving less a zone's 3 are one short of 6"))
	sim.down["cal-b0-0"], sim.down["cal-c0-0"] = false, false
	sim.runRounds(p, 60)
	c.Assert(sim.ledger("flag-calendar").Out, qt.HasLen, 1, qt.Commentf("the cooldown lasts 2 minutes"))
	sim.runRounds(p, 90)
	c.Assert(sim.ledger("flag-calendar").Out, qt.HasLen, 2)
}

// Guards against a reboot based on a count of requests in flight that is older than the drain. The write of the
// drain took effect late, so the entry instances did not know of the drain when the count was taken.
func TestDrainGraceStartsWhenDrainIsObserved(t *testing.T) {
	c := qt.New(t)
	f := sample(2, fleet.Budget{Available: 6})
	s := newPlanner(f)
	late := start.Add(5 * time.Minute)
	drained := record.Instance{ID: "cal-a0-0", Pool: "calendar", State: record.Draining, Wave: "w1", Since: start}
	s, effects := stepAll(s,
		wave.RecordChanged{Record: record.Wave{ID: "w1", Phase: record.Running}, Revision: 1},
		wave.RecordChanged{Record: drained, Revision: 2},
		wave.InFlight{Now: late, Counts: map[string]int{"cal-a0-0": 0}},
		wave.Tick{Now: late},
	)
	c.Assert(rebootWrites(effects), qt.HasLen, 0)
	_, effects = stepAll(s,
		wave.InFlight{Now: late.Add(6 * time.Second), Counts: map[string]int{"cal-a0-0": 0}},
		wave.Tick{Now: late.Add(6 * time.Second)},
	)
	c.Assert(rebootWrites(effects), qt.DeepEquals, []string{"cal-a0-0"})
}

// rebootWrites returns the instances that the effects let reboot.
func rebootWrites(effects []wave.Effect) []string {
	var ids []string
	for _, e := range effects {
		if w, ok := e.(wave.Write); ok {
			if i, ok := w.Record.(record.Instance); ok && i.State == record.Rebooting {
				ids = append(ids, i.ID)
			}
		}
	}
	return ids
}

// Guards against headroom that counts instances which have moved to another pool. The planner read back a ledger
// without their entries before the watch delivered the records of their moves.
func TestLedgerReadAheadYieldsNoHeadroom(t *testing.T) {
	c := qt.New(t)
	s := newPlanner(sample(2, fleet.Budget{Available: 6, Domain: fleet.DomainZone}))
	ledger := record.Ledger{Service: "flag-calendar", Epoch: 1}
	s, _ = stepAll(s,
		wave.RecordChanged{Record: record.Wave{ID: "w1", Phase: record.Running}, Revision: 1},
		wave.Tick{Now: start.Add(time.Second)},
		wave.WriteResult{Now: start.Add(time.Second), Record: ledger, Err: message.ErrConflict},
		wave.RecordChanged{Record: ledger, Revision: 9, ReadBack: true},
		wave.Tick{Now: start.Add(2 * time.Second)},
	)
	c.Assert(s.Report().Blocked["cal-a0-0"], qt.Equals, `the ledger of service "flag-calendar" is newer than the instance records`)
	_, effects := stepAll(s,
		wave.RecordChanged{Record: ledger, Revision: 9},
		wave.Tick{Now: start.Add(3 * time.Second)},
	)
	c.Assert(len(effects) > 0, qt.IsTrue)
}

// Guards against a new planner that takes missing instance lists for failures and starts a cooldown.
func TestNoCooldownBeforeFirstInstanceList(t *testing.T) {
	c := qt.New(t)
	f := sample(2, fleet.Budget{Available: 6, Domain: fleet.DomainZone})
	s, _ := stepAll(wave.New(wave.Defaults()),
		wave.ConfigChanged{Fleet: f},
		wave.OwnershipWon{Now: start, Epoch: 1, Until: start.Add(time.Hour)},
		wave.RecordsLoaded{},
		wave.RecordChanged{Record: record.Wave{ID: "w1", Phase: record.Running}, Revision: 1},
		wave.Tick{Now: start},
	)
	_, effects := stepAll(s,
		wave.InstancesListed{Now: start.Add(time.Second), Instances: listAll(f)},
		wave.Tick{Now: start.Add(time.Second)},
	)
	reserved := false
	for _, e := range effects {
		w, ok := e.(wave.Write)
		if !ok {
			continue
		}
		l, ok := w.Record.(record.Ledger)
		reserved = reserved || ok && len(l.Out) > 0
	}
	c.Assert(reserved, qt.IsTrue)
}
