package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// scope bounds a simulated world.
type scope struct {
	entries   []string
	executors []string
	slots     int
	keys      []string // idempotency keys; "" stands for an idempotent request
	outcomes  []message.Outcome
	requests  int
	asker     string // the only entry instance that gets requests, empty for any
	takeovers int
	breaks    int // of links
	losses    int // of answers to writes
	withdraws int
	passes    int  // of time
	deaths    int  // of entry instances
	once      bool // do not repeat steps to see whether they are pure
}

// process is one owner; several of different epochs may live at once.
type process struct {
	name    string
	epoch   uint64
	state   dispatch.State
	digest  string                        // of the state, empty until it is needed
	inbox   map[string][]dispatch.Message // by sender, in order
	outbox  map[string][]message.Frame    // by receiver, in order
	write   *dispatch.Write
	until   time.Time
	pending map[message.ID]bool // asked and not answered; true when it must be
}

// client is the part of an entry instance that asks and sends.
type client struct {
	name     string
	accepted uint64 // lowest epoch whose grants it uses
	waiting  map[message.ID]message.Request
	sending  map[message.ID]message.Grant
	sent     map[message.ID]bool
}

// world is owners, entry instances and the store of claims; fault is the first broken rule.
type world struct {
	scope    scope
	now      time.Time
	claim    record.Claim
	revision int64
	segments map[string]record.ClaimSegment
	owners   []*process
	clients  map[string]*client
	requests map[message.ID]message.Request
	holder   map[string]message.ID // request that holds a key by a grant that was not returned unused
	runs     map[string]int        // sends that may have run, by key
	fault    string
}

func newWorld(sc scope) *world {
	w := &world{
		scope:    sc,
		now:      origin,
		segments: map[string]record.ClaimSegment{},
		clients:  map[string]*client{},
		requests: map[message.ID]message.Request{},
		holder:   map[string]message.ID{},
		runs:     map[string]int{},
	}
	for _, name := range sc.entries {
		w.clients[name] = &client{
			name:    name,
			waiting: map[message.ID]message.Request{},
			sending: map[message.ID]message.Grant{},
			sent:    map[message.ID]bool{},
		}
	}
	w.begin()
	return w
}

func (w *world) clone() *world {
	next := *w
	next.segments = maps.Clone(w.segments)
	next.requests = maps.Clone(w.requests)
	next.holder = maps.Clone(w.holder)
	next.runs = maps.Clone(w.runs)
	next.owners = nil
	for _, p := range w.owners {
		q := *p
		q.inbox = cloneLists(p.inbox)
		q.outbox = cloneLists(p.outbox)
		q.pending = maps.Clone(p.pending)
		next.owners = append(next.owners, &q)
	}
	next.clients = map[string]*client{}
	for name, c := range w.clients {
		d := *c
		d.waiting = maps.Clone(c.waiting)
		d.sending = maps.Clone(c.sending)
		d.sent = maps.Clone(c.sent)
		next.clients[name] = &d
	}
	return &next
}

func cloneLists[T any](m map[string][]T) map[string][]T {
	next := make(map[string][]T, len(m))
	for k, v := range m {
		if len(v) > 0 {
			next[k] = slices.Clone(v)
		}
	}
	return next
}

func (w *world) broken(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// latest returns the owner of the highest epoch.
func (w *world) latest() *process {
	return w.owners[len(w.owners)-1]
}

func (w *world) owner(epoch uint64) *process {
	for _, p := range w.owners {
		if p.epoch == epoch {
			return p
		}
	}
	return nil
}

// begin starts the next epoch after the proof of the one before has ended.
func (w *world) begin() {
	epoch := uint64(len(w.owners) + 1)
	if epoch > 1 && w.now.Before(w.latest().until) {
		w.now = w.latest().until
	}
	names := slices.Sorted(maps.Keys(w.clients))
	name := names[int(epoch-1)%len(names)]
	p := &process{
		name:    name,
		epoch:   epoch,
		state:   dispatch.New("s", dispatch.Defaults()),
		inbox:   map[string][]dispatch.Message{},
		outbox:  map[string][]message.Frame{},
		pending: map[message.ID]bool{},
		until:   w.now.Add(5 * time.Second),
	}
	w.owners = append(w.owners, p)
	var older []record.ClaimEntry
	for _, key := range w.claim.Segments {
		older = append(older, w.segments[key].Entries...)
	}
	members := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
	w.step(p, dispatch.Configure{Now: w.now, Service: fleet.Service{Slots: w.scope.slots}, Executors: candidates(w.scope.executors...)})
	w.step(p, dispatch.Prove{Now: w.now, Until: p.until})
	w.step(p, dispatch.Start{
		Now: w.now, Epoch: epoch, Self: name, Members: members, Shared: w.scope.entries,
		Claim: w.claim, Revision: w.revision, Older: older,
	})
}

// step hands a message to an owner and checks what it does.
func (w *world) step(p *process, m dispatch.Message) {
	m = stamped(m, w.now)
	before := p.state
	switch m := m.(type) {
	case dispatch.Ask:
		p.pending[m.Request.ID] = true
	case dispatch.Withdraw:
		delete(p.pending, m.ID)
		w.returned(m.ID)
	case dispatch.Release:
		if m.Release.Outcome == message.NotRun {
			w.returned(m.Release.ID)
		}
	case dispatch.Holding:
		for _, h := range m.Grants {
			delete(p.pending, h.ID)
		}
	case dispatch.Reachable:
		// An owner may drop the requests of an unreachable entry instance, which asks again.
		if !m.Up {
			p.excuse(m.Entry)
		}
	case dispatch.Configure, dispatch.Start, dispatch.Prove, dispatch.Stop, dispatch.Gone, dispatch.Written, dispatch.Tick, dispatch.Relinked:
	default:
		panic(fmt.Sprintf("unknown message %T", m))
	}
	var effects []dispatch.Effect
	p.state, effects = dispatch.Step(before, m)
	p.digest = ""
	for _, e := range effects {
		w.observe(p, e)
	}
	old := map[string]int{}
	for _, e := range before.View().Executors {
		old[e.ID] = e.Grants
	}
	for _, e := range p.state.View().Executors {
		// A member's report raises the count too, without a grant.
		granted := e.Grants > old[e.ID] && slices.ContainsFunc(grants(effects), func(g message.Grant) bool {
			return g.Executor.ID == e.ID
		})
		if granted && e.Grants+e.Reserved > w.scope.slots {
			w.broken("epoch %d granted slot %d of %d of %s with %d reserved", p.epoch, e.Grants, w.scope.slots, e.ID, e.Reserved)
		}
	}
	if w.scope.once {
		return
	}
	if _, again := dispatch.Step(before, m); fmt.Sprint(again) != fmt.Sprint(effects) {
		w.broken("the same step has other effects the second time: %v, then %v", effects, again)
	}
}

// returned frees the key of a request that certainly did not run.
func (w *world) returned(id message.ID) {
	key := w.requests[id].Key
	if w.holder[key] == id {
		delete(w.holder, key)
	}
}

// observe checks an effect and carries it out.
func (w *world) observe(p *process, e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.Write:
		if e.Delete {
			delete(w.segments, e.Record.Key())
			return
		}
		if p.write != nil {
			w.broken("epoch %d has two writes in flight", p.epoch)
		}
		p.write = &e
	case dispatch.Resign:
		maps.DeleteFunc(p.pending, func(message.ID, bool) bool { return true })
	case dispatch.Reply:
		p.outbox[e.To] = append(p.outbox[e.To], e.Frame)
		w.answered(p, e.Frame)
	}
}

func (w *world) answered(p *process, f message.Frame) {
	var id message.ID
	switch f := f.(type) {
	case message.Grant:
		id = f.ID
		w.granted(p, f)
	case message.Deny:
		id = f.ID
	case message.GatherGrants:
		return
	case message.GrantRequest, message.Release, message.Withdraw, message.HeldGrants, message.Resync, message.EpochCleared, message.BackupGrant, message.DropBackup, message.LoadRequest, message.LoadReport, message.FetchAnswer, message.StoredAnswer:
		return
	default:
		panic(fmt.Sprintf("unknown frame %T", f))
	}
	if _, ok := p.pending[id]; !ok {
		w.broken("epoch %d answers request %v, which waits for no answer, with %v", p.epoch, id, f)
	}
	delete(p.pending, id)
}

func (w *world) granted(p *process, g message.Grant) {
	if !w.now.Before(p.until) {
		w.broken("epoch %d grants %v after its proof has ended", p.epoch, g.ID)
	}
	key := w.requests[g.ID].Key
	if key == "" {
		return
	}
	if holder, ok := w.holder[key]; ok && holder != g.ID {
		w.broken("key %q is granted to %v and was granted to %v", key, g.ID, holder)
	}
	if !w.recorded(g.ID) {
		w.broken("key %q is granted before its claim is in the store", key)
	}
	w.holder[key] = g.ID
}

// recorded reports whether the store holds a claim of the request.
func (w *world) recorded(id message.ID) bool {
	names := func(e record.ClaimEntry) bool { return e.Request == id.String() }
	for _, s := range w.claim.Segments {
		if slices.ContainsFunc(w.segments[s].Entries, names) {
			return true
		}
	}
	return slices.ContainsFunc(w.claim.Entries, names)
}

// stamped returns the message with the time at which it is handed to Step.
func stamped(m dispatch.Message, now time.Time) dispatch.Message {
	switch m := m.(type) {
	case dispatch.Ask:
		m.Now = now
		return m
	case dispatch.Release:
		m.Now = now
		return m
	case dispatch.Withdraw:
		m.Now = now
		return m
	case dispatch.Holding:
		m.Now = now
		return m
	case dispatch.Reachable:
		m.Now = now
		return m
	case dispatch.Gone:
		m.Now = now
		return m
	case dispatch.Relinked:
		m.Now = now
		return m
	case dispatch.Written:
		m.Now = now
		return m
	case dispatch.Prove:
		m.Now = now
		return m
	case dispatch.Tick:
		m.Now = now
		return m
	case dispatch.Configure, dispatch.Start, dispatch.Stop:
		return m
	default:
		panic(fmt.Sprintf("unknown message %T", m))
	}
}
