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

// simLimits bounds a simulation; the counts are events that may still happen.
type simLimits struct {
	entries         []string
	executors       []string
	slots           int
	keys            []string // idempotency keys; "" stands for an idempotent request
	outcomes        []message.Outcome
	requests        int
	onlyEntry       string // the only entry instance that receives requests, empty for any
	takeovers       int
	linkBreaks      int
	lostAnswers     int // of claim writes
	withdrawals     int
	timeSteps       int
	deaths          int  // of entry instances
	skipPurityCheck bool // do not repeat each step to check that it is a pure function
}

// ownerProcess is one owner. Several owners of different epochs may be alive at once.
type ownerProcess struct {
	name        string
	epoch       uint64
	state       dispatch.State
	stateDigest string                        // hash of the state, computed on demand
	inbox       map[string][]dispatch.Message // by sender, in order
	outbox      map[string][]message.Frame    // by receiver, in order
	write       *dispatch.Write
	until       time.Time
	pending     map[message.ID]bool // unanswered requests; true if an answer is required
}

// client is the part of an entry instance that requests grants and sends requests to executors.
type client struct {
	name     string
	minEpoch uint64 // grants of lower epochs are ignored
	waiting  map[message.ID]message.Request
	sending  map[message.ID]message.Grant
	sent     map[message.ID]bool
}

// simulation holds the owners, the entry instances and the stored claims.
type simulation struct {
	limits     simLimits
	now        time.Time
	claim      record.Claim
	revision   int64
	segments   map[string]record.ClaimSegment
	owners     []*ownerProcess
	clients    map[string]*client
	requests   map[message.ID]message.Request
	keyHolders map[string]message.ID // by key, the request whose grant was not returned unused
	runs       map[string]int        // by key, sends that may have run
	violation  string                // first violated invariant
}

func newSimulation(limits simLimits) *simulation {
	sim := &simulation{
		limits:     limits,
		now:        origin,
		segments:   map[string]record.ClaimSegment{},
		clients:    map[string]*client{},
		requests:   map[message.ID]message.Request{},
		keyHolders: map[string]message.ID{},
		runs:       map[string]int{},
	}
	for _, name := range limits.entries {
		sim.clients[name] = &client{
			name:    name,
			waiting: map[message.ID]message.Request{},
			sending: map[message.ID]message.Grant{},
			sent:    map[message.ID]bool{},
		}
	}
	sim.startOwner()
	return sim
}

func (sim *simulation) clone() *simulation {
	next := *sim
	next.segments = maps.Clone(sim.segments)
	next.requests = maps.Clone(sim.requests)
	next.keyHolders = maps.Clone(sim.keyHolders)
	next.runs = maps.Clone(sim.runs)
	next.owners = nil
	for _, p := range sim.owners {
		q := *p
		q.inbox = cloneLists(p.inbox)
		q.outbox = cloneLists(p.outbox)
		q.pending = maps.Clone(p.pending)
		next.owners = append(next.owners, &q)
	}
	next.clients = map[string]*client{}
	for name, c := range sim.clients {
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

func (sim *simulation) reportViolation(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// latestOwner returns the owner of the highest epoch.
func (sim *simulation) latestOwner() *ownerProcess {
	return sim.owners[len(sim.owners)-1]
}

func (sim *simulation) ownerOf(epoch uint64) *ownerProcess {
	for _, p := range sim.owners {
		if p.epoch == epoch {
			return p
		}
	}
	return nil
}

// startOwner starts the next epoch once the ownership of the previous one has expired.
func (sim *simulation) startOwner() {
	epoch := uint64(len(sim.owners) + 1)
	if epoch > 1 && sim.now.Before(sim.latestOwner().until) {
		sim.now = sim.latestOwner().until
	}
	names := slices.Sorted(maps.Keys(sim.clients))
	name := names[int(epoch-1)%len(names)]
	p := &ownerProcess{
		name:    name,
		epoch:   epoch,
		state:   dispatch.New("s", dispatch.Defaults()),
		inbox:   map[string][]dispatch.Message{},
		outbox:  map[string][]message.Frame{},
		pending: map[message.ID]bool{},
		until:   sim.now.Add(5 * time.Second),
	}
	sim.owners = append(sim.owners, p)
	var older []record.ClaimEntry
	for _, key := range sim.claim.Segments {
		older = append(older, sim.segments[key].Entries...)
	}
	members := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
	sim.step(p, dispatch.Configure{Now: sim.now, Service: fleet.Service{Slots: sim.limits.slots}, Executors: candidates(sim.limits.executors...)})
	sim.step(p, dispatch.ExtendOwnership{Now: sim.now, Until: p.until})
	sim.step(p, dispatch.Start{
		Now: sim.now, Epoch: epoch, Self: name, Members: members, PreviousMembers: sim.limits.entries,
		Claim: sim.claim, Revision: sim.revision, SegmentEntries: older,
	})
}

// step applies a message to an owner and checks its effects.
func (sim *simulation) step(p *ownerProcess, m dispatch.Message) {
	m = withTime(m, sim.now)
	before := p.state
	switch m := m.(type) {
	case dispatch.GrantRequest:
		p.pending[m.Request.ID] = true
	case dispatch.Withdraw:
		delete(p.pending, m.ID)
		sim.freeKey(m.ID)
	case dispatch.Release:
		if m.Release.Outcome == message.NotRun {
			sim.freeKey(m.Release.ID)
		}
	case dispatch.HeldGrants:
		for _, h := range m.Grants {
			delete(p.pending, h.ID)
		}
	case dispatch.ReachabilityChanged:
		// An owner may drop the requests of an unreachable entry instance, which repeats them later.
		if !m.Up {
			p.markAnswersOptional(m.Entry)
		}
	case dispatch.Configure, dispatch.Start, dispatch.ExtendOwnership, dispatch.Stop, dispatch.MemberDead, dispatch.WriteResult, dispatch.Tick, dispatch.LinkRestored:
	default:
		panic(fmt.Sprintf("unknown message %T", m))
	}
	var effects []dispatch.Effect
	p.state, effects = dispatch.Step(before, m)
	p.stateDigest = ""
	for _, e := range effects {
		sim.applyEffect(p, e)
	}
	old := map[string]int{}
	for _, e := range before.View().Executors {
		old[e.ID] = e.Grants
	}
	for _, e := range p.state.View().Executors {
		// A member's report of held grants raises the count too, without a new grant.
		granted := e.Grants > old[e.ID] && slices.ContainsFunc(grants(effects), func(g message.Grant) bool {
			return g.Executor.ID == e.ID
		})
		if granted && e.Grants+e.Reserved > sim.limits.slots {
			sim.reportViolation("epoch %d granted slot %d of %d of %s with %d reserved", p.epoch, e.Grants, sim.limits.slots, e.ID, e.Reserved)
		}
	}
	if sim.limits.skipPurityCheck {
		return
	}
	if _, again := dispatch.Step(before, m); fmt.Sprint(again) != fmt.Sprint(effects) {
		sim.reportViolation("the same step has other effects the second time: %v, then %v", effects, again)
	}
}

// freeKey frees the key of a request that certainly did not run.
func (sim *simulation) freeKey(id message.ID) {
	key := sim.requests[id].Key
	if sim.keyHolders[key] == id {
		delete(sim.keyHolders, key)
	}
}

// applyEffect checks an effect and carries it out.
func (sim *simulation) applyEffect(p *ownerProcess, e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.Write:
		if e.Delete {
			delete(sim.segments, e.Record.Key())
			return
		}
		if p.write != nil {
			sim.reportViolation("epoch %d has two writes in flight", p.epoch)
		}
		p.write = &e
	case dispatch.Resign:
		maps.DeleteFunc(p.pending, func(message.ID, bool) bool { return true })
	case dispatch.SendFrame:
		p.outbox[e.To] = append(p.outbox[e.To], e.Frame)
		sim.checkAnswer(p, e.Frame)
	}
}

func (sim *simulation) checkAnswer(p *ownerProcess, f message.Frame) {
	var id message.ID
	switch f := f.(type) {
	case message.Grant:
		id = f.ID
		sim.checkGrant(p, f)
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
		sim.reportViolation("epoch %d answers request %v, which is not pending, with %v", p.epoch, id, f)
	}
	delete(p.pending, id)
}

func (sim *simulation) checkGrant(p *ownerProcess, g message.Grant) {
	if !sim.now.Before(p.until) {
		sim.reportViolation("epoch %d grants %v after its ownership has expired", p.epoch, g.ID)
	}
	key := sim.requests[g.ID].Key
	if key == "" {
		return
	}
	if holder, ok := sim.keyHolders[key]; ok && holder != g.ID {
		sim.reportViolation("key %q is granted to %v and was granted to %v", key, g.ID, holder)
	}
	if !sim.claimStored(g.ID) {
		sim.reportViolation("key %q is granted before its claim is in the store", key)
	}
	sim.keyHolders[key] = g.ID
}

// claimStored reports whether the store holds a claim of the request.
func (sim *simulation) claimStored(id message.ID) bool {
	matches := func(e record.ClaimEntry) bool { return e.Request == id.String() }
	for _, s := range sim.claim.Segments {
		if slices.ContainsFunc(sim.segments[s].Entries, matches) {
			return true
		}
	}
	return slices.ContainsFunc(sim.claim.Entries, matches)
}

// withTime returns the message with the time at which it is passed to Step.
func withTime(m dispatch.Message, now time.Time) dispatch.Message {
	switch m := m.(type) {
	case dispatch.GrantRequest:
		m.Now = now
		return m
	case dispatch.Release:
		m.Now = now
		return m
	case dispatch.Withdraw:
		m.Now = now
		return m
	case dispatch.HeldGrants:
		m.Now = now
		return m
	case dispatch.ReachabilityChanged:
		m.Now = now
		return m
	case dispatch.MemberDead:
		m.Now = now
		return m
	case dispatch.LinkRestored:
		m.Now = now
		return m
	case dispatch.WriteResult:
		m.Now = now
		return m
	case dispatch.ExtendOwnership:
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
