package dispatch_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// choice is one thing that can happen next in a world.
type choice struct {
	name string
	do   func(*world)
	rare bool // a fault, or anything else that ends a usual course
}

// choices returns everything that can happen next, in a fixed order.
func (w *world) choices() []choice {
	var list []choice
	add := func(name string, do func(*world)) { list = append(list, choice{name: name, do: do}) }
	rare := func(name string, do func(*world)) { list = append(list, choice{name: name, do: do, rare: true}) }
	names := slices.Sorted(maps.Keys(w.clients))
	for i, p := range w.owners {
		for _, from := range slices.Sorted(maps.Keys(p.inbox)) {
			if len(p.inbox[from]) > 0 {
				add(fmt.Sprintf("to owner %d from %s", i, from), func(w *world) { w.receive(i, from) })
			}
		}
		for _, to := range names {
			if len(p.outbox[to]) > 0 {
				add(fmt.Sprintf("from owner %d to %s", i, to), func(w *world) { w.deliver(i, to) })
			}
			if w.scope.breaks > 0 && i == len(w.owners)-1 {
				rare(fmt.Sprintf("break link of owner %d and %s", i, to), func(w *world) { w.breakLink(i, to) })
			}
		}
		if p.write != nil {
			add(fmt.Sprintf("write of owner %d", i), func(w *world) { w.apply(i, true, true) })
			if w.scope.losses > 0 {
				rare(fmt.Sprintf("write of owner %d, answer lost", i), func(w *world) { w.apply(i, true, false) })
				rare(fmt.Sprintf("write of owner %d lost", i), func(w *world) { w.apply(i, false, false) })
			}
		}
	}
	for _, name := range names {
		list = append(list, w.clientChoices(w.clients[name])...)
	}
	if w.scope.takeovers > 0 {
		rare("takeover", func(w *world) { w.scope.takeovers--; w.begin() })
	}
	if w.scope.passes > 0 {
		rare("pass 1 s", func(w *world) { w.pass(time.Second) })
		rare("pass 6 s", func(w *world) { w.pass(6 * time.Second) })
		rare("prove", func(w *world) { w.prove() })
	}
	return list
}

func (w *world) clientChoices(c *client) []choice {
	var list []choice
	add := func(name string, do func(*world)) { list = append(list, choice{name: name, do: do}) }
	rare := func(name string, do func(*world)) { list = append(list, choice{name: name, do: do, rare: true}) }
	if w.scope.requests > 0 && (w.scope.asker == "" || w.scope.asker == c.name) {
		for _, key := range w.scope.keys {
			add(fmt.Sprintf("%s asks %q", c.name, key), func(w *world) { w.arrive(c.name, key) })
		}
	}
	for _, id := range sortedIDs(c.sending) {
		for _, o := range w.scope.outcomes {
			add(fmt.Sprintf("%v ends %v", id, o), func(w *world) { w.finish(c.name, id, o) })
		}
	}
	if w.scope.withdraws > 0 {
		for _, id := range sortedIDs(c.waiting) {
			rare(fmt.Sprintf("withdraw %v", id), func(w *world) { w.withdraw(c.name, id) })
		}
	}
	if w.scope.deaths > 0 && len(w.clients) > 1 {
		rare(c.name+" dies", func(w *world) { w.die(c.name) })
	}
	return list
}

func sortedIDs[T any](m map[message.ID]T) []message.ID {
	return slices.SortedFunc(maps.Keys(m), func(a, b message.ID) int { return int(a.Sequence) - int(b.Sequence) })
}

func (w *world) send(p *process, from string, m dispatch.Message) {
	if p != nil {
		p.inbox[from] = append(p.inbox[from], m)
	}
}

func (w *world) receive(owner int, from string) {
	p := w.owners[owner]
	m := p.inbox[from][0]
	p.inbox[from] = p.inbox[from][1:]
	w.step(p, m)
}

func (w *world) arrive(entry, key string) {
	w.scope.requests--
	r := request(entry, uint64(len(w.requests)+1), key)
	r.Deadline = w.now.Add(10 * time.Second)
	w.requests[r.ID] = r
	w.clients[entry].waiting[r.ID] = r
	w.send(w.latest(), entry, dispatch.Ask{From: entry, Request: r})
}

// deliver hands the next frame to an entry instance.
func (w *world) deliver(owner int, to string) {
	p, c := w.owners[owner], w.clients[to]
	f := p.outbox[to][0]
	p.outbox[to] = p.outbox[to][1:]
	switch f := f.(type) {
	case message.GatherGrants:
		w.gather(p, c, f)
	case message.Deny:
		if f.Epoch >= c.accepted {
			delete(c.waiting, f.ID)
		}
	case message.Grant:
		w.use(p, c, f)
	case message.GrantRequest, message.Release, message.Withdraw, message.HeldGrants, message.Resync, message.EpochCleared, message.BackupGrant, message.DropBackup, message.LoadRequest, message.LoadReport, message.FetchAnswer, message.StoredAnswer:
		w.broken("epoch %d sends %T", p.epoch, f)
	default:
		panic(fmt.Sprintf("unknown frame %T", f))
	}
}

func (w *world) gather(p *process, c *client, f message.GatherGrants) {
	if f.Epoch < c.accepted {
		return
	}
	c.accepted = f.Epoch
	var held []message.HeldGrant
	for _, id := range sortedIDs(c.sending) {
		r := w.requests[id]
		held = append(held, message.HeldGrant{ID: id, Executor: c.sending[id].Executor.ID, Left: r.Deadline.Sub(w.now), Key: r.Key})
	}
	w.send(p, c.name, dispatch.Holding{From: c.name, Sequence: f.Sequence, Grants: held})
	for _, id := range sortedIDs(c.waiting) {
		w.send(p, c.name, dispatch.Ask{From: c.name, Request: c.waiting[id]})
	}
}

// use sends a granted request, once, unless the grant is of an old epoch.
func (w *world) use(p *process, c *client, g message.Grant) {
	if g.Epoch < c.accepted || c.sent[g.ID] {
		return
	}
	r, ok := c.waiting[g.ID]
	if !ok {
		w.release(p, c, g, message.NotRun)
		return
	}
	delete(c.waiting, g.ID)
	c.sending[g.ID] = g
	c.sent[g.ID] = true
	if r.Key != "" {
		w.runs[r.Key]++
		if w.runs[r.Key] > 1 {
			w.broken("key %q may run %d times", r.Key, w.runs[r.Key])
		}
	}
	busy := 0
	for _, other := range w.clients {
		for _, s := range other.sending {
			if s.Executor.ID == g.Executor.ID {
				busy++
			}
		}
	}
	if busy > w.scope.slots {
		w.broken("%d sends to %s, which has %d slots", busy, g.Executor.ID, w.scope.slots)
	}
}

func (w *world) release(p *process, c *client, g message.Grant, o message.Outcome) {
	w.send(p, c.name, dispatch.Release{From: c.name, Release: message.Release{
		ID: g.ID, Service: g.Service, Epoch: g.Epoch, Executor: g.Executor.ID, Outcome: o, RunTime: time.Millisecond,
	}})
}

func (w *world) finish(entry string, id message.ID, o message.Outcome) {
	c := w.clients[entry]
	g := c.sending[id]
	delete(c.sending, id)
	if key := w.requests[id].Key; key != "" && o == message.NotRun {
		w.runs[key]--
	}
	w.release(w.owner(c.accepted), c, g, o)
}

func (w *world) withdraw(entry string, id message.ID) {
	w.scope.withdraws--
	c := w.clients[entry]
	delete(c.waiting, id)
	w.send(w.latest(), entry, dispatch.Withdraw{ID: id})
}

// breakLink loses every frame between an owner and an entry instance.
func (w *world) breakLink(owner int, entry string) {
	w.scope.breaks--
	p := w.owners[owner]
	delete(p.inbox, entry)
	delete(p.outbox, entry)
	p.excuse(entry)
	w.send(p, entry, dispatch.Reachable{Entry: entry})
	w.send(p, entry, dispatch.Reachable{Entry: entry, Up: true})
}

// apply ends an owner's write: with or without effect, answered or not.
func (w *world) apply(owner int, effect, answer bool) {
	p := w.owners[owner]
	write := *p.write
	p.write = nil
	done := dispatch.Written{Epoch: write.Epoch, Sequence: write.Sequence}
	if effect {
		done.Revision, done.Err = w.swap(write)
	}
	if !answer {
		w.scope.losses--
		done.Revision, done.Err = 0, message.ErrUnavailable
	}
	if errors.Is(done.Err, message.ErrConflict) {
		done.Found, done.Revision = w.claim, w.revision
	}
	w.send(p, "store", done)
}

func (w *world) swap(write dispatch.Write) (int64, error) {
	switch r := write.Record.(type) {
	case record.Claim:
		if write.Expected != w.revision {
			return 0, message.ErrConflict
		}
		w.revision++
		w.claim = r
		return w.revision, nil
	case record.ClaimSegment:
		w.segments[r.Key()] = r
		return 1, nil
	case record.Member, record.Owner, record.Instance, record.Ledger, record.ConfigHead, record.Wave:
		panic(fmt.Sprintf("unexpected record %T", r))
	default:
		panic(fmt.Sprintf("unexpected record %T", r))
	}
}

// pass lets time go by; sends end at their deadline.
func (w *world) pass(d time.Duration) {
	w.scope.passes--
	w.now = w.now.Add(d)
	for _, name := range slices.Sorted(maps.Keys(w.clients)) {
		c := w.clients[name]
		for _, id := range sortedIDs(c.sending) {
			if !w.requests[id].Deadline.After(w.now) {
				w.finish(name, id, message.Unknown)
			}
		}
	}
	for _, p := range w.owners {
		w.send(p, "clock", dispatch.Tick{})
	}
}

func (w *world) prove() {
	w.scope.passes--
	p := w.latest()
	if w.now.Before(p.until) {
		p.until = w.now.Add(5 * time.Second)
		w.send(p, "clock", dispatch.Prove{Until: p.until})
	}
}

// excuse lets the owner answer the entry instance's requests or not, since frames to it are lost.
func (p *process) excuse(entry string) {
	for id := range p.pending {
		if id.Entry == entry {
			p.pending[id] = false
		}
	}
}

func (w *world) die(entry string) {
	w.scope.deaths--
	delete(w.clients, entry)
	for _, p := range w.owners {
		delete(p.outbox, entry)
		delete(p.inbox, entry)
		p.excuse(entry)
		w.send(p, "list", dispatch.Gone{Entry: entry})
	}
}
