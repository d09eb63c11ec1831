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

// simulation runs several entry instances with a store, links and executors on a virtual clock, without encoding.
type simulation struct {
	now          time.Time
	nodes        []*node
	store        map[string]storedRecord
	revision     int64
	leases       map[string]time.Time // expiry by entry
	storeDown    bool                 // the store does not answer
	brokenLinks  map[[2]string]bool   // by sender and receiver
	runs         []run
	executed     map[string]int // number of started runs of non-idempotent requests by idempotency key
	started      map[message.ID]int
	refused      map[message.ID]message.Reason
	answered     int
	maxSlotsUsed int
	pending      map[message.ID]message.Request
	sequence     uint64 // incremented for each request and each run
	violation    string // of an invariant
	trace        []string
}

type storedRecord struct {
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
	inbox       []func(s *simulation, n *node) // deliveries in order
	calls       []entry.Effect
}

// run is a request at an executor.
type run struct {
	node     *node
	request  message.Request
	executor string
	end      time.Time
	broken   bool // the connection breaks, so that the outcome is unknown
}

func newSimulation(nodes, executors int) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), store: map[string]storedRecord{}, leases: map[string]time.Time{},
		brokenLinks: map[[2]string]bool{}, executed: map[string]int{}, started: map[message.ID]int{},
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
		s.nodes = append(s.nodes, n)
		s.enqueue(n, message.ConfigChanged{Fleet: f})
	}
	return s
}

// note appends a line to the trace that is printed with a failure.
func (s *simulation) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	s.trace = append(s.trace, fmt.Sprintf("%7.2f %s", s.now.Sub(time.Unix(1000, 0)).Seconds(), line))
}

// enqueue adds an event to the inbox of a node.
func (s *simulation) enqueue(n *node, e message.Event) {
	n.inbox = append(n.inbox, func(s *simulation, n *node) { s.step(n, entry.Event{Now: s.now, Event: e}) })
}

func (s *simulation) step(n *node, m entry.Message) {
	var effects []entry.Effect
	n.state, effects = entry.Step(n.state, m)
	for _, e := range effects {
		s.execute(n, e)
	}
}

func (s *simulation) execute(n *node, e entry.Effect) {
	switch e := e.(type) {
	case entry.Verdict:
		s.verdict(n, e)
	case entry.SendFrame:
		s.send(n, e)
	case entry.Write, entry.Verify, entry.ReadClaim:
		n.calls = append(n.calls, e)
	case entry.Notice:
		s.note("%s %s %s %d", n.name, e.Event, e.Service, e.Epoch)
	}
}

func (s *simulation) send(n *node, f entry.SendFrame) {
	to := s.node(f.To)
	s.note("%s to %s: %T %+v", n.name, f.To, f.Frame, f.Frame)
	if to == nil || to.dead || s.brokenLinks[[2]string{n.name, f.To}] {
		s.enqueue(n, message.LinkChanged{Entry: f.To})
		return
	}
	s.enqueue(to, message.FrameReceived{From: n.name, Frame: f.Frame})
}

func (s *simulation) node(name string) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == name })
	if i < 0 {
		return nil
	}
	return s.nodes[i]
}

// verdict starts a run or ends a request.
func (s *simulation) verdict(n *node, v entry.Verdict) {
	r, ok := s.pending[v.ID]
	if !ok {
		return
	}
	s.note("%v %s: %T %+v", v.ID, r.Key, v.Verdict, v.Verdict)
	switch v := v.Verdict.(type) {
	case message.Send:
		s.started[r.ID]++
		if !r.Idempotent {
			s.executed[r.Key]++
		}
		s.sequence++
		length := time.Duration(1+s.sequence%7) * tick
		s.runs = append(s.runs, run{node: n, request: r, executor: v.Executor.ID, end: s.now.Add(length), broken: s.sequence%11 == 0})
	case message.Refuse:
		s.refused[r.ID] = v.Refusal.Reason
		delete(s.pending, r.ID)
	case message.Replay, message.NoRetry:
		delete(s.pending, r.ID)
	}
	if v.Last {
		delete(s.pending, v.ID)
	}
}

// submit sends a request with the given idempotency key to a node. Without a key the request is idempotent.
func (s *simulation) submit(n *node, key string) message.ID {
	s.sequence++
	r := message.Request{
		ID:   message.ID{Entry: n.name, Incarnation: "p", Sequence: s.sequence},
		Name: service, Method: "POST", Path: "/do", Caller: "c", Key: key, Idempotent: key == "",
		Class: message.Normal, Arrived: s.now, Deadline: s.now.Add(10 * time.Second),
	}
	s.pending[r.ID] = r
	s.enqueue(n, message.RequestArrived{Request: r})
	return r.ID
}

// advanceTick advances the time by a tick: runs end, leases expire and callers give up.
func (s *simulation) advanceTick() {
	s.now = s.now.Add(tick)
	s.endRuns()
	for name, expiry := range s.leases {
		if !s.now.Before(expiry) {
			delete(s.leases, name)
			s.delete(record.Member{Entry: name})
		}
	}
	for id, r := range s.pending {
		if s.now.After(r.Deadline) && !s.running(id) {
			delete(s.pending, id)
			s.enqueue(s.node(id.Entry), message.RequestCanceled{ID: id})
		}
	}
	for _, n := range s.nodes {
		if wake := n.state.NextWake(); !n.paused && !n.dead && !wake.IsZero() && !s.now.Before(wake) {
			s.step(n, entry.Tick{Now: s.now})
		}
	}
}

func (s *simulation) running(id message.ID) bool {
	return slices.ContainsFunc(s.runs, func(r run) bool { return r.request.ID == id })
}

func (s *simulation) endRuns() {
	ended := func(r run) bool { return !s.now.Before(r.end) }
	for _, r := range s.runs {
		if !ended(r) {
			continue
		}
		s.note("%v ends on %s, connection broken %v", r.request.ID, r.executor, r.broken)
		f := message.SendFinished{ID: r.request.ID, Outcome: message.Answered, RunTime: tick}
		if r.broken {
			f.Outcome = message.Unknown
			f.Retry = r.request.Idempotent
		} else {
			s.answered++
		}
		if !f.Retry {
			delete(s.pending, r.request.ID)
		}
		s.enqueue(r.node, f)
	}
	s.runs = slices.DeleteFunc(s.runs, ended)
}

func (s *simulation) publish(c message.RecordChanged) {
	for _, n := range s.nodes {
		s.enqueue(n, c)
	}
}

func (s *simulation) put(r record.Record) int64 {
	s.revision++
	s.store[r.Key()] = storedRecord{record: r, revision: s.revision}
	s.publish(message.RecordChanged{Record: r, Revision: s.revision})
	return s.revision
}

func (s *simulation) delete(r record.Record) {
	s.revision++
	delete(s.store, r.Key())
	s.publish(message.RecordChanged{Record: r, Revision: s.revision, Deleted: true})
}

// renew answers a keep-alive of a node, or registers the node again after its lease expired.
func (s *simulation) renew(n *node) {
	if s.storeDown {
		s.enqueue(n, message.RenewalFailed{Sent: s.now})
		return
	}
	if _, ok := s.leases[n.name]; !ok {
		n.incarnation++
		s.put(record.Member{Entry: n.name, Incarnation: fmt.Sprint(n.incarnation)})
	}
	s.leases[n.name] = s.now.Add(ttl)
	s.enqueue(n, message.LeaseRenewed{Incarnation: fmt.Sprint(n.incarnation), Sent: s.now, TTL: ttl})
}

// executeCall executes the oldest store call of a node. If lost is true, the response is lost after the call took effect.
func (s *simulation) executeCall(n *node, lost bool) {
	c := n.calls[0]
	n.calls = n.calls[1:]
	reply := s.result(c, lost || s.storeDown)
	n.inbox = append(n.inbox, func(s *simulation, n *node) { s.step(n, reply(s.now)) })
}

func (s *simulation) result(c entry.Effect, lost bool) func(time.Time) entry.Message {
	switch c := c.(type) {
	case entry.Write:
		m := s.write(c)
		if lost {
			m = entry.WriteResult{Write: c, Err: message.ErrUnavailable}
		}
		return func(now time.Time) entry.Message { m.Now = now; return m }
	case entry.Verify:
		found, ok := s.store[record.Member{Entry: c.Entry}.Key()]
		alive := lost || ok && found.record.(record.Member).Incarnation == c.Incarnation
		return func(now time.Time) entry.Message {
			return entry.VerifyResult{Now: now, Service: c.Service, Epoch: c.Epoch, Alive: alive}
		}
	case entry.ReadClaim:
		found := s.store[record.Claim{Service: c.Service}.Key()]
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

func (s *simulation) write(c entry.Write) entry.WriteResult {
	if s.storeDown {
		return entry.WriteResult{Write: c, Err: message.ErrUnavailable}
	}
	found := s.store[c.Record.Key()]
	if found.revision != c.ExpectedRevision {
		return entry.WriteResult{Write: c, Err: message.ErrConflict, Found: found.record, FoundRevision: found.revision}
	}
	return entry.WriteResult{Write: c, Revision: s.put(c.Record)}
}

// deliver passes the oldest event in its inbox to a node.
func (s *simulation) deliver(n *node) {
	f := n.inbox[0]
	n.inbox = n.inbox[1:]
	f(s, n)
	s.checkInvariants()
}

// checkInvariants records a violated invariant in s.violation.
func (s *simulation) checkInvariants() {
	for key, n := range s.executed {
		if n > 1 {
			s.violation = fmt.Sprintf("non-idempotent request %q ran %d times", key, n)
		}
	}
	for id, reason := range s.refused {
		if s.started[id] > 0 && reason != message.ReasonDuplicate && !s.refusedAfterAttempt(id) {
			s.violation = fmt.Sprintf("request %v was refused as %s but ran", id, reason)
		}
	}
	used := map[string]int{}
	for _, r := range s.runs {
		used[r.executor]++
	}
	for id, n := range used {
		s.maxSlotsUsed = max(s.maxSlotsUsed, n)
		if n > slots {
			s.violation = fmt.Sprintf("executor %s runs %d requests in %d slots", id, n, slots)
		}
	}
}

// refusedAfterAttempt reports whether a request was refused after an attempt had started, which is allowed for an
// idempotent request whose attempt failed.
func (s *simulation) refusedAfterAttempt(id message.ID) bool {
	return s.started[id] > 0 && s.refused[id] != ""
}

// advance runs the simulation for a number of ticks without new faults.
func (s *simulation) advance(ticks int) {
	for i := range ticks {
		for _, n := range s.nodes {
			if n.dead || n.paused {
				continue
			}
			if i%10 == 0 {
				s.renew(n)
			}
			for len(n.inbox)+len(n.calls) > 0 && s.violation == "" {
				if len(n.inbox) > 0 {
					s.deliver(n)
				} else {
					s.executeCall(n, false)
				}
			}
		}
		s.advanceTick()
	}
}
