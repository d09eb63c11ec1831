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

// world simulates the platform, the instances and two planners. The test decides the order of calls and events.
type world struct {
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

type planner struct {
	state  wave.State
	calls  []wave.Effect
	seen   int // number of changes delivered from the history
	paused bool
	until  time.Time // validity of the epoch
}

func newWorld(f fleet.Fleet) *world {
	w := &world{
		now: start, fleet: f,
		store: map[string]message.RecordChanged{}, down: map[string]bool{}, reboots: map[string]int{}, inFlight: map[string]int{},
		drained: map[string]time.Time{},
	}
	for range 2 {
		p := &planner{state: wave.New(wave.Defaults())}
		w.planners = append(w.planners, p)
		w.deliver(p, wave.ConfigChanged{Fleet: f})
		w.sendList(p)
	}
	w.startEpoch(w.planners[0])
	return w
}

func (w *world) ids() []string {
	var ids []string
	for _, p := range w.fleet.Pools {
		for _, i := range p.Instances {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

func (w *world) declared(id string) (fleet.Instance, string) {
	for _, p := range w.fleet.Pools {
		for _, i := range p.Instances {
			if i.ID == id {
				return i, p.Name
			}
		}
	}
	panic("instance " + id + " is not declared")
}

func (w *world) instance(id string) record.Instance {
	if r, ok := w.store[record.Instance{ID: id}.Key()]; ok {
		return r.Record.(record.Instance)
	}
	_, pool := w.declared(id)
	return record.Instance{ID: id, Pool: pool, State: record.Serving}
}

func (w *world) ledger(service string) record.Ledger {
	if r, ok := w.store[record.Ledger{Service: service}.Key()]; ok {
		return r.Record.(record.Ledger)
	}
	return record.Ledger{Service: service}
}

func (w *world) wave(id string) record.Wave {
	r, _ := w.store[record.Wave{ID: id}.Key()].Record.(record.Wave)
	return r
}

// put makes a compare-and-swap on the store and checks the invariants.
func (w *world) put(r record.Record, expected int64) (int64, bool) {
	if w.store[r.Key()].Revision != expected {
		return 0, false
	}
	w.checkWrite(r)
	w.revision++
	change := message.RecordChanged{Record: r, Revision: w.revision}
	w.store[r.Key()] = change
	w.history = append(w.history, change)
	if i, ok := r.(record.Instance); ok && i.State == record.Draining {
		w.drained[i.ID] = w.now
	}
	if i, ok := r.(record.Instance); ok && i.State == record.Rebooting {
		w.reboots[i.ID] = 0
	}
	w.checkStore()
	return w.revision, true
}

func (w *world) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf(format, args...)
	}
}

// deliver gives a planner a message and queues the calls that it requests.
func (w *world) deliver(p *planner, m wave.Message) {
	var effects []wave.Effect
	p.state, effects = wave.Step(p.state, m)
	for _, e := range effects {
		if _, notice := e.(wave.Notice); notice {
			continue
		}
		if write, ok := e.(wave.Write); ok {
			w.checkPlanner(p, write)
		}
		p.calls = append(p.calls, e)
	}
}

// Outcomes of a call.
const (
	answered = iota
	lostBefore
	lostAfter
	lostLate // the write takes effect after the planner got its result
)

// finishCall gives one call of a planner an outcome.
func (w *world) finishCall(p *planner, index, end int) {
	e := p.calls[index]
	p.calls = slices.Delete(p.calls, index, index+1)
	if end == answered || end == lostAfter {
		m := w.answer(e)
		if end == answered {
			w.deliver(p, m)
			return
		}
	}
	switch e := e.(type) {
	case wave.Write:
		if end == lostLate {
			w.late = append(w.late, e)
		}
		w.deliver(p, wave.WriteResult{Now: w.now, Record: e.Record, Err: message.ErrUnavailable})
	case wave.Read:
		w.deliver(p, wave.ReadFailed{Now: w.now, Record: e.Record})
	case wave.Load:
		w.deliver(p, wave.LoadFailed{Now: w.now})
	case wave.Notice:
	}
}

func (w *world) answer(e wave.Effect) wave.Message {
	switch e := e.(type) {
	case wave.Write:
		revision, ok := w.put(e.Record, e.Expected)
		if !ok {
			return wave.WriteResult{Now: w.now, Record: e.Record, Err: message.ErrConflict}
		}
		return wave.WriteResult{Now: w.now, Record: e.Record, Revision: revision}
	case wave.Read:
		r, ok := w.store[e.Record.Key()]
		if !ok {
			return wave.RecordChanged{Record: e.Record, Deleted: true, ReadBack: true}
		}
		return wave.RecordChanged{Record: r.Record, Revision: r.Revision, ReadBack: true}
	case wave.Load:
		var m wave.RecordsLoaded
		for _, r := range w.store {
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
func (w *world) deliverChanges(p *planner, n int) {
	for ; n > 0 && p.seen < len(w.history); n-- {
		c := w.history[p.seen]
		p.seen++
		w.deliver(p, wave.RecordChanged{Record: c.Record, Revision: c.Revision})
	}
}

// sendList gives a planner the current instance list.
func (w *world) sendList(p *planner) {
	var l []message.Listing
	for _, id := range w.ids() {
		if i, _ := w.declared(id); !w.down[id] && w.reboots[id] != 1 {
			l = append(l, message.Listing{ID: id, Zone: i.Zone, Rack: i.Rack, State: "live"})
		}
	}
	w.deliver(p, wave.InstancesListed{Now: w.now, Instances: l})
}

// reportInFlight gives a planner the requests in flight at the draining instances.
func (w *world) reportInFlight(p *planner) {
	counts := map[string]int{}
	for _, id := range p.state.Draining() {
		counts[id] = w.inFlight[id]
	}
	w.deliver(p, wave.InFlight{Now: w.now, Counts: counts})
}

// startEpoch makes a planner the owner in a new epoch. The other planner keeps its own epoch until that expires.
func (w *world) startEpoch(p *planner) {
	w.epoch++
	p.until = w.now.Add(10 * time.Minute)
	w.deliver(p, wave.OwnershipWon{Now: w.now, Epoch: w.epoch, Until: p.until})
}

// advanceReboot takes a rebooting instance down, or up again.
func (w *world) advanceReboot(id string) {
	if w.reboots[id] == 1 || w.instance(id).State == record.Rebooting && w.reboots[id] == 0 {
		w.reboots[id]++
	}
}

// operate applies an operator's command to a wave by a compare-and-swap.
func (w *world) operate(id string, c wave.Command) {
	key := record.Wave{ID: id}.Key()
	next, err := wave.Apply(w.wave(id), c, w.now)
	if errors.Is(err, wave.ErrInvalidTransition) {
		return
	}
	w.put(next, w.store[key].Revision)
}

// move sets an instance's target pool by a compare-and-swap, as an operator does.
func (w *world) move(id, pool string) {
	r := w.instance(id)
	if r.State == record.Serving && r.Target == "" && r.Pool != pool {
		w.put(r.WithTarget(pool), w.store[r.Key()].Revision)
	}
}

// repairAll ends all faults and lets one planner work until nothing changes any more.
func (w *world) repairAll() {
	clear(w.down)
	clear(w.inFlight)
	w.late = nil
	p := w.planners[0]
	p.paused = false
	w.planners[1].calls = nil
	w.startEpoch(p)
	last := w.now.Add(4 * time.Hour)
	for quiet := 0; quiet < 12 && w.now.Before(last); quiet++ { // 6 minutes, longer than any delay without faults
		w.now = w.now.Add(30 * time.Second)
		p.until = w.now.Add(time.Minute)
		w.deliver(p, wave.OwnershipWon{Now: w.now, Epoch: w.epoch, Until: p.until})
		for _, id := range slices.Sorted(maps.Keys(w.reboots)) {
			w.advanceReboot(id)
		}
		w.deliverChanges(p, len(w.history))
		w.sendList(p)
		w.reportInFlight(p)
		w.deliver(p, wave.Tick{Now: w.now})
		for ; len(p.calls) > 0; quiet = 0 {
			w.finishCall(p, 0, answered)
		}
	}
	if !w.now.Before(last) {
		w.fail("the planner still works 4 hours after everything was repaired")
	}
}

// runRound gives a planner all changes, lists and counts, lets it decide and answers its calls.
func (w *world) runRound(p *planner) {
	w.deliverChanges(p, len(w.history))
	w.sendList(p)
	w.reportInFlight(p)
	w.deliver(p, wave.Tick{Now: w.now})
	for n := len(p.calls); n > 0; n-- {
		w.finishCall(p, 0, answered)
	}
}

// setLoad sets the requests in flight at an instance, which are 0 unless entry instances may still send to it.
func (w *world) setLoad(id string, n int) {
	state := w.instance(id).State
	if state == record.Serving || state == record.Draining && w.now.Sub(w.drained[id]) < 5*time.Second {
		w.inFlight[id] = n
		return
	}
	w.inFlight[id] = 0
}
