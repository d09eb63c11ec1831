package platform_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/protocol/etcd"
	"teaselloft/internal/protocol/instances"
	standin "teaselloft/internal/standin/platform"

	qt "github.com/frankban/quicktest"
)

// putRaw creates a key, given with its site prefix, without checking the value.
func (f fixture) putRaw(key, value string) {
	f.c.Helper()
	e, err := etcd.New([]string{f.address}, deadline)
	f.c.Assert(err, qt.IsNil)
	defer e.Close()
	_, done, err := e.Put(context.Background(), key, []byte(value), 0, 0)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(done, qt.IsTrue)
}

// Guards against an entry instance that keeps its incarnation although others saw its lease expire in an outage.
func TestOutageChangesIncarnation(t *testing.T) {
	f := newFixture(t)
	a, seen := f.startEntry("outage")
	identity, _ := kernel.Use[message.Identity](a.host)
	waitFor(f.c, "entry is renewed", func() bool { return seen.renewals() > 0 })
	first := identity.Self().Incarnation
	f.control(`{"outage":true}`)
	waitFor(f.c, "lease expires", func() bool { return f.counters().Leases == 0 })
	before := f.counters().Dropped
	time.Sleep(time.Second) // period over which the calls are counted
	// Four duties with a backoff of at most a second, reduced by jitter to no less than half, make about 8 calls.
	f.c.Assert(f.counters().Dropped-before < 40, qt.IsTrue)
	f.control(`{"outage":false}`)
	waitFor(f.c, "entry has a new incarnation", func() bool { return identity.Self().Incarnation != first })
	waitFor(f.c, "its member key is published", func() bool {
		return seen.has(func(m message.RecordChanged) bool {
			member, ok := m.Record.(record.Member)
			return ok && !m.Deleted && member.Incarnation == identity.Self().Incarnation
		})
	})
	waitFor(f.c, "the new incarnation is renewed", func() bool {
		seen.Lock()
		defer seen.Unlock()
		return seen.renewed[len(seen.renewed)-1].Incarnation == identity.Self().Incarnation
	})
	f.c.Assert(seen.has(isMember("outage", true)), qt.IsTrue)
}

// Guards against keep-alives that wait for the answer to the one before. On a slow platform, the gaps between renewals
// would interrupt ownership.
func TestSlowPlatform(t *testing.T) {
	f := newFixture(t)
	p, seen := f.startEntryWith("slow", `,"ttl":20000,"timeout":20000`)
	waitFor(f.c, "entry is renewed", func() bool { return seen.renewals() > 0 })
	f.control(`{"slow":2000}`)
	before := seen.renewals()
	waitFor(f.c, "slow keep-alives are answered", func() bool { return seen.renewals() > before+6 })
	seen.Lock()
	last := seen.renewed[len(seen.renewed)-3:]
	seen.Unlock()
	f.c.Assert(last[2].Sent.Sub(last[0].Sent) < 3*time.Second, qt.IsTrue) // 4 s if each waited for the one before
	lost := p.host.Metrics.Get("platform.lost").(interface{ Count() int64 })
	f.c.Assert(lost.Count(), qt.Equals, int64(0))
}

// Guards against a broken watch that loses changes or deletions, with and without a compaction.
func TestBrokenWatch(t *testing.T) {
	for _, compact := range []bool{false, true} {
		t.Run(fmt.Sprintf("compact=%v", compact), func(t *testing.T) {
			f := newFixture(t)
			s := f.store()
			ctx := context.Background()
			wave := record.Wave{ID: "w"}
			revision, err := s.CompareAndSwap(ctx, message.Write{Record: wave})
			f.c.Assert(err, qt.IsNil)
			_, seen := f.startEntry(fmt.Sprintf("broken-%v", compact))
			waitFor(f.c, "wave is published", func() bool {
				return seen.has(func(m message.RecordChanged) bool { return m.Record.Key() == "wave/w" && m.Revision == revision })
			})
			// Write while the watch is closed and cannot be reopened.
			f.control(`{"break":true,"reads":0}`)
			_, err = s.CompareAndSwap(ctx, message.Write{Record: wave, Expected: revision, Delete: true})
			f.c.Assert(err, qt.IsNil)
			_, err = s.CompareAndSwap(ctx, message.Write{Record: record.ConfigHead{Version: 3}})
			f.c.Assert(err, qt.IsNil)
			f.control(fmt.Sprintf(`{"compact":%v,"reads":2000,"break":true}`, compact))
			waitFor(f.c, "deletion is published", func() bool {
				return seen.has(func(m message.RecordChanged) bool { return m.Record.Key() == "wave/w" && m.Deleted })
			})
			waitFor(f.c, "head is published", func() bool {
				return seen.has(func(m message.RecordChanged) bool { return m.Record.Key() == record.KeyConfigHead && !m.Deleted })
			})
		})
	}
}

// Guards against a value that cannot be decoded and stops the watch, hides other keys or is published as a record.
func TestUndecodableIsSkipped(t *testing.T) {
	f := newFixture(t)
	f.putRaw("site/owner/bad", "{")
	f.putRaw("site/owner/other", `{"service":"x"}`)
	f.putRaw("site/config/delta/1-a", "[1]")
	f.putRaw("elsewhere/owner/x", `{"service":"x"}`)
	f.putRaw("site/owner/good", `{"service":"good","epoch":4}`)
	p, seen := f.startEntry("decode")
	waitFor(f.c, "good value is published", func() bool {
		return seen.has(func(m message.RecordChanged) bool { return m.Record.Key() == "owner/good" })
	})
	f.putRaw("site/claim/bad", "1")
	f.putRaw("site/claim/good/7", `{"service":"good","number":7}`)
	waitFor(f.c, "good segment is published", func() bool {
		return seen.has(func(m message.RecordChanged) bool { return m.Record.Key() == "claim/good/7" })
	})
	f.c.Assert(seen.has(func(m message.RecordChanged) bool { return m.Record.Key() == "owner/x" }), qt.IsFalse)
	counter := p.host.Metrics.Get("platform.undecodable").(interface{ Count() int64 })
	f.c.Assert(counter.Count(), qt.Equals, int64(3))
}

// Guards against a write whose outcome is reported wrongly to another plug-in.
func TestCompareAndSwapOutcome(t *testing.T) {
	f := newFixture(t)
	p, seen := f.startEntryWith("writer", `,"resolve":500`)
	waitFor(f.c, "entry is renewed", func() bool { return seen.renewals() > 0 })
	store, ok := kernel.Use[message.Store](p.host)
	f.c.Assert(ok, qt.IsTrue)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	f.control(`{"lose_next":1}`)
	first, err := store.CompareAndSwap(ctx, message.Write{Record: record.Claim{Service: "s", Epoch: 1}, Leased: true})
	f.c.Assert(err, qt.IsNil)
	_, err = store.CompareAndSwap(ctx, message.Write{Record: record.Claim{Service: "s", Epoch: 2}})
	f.c.Assert(err, qt.ErrorIs, message.ErrConflict)
	f.control(`{"outage":true}`)
	_, err = store.CompareAndSwap(ctx, message.Write{Record: record.Claim{Service: "s", Epoch: 2}, Expected: first})
	f.c.Assert(err, qt.ErrorIs, message.ErrUnavailable)
}

// Guards against a rollout that cannot be observed because the member key shows an old configuration version.
func TestMemberShowsConfigVersion(t *testing.T) {
	f := newFixture(t)
	p, seen := f.startEntry("configured")
	waitFor(f.c, "entry is renewed", func() bool { return seen.renewals() > 0 })
	for _, version := range []uint64{7, 6, 8} {
		m := message.ConfigChanged{Fleet: fleet.Fleet{Version: version}}
		f.c.Assert(kernel.Publish(context.Background(), p.host, message.ConfigTopic, m), qt.IsNil)
	}
	waitFor(f.c, "member shows version 8", func() bool {
		got, _, err := f.store().Read(context.Background(), "member/configured")
		return err == nil && got.(record.Member).Config == 8
	})
}

// Guards against raw values that are altered or overwritten, and against a raw write that fails when it is repeated
// after its answer was lost.
func TestRawValues(t *testing.T) {
	f := newFixture(t)
	s := f.store()
	ctx := context.Background()
	_, _, err := s.ReadRaw(ctx, "config/delta/1-a")
	f.c.Assert(err, qt.ErrorIs, message.ErrNotFound)
	f.control(`{"lose_next":1}`)
	f.c.Assert(s.WriteRaw(ctx, "config/delta/1-a", []byte("{ }")), qt.IsNil)
	f.c.Assert(s.WriteRaw(ctx, "config/delta/1-a", []byte("{ }")), qt.IsNil)
	f.c.Assert(s.WriteRaw(ctx, "config/delta/1-a", []byte("{}")), qt.ErrorIs, message.ErrConflict)
	value, _, err := s.ReadRaw(ctx, "config/delta/1-a")
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(string(value), qt.Equals, "{ }")
}

// Guards against an unchanged instance list that is sent or published again.
func TestInstanceList(t *testing.T) {
	f := newFixture(t)
	_, seen := f.startEntry("lists")
	list, err := instances.New([]string{f.address})
	f.c.Assert(err, qt.IsNil)
	defer list.Close()
	h := instances.Heartbeat{TTL: 3600_000, Instances: []message.Listing{{ID: "x", State: "live"}}}
	f.c.Assert(list.SendHeartbeat(context.Background(), h), qt.IsNil)
	listings := func() int {
		seen.Lock()
		defer seen.Unlock()
		return len(seen.listed)
	}
	waitFor(f.c, "list is published", func() bool {
		seen.Lock()
		defer seen.Unlock()
		return len(seen.listed) > 0 && len(seen.listed[len(seen.listed)-1].Instances) == 1
	})
	published, polls := listings(), f.counters().Calls[standin.KindList]
	waitFor(f.c, "list is polled", func() bool { return f.counters().Calls[standin.KindList] >= polls+2 })
	f.c.Assert(listings(), qt.Equals, published)
}
