package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/standin/keyvalue"
	"teaselloft/internal/standin/roster"

	"golang.org/x/time/rate"
)

var (
	errSlowWatch   = errors.New("watch does not keep up")
	errBrokenWatch = errors.New("watch was broken on request")
)

// store is the duty that owns the state; HTTP requests reach it through its ring.
type store struct {
	calls    *ring.Ring[call]
	state    keyvalue.State
	roster   roster.State
	faults   Faults
	writes   *rate.Limiter
	reads    *rate.Limiter
	sinks    map[uint64]open
	counters Counters
	traffic  *countingListener
	reboot   time.Duration
}

func newStore(s Settings, calls *ring.Ring[call], traffic *countingListener) *store {
	return &store{
		calls:    calls,
		state:    keyvalue.New(s.History),
		roster:   withInstances(roster.New(time.Duration(s.Lag)*time.Millisecond), s.Instances),
		writes:   limiter(s.Writes),
		reads:    limiter(s.Reads),
		sinks:    map[uint64]open{},
		counters: Counters{Calls: map[Kind]int64{}},
		reboot:   time.Duration(s.Reboot) * time.Millisecond,
		traffic:  traffic,
	}
}

// permanent is the time to live of the instances that the settings list.
const permanent = 10 * 365 * 24 * time.Hour

func withInstances(r roster.State, instances []message.Listing) roster.State {
	r, _ = roster.Step(r, roster.Heartbeat{Now: time.Now(), TTL: permanent, Instances: instances})
	return r
}

// limiter allows bursts of a fifth of a second, since a store queues calls that arrive together.
func limiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/5, 1))
}

// run serves calls and expires leases until ctx ends.
func (s *store) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case c := <-s.calls.Items():
			s.serve(ctx, c)
		case now := <-timer.C:
			s.step(ctx, keyvalue.Tick{Now: now}, nil)
		case <-ctx.Done():
			return ctx.Err()
		}
		if expiry, ok := s.state.Expiry(); ok {
			timer.Reset(time.Until(expiry))
		}
	}
}

func (s *store) serve(ctx context.Context, c call) {
	switch c := c.(type) {
	case admit:
		answer(ctx, c.reply, s.admit(c.kind))
	case apply:
		s.step(ctx, c.message, c.reply)
	case open:
		s.sinks[c.watch.ID] = c
		s.step(ctx, c.watch, c.sink)
	case progress:
		s.step(ctx, keyvalue.Progress{ID: c.watch}, nil)
	case leave:
		delete(s.sinks, c.watch)
		s.step(ctx, keyvalue.Unwatch{ID: c.watch}, nil)
	case heartbeat:
		s.roster, _ = roster.Step(s.roster, c.beat)
	case look:
		s.look(ctx, c.reply)
	case control:
		s.control(ctx, c.change)
	case count:
		answer(ctx, c.reply, s.count())
	default:
		panic(fmt.Sprintf("platform stand-in: unknown call %T", c))
	}
}

// answer fills a reply ring of one item, which never is full.
func answer[T any](ctx context.Context, reply *ring.Ring[T], v T) {
	_ = reply.Push(ctx, v)
}

func (s *store) admit(k Kind) Verdict {
	within := true
	if !k.Listing() && !s.faults.Outage {
		within = s.limiter(k).Allow()
	}
	faults, verdict := s.faults.Admit(k, within, rand.Float64())
	s.faults = faults
	switch v := verdict.(type) {
	case Serve:
		s.counters.Calls[k]++
		if v.Lose {
			s.counters.Lost++
		}
	case Drop:
		s.counters.Dropped++
	case Limit:
		s.counters.Limited++
	default:
		panic(fmt.Sprintf("platform stand-in: unknown verdict %T", v))
	}
	return verdict
}

func (s *store) limiter(k Kind) *rate.Limiter {
	if k.Writes() {
		return s.writes
	}
	return s.reads
}

// step applies a message, answers it and hands events to the watches.
func (s *store) step(ctx context.Context, m keyvalue.Message, reply *ring.Ring[keyvalue.Effect]) {
	state, effects := keyvalue.Step(s.state, m)
	s.state = state
	s.obey(m, effects)
	for _, e := range effects {
		switch e := e.(type) {
		case keyvalue.Notify:
			s.notify(ctx, e)
		case keyvalue.Pairs, keyvalue.Swapped, keyvalue.Leased, keyvalue.Revoked,
			keyvalue.Failed, keyvalue.Opened, keyvalue.Cancelled:
			answer(ctx, reply, e)
		default:
			panic(fmt.Sprintf("platform stand-in: unknown effect %T", e))
		}
	}
}

// obey reboots an instance whose record was written in state rebooting, as the platform does with its pools.
func (s *store) obey(m keyvalue.Message, effects []keyvalue.Effect) {
	w, ok := m.(keyvalue.Swap)
	if !ok || w.Delete || !strings.Contains(w.Key, "/"+record.PrefixInstance) {
		return
	}
	var i record.Instance
	if json.Unmarshal([]byte(w.Value), &i) != nil || i.State != record.Rebooting {
		return
	}
	for _, e := range effects {
		if swapped, ok := e.(keyvalue.Swapped); ok && swapped.Succeeded {
			s.roster, _ = roster.Step(s.roster, roster.Reboot{Now: time.Now(), ID: i.ID, For: s.reboot})
		}
	}
}

// notify ends a watch that does not keep up, as an event must not be skipped.
func (s *store) notify(ctx context.Context, n keyvalue.Notify) {
	w, ok := s.sinks[n.Watch]
	if !ok {
		return
	}
	if err := w.sink.Push(ctx, n); err != nil {
		w.cancel(errSlowWatch)
	}
}

func (s *store) look(ctx context.Context, reply *ring.Ring[roster.View]) {
	state, effects := roster.Step(s.roster, roster.Look{Now: time.Now()})
	s.roster = state
	for _, e := range effects {
		switch e := e.(type) {
		case roster.View:
			answer(ctx, reply, e)
		default:
			panic(fmt.Sprintf("platform stand-in: unknown effect %T", e))
		}
	}
}

func (s *store) control(ctx context.Context, c Control) {
	s.faults = s.faults.WithControl(c)
	if c.Writes != nil {
		s.writes = limiter(*c.Writes)
	}
	if c.Reads != nil {
		s.reads = limiter(*c.Reads)
	}
	if c.Lag != nil {
		lag := time.Duration(*c.Lag) * time.Millisecond
		s.roster, _ = roster.Step(s.roster, roster.SetLag{Lag: lag})
	}
	if c.Break || s.faults.Outage {
		for _, w := range s.sinks {
			w.cancel(errBrokenWatch)
		}
	}
	if c.Compact {
		s.step(ctx, keyvalue.Compact{Revision: s.state.Revision() + 1}, nil)
	}
}

func (s *store) count() Counters {
	c := s.counters
	c.Calls = maps.Clone(c.Calls)
	c.Watching = s.state.Watches()
	c.Keys = s.state.Keys()
	c.Leases = s.state.Leases()
	c.Revision = s.state.Revision()
	c.Received = s.traffic.received.Load()
	c.Sent = s.traffic.sent.Load()
	c.Accepted = s.traffic.accepted.Load()
	return c
}
