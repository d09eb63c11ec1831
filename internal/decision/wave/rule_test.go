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

// running returns a world in which a wave over the pool calendar has taken its first instances out.
func running(c *qt.C) (*world, *planner) {
	w := newWorld(sample(2, fleet.Budget{Available: 6, Domain: fleet.DomainZone}))
	p := w.planners[0]
	w.call(p, 0, answered) // the load of the records
	w.put(record.Wave{ID: "w1", Pool: "calendar", Phase: record.Running, Since: w.now}, 0)
	w.busy["cal-a0-0"] = 1
	w.rounds(p, 3)
	c.Assert(w.instance("cal-a0-0").State, qt.Equals, record.Draining)
	c.Assert(w.fault, qt.IsNil)
	return w, p
}

// rounds lets the planner decide with a second between.
func (w *world) rounds(p *planner, n int) {
	for range n {
		w.now = w.now.Add(time.Second)
		p.until = w.now.Add(time.Minute)
		w.step(p, wave.Won{Now: w.now, Epoch: w.epoch, Until: p.until})
		w.round(p)
	}
}

// Guards against a drain that is cut, or that waits without being listed.
func TestLongDrainIsListedAndNotCut(t *testing.T) {
	c := qt.New(t)
	w, p := running(c)
	w.now = w.now.Add(11 * time.Minute)
	w.rounds(p, 2)
	c.Assert(w.instance("cal-a0-0").State, qt.Equals, record.Draining)
	c.Assert(w.instance("cal-a0-0").Reason, qt.Equals, "drain exceeds 10m0s, waits for the operator")
	w.now = w.now.Add(time.Hour)
	w.rounds(p, 3)
	c.Assert(w.instance("cal-a0-0").State, qt.Equals, record.Draining)
	c.Assert(p.state.Report().Blocked["cal-a0-0"], qt.Equals, "1 requests in flight")
	w.busy["cal-a0-0"] = 0
	w.rounds(p, 2)
	c.Assert(w.instance("cal-a0-0").State, qt.Equals, record.Rebooting)
}

// Guards against a cancelled wave that still reboots instances, or leaves them draining.
func TestCancelReturnsDrainingInstances(t *testing.T) {
	c := qt.New(t)
	w, p := running(c)
	w.operate("w1", wave.Cancel)
	w.rounds(p, 3)
	c.Assert(w.instance("cal-a0-0").State, qt.Equals, record.Serving)
	c.Assert(w.ledger("flag-calendar").Out, qt.HasLen, 0)
}

// Guards against a paused wave that takes out more instances.
func TestPauseTakesNothingMoreOut(t *testing.T) {
	c := qt.New(t)
	w, p := running(c)
	w.operate("w1", wave.Pause)
	out := w.ledger("flag-calendar").Out
	for range 30 {
		for _, id := range w.ids() {
			w.reboot(id)
		}
		w.rounds(p, 4)
	}
	c.Assert(w.ledger("flag-calendar").Out, qt.DeepEquals, out[:1], qt.Commentf("the instance with work stays out"))
}

// Guards against a failed instance that is forgotten when it comes back late.
func TestFailedInstanceIsListedAndReturnsLater(t *testing.T) {
	c := qt.New(t)
	w, p := running(c)
	w.busy["cal-a0-0"] = 0
	for range 2 {
		w.rounds(p, 12)
		for _, id := range w.ids() {
			if w.instance(id).State == record.Rebooting && w.reboots[id] == 0 {
				w.reboot(id) // goes down and stays down
			}
		}
		w.now = w.now.Add(16 * time.Minute)
	}
	w.rounds(p, 3)
	c.Assert(w.instance("cal-a0-0").State, qt.Equals, record.Out)
	c.Assert(w.instance("cal-a0-0").Reason, qt.Equals, "not live 15m0s after its reboot began")
	w.heal()
	c.Assert(w.fault, qt.IsNil)
	c.Assert(w.instance("cal-a0-0").State, qt.Equals, record.Serving)
	c.Assert(w.wave("w1").Phase, qt.Equals, record.Done)
}

// Guards against a wave that takes out instance after instance although none comes back.
func TestRisingFailureRateStopsTheWave(t *testing.T) {
	c := qt.New(t)
	w := newWorld(sample(4, fleet.Budget{Available: 6, Domain: fleet.DomainZone}))
	p := w.planners[0]
	w.call(p, 0, answered)
	w.put(record.Wave{ID: "w1", Pool: "calendar", Phase: record.Running, Since: w.now, MaxUnavailable: 3}, 0)
	for range 4 {
		w.rounds(p, 12)
		for _, id := range w.ids() {
			w.down[id] = w.down[id] || w.instance(id).State == record.Rebooting
		}
		w.now = w.now.Add(16 * time.Minute)
	}
	w.rounds(p, 3)
	c.Assert(w.wave("w1").Phase, qt.Equals, record.Stopped)
	c.Assert(w.ledger("flag-calendar").Out, qt.HasLen, 3)
}

// Guards against draining instances that stay out while unplanned failures break the budget.
func TestBackOffReturnsDrainingInstances(t *testing.T) {
	c := qt.New(t)
	w, p := running(c)
	w.busy["cal-a0-1"] = 1
	w.down["cal-b0-0"], w.down["cal-c0-0"] = true, true
	w.rounds(p, 3)
	c.Assert(w.ledger("flag-calendar").Out, qt.HasLen, 1, qt.Commentf("8 serving less a zone's 3 are one short of 6"))
	w.down["cal-b0-0"], w.down["cal-c0-0"] = false, false
	w.rounds(p, 60)
	c.Assert(w.ledger("flag-calendar").Out, qt.HasLen, 1, qt.Commentf("the service rests for 2 minutes"))
	w.rounds(p, 90)
	c.Assert(w.ledger("flag-calendar").Out, qt.HasLen, 2)
}

// Guards against a reboot on a count that was taken before the entry instances knew of a drain whose write took effect late.
func TestGraceCountsFromTheDrainInForce(t *testing.T) {
	c := qt.New(t)
	f := sample(2, fleet.Budget{Available: 6})
	s := known(f)
	late := start.Add(5 * time.Minute)
	drained := record.Instance{ID: "cal-a0-0", Pool: "calendar", State: record.Draining, Wave: "w1", Since: start}
	s, effects := steps(s,
		wave.Changed{Record: record.Wave{ID: "w1", Phase: record.Running}, Revision: 1},
		wave.Changed{Record: drained, Revision: 2},
		wave.Flights{Now: late, Counts: map[string]int{"cal-a0-0": 0}},
		wave.Time{Now: late},
	)
	c.Assert(reboots(effects), qt.HasLen, 0)
	_, effects = steps(s,
		wave.Flights{Now: late.Add(6 * time.Second), Counts: map[string]int{"cal-a0-0": 0}},
		wave.Time{Now: late.Add(6 * time.Second)},
	)
	c.Assert(reboots(effects), qt.DeepEquals, []string{"cal-a0-0"})
}

func reboots(effects []wave.Effect) []string {
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

// Guards against headroom counted with instances that have moved away, after a ledger was read ahead of the watch.
func TestLedgerReadAheadIsNotSpentFrom(t *testing.T) {
	c := qt.New(t)
	s := known(sample(2, fleet.Budget{Available: 6, Domain: fleet.DomainZone}))
	ledger := record.Ledger{Service: "flag-calendar", Epoch: 1}
	s, _ = steps(s,
		wave.Changed{Record: record.Wave{ID: "w1", Phase: record.Running}, Revision: 1},
		wave.Time{Now: start.Add(time.Second)},
		wave.Written{Now: start.Add(time.Second), Record: ledger, Err: message.ErrConflict},
		wave.Changed{Record: ledger, Revision: 9, Read: true},
		wave.Time{Now: start.Add(2 * time.Second)},
	)
	c.Assert(s.Report().Blocked["cal-a0-0"], qt.Equals, `the ledger of service "flag-calendar" is newer than the instance records`)
	_, effects := steps(s,
		wave.Changed{Record: ledger, Revision: 9},
		wave.Time{Now: start.Add(3 * time.Second)},
	)
	c.Assert(len(effects) > 0, qt.IsTrue)
}

// Guards against a new planner that takes the wait for its first instance list for failures, and then rests.
func TestNoRestBeforeTheFirstInstanceList(t *testing.T) {
	c := qt.New(t)
	f := sample(2, fleet.Budget{Available: 6, Domain: fleet.DomainZone})
	s, _ := steps(wave.New(wave.Defaults()),
		wave.Configure{Fleet: f},
		wave.Won{Now: start, Epoch: 1, Until: start.Add(time.Hour)},
		wave.Loaded{},
		wave.Changed{Record: record.Wave{ID: "w1", Phase: record.Running}, Revision: 1},
		wave.Time{Now: start},
	)
	_, effects := steps(s,
		wave.Listed{Now: start.Add(time.Second), Instances: listing(f)},
		wave.Time{Now: start.Add(time.Second)},
	)
	taken := false
	for _, e := range effects {
		w, ok := e.(wave.Write)
		if !ok {
			continue
		}
		l, ok := w.Record.(record.Ledger)
		taken = taken || ok && len(l.Out) > 0
	}
	c.Assert(taken, qt.IsTrue)
}
