package entry_test

import (
	"fmt"
	"slices"
	"time"

	"teaselloft/internal/decision/entry"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

const (
	ttl     = 2 * time.Second
	tick    = 50 * time.Millisecond
	service = "notices"
	slots   = 2
)

// world runs several entry instances with a store, links and executors on one virtual clock, with no encoding.
type world struct {
	now      time.Time
	nodes    []*node
	store    map[string]cell
	revision int64
	leases   map[string]time.Time // expiry by entry
	down     bool                 // the store answers nobody
	cut      map[[2]string]bool
	runs     []run
	executed map[string]int // runs by idempotency key of non-idempotent requests
	started  map[message.ID]int
	refused  map[message.ID]message.Reason
	answered int
	busiest  int
	pending  map[message.ID]message.Request
	sequence uint64
	fault    string
	trace    []string
}

type cell struct {
	record   record.Record
	revision int64
}

// node is one entry instance.
type node struct {
	name        string
	incarnation int
	state       entry.State
	paused      bool
	dead        bool
	inbox       []func(w *world, n *node) // deliveries in order
	calls       []entry.Effect
}

// run is a request at an executor.
type run struct {
	node     *node
	request  message.Request
	executor string
	end      time.Time
	cut      bool // the connection breaks, so that the outcome is unknown
}

func newWorld(nodes, executors int) *world {
	w := &world{
		now: time.Unix(1000, 0), store: map[string]cell{}, leases: map[string]time.Time{},
		cut: map[[2]string]bool{}, executed: map[string]int{}, started: map[message.ID]int{},
		refused: map[message.ID]message.Reason{}, pending: map[message.ID]message.Request{},
	}
	var pool fleet.Pool
	pool.Name = "pool"
	for i := range executors {
		pool.Instances = append(pool.Instances, fleet.Instance{ID: fmt.Sprintf("x%d", i), Zone: "z"})
	}
	f := fleet.Fleet{Version: 1, Pools: []fleet.Pool{pool}, Services: []fleet.Service{
		{Name: service, Pool: "pool", Slots: slots, Connections: 64},
	}}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("e%d", i)}
		n.state = entry.New(n.name, "z")
		w.nodes = append(w.nodes, n)
		w.feed(n, message.ConfigChanged{Fleet: f})
	}
	return w
}

// note appends a line to the trace that a failed history prints.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	w.trace = append(w.trace, fmt.Sprintf("%7.2f %s", w.now.Sub(time.Unix(1000, 0)).Seconds(), line))
}

// feed queues an event for a node.
func (w *world) feed(n *node, e message.Event) {
	n.inbox = append(n.inbox, func(w *world, n *node) { w.step(n, entry.Event{Now: w.now, Event: e}) })
}

func (w *world) step(n *node, m entry.Message) {
	var effects []entry.Effect
	n.state, effects = entry.Step(n.state, m)
	for _, e := range effects {
		w.carryOut(n, e)
	}
}

func (w *world) carryOut(n *node, e entry.Effect) {
	switch e := e.(type) {
	case entry.Verdict:
		w.verdict(n, e)
	case entry.SendFrame:
		w.send(n, e)
	case entry.Write, entry.Verify, entry.ReadClaim:
		n.calls = append(n.calls, e)
	case entry.Notice:
		w.note("%s %s %s %d", n.name, e.Event, e.Service, e.Epoch)
	}
}

func (w *world) send(n *node, f entry.SendFrame) {
	to := w.node(f.To)
	w.note("%s to %s: %T %+v", n.name, f.To, f.Frame, f.Frame)
	if to == nil || to.dead || w.cut[[2]string{n.name, f.To}] {
		w.feed(n, message.LinkChanged{Entry: f.To})
		return
	}
	w.feed(to, message.FrameReceived{From: n.name, Frame: f.Frame})
}

func (w *world) node(name string) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
	if i < 0 {
		return nil
	}
	return w.nodes[i]
}

// verdict starts a run, or ends a request.
func (w *world) verdict(n *node, v entry.Verdict) {
	r, ok := w.pending[v.ID]
	if !ok {
		return
	}
	w.note("%v %s: %T %+v", v.ID, r.Key, v.Verdict, v.Verdict)
	switch v := v.Verdict.(type) {
	case message.Send:
		w.started[r.ID]++
		if !r.Idempotent {
			w.executed[r.Key]++
		}
		w.sequence++
		length := time.Duration(1+w.sequence%7) * tick
		w.runs = append(w.runs, run{node: n, request: r, executor: v.Executor.ID, end: w.now.Add(length), cut: w.sequence%11 == 0})
	case message.Refuse:
		w.refused[r.ID] = v.Refusal.Reason
		delete(w.pending, r.ID)
	case message.Replay, message.NoRetry:
		delete(w.pending, r.ID)
	}
	if v.Last {
		delete(w.pending, v.ID)
	}
}

// arrive brings a request with the given key to a node; an empty key makes it idempotent.
func (w *world) arrive(n *node, key string) message.ID {
	w.sequence++
	r := message.Request{
		ID:   message.ID{Entry: n.name, Incarnation: "p", Sequence: w.sequence},
		Name: service, Method: "POST", Path: "/do", Caller: "c", Key: key, Idempotent: key == "",
		Class: message.Normal, Arrived: w.now, Deadline: w.now.Add(10 * time.Second),
	}
	w.pending[r.ID] = r
	w.feed(n, message.RequestArrived{Request: r})
	return r.ID
}

// pass lets a tick of time go by: runs end, leases expire, callers give up.
func (w *world) pass() {
	w.now = w.now.Add(tick)
	w.endRuns()
	for name, expiry := range w.leases {
		if !w.now.Before(expiry) {
			delete(w.leases, name)
			w.delete(record.Member{Entry: name})
		}
	}
	for id, r := range w.pending {
		if w.now.After(r.Deadline) && !w.running(id) {
			delete(w.pending, id)
			w.feed(w.node(id.Entry), message.RequestCanceled{ID: id})
		}
	}
	for _, n := range w.nodes {
		if wake := n.state.NextWake(); !n.paused && !n.dead && !wake.IsZero() && !w.now.Before(wake) {
			w.step(n, entry.Tick{Now: w.now})
		}
	}
}

func (w *world) running(id message.ID) bool {
	return slices.ContainsFunc(w.runs, func(r run) bool { return r.request.ID == id })
}

func (w *world) endRuns() {
	ended := func(r run) bool { return !w.now.Before(r.end) }
	for _, r := range w.runs {
		if !ended(r) {
			continue
		}
		w.note("%v ends on %s, cut %v", r.request.ID, r.executor, r.cut)
		f := message.SendFinished{ID: r.request.ID, Outcome: message.Answered, RunTime: tick}
		if r.cut {
			f.Outcome = message.Unknown
			f.Retry = r.request.Idempotent
		} else {
			w.answered++
		}
		if !f.Retry {
			delete(w.pending, r.request.ID)
		}
		w.feed(r.node, f)
	}
	w.runs = slices.DeleteFunc(w.runs, ended)
}

func (w *world) publish(c message.RecordChanged) {
	for _, n := range w.nodes {
		w.feed(n, c)
	}
}

func (w *world) put(r record.Record) int64 {
	w.revision++
	w.store[r.Key()] = cell{record: r, revision: w.revision}
	w.publish(message.RecordChanged{Record: r, Revision: w.revision})
	return w.revision
}

func (w *world) delete(r record.Record) {
	w.revision++
	delete(w.store, r.Key())
	w.publish(message.RecordChanged{Record: r, Revision: w.revision, Deleted: true})
}

// renew answers a node's keep-alive, or registers it again after its lease expired.
func (w *world) renew(n *node) {
	if w.down {
		w.feed(n, message.RenewalFailed{Sent: w.now})
		return
	}
	if _, ok := w.leases[n.name]; !ok {
		n.incarnation++
		w.put(record.Member{Entry: n.name, Incarnation: fmt.Sprint(n.incarnation)})
	}
	w.leases[n.name] = w.now.Add(ttl)
	w.feed(n, message.LeaseRenewed{Incarnation: fmt.Sprint(n.incarnation), Sent: w.now, TTL: ttl})
}

// call carries out a node's oldest store call; lost drops the response after the call took effect.
func (w *world) call(n *node, lost bool) {
	c := n.calls[0]
	n.calls = n.calls[1:]
	reply := w.reply(c, lost || w.down)
	n.inbox = append(n.inbox, func(w *world, n *node) { w.step(n, reply(w.now)) })
}

func (w *world) reply(c entry.Effect, lost bool) func(time.Time) entry.Message {
	switch c := c.(type) {
	case entry.Write:
		m := w.write(c)
		if lost {
			m = entry.WriteResult{Write: c, Err: message.ErrUnavailable}
		}
		return func(now time.Time) entry.Message { m.Now = now; return m }
	case entry.Verify:
		found, ok := w.store[record.Member{Entry: c.Entry}.Key()]
		alive := lost || ok && found.record.(record.Member).Incarnation == c.Incarnation
		return func(now time.Time) entry.Message {
			return entry.VerifyResult{Now: now, Service: c.Service, Epoch: c.Epoch, Alive: alive}
		}
	case entry.ReadClaim:
		found := w.store[record.Claim{Service: c.Service}.Key()]
		claim, _ := found.record.(record.Claim)
		m := entry.ReadClaimResult{Service: c.Service, Epoch: c.Epoch, Claim: claim, Revision: found.revision}
		if lost {
			m.Err = message.ErrUnavailable
		}
		return func(now time.Time) entry.Message { m.Now = now; return m }
	case entry.SendFrame, entry.Notice, entry.Verdict:
		panic(fmt.Sprintf("no store call: %T", c))
	default:
		panic(fmt.Sprintf("unknown effect %T", c))
	}
}

func (w *world) write(c entry.Write) entry.WriteResult {
	if w.down {
		return entry.WriteResult{Write: c, Err: message.ErrUnavailable}
	}
	found := w.store[c.Record.Key()]
	if found.revision != c.Expected {
		return entry.WriteResult{Write: c, Err: message.ErrConflict, Found: found.record, FoundRevision: found.revision}
	}
	return entry.WriteResult{Write: c, Revision: w.put(c.Record)}
}

// deliver hands a node its oldest waiting event.
func (w *world) deliver(n *node) {
	f := n.inbox[0]
	n.inbox = n.inbox[1:]
	f(w, n)
	w.check()
}

// check records a broken invariant.
func (w *world) check() {
	for key, n := range w.executed {
		if n > 1 {
			w.fault = fmt.Sprintf("non-idempotent request %q ran %d times", key, n)
		}
	}
	for id, reason := range w.refused {
		if w.started[id] > 0 && reason != message.ReasonDuplicate && !w.pendingRetry(id) {
			w.fault = fmt.Sprintf("request %v was refused as %s but ran", id, reason)
		}
	}
	used := map[string]int{}
	for _, r := range w.runs {
		used[r.executor]++
	}
	for id, n := range used {
		w.busiest = max(w.busiest, n)
		if n > slots {
			w.fault = fmt.Sprintf("executor %s runs %d requests in %d slots", id, n, slots)
		}
	}
}

// pendingRetry allows the refusal of an idempotent request whose earlier attempt failed.
func (w *world) pendingRetry(id message.ID) bool {
	return w.started[id] > 0 && w.refused[id] != ""
}

// flow runs the world without faults for a while.
func (w *world) flow(ticks int) {
	for i := range ticks {
		for _, n := range w.nodes {
			if n.dead || n.paused {
				continue
			}
			if i%10 == 0 {
				w.renew(n)
			}
			for len(n.inbox)+len(n.calls) > 0 && w.fault == "" {
				if len(n.inbox) > 0 {
					w.deliver(n)
				} else {
					w.call(n, false)
				}
			}
		}
		w.pass()
	}
}
