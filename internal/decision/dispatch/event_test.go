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

// event is something that can happen next in a simulation.
type event struct {
	name string
	run  func(*simulation)
	rare bool // a fault or another event outside normal operation
}

// possibleEvents returns the events that can happen next, in a fixed order.
func (sim *simulation) possibleEvents() []event {
	var list []event
	add := func(name string, run func(*simulation)) { list = append(list, event{name: name, run: run}) }
	rare := func(name string, run func(*simulation)) { list = append(list, event{name: name, run: run, rare: true}) }
	names := slices.Sorted(maps.Keys(sim.clients))
	for i, p := range sim.owners {
		for _, from := range slices.Sorted(maps.Keys(p.inbox)) {
			if len(p.inbox[from]) > 0 {
				add(fmt.Sprintf("to owner %d from %s", i, from), func(sim *simulation) { sim.receive(i, from) })
			}
		}
		for _, to := range names {
			if len(p.outbox[to]) > 0 {
				add(fmt.Sprintf("from owner %d to %s", i, to), func(sim *simulation) { sim.deliver(i, to) })
			}
			if sim.limits.linkBreaks > 0 && i == len(sim.owners)-1 {
				rare(fmt.Sprintf("break link of owner %d and %s", i, to), func(sim *simulation) { sim.breakLink(i, to) })
			}
		}
		if p.write != nil {
			add(fmt.Sprintf("write of owner %d", i), func(sim *simulation) { sim.finishWrite(i, true, true) })
			if sim.limits.lostAnswers > 0 {
				rare(fmt.Sprintf("write of owner %d, answer lost", i), func(sim *simulation) { sim.finishWrite(i, true, false) })
				rare(fmt.Sprintf("write of owner %d lost", i), func(sim *simulation) { sim.finishWrite(i, false, false) })
			}
		}
	}
	for _, name := range names {
		list = append(list, sim.clientEvents(sim.clients[name])...)
	}
	if sim.limits.takeovers > 0 {
		rare("takeover", func(sim *simulation) { sim.limits.takeovers--; sim.startOwner() })
	}
	if sim.limits.timeSteps > 0 {
		rare("advance 1 s", func(sim *simulation) { sim.advanceTime(time.Second) })
		rare("advance 6 s", func(sim *simulation) { sim.advanceTime(6 * time.Second) })
		rare("extend ownership", func(sim *simulation) { sim.extendOwnership() })
	}
	return list
}

func (sim *simulation) clientEvents(c *client) []event {
	var list []event
	add := func(name string, run func(*simulation)) { list = append(list, event{name: name, run: run}) }
	rare := func(name string, run func(*simulation)) { list = append(list, event{name: name, run: run, rare: true}) }
	if sim.limits.requests > 0 && (sim.limits.onlyEntry == "" || sim.limits.onlyEntry == c.name) {
		for _, key := range sim.limits.keys {
			add(fmt.Sprintf("%s submits %q", c.name, key), func(sim *simulation) { sim.submit(c.name, key) })
		}
	}
	for _, id := range sortedIDs(c.sending) {
		for _, o := range sim.limits.outcomes {
			add(fmt.Sprintf("%v ends %v", id, o), func(sim *simulation) { sim.finishSend(c.name, id, o) })
		}
	}
	if sim.limits.withdrawals > 0 {
		for _, id := range sortedIDs(c.waiting) {
			rare(fmt.Sprintf("withdraw %v", id), func(sim *simulation) { sim.withdraw(c.name, id) })
		}
	}
	if sim.limits.deaths > 0 && len(sim.clients) > 1 {
		rare(c.name+" dies", func(sim *simulation) { sim.kill(c.name) })
	}
	return list
}

func sortedIDs[T any](m map[message.ID]T) []message.ID {
	return slices.SortedFunc(maps.Keys(m), func(a, b message.ID) int { return int(a.Sequence) - int(b.Sequence) })
}

// send puts a message from a sender into the owner's inbox, from which receive takes it.
func (sim *simulation) send(p *ownerProcess, from string, m dispatch.Message) {
	if p != nil {
		p.inbox[from] = append(p.inbox[from], m)
	}
}

func (sim *simulation) receive(owner int, from string) {
	p := sim.owners[owner]
	m := p.inbox[from][0]
	p.inbox[from] = p.inbox[from][1:]
	sim.step(p, m)
}

// submit lets an entry instance request a grant for a new request.
func (sim *simulation) submit(entry, key string) {
	sim.limits.requests--
	r := request(entry, uint64(len(sim.requests)+1), key)
	r.Deadline = sim.now.Add(10 * time.Second)
	sim.requests[r.ID] = r
	sim.clients[entry].waiting[r.ID] = r
	sim.send(sim.latestOwner(), entry, dispatch.GrantRequest{From: entry, Request: r})
}

// deliver delivers the next frame to an entry instance.
func (sim *simulation) deliver(owner int, to string) {
	p, c := sim.owners[owner], sim.clients[to]
	f := p.outbox[to][0]
	p.outbox[to] = p.outbox[to][1:]
	switch f := f.(type) {
	case message.GatherGrants:
		sim.answerGather(p, c, f)
	case message.Deny:
		if f.Epoch >= c.minEpoch {
			delete(c.waiting, f.ID)
		}
	case message.Grant:
		sim.useGrant(p, c, f)
	case message.GrantRequest, message.Release, message.Withdraw, message.HeldGrants, message.Resync, message.EpochCleared, message.BackupGrant, message.DropBackup, message.LoadRequest, message.LoadReport, message.FetchAnswer, message.StoredAnswer:
		sim.reportViolation("epoch %d sends %T", p.epoch, f)
	default:
		panic(fmt.Sprintf("unknown frame %T", f))
	}
}

// answerGather reports the grants of an entry instance and repeats its waiting requests.
func (sim *simulation) answerGather(p *ownerProcess, c *client, f message.GatherGrants) {
	if f.Epoch < c.minEpoch {
		return
	}
	c.minEpoch = f.Epoch
	var held []message.HeldGrant
	for _, id := range sortedIDs(c.sending) {
		r := sim.requests[id]
		held = append(held, message.HeldGrant{ID: id, Executor: c.sending[id].Executor.ID, Left: r.Deadline.Sub(sim.now), Key: r.Key})
	}
	sim.send(p, c.name, dispatch.HeldGrants{From: c.name, Sequence: f.Sequence, Grants: held})
	for _, id := range sortedIDs(c.waiting) {
		sim.send(p, c.name, dispatch.GrantRequest{From: c.name, Request: c.waiting[id]})
	}
}

// useGrant sends a granted request, at most once and only if the grant is not of an old epoch.
func (sim *simulation) useGrant(p *ownerProcess, c *client, g message.Grant) {
	if g.Epoch < c.minEpoch || c.sent[g.ID] {
		return
	}
	r, ok := c.waiting[g.ID]
	if !ok {
		sim.release(p, c, g, message.NotRun)
		return
	}
	delete(c.waiting, g.ID)
	c.sending[g.ID] = g
	c.sent[g.ID] = true
	if r.Key != "" {
		sim.runs[r.Key]++
		if sim.runs[r.Key] > 1 {
			sim.reportViolation("key %q may run %d times", r.Key, sim.runs[r.Key])
		}
	}
	busy := 0
	for _, other := range sim.clients {
		for _, s := range other.sending {
			if s.Executor.ID == g.Executor.ID {
				busy++
			}
		}
	}
	if busy > sim.limits.slots {
		sim.reportViolation("%d sends to %s, which has %d slots", busy, g.Executor.ID, sim.limits.slots)
	}
}

func (sim *simulation) release(p *ownerProcess, c *client, g message.Grant, o message.Outcome) {
	sim.send(p, c.name, dispatch.Release{From: c.name, Release: message.Release{
		ID: g.ID, Service: g.Service, Epoch: g.Epoch, Executor: g.Executor.ID, Outcome: o, RunTime: time.Millisecond,
	}})
}

func (sim *simulation) finishSend(entry string, id message.ID, o message.Outcome) {
	c := sim.clients[entry]
	g := c.sending[id]
	delete(c.sending, id)
	if key := sim.requests[id].Key; key != "" && o == message.NotRun {
		sim.runs[key]--
	}
	sim.release(sim.ownerOf(c.minEpoch), c, g, o)
}

func (sim *simulation) withdraw(entry string, id message.ID) {
	sim.limits.withdrawals--
	c := sim.clients[entry]
	delete(c.waiting, id)
	sim.send(sim.latestOwner(), entry, dispatch.Withdraw{ID: id})
}

// breakLink drops all frames in flight between an owner and an entry instance.
func (sim *simulation) breakLink(owner int, entry string) {
	sim.limits.linkBreaks--
	p := sim.owners[owner]
	delete(p.inbox, entry)
	delete(p.outbox, entry)
	p.markAnswersOptional(entry)
	sim.send(p, entry, dispatch.ReachabilityChanged{Entry: entry})
	sim.send(p, entry, dispatch.ReachabilityChanged{Entry: entry, Up: true})
}

// finishWrite completes an owner's write. The store applies the write if applied is true, and the owner learns the
// result if answered is true.
func (sim *simulation) finishWrite(owner int, applied, answered bool) {
	p := sim.owners[owner]
	write := *p.write
	p.write = nil
	done := dispatch.WriteResult{Epoch: write.Epoch, Sequence: write.Sequence}
	if applied {
		done.Revision, done.Err = sim.compareAndSwap(write)
	}
	if !answered {
		sim.limits.lostAnswers--
		done.Revision, done.Err = 0, message.ErrUnavailable
	}
	if errors.Is(done.Err, message.ErrConflict) {
		done.Found, done.Revision = sim.claim, sim.revision
	}
	sim.send(p, "store", done)
}

func (sim *simulation) compareAndSwap(write dispatch.Write) (int64, error) {
	switch r := write.Record.(type) {
	case record.Claim:
		if write.ExpectedRevision != sim.revision {
			return 0, message.ErrConflict
		}
		sim.revision++
		sim.claim = r
		return sim.revision, nil
	case record.ClaimSegment:
		sim.segments[r.Key()] = r
		return 1, nil
	case record.Member, record.Owner, record.Instance, record.Ledger, record.ConfigHead, record.Wave:
		panic(fmt.Sprintf("unexpected record %T", r))
	default:
		panic(fmt.Sprintf("unexpected record %T", r))
	}
}

// advanceTime advances the clock and ends the sends whose deadline has passed.
func (sim *simulation) advanceTime(d time.Duration) {
	sim.limits.timeSteps--
	sim.now = sim.now.Add(d)
	for _, name := range slices.Sorted(maps.Keys(sim.clients)) {
		c := sim.clients[name]
		for _, id := range sortedIDs(c.sending) {
			if !sim.requests[id].Deadline.After(sim.now) {
				sim.finishSend(name, id, message.Unknown)
			}
		}
	}
	for _, p := range sim.owners {
		sim.send(p, "clock", dispatch.Tick{})
	}
}

func (sim *simulation) extendOwnership() {
	sim.limits.timeSteps--
	p := sim.latestOwner()
	if sim.now.Before(p.until) {
		p.until = sim.now.Add(5 * time.Second)
		sim.send(p, "clock", dispatch.ExtendOwnership{Until: p.until})
	}
}

// markAnswersOptional makes answers to the entry instance's requests optional, since frames to it may be lost.
func (p *ownerProcess) markAnswersOptional(entry string) {
	for id := range p.pending {
		if id.Entry == entry {
			p.pending[id] = false
		}
	}
}

// kill removes an entry instance and reports its death to the owners.
func (sim *simulation) kill(entry string) {
	sim.limits.deaths--
	delete(sim.clients, entry)
	for _, p := range sim.owners {
		delete(p.outbox, entry)
		delete(p.inbox, entry)
		p.markAnswersOptional(entry)
		sim.send(p, "list", dispatch.MemberDead{Entry: entry})
	}
}
