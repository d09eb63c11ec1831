package ownership_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselloft/internal/decision/ownership"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

const (
	ttl     = 2 * time.Second
	margin  = 200 * time.Millisecond
	service = "notices"
)

var errLost = errors.New("response lost")

// simulation holds a simulated store with leases, the entry instances that use it, and a simulated clock.
type simulation struct {
	now     time.Time
	entries []*entry
	owner   record.Owner
	rev     int64
	members map[string]lease
	epochs  map[uint64]string // entry instance that held the epoch
	checks  int
}

type lease struct {
	member record.Member
	expiry time.Time
}

type entry struct {
	name        string
	incarnation int
	state       ownership.State
	paused      bool
	watch       []message.RecordChanged // not yet delivered
	effects     []ownership.Effect      // not yet carried out
	replies     []ownership.Message     // not yet delivered; Now is set on delivery
}

func newSimulation(n int) *simulation {
	sim := &simulation{now: time.Unix(1000, 0), members: map[string]lease{}, epochs: map[uint64]string{}}
	for i := range n {
		e := &entry{name: fmt.Sprintf("e%d", i)}
		e.state = ownership.New(e.name)
		sim.entries = append(sim.entries, e)
		sim.step(e, ownership.ServicesChanged{Now: sim.now, Names: []string{service}})
		sim.register(e)
	}
	return sim
}

func (sim *simulation) step(e *entry, m ownership.Message) {
	var effects []ownership.Effect
	e.state, effects = ownership.Step(e.state, m)
	for _, effect := range effects {
		switch effect.(type) {
		case ownership.Verify, ownership.Write:
			e.effects = append(e.effects, effect)
		case ownership.Won, ownership.Lost, ownership.ValidityExtended, ownership.OwnerChanged:
		}
	}
}

func (sim *simulation) publish(c message.RecordChanged) {
	for _, e := range sim.entries {
		e.watch = append(e.watch, c)
	}
}

func (sim *simulation) register(e *entry) {
	e.incarnation++
	m := record.Member{Entry: e.name, Incarnation: fmt.Sprint(e.incarnation)}
	sim.members[e.name] = lease{member: m, expiry: sim.now.Add(ttl)}
	sim.publish(message.RecordChanged{Record: m})
	e.replies = append(e.replies, ownership.LeaseRenewed{Incarnation: sim.members[e.name].member.Incarnation, Until: sim.now.Add(ttl - margin)})
}

// renew answers a keep-alive, or registers the entry instance again after its lease was lost.
func (sim *simulation) renew(e *entry) {
	l, ok := sim.members[e.name]
	if !ok {
		sim.register(e)
		return
	}
	l.expiry = sim.now.Add(ttl)
	sim.members[e.name] = l
	e.replies = append(e.replies, ownership.LeaseRenewed{Incarnation: sim.members[e.name].member.Incarnation, Until: sim.now.Add(ttl - margin)})
}

// advance moves the clock, expires leases and delivers a tick to every entry instance that is not paused.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for name, l := range sim.members {
		if !sim.now.Before(l.expiry) {
			delete(sim.members, name)
			sim.publish(message.RecordChanged{Record: record.Member{Entry: name}, Deleted: true})
		}
	}
	for _, e := range sim.entries {
		if !e.paused {
			sim.step(e, ownership.Tick{Now: sim.now})
		}
	}
}

// apply carries out the oldest effect of an entry instance. Fate 0 loses nothing, 1 loses the response, 2 the request.
func (sim *simulation) apply(e *entry, fate int) {
	effect := e.effects[0]
	e.effects = e.effects[1:]
	switch f := effect.(type) {
	case ownership.Verify:
		l, ok := sim.members[f.Entry]
		alive := fate != 0 || ok && l.member.Incarnation == f.Incarnation
		e.replies = append(e.replies, ownership.VerifyResult{Service: f.Service, Epoch: f.Epoch, Alive: alive})
	case ownership.Write:
		reply := ownership.WriteResult{Owner: f.Owner}
		switch {
		case fate == 2:
			reply.Err = errLost
		case f.ExpectedRevision != sim.rev:
			reply.Err = message.ErrConflict
		default:
			sim.owner = f.Owner
			sim.rev++
			sim.publish(message.RecordChanged{Record: f.Owner, Revision: sim.rev})
			if fate == 1 {
				reply.Err = errLost
			}
		}
		e.replies = append(e.replies, reply)
	case ownership.Won, ownership.Lost, ownership.ValidityExtended, ownership.OwnerChanged:
	}
}

func (sim *simulation) deliverReply(e *entry) {
	m := e.replies[0]
	e.replies = e.replies[1:]
	switch m := m.(type) {
	case ownership.LeaseRenewed:
		m.Now = sim.now
		sim.step(e, m)
	case ownership.VerifyResult:
		m.Now = sim.now
		sim.step(e, m)
	case ownership.WriteResult:
		m.Now = sim.now
		sim.step(e, m)
	case ownership.ServicesChanged, ownership.RecordChanged, ownership.Resign, ownership.MemberDead, ownership.Leave, ownership.Tick:
	}
}

func (sim *simulation) deliverWatch(e *entry) {
	c := e.watch[0]
	e.watch = e.watch[1:]
	sim.step(e, ownership.RecordChanged{Now: sim.now, Change: c})
}

// check fails if two entry instances own the service at a time, or if two have owned it in the same epoch.
func (sim *simulation) check(t interface{ Fatalf(string, ...any) }) {
	sim.checks++
	var holders []string
	for _, e := range sim.entries {
		epoch, ok := e.state.Owns(service, sim.now)
		if !ok {
			continue
		}
		holders = append(holders, e.name)
		if other, known := sim.epochs[epoch]; known && other != e.name {
			t.Fatalf("epoch %d was held by %s and %s", epoch, other, e.name)
		}
		sim.epochs[epoch] = e.name
	}
	if len(holders) > 1 {
		t.Fatalf("%v own the service at the same time at %v", holders, sim.now)
	}
}

// Guards against two owners at a time under pauses, expired leases, lagging watches and lost responses.
func TestSingleOwner(t *testing.T) {
	total, owned := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3)
		sim.settle()
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			e := sim.entries[rapid.IntRange(0, 2).Draw(t, "entry")]
			sim.act(t, e)
			sim.check(t)
		}
		total += sim.checks
		owned += len(sim.epochs)
	})
	t.Logf("%d checks, %d epochs", total, owned)
	if owned == 0 {
		t.Fatal("no entry instance ever owned the service")
	}
}

// Guards against a service that never gets an owner again: a previous owner that is no longer the preferred one has to
// give up its record, since the others see that it is alive.
func TestOwnerAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3)
		sim.settle()
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			sim.act(t, sim.entries[rapid.IntRange(0, 2).Draw(t, "entry")])
		}
		for _, e := range sim.entries {
			e.paused = false
		}
		sim.settle()
		for range 10 { // a hand-over leaves the service without an owner for one round
			for _, e := range sim.entries {
				sim.renew(e)
				sim.drain(e)
				if _, ok := e.state.Owns(service, sim.now); ok {
					return
				}
			}
			sim.advance(100 * time.Millisecond)
		}
		t.Fatalf("service has no owner after 10 s without faults; owner record: %+v", sim.owner)
	})
}

// Guards against a new epoch that is ended at once because the watch has not shown its record yet, and the previous
// record names members that have left.
func TestEpochSurvivesTickBeforeRecordIsSeen(t *testing.T) {
	sim := newSimulation(3)
	sim.settle()
	i := slices.IndexFunc(sim.entries, func(e *entry) bool { return e.name == sim.owner.Entry })
	owner, other := sim.entries[i], sim.entries[(i+1)%3]
	delete(sim.members, other.name)
	sim.publish(message.RecordChanged{Record: record.Member{Entry: other.name}, Deleted: true})
	for len(owner.effects) == 0 { // until the record without the removed member is written
		sim.advance(100 * time.Millisecond)
		sim.renew(owner)
		for len(owner.watch) > 0 {
			sim.deliverWatch(owner)
		}
		for len(owner.replies) > 0 {
			sim.deliverReply(owner)
		}
	}
	sim.apply(owner, 0)
	sim.deliverReply(owner)
	epoch, ok := owner.state.Owns(service, sim.now)
	if !ok {
		t.Fatal("the epoch did not begin")
	}
	sim.step(owner, ownership.Tick{Now: sim.now})
	if after, ok := owner.state.Owns(service, sim.now); !ok || after != epoch {
		t.Fatalf("epoch %d was ended before its record was seen: now %d, %v", epoch, after, ok)
	}
}

// act performs a drawn action, most of them on the given entry instance.
func (sim *simulation) act(t *rapid.T, e *entry) {
	switch rapid.IntRange(0, 13).Draw(t, "action") {
	case 0, 1:
		sim.advance(time.Duration(rapid.IntRange(1, 8).Draw(t, "ticks")) * 100 * time.Millisecond)
	case 2:
		e.paused = !e.paused
	case 3, 4:
		if !e.paused {
			sim.renew(e)
		}
	case 5, 6:
		if !e.paused && len(e.effects) > 0 {
			sim.apply(e, rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "fate"))
		}
	case 7:
		if !e.paused && len(e.replies) > 0 {
			sim.deliverReply(e)
		}
	case 8, 9, 10, 11:
		if !e.paused {
			sim.renew(e)
			sim.drain(e)
		}
	default:
		for range rapid.IntRange(1, 4).Draw(t, "events") {
			if !e.paused && len(e.watch) > 0 {
				sim.deliverWatch(e)
			}
		}
	}
}

// drain delivers all pending events and replies to an entry instance and carries out its effects.
func (sim *simulation) drain(e *entry) {
	for len(e.effects)+len(e.replies)+len(e.watch) > 0 {
		for len(e.watch) > 0 {
			sim.deliverWatch(e)
		}
		for len(e.replies) > 0 {
			sim.deliverReply(e)
		}
		if len(e.effects) > 0 {
			sim.apply(e, 0)
		}
	}
}

// settle lets the entry instances run without faults for 10 s, after which ownership is stable.
func (sim *simulation) settle() {
	for range 100 {
		for _, e := range sim.entries {
			sim.renew(e)
			sim.drain(e)
		}
		sim.advance(100 * time.Millisecond)
	}
}

// Guards against a service that stays without an owner after its owner has died.
func TestTakeoverAfterOwnerDies(t *testing.T) {
	sim := newSimulation(3)
	sim.settle()
	first := sim.owner
	if first.Entry == "" {
		t.Fatal("no owner after start")
	}
	sim.entries = slices.DeleteFunc(sim.entries, func(e *entry) bool { return e.name == first.Entry })
	sim.settle()
	if sim.owner.Entry == first.Entry || sim.owner.Epoch <= first.Epoch {
		t.Fatalf("owner is still %+v", sim.owner)
	}
	sim.check(t)
}

// Guards against a leaving owner that keeps its service until its lease expires.
func TestLeavingOwnerHandsOver(t *testing.T) {
	sim := newSimulation(2)
	sim.settle()
	for _, e := range sim.entries {
		if e.name == sim.owner.Entry {
			l := sim.members[e.name]
			l.member.Leaving = true
			sim.members[e.name] = l
			sim.publish(message.RecordChanged{Record: l.member})
			sim.step(e, ownership.Leave{Now: sim.now})
		}
	}
	first := sim.owner
	sim.settle()
	if sim.owner.Entry == first.Entry || sim.owner.Entry == "" {
		t.Fatalf("service was not handed over: %+v", sim.owner)
	}
}
