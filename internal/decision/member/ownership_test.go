package member_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselloft/internal/decision/member"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

const (
	ttl     = 2 * time.Second
	margin  = 200 * time.Millisecond
	service = "notices"
)

var errLost = errors.New("response lost")

// world is a store with leases and the entry instances that use it, on a clock of its own.
type world struct {
	now     time.Time
	entries []*entry
	owner   record.Owner
	rev     int64
	members map[string]lease
	epochs  map[uint64]string // entry that held an epoch
	checked int
}

type lease struct {
	member record.Member
	expiry time.Time
}

type entry struct {
	name        string
	incarnation int
	state       member.State
	paused      bool
	watch       []message.RecordChanged // not yet delivered
	effects     []member.Effect         // not yet carried out
	replies     []member.Message        // not yet delivered; Now is set on delivery
}

func newWorld(n int) *world {
	w := &world{now: time.Unix(1000, 0), members: map[string]lease{}, epochs: map[uint64]string{}}
	for i := range n {
		e := &entry{name: fmt.Sprintf("e%d", i)}
		e.state = member.New(e.name)
		w.entries = append(w.entries, e)
		w.step(e, member.Services{Now: w.now, Names: []string{service}})
		w.register(e)
	}
	return w
}

func (w *world) step(e *entry, m member.Message) {
	var effects []member.Effect
	e.state, effects = member.Step(e.state, m)
	for _, effect := range effects {
		switch effect.(type) {
		case member.Verify, member.Write:
			e.effects = append(e.effects, effect)
		case member.Won, member.Lost, member.Proved, member.Owned:
		}
	}
}

func (w *world) publish(c message.RecordChanged) {
	for _, e := range w.entries {
		e.watch = append(e.watch, c)
	}
}

func (w *world) register(e *entry) {
	e.incarnation++
	m := record.Member{Entry: e.name, Incarnation: fmt.Sprint(e.incarnation)}
	w.members[e.name] = lease{member: m, expiry: w.now.Add(ttl)}
	w.publish(message.RecordChanged{Record: m})
	e.replies = append(e.replies, member.Renewed{Incarnation: w.members[e.name].member.Incarnation, Until: w.now.Add(ttl - margin)})
}

// renew answers a keep-alive, or registers again after the lease was lost.
func (w *world) renew(e *entry) {
	l, ok := w.members[e.name]
	if !ok {
		w.register(e)
		return
	}
	l.expiry = w.now.Add(ttl)
	w.members[e.name] = l
	e.replies = append(e.replies, member.Renewed{Incarnation: w.members[e.name].member.Incarnation, Until: w.now.Add(ttl - margin)})
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for name, l := range w.members {
		if !w.now.Before(l.expiry) {
			delete(w.members, name)
			w.publish(message.RecordChanged{Record: record.Member{Entry: name}, Deleted: true})
		}
	}
	for _, e := range w.entries {
		if !e.paused {
			w.step(e, member.Tick{Now: w.now})
		}
	}
}

// apply carries out the oldest effect of an entry; fate 1 loses the response, 2 loses the request.
func (w *world) apply(e *entry, fate int) {
	effect := e.effects[0]
	e.effects = e.effects[1:]
	switch f := effect.(type) {
	case member.Verify:
		l, ok := w.members[f.Entry]
		alive := fate != 0 || ok && l.member.Incarnation == f.Incarnation
		e.replies = append(e.replies, member.Verified{Service: f.Service, Epoch: f.Epoch, Alive: alive})
	case member.Write:
		reply := member.Written{Owner: f.Owner}
		switch {
		case fate == 2:
			reply.Err = errLost
		case f.Expected != w.rev:
			reply.Err = message.ErrConflict
		default:
			w.owner = f.Owner
			w.rev++
			w.publish(message.RecordChanged{Record: f.Owner, Revision: w.rev})
			if fate == 1 {
				reply.Err = errLost
			}
		}
		e.replies = append(e.replies, reply)
	case member.Won, member.Lost, member.Proved, member.Owned:
	}
}

func (w *world) deliverReply(e *entry) {
	m := e.replies[0]
	e.replies = e.replies[1:]
	switch m := m.(type) {
	case member.Renewed:
		m.Now = w.now
		w.step(e, m)
	case member.Verified:
		m.Now = w.now
		w.step(e, m)
	case member.Written:
		m.Now = w.now
		w.step(e, m)
	case member.Services, member.Changed, member.Resign, member.Gone, member.Leave, member.Tick:
	}
}

func (w *world) deliverWatch(e *entry) {
	c := e.watch[0]
	e.watch = e.watch[1:]
	w.step(e, member.Changed{Now: w.now, Change: c})
}

// check fails when two entry instances hold the service, or one epoch had two holders.
func (w *world) check(t interface{ Fatalf(string, ...any) }) {
	w.checked++
	var holders []string
	for _, e := range w.entries {
		epoch, ok := e.state.Holds(service, w.now)
		if !ok {
			continue
		}
		holders = append(holders, e.name)
		if other, known := w.epochs[epoch]; known && other != e.name {
			t.Fatalf("epoch %d was held by %s and %s", epoch, other, e.name)
		}
		w.epochs[epoch] = e.name
	}
	if len(holders) > 1 {
		t.Fatalf("%v own the service together at %v", holders, w.now)
	}
}

// Guards against two owners at one time under pauses, expired leases, lagging watches and lost responses.
func TestSingleOwner(t *testing.T) {
	total, owned := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		w.settle()
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			e := w.entries[rapid.IntRange(0, 2).Draw(t, "entry")]
			w.act(t, e)
			w.check(t)
		}
		total += w.checked
		owned += len(w.epochs)
	})
	t.Logf("histories ended with %d checks and %d epochs", total, owned)
	if owned == 0 {
		t.Fatal("no entry instance ever owned the service")
	}
}

// Guards against a service without an owner for good: a former owner that is not the preferred one any more has to
// give its record up, since the others see that it lives.
func TestOwnerAfterTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		w.settle()
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			w.act(t, w.entries[rapid.IntRange(0, 2).Draw(t, "entry")])
		}
		for _, e := range w.entries {
			e.paused = false
		}
		w.settle()
		for range 10 { // a hand-over leaves the service without an owner for one round
			for _, e := range w.entries {
				w.renew(e)
				w.drain(e)
				if _, ok := e.state.Holds(service, w.now); ok {
					return
				}
			}
			w.pass(100 * time.Millisecond)
		}
		t.Fatalf("nobody owns the service after 10 s of calm, the record says %+v", w.owner)
	})
}

// Guards against a new epoch that is ended at once because its record, which the watch has not shown yet, seems to
// name former members.
func TestTickBeforeTheRecordIsSeen(t *testing.T) {
	w := newWorld(3)
	w.settle()
	i := slices.IndexFunc(w.entries, func(e *entry) bool { return e.name == w.owner.Entry })
	owner, other := w.entries[i], w.entries[(i+1)%3]
	delete(w.members, other.name)
	w.publish(message.RecordChanged{Record: record.Member{Entry: other.name}, Deleted: true})
	for len(owner.effects) == 0 { // the write of the record without the former member
		w.pass(100 * time.Millisecond)
		w.renew(owner)
		for len(owner.watch) > 0 {
			w.deliverWatch(owner)
		}
		for len(owner.replies) > 0 {
			w.deliverReply(owner)
		}
	}
	w.apply(owner, 0)
	w.deliverReply(owner)
	epoch, ok := owner.state.Holds(service, w.now)
	if !ok {
		t.Fatal("the epoch did not begin")
	}
	w.step(owner, member.Tick{Now: w.now})
	if after, ok := owner.state.Holds(service, w.now); !ok || after != epoch {
		t.Fatalf("epoch %d was ended before its record was seen: now %d, %v", epoch, after, ok)
	}
}

func (w *world) act(t *rapid.T, e *entry) {
	switch rapid.IntRange(0, 13).Draw(t, "action") {
	case 0, 1:
		w.pass(time.Duration(rapid.IntRange(1, 8).Draw(t, "ticks")) * 100 * time.Millisecond)
	case 2:
		e.paused = !e.paused
	case 3, 4:
		if !e.paused {
			w.renew(e)
		}
	case 5, 6:
		if !e.paused && len(e.effects) > 0 {
			w.apply(e, rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "fate"))
		}
	case 7:
		if !e.paused && len(e.replies) > 0 {
			w.deliverReply(e)
		}
	case 8, 9, 10, 11:
		if !e.paused {
			w.renew(e)
			w.drain(e)
		}
	default:
		for range rapid.IntRange(1, 4).Draw(t, "events") {
			if !e.paused && len(e.watch) > 0 {
				w.deliverWatch(e)
			}
		}
	}
}

// drain delivers everything that waits for an entry and carries out its effects.
func (w *world) drain(e *entry) {
	for len(e.effects)+len(e.replies)+len(e.watch) > 0 {
		for len(e.watch) > 0 {
			w.deliverWatch(e)
		}
		for len(e.replies) > 0 {
			w.deliverReply(e)
		}
		if len(e.effects) > 0 {
			w.apply(e, 0)
		}
	}
}

// settle delivers everything until nothing is left to do.
func (w *world) settle() {
	for range 100 {
		for _, e := range w.entries {
			w.renew(e)
			w.drain(e)
		}
		w.pass(100 * time.Millisecond)
	}
}

// Guards against a service that stays without an owner after its owner died.
func TestTakeoverAfterDeath(t *testing.T) {
	w := newWorld(3)
	w.settle()
	first := w.owner
	if first.Entry == "" {
		t.Fatal("no owner after start")
	}
	w.entries = slices.DeleteFunc(w.entries, func(e *entry) bool { return e.name == first.Entry })
	w.settle()
	if w.owner.Entry == first.Entry || w.owner.Epoch <= first.Epoch {
		t.Fatalf("owner is still %+v", w.owner)
	}
	w.check(t)
}

// Guards against a leaving owner that keeps its service until its lease expires.
func TestLeaveHandsOver(t *testing.T) {
	w := newWorld(2)
	w.settle()
	for _, e := range w.entries {
		if e.name == w.owner.Entry {
			l := w.members[e.name]
			l.member.Leaving = true
			w.members[e.name] = l
			w.publish(message.RecordChanged{Record: l.member})
			w.step(e, member.Leave{Now: w.now})
		}
	}
	first := w.owner
	w.settle()
	if w.owner.Entry == first.Entry || w.owner.Entry == "" {
		t.Fatalf("service was not handed over: %+v", w.owner)
	}
}
