package wave_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// simulation simulates the platform, the instances and two planners. The test decides the order of calls and events.
type simulation struct {
	now       time.Time
	fleet     fleet.Fleet
	revision  int64
	store     map[string]message.RecordChanged
	history   []message.RecordChanged // changes that the watch delivers
	late      []wave.Write            // writes without an answer that have not taken effect yet
	down      map[string]bool         // crashed instances
	reboots   map[string]int          // progress of a reboot: 1 down, 2 up again
	inFlight  map[string]int          // requests in flight
	drained   map[string]time.Time    // when a drain took effect
	planners  []*planner
	epoch     uint64
	violation error // first violated invariant
}

// planner is a simulated planner process.
type planner struct {
	state  wave.State
	calls  []wave.Effect // requested and not answered yet
	seen   int           // number of changes delivered from the history
	paused bool
	until  time.Time // validity of the epoch
}

func newSimulation(f fleet.Fleet) *simulation {
	sim := &simulation{
		now: start, fleet: f,
		store: map[string]message.RecordChanged{}, down: map[string]bool{}, reboots: map[string]int{}, inFlight: map[string]int{},
		drained: map[string]time.Time{},
	}
	for range 2 {
		p := &planner{state: wave.New(wave.Defaults())}
		sim.planners = append(sim.planners, p)
		sim.deliver(p, wave.ConfigChanged{Fleet: f})
		sim.sendList(p)
	}
	sim.startEpoch(sim.planners[0])
	return sim
}

func (sim *simulation) ids() []string {
	var ids []string
	for _, p := range sim.fleet.Pools {
		for _, i := range p.Instances {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

func (sim *simulation) declared(id string) (fleet.Instance, string) {
	for _, p := range sim.fleet.Pools {
		for _, i := range p.Instances {
			if i.ID == id {
				return i, p.Name
			}
		}
	}
	panic("instance " + id + " is not declared")
}

func (sim *simulation) instance(id string) record.Instance {
	if r, ok := sim.store[record.Instance{ID: id}.Key()]; ok {
		return r.Record.(record.Instance)
	}
	_, pool := sim.declared(id)
	return record.Instance{ID: id, Pool: pool, State: record.Serving}
}

func (sim *simulation) ledger(service string) record.Ledger {
	if r, ok := sim.store[record.Ledger{Service: service}.Key()]; ok {
		return r.Record.(record.Ledger)
	}
	return record.Ledger{Service: service}
}

func (sim *simulation) wave(id string) record.Wave {
	r, _ := sim.store[record.Wave{ID: id}.Key()].Record.(record.Wave)
	return r
}

// put makes a compare-and-swap on the store and checks the invariants.
func (sim *simulation) put(r record.Record, expectedRevision int64) (int64, bool) {
	if sim.store[r.Key()].Revision != expectedRevision {
		return 0, false
	}
	sim.checkWrite(r)
	sim.revision++
	change := message.RecordChanged{Record: r, Revision: sim.revision}
	sim.store[r.Key()] = change
	sim.history = append(sim.history, change)
	if i, ok := r.(record.Instance); ok && i.State == record.Draining {
		sim.drained[i.ID] = sim.now
	}
	if i, ok := r.(record.Instance); ok && i.State == record.Rebooting {
		sim.reboots[i.ID] = 0
	}
	sim.checkStore()
	return sim.revision, true
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf(format, args...)
	}
}

// deliver gives a planner a message and queues the calls that it requests.
func (sim *simulation) deliver(p *planner, m wave.Message) {
	var effects []wave.Effect
	p.state, effects = wave.Step(p.state, m)
	for _, e := range effects {
		if _, notice := e.(wave.Notice); notice {
			continue
		}
		if write, ok := e.(wave.Write); ok {
			sim.checkPlanner(p, write)
		}
		p.calls = append(p.calls, e)
	}
}

// Outcomes of a call.
const (
	answered   = iota
	lostBefore // the call fails without effect
	lostAfter  // the call takes effect, but its answer is lost
	lostLate   // like lostBefore, but a write may take effect later
)

// finishCall gives one call of a planner an outcome.
func (sim *simulation) finishCall(p *planner, index, outcome int) {
	e := p.calls[index]
	p.calls = slices.Delete(p.calls, index, index+1)
	if outcome == answered || outcome == lostAfter {
		m := sim.answer(e)
		if outcome == answered {
			sim.deliver(p, m)
			return
		}
	}
	switch e := e.(type) {
	case wave.Write:
		if outcome == lostLate {
			sim.late = append(sim.late, e)
		}
		sim.deliver(p, wave.WriteResult{Now: sim.now, Record: e.Record, Err: message.ErrUnavailable})
	case wave.Read:
		sim.deliver(p, wave.ReadFailed{Now: sim.now, Record: e.Record})
	case wave.Load:
		sim.deliver(p, wave.LoadFailed{Now: sim.now})
	case wave.Notice:
	}
}

// answer carries out a call on the store and returns its result.
func (sim *simulation) answer(e wave.Effect) wave.Message {
	switch e := e.(type) {
	case wave.Write:
		revision, ok := sim.put(e.Record, e.ExpectedRevision)
		if !ok {
			return wave.WriteResult{Now: sim.now, Record: e.Record, Err: message.ErrConflict}
		}
		return wave.WriteResult{Now: sim.now, Record: e.Record, Revision: revision}
	case wave.Read:
		r, ok := sim.store[e.Record.Key()]
		if !ok {
			return wave.RecordChanged{Record: e.Record, Deleted: true, ReadBack: true}
		}
		return wave.RecordChanged{Record: r.Record, Revision: r.Revision, ReadBack: true}
	case wave.Load:
		var m wave.RecordsLoaded
		for _, r := range sim.store {
			m.Records = append(m.Records, wave.RecordChanged{Record: r.Record, Revision: r.Revision, ReadBack: true})
		}
		return m
	case wave.Notice:
		panic("a notice is not a call")
	default:
		panic(fmt.Sprintf("effect %T is not a call", e))
	}
}

// deliverChanges gives a planner the next n changes from the watch.
func (sim *simulation) deliverChanges(p *planner, n int) {
	for ; n > 0 && p.seen < len(sim.history); n-- {
		c := sim.history[p.seen]
		p.seen++
		sim.deliver(p, wave.RecordChanged{Record: c.Record, Revision: c.Revision})
	}
}

// sendList gives a planner the current instance list.
func (sim *simulation) sendList(p *planner) {
	var l []message.Listing
	for _, id := range sim.ids() {
		if i, _ := sim.declared(id); !sim.down[id] && sim.reboots[id] != 1 {
			l = append(l, message.Listing{ID: id, Zone: i.Zone, Rack: i.Rack, State: "live"})
		}
	}
	sim.deliver(p, wave.InstancesListed{Now: sim.now, Instances: l})
}

// reportInFlight gives a planner the requests in flight at the draining instances.
func (sim *simulation) reportInFlight(p *planner) {
	counts := map[string]int{}
	for _, id := range p.state.Draining() {
		counts[id] = sim.inFlight[id]
	}
	sim.deliver(p, wave.InFlight{Now: sim.now, Counts: counts})
}

// startEpoch makes a planner the owner in a new epoch. The other planner keeps its own epoch until that expires.
func (sim *simulation) startEpoch(p *planner) {
	sim.epoch++
	p.until = sim.now.Add(10 * time.Minute)
	sim.deliver(p, wave.OwnershipWon{Now: sim.now, Epoch: sim.epoch, Until: p.until})
}

// advanceReboot takes a rebooting instance down, or up again.
func (sim *simulation) advanceReboot(id string) {
	if sim.reboots[id] == 1 || sim.instance(id).State == record.Rebooting && sim.reboots[id] == 0 {
		sim.reboots[id]++
	}
}

// operate applies an operator's command to a wave by a compare-and-swap.
func (sim *simulation) operate(id string, c wave.Command) {
	key := record.Wave{ID: id}.Key()
	next, err := wave.Apply(sim.wave(id), c, sim.now)
	if errors.Is(err, wave.ErrInvalidTransition) {
		return
	}
	sim.put(next, sim.store[key].Revision)
}

// move sets an instance's target pool by a compare-and-swap, as an operator does.
func (sim *simulation) move(id, pool string) {
	r := sim.instance(id)
	if r.State == record.Serving && r.Target == "" && r.Pool != pool {
		sim.put(r.WithTarget(pool), sim.store[r.Key()].Revision)
	}
}

// repairAll ends all faults and lets one planner work until nothing changes any more.
func (sim *simulation) repairAll() {
	clear(sim.down)
	clear(sim.inFlight)
	sim.late = nil
	p := sim.planners[0]
	p.paused = false
	sim.planners[1].calls = nil
	sim.startEpoch(p)
	last := sim.now.Add(4 * time.Hour)
	for quiet := 0; quiet < 12 && sim.now.Before(last); quiet++ { // 6 minutes, longer than any delay without faults
		sim.now = sim.now.Add(30 * time.Second)
		p.until = sim.now.Add(time.Minute)
		sim.deliver(p, wave.OwnershipWon{Now: sim.now, Epoch: sim.epoch, Until: p.until})
		for _, id := range slices.Sorted(maps.Keys(sim.reboots)) {
			sim.advanceReboot(id)
		}
		sim.deliverChanges(p, len(sim.history))
		sim.sendList(p)
		sim.reportInFlight(p)
		sim.deliver(p, wave.Tick{Now: sim.now})
		for ; len(p.calls) > 0; quiet = 0 {
			sim.finishCall(p, 0, answered)
		}
	}
	if !sim.now.Before(last) {
		sim.fail("the planner still works 4 hours after everything was repaired")
	}
}

// runRound gives a planner all changes, lists and counts, lets it decide and answers its calls.
func (sim *simulation) runRound(p *planner) {
	sim.deliverChanges(p, len(sim.history))
	sim.sendList(p)
	sim.reportInFlight(p)
	sim.deliver(p, wave.Tick{Now: sim.now})
	for n := len(p.calls); n > 0; n-- {
		sim.finishCall(p, 0, answered)
	}
}

// setLoad sets the requests in flight at an instance, which are 0 unless entry instances may still send to it.
func (sim *simulation) setLoad(id string, n int) {
	state := sim.instance(id).State
	if state == record.Serving || state == record.Draining && sim.now.Sub(sim.drained[id]) < 5*time.Second {
		sim.inFlight[id] = n
		return
	}
	sim.inFlight[id] = 0
}
