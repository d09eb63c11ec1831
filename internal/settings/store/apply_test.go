package store_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"
	"teaselloft/internal/standin/memory"

	qt "github.com/frankban/quicktest"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func change(id string, base uint64, f fleet.Fleet) store.Change {
	return store.Change{ID: id, Author: "nino", Time: noon, Base: base, Fleet: f}
}

func assemble(c *qt.C, s store.Store) fleet.Fleet {
	head, _, err := store.ReadHead(context.Background(), s)
	c.Assert(err, qt.IsNil)
	a, err := store.Assembly{}.Assemble(context.Background(), s, head)
	c.Assert(err, qt.IsNil)
	return a.Fleet
}

// Guards against content that is altered when it is stored as a snapshot and deltas.
func TestApplyThenAssemble(t *testing.T) {
	c := qt.New(t)
	ctx, s := context.Background(), memory.New()
	for i := range 4 {
		want := small(8 + i)
		applied, err := store.Apply(ctx, s, change(fmt.Sprint("id-", i), uint64(i), want))
		c.Assert(err, qt.IsNil)
		c.Check(applied.Version, qt.Equals, uint64(i+1))
		c.Check(applied.Snapshot, qt.Equals, i == 0)
		c.Check(assemble(c, s), qt.DeepEquals, want.WithVersion(uint64(i+1)))
	}
	applied, err := store.Apply(ctx, s, change("same", 4, small(11)))
	c.Assert(err, qt.IsNil)
	c.Check(applied, qt.Equals, store.ApplyResult{Version: 4, Unchanged: true})
}

// Guards against concurrent changes that are both reported as applied.
func TestRacingApplies(t *testing.T) {
	c := qt.New(t)
	ctx, s := context.Background(), memory.New()
	_, err := store.Apply(ctx, s, change("first", 0, small(1)))
	c.Assert(err, qt.IsNil)
	const operators = 8
	errs := make([]error, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() { _, errs[i] = store.Apply(ctx, s, change(fmt.Sprint("id-", i), 1, small(10+i))) })
	}
	group.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		c.Check(err, qt.ErrorIs, store.ErrStale)
		stale, ok := errors.AsType[*store.StaleError](err)
		c.Assert(ok, qt.IsTrue)
		c.Check(*stale, qt.Equals, store.StaleError{Base: 1, Current: 2, Author: "nino", Time: noon})
	}
	c.Check(won, qt.Equals, 1)
}

// faultOnce returns a fault injection for the n-th write of a key with the prefix.
func faultOnce(prefix string, n int, f memory.Fault) func(memory.Call) memory.Fault {
	return func(call memory.Call) memory.Fault {
		if !call.Write || !strings.HasPrefix(call.Key, prefix) {
			return memory.None
		}
		if n--; n == 0 {
			return f
		}
		return memory.None
	}
}

// Guards against a change whose answer was lost and that is then applied twice or rejected as stale because of itself.
func TestLostAnswers(t *testing.T) {
	for _, prefix := range []string{record.KeyConfigHead, record.PrefixConfig + "delta/", record.PrefixInstance} {
		for _, fault := range []memory.Fault{memory.Refuse, memory.Lose} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, s := context.Background(), memory.New()
				_, err := store.Apply(ctx, s, change("first", 0, small(1).WithPools(nil).WithServices(nil)))
				c.Assert(err, qt.IsNil)
				s.Inject(faultOnce(prefix, 1, fault))
				applied, err := store.Apply(ctx, s, change("second", 1, small(2)))
				c.Assert(err, qt.IsNil)
				c.Check(applied.Version, qt.Equals, uint64(2))
				c.Check(applied.AlreadyApplied, qt.Equals, prefix == record.PrefixInstance || prefix == record.KeyConfigHead && fault == memory.Lose)
				c.Check(assemble(c, s), qt.DeepEquals, small(2).WithVersion(2))
				placed, err := s.List(ctx, record.PrefixInstance)
				c.Assert(err, qt.IsNil)
				c.Check(placed, qt.HasLen, 2)
			})
		}
	}
}

// Guards against a repeated command that applies its change a second time or never ends.
func TestRepeatedCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := memory.New()
		for _, key := range []string{record.KeyConfigHead, record.PrefixConfig} {
			head, _, err := store.ReadHead(context.Background(), s)
			c.Assert(err, qt.IsNil)
			once := change("id-"+key, head.Version, small(int(head.Version)))
			s.Inject(func(call memory.Call) memory.Fault {
				if call.Write && call.Key == record.KeyConfigHead && key != record.KeyConfigHead {
					return memory.Refuse
				}
				if call.Write && strings.HasPrefix(call.Key, key) {
					return memory.Lose
				}
				return memory.None
			})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			_, err = store.Apply(ctx, s, once)
			cancel()
			c.Assert(err, qt.ErrorIs, message.ErrUnavailable)
			s.Inject(func(memory.Call) memory.Fault { return memory.None })
			once.Time = once.Time.Add(time.Minute)
			applied, err := store.Apply(context.Background(), s, once)
			c.Assert(err, qt.IsNil)
			c.Check(applied.Version, qt.Equals, head.Version+1)
			entries, err := store.History(context.Background(), s, 9)
			c.Assert(err, qt.IsNil)
			c.Check(entries, qt.HasLen, int(head.Version)+1)
			c.Check(entries[0].Time, qt.Equals, noon)
		}
	})
}

// Guards against the ID of a change that is reused for another one.
func TestReusedChangeID(t *testing.T) {
	c := qt.New(t)
	ctx, s := context.Background(), memory.New()
	untilRefusal, cancel := context.WithCancel(ctx)
	defer cancel()
	s.Inject(func(call memory.Call) memory.Fault {
		if call.Write && call.Key == record.KeyConfigHead {
			cancel()
			return memory.Refuse
		}
		return memory.None
	})
	_, err := store.Apply(untilRefusal, s, change("id", 0, small(1)))
	c.Assert(err, qt.ErrorIs, message.ErrUnavailable)
	s.Inject(func(memory.Call) memory.Fault { return memory.None })
	_, err = store.Apply(ctx, s, change("id", 0, small(2)))
	c.Assert(err, qt.ErrorIs, store.ErrChangeIDReused)
}

// Guards against an apply that moves an instance back that operators moved, or that creates no record for a new one.
func TestApplyPlacesNewInstancesOnly(t *testing.T) {
	c := qt.New(t)
	ctx, s := context.Background(), memory.New()
	applied, err := store.Apply(ctx, s, change("first", 0, small(1)))
	c.Assert(err, qt.IsNil)
	c.Check(applied.Instances, qt.Equals, 2)
	r, revision, err := s.Read(ctx, record.PrefixInstance+"cal-1")
	c.Assert(err, qt.IsNil)
	c.Check(r, qt.Equals, record.Record(record.Instance{ID: "cal-1", Pool: "calendar", State: record.Serving, Since: noon}))
	moved := r.(record.Instance).WithPool("spare")
	_, err = s.CompareAndSwap(ctx, message.Write{Record: moved, Expected: revision})
	c.Assert(err, qt.IsNil)

	next := small(1)
	next.Pools[0].Instances = append(next.Pools[0].Instances, fleet.Instance{ID: "cal-3", Address: "127.0.0.1:9103", Zone: "ka", Rack: "a2"})
	applied, err = store.Apply(ctx, s, change("second", 1, next))
	c.Assert(err, qt.IsNil)
	c.Check(applied.Instances, qt.Equals, 1)
	r, _, err = s.Read(ctx, record.PrefixInstance+"cal-1")
	c.Assert(err, qt.IsNil)
	c.Check(r, qt.Equals, record.Record(moved))
}

// Guards against a configuration that the platform rejects as too large after other keys were written.
func TestApplyRefusesTooLargeConfiguration(t *testing.T) {
	c := qt.New(t)
	s := memory.New()
	f := small(1)
	for i := range 6000 {
		name := fmt.Sprintf("%s-%d", strings.Repeat("x", 100), i)
		f.Corrections = append(f.Corrections, fleet.Correction{From: name, To: "flag-calendar"})
	}
	_, err := store.Apply(context.Background(), s, change("id", 0, f))
	c.Assert(err, qt.ErrorIs, store.ErrTooLarge)
	c.Assert(s.Keys(), qt.HasLen, 0)
}
