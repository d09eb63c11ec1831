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

// world is the platform, the instances and two planners, whose calls and events are delivered in generated order.
type world struct {
	now      time.Time
	fleet    fleet.Fleet
	revision int64
	store    map[string]message.RecordChanged
	history  []message.RecordChanged // what a watch brings
	late     []wave.Write            // writes whose answer was lost before they took effect
	down     map[string]bool         // crashed instances
	reboots  map[string]int          // step of a reboot: 1 down, 2 up again
	busy     map[string]int          // requests in flight
	drained  map[string]time.Time    // when a drain took effect
	planners []*planner
	epoch    uint64
	fault    error // first broken invariant
}

type planner struct {
	state  wave.State
	calls  []wave.Effect
	seen   int // of the history
	paused bool
	until  time.Time // of the last proof
}

func newWorld(f fleet.Fleet) *world {
	w := &world{
		now: start, fleet: f,
		store: map[string]message.RecordChanged{}, down: map[string]bool{}, reboots: map[string]int{}, busy: map[string]int{},
		drained: map[string]time.Time{},
	}
	for range 2 {
		p := &planner{state: wave.New(wave.Defaults())}
		w.planners = append(w.planners, p)
		w.step(p, wave.Configure{Fleet: f})
		w.list(p)
	}
	w.win(w.planners[0])
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

// put makes a compare-and-swap and checks the invariants of the store.
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
	if w.fault == nil {
		w.fault = fmt.Errorf(format, args...)
	}
}

// step gives a planner a message and keeps its calls.
func (w *world) step(p *planner, m wave.Message) {
	var effects []wave.Effect
	p.state, effects = wave.Step(p.state, m)
	for _, e := range effects {
		if _, notice := e.(wave.Notice); notice {
			continue
		}
		if write, ok := e.(wave.Write); ok {
			w.checkKnown(p, write)
		}
		p.calls = append(p.calls, e)
	}
}

// The ways in which a call ends.
const (
	answered = iota
	lostBefore
	lostAfter
	lostLate // it takes effect after the planner has given up on it
)

// call ends one call of a planner.
func (w *world) call(p *planner, index, end int) {
	e := p.calls[index]
	p.calls = slices.Delete(p.calls, index, index+1)
	if end == answered || end == lostAfter {
		m := w.answer(e)
		if end == answered {
			w.step(p, m)
			return
		}
	}
	switch e := e.(type) {
	case wave.Write:
		if end == lostLate {
			w.late = append(w.late, e)
		}
		w.step(p, wave.Written{Now: w.now, Record: e.Record, Err: message.ErrUnavailable})
	case wave.Read:
		w.step(p, wave.ReadFailed{Now: w.now, Record: e.Record})
	case wave.Load:
		w.step(p, wave.LoadFailed{Now: w.now})
	case wave.Notice:
	}
}

func (w *world) answer(e wave.Effect) wave.Message {
	switch e := e.(type) {
	case wave.Write:
		revision, ok := w.put(e.Record, e.Expected)
		if !ok {
			return wave.Written{Now: w.now, Record: e.Record, Err: message.ErrConflict}
		}
		return wave.Written{Now: w.now, Record: e.Record, Revision: revision}
	case wave.Read:
		r, ok := w.store[e.Record.Key()]
		if !ok {
			return wave.Changed{Record: e.Record, Deleted: true, Read: true}
		}
		return wave.Changed{Record: r.Record, Revision: r.Revision, Read: true}
	case wave.Load:
		var m wave.Loaded
		for _, r := range w.store {
			m.Records = append(m.Records, wave.Changed{Record: r.Record, Revision: r.Revision, Read: true})
		}
		return m
	case wave.Notice:
		panic("a notice is no call")
	default:
		panic(fmt.Sprintf("effect %T is no call", e))
	}
}

// watch brings the next changes to a planner.
func (w *world) watch(p *planner, n int) {
	for ; n > 0 && p.seen < len(w.history); n-- {
		c := w.history[p.seen]
		p.seen++
		w.step(p, wave.Changed{Record: c.Record, Revision: c.Revision})
	}
}

// list brings the present instance list.
func (w *world) list(p *planner) {
	var l []message.Listing
	for _, id := range w.ids() {
		if i, _ := w.declared(id); !w.down[id] && w.reboots[id] != 1 {
			l = append(l, message.Listing{ID: id, Zone: i.Zone, Rack: i.Rack, State: "live"})
		}
	}
	w.step(p, wave.Listed{Now: w.now, Instances: l})
}

func (w *world) count(p *planner) {
	counts := map[string]int{}
	for _, id := range p.state.Draining() {
		counts[id] = w.busy[id]
	}
	w.step(p, wave.Flights{Now: w.now, Counts: counts})
}

// win starts a new epoch of a planner; the other one believes in its own until it expires.
func (w *world) win(p *planner) {
	w.epoch++
	p.until = w.now.Add(10 * time.Minute)
	w.step(p, wave.Won{Now: w.now, Epoch: w.epoch, Until: p.until})
}

// reboot moves an instance that was told to reboot one step on.
func (w *world) reboot(id string) {
	if w.reboots[id] == 1 || w.instance(id).State == record.Rebooting && w.reboots[id] == 0 {
		w.reboots[id]++
	}
}

// operate makes an operator's compare-and-swap on a wave.
func (w *world) operate(id string, c wave.Command) {
	key := record.Wave{ID: id}.Key()
	next, err := wave.Apply(w.wave(id), c, w.now)
	if errors.Is(err, wave.ErrPhase) {
		return
	}
	w.put(next, w.store[key].Revision)
}

// move makes an operator's compare-and-swap of an instance's target.
func (w *world) move(id, pool string) {
	r := w.instance(id)
	if r.State == record.Serving && r.Target == "" && r.Pool != pool {
		w.put(r.WithTarget(pool), w.store[r.Key()].Revision)
	}
}

// heal brings everything up and back and lets one planner work until nothing changes any more.
func (w *world) heal() {
	clear(w.down)
	clear(w.busy)
	w.late = nil
	p := w.planners[0]
	p.paused = false
	w.planners[1].calls = nil
	w.win(p)
	last := w.now.Add(4 * time.Hour)
	for quiet := 0; quiet < 12 && w.now.Before(last); quiet++ { // 6 minutes, longer than every limit that applies when all is well
		w.now = w.now.Add(30 * time.Second)
		p.until = w.now.Add(time.Minute)
		w.step(p, wave.Won{Now: w.now, Epoch: w.epoch, Until: p.until})
		for _, id := range slices.Sorted(maps.Keys(w.reboots)) {
			w.reboot(id)
		}
		w.watch(p, len(w.history))
		w.list(p)
		w.count(p)
		w.step(p, wave.Time{Now: w.now})
		for ; len(p.calls) > 0; quiet = 0 {
			w.call(p, 0, answered)
		}
	}
	if !w.now.Before(last) {
		w.fail("the planner still works 4 hours after everything was repaired")
	}
}

// round brings a planner everything it can know, lets it decide and answers its calls.
func (w *world) round(p *planner) {
	w.watch(p, len(w.history))
	w.list(p)
	w.count(p)
	w.step(p, wave.Time{Now: w.now})
	for n := len(p.calls); n > 0; n-- {
		w.call(p, 0, answered)
	}
}

// load lets requests end, or begin at an instance that entry instances may still send to.
func (w *world) load(id string, n int) {
	state := w.instance(id).State
	if state == record.Serving || state == record.Draining && w.now.Sub(w.drained[id]) < 5*time.Second {
		w.busy[id] = n
		return
	}
	w.busy[id] = 0
}
