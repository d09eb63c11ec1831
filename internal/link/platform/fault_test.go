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

// raw writes a value of any form below the site.
func (r rig) raw(key, value string) {
	r.c.Helper()
	e, err := etcd.New([]string{r.address}, deadline)
	r.c.Assert(err, qt.IsNil)
	defer e.Close()
	_, done, err := e.Put(context.Background(), key, []byte(value), 0, 0)
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(done, qt.IsTrue)
}

// Guards against an entry that keeps its incarnation although others saw its lease expire in an outage.
func TestOutageChangesIncarnation(t *testing.T) {
	r := newRig(t)
	a, seen := r.entry("outage")
	identity, _ := kernel.Use[message.Identity](a.host)
	await(r.c, "entry is renewed", func() bool { return seen.renewals() > 0 })
	first := identity.Self().Incarnation
	r.control(`{"outage":true}`)
	await(r.c, "lease expires", func() bool { return r.counters().Leases == 0 })
	before := r.counters().Dropped
	time.Sleep(time.Second) // measures the calls of one second
	// Four duties with pauses of at most a second, at least half of it by jitter, make about 8 calls.
	r.c.Assert(r.counters().Dropped-before < 40, qt.IsTrue)
	r.control(`{"outage":false}`)
	await(r.c, "entry has a new incarnation", func() bool { return identity.Self().Incarnation != first })
	await(r.c, "its member key is published", func() bool {
		return seen.has(func(m message.RecordChanged) bool {
			member, ok := m.Record.(record.Member)
			return ok && !m.Deleted && member.Incarnation == identity.Self().Incarnation
		})
	})
	await(r.c, "the new incarnation is renewed", func() bool {
		seen.Lock()
		defer seen.Unlock()
		return seen.renewed[len(seen.renewed)-1].Incarnation == identity.Self().Incarnation
	})
	r.c.Assert(seen.has(isMember("outage", true)), qt.IsTrue)
}

// Guards against proofs that come no more often than a slow platform answers, which would leave gaps in ownership.
func TestSlowPlatform(t *testing.T) {
	r := newRig(t)
	p, seen := r.entryWith("slow", `,"ttl":20000,"timeout":20000`)
	await(r.c, "entry is renewed", func() bool { return seen.renewals() > 0 })
	r.control(`{"slow":2000}`)
	before := seen.renewals()
	await(r.c, "slow keep-alives are answered", func() bool { return seen.renewals() > before+6 })
	seen.Lock()
	last := seen.renewed[len(seen.renewed)-3:]
	seen.Unlock()
	r.c.Assert(last[2].Sent.Sub(last[0].Sent) < 3*time.Second, qt.IsTrue) // 4 s if each waited for the one before
	lost := p.host.Metrics.Get("platform.lost").(interface{ Count() int64 })
	r.c.Assert(lost.Count(), qt.Equals, int64(0))
}

// Guards against a broken watch that loses changes or deletions, with and without a compaction.
func TestBrokenWatch(t *testing.T) {
	for _, compact := range []bool{false, true} {
		t.Run(fmt.Sprintf("compact=%v", compact), func(t *testing.T) {
			r := newRig(t)
			s := r.store()
			ctx := context.Background()
			wave := record.Wave{ID: "w"}
			revision, err := s.CompareAndSwap(ctx, message.Write{Record: wave})
			r.c.Assert(err, qt.IsNil)
			_, seen := r.entry(fmt.Sprintf("broken-%v", compact))
			await(r.c, "wave is published", func() bool {
				return seen.has(func(m message.RecordChanged) bool { return m.Record.Key() == "wave/w" && m.Revision == revision })
			})
			// The store is written while the watch is closed and cannot be opened.
			r.control(`{"break":true,"reads":0}`)
			_, err = s.CompareAndSwap(ctx, message.Write{Record: wave, Expected: revision, Delete: true})
			r.c.Assert(err, qt.IsNil)
			_, err = s.CompareAndSwap(ctx, message.Write{Record: record.ConfigHead{Version: 3}})
			r.c.Assert(err, qt.IsNil)
			r.control(fmt.Sprintf(`{"compact":%v,"reads":2000,"break":true}`, compact))
			await(r.c, "deletion is published", func() bool {
				return seen.has(func(m message.RecordChanged) bool { return m.Record.Key() == "wave/w" && m.Deleted })
			})
			await(r.c, "head is published", func() bool {
				return seen.has(func(m message.RecordChanged) bool { return m.Record.Key() == record.KeyConfigHead && !m.Deleted })
			})
		})
	}
}

// Guards against one bad value that stops the watch, hides other keys or passes as a record.
func TestUndecodableIsSkipped(t *testing.T) {
	r := newRig(t)
	r.raw("site/owner/bad", "{")
	r.raw("site/owner/other", `{"service":"x"}`)
	r.raw("site/config/delta/1-a", "[1]")
	r.raw("elsewhere/owner/x", `{"service":"x"}`)
	r.raw("site/owner/good", `{"service":"good","epoch":4}`)
	p, seen := r.entry("decode")
	await(r.c, "good value is published", func() bool {
		return seen.has(func(m message.RecordChanged) bool { return m.Record.Key() == "owner/good" })
	})
	r.raw("site/claim/bad", "1")
	r.raw("site/claim/good/7", `{"service":"good","number":7}`)
	await(r.c, "good segment is published", func() bool {
		return seen.has(func(m message.RecordChanged) bool { return m.Record.Key() == "claim/good/7" })
	})
	r.c.Assert(seen.has(func(m message.RecordChanged) bool { return m.Record.Key() == "owner/x" }), qt.IsFalse)
	counter := p.host.Metrics.Get("platform.undecodable").(interface{ Count() int64 })
	r.c.Assert(counter.Count(), qt.Equals, int64(3))
}

// Guards against a write of another plug-in whose end is told wrongly.
func TestSwapTellsTheEnd(t *testing.T) {
	r := newRig(t)
	p, seen := r.entryWith("writer", `,"resolve":500`)
	await(r.c, "entry is renewed", func() bool { return seen.renewals() > 0 })
	store, ok := kernel.Use[message.Store](p.host)
	r.c.Assert(ok, qt.IsTrue)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r.control(`{"lose_next":1}`)
	first, err := store.CompareAndSwap(ctx, message.Write{Record: record.Claim{Service: "s", Epoch: 1}, Leased: true})
	r.c.Assert(err, qt.IsNil)
	_, err = store.CompareAndSwap(ctx, message.Write{Record: record.Claim{Service: "s", Epoch: 2}})
	r.c.Assert(err, qt.ErrorIs, message.ErrConflict)
	r.control(`{"outage":true}`)
	_, err = store.CompareAndSwap(ctx, message.Write{Record: record.Claim{Service: "s", Epoch: 2}, Expected: first})
	r.c.Assert(err, qt.ErrorIs, message.ErrUnavailable)
}

// Guards against a roll-out that cannot be followed because the member key shows an old version.
func TestMemberShowsConfiguration(t *testing.T) {
	r := newRig(t)
	p, seen := r.entry("configured")
	await(r.c, "entry is renewed", func() bool { return seen.renewals() > 0 })
	for _, version := range []uint64{7, 6, 8} {
		m := message.ConfigChanged{Fleet: fleet.Fleet{Version: version}}
		r.c.Assert(kernel.Publish(context.Background(), p.host, message.ConfigTopic, m), qt.IsNil)
	}
	await(r.c, "member shows version 8", func() bool {
		got, _, err := r.store().Read(context.Background(), "member/configured")
		return err == nil && got.(record.Member).Config == 8
	})
}

// Guards against raw values that are changed, overwritten or fail when a lost answer is repeated.
func TestRawValues(t *testing.T) {
	r := newRig(t)
	s := r.store()
	ctx := context.Background()
	_, _, err := s.ReadRaw(ctx, "config/delta/1-a")
	r.c.Assert(err, qt.ErrorIs, message.ErrNotFound)
	r.control(`{"lose_next":1}`)
	r.c.Assert(s.WriteRaw(ctx, "config/delta/1-a", []byte("{ }")), qt.IsNil)
	r.c.Assert(s.WriteRaw(ctx, "config/delta/1-a", []byte("{ }")), qt.IsNil)
	r.c.Assert(s.WriteRaw(ctx, "config/delta/1-a", []byte("{}")), qt.ErrorIs, message.ErrConflict)
	value, _, err := s.ReadRaw(ctx, "config/delta/1-a")
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(string(value), qt.Equals, "{ }")
}

// Guards against an unchanged instance list that is sent or published again.
func TestInstanceList(t *testing.T) {
	r := newRig(t)
	_, seen := r.entry("lists")
	list, err := instances.New([]string{r.address})
	r.c.Assert(err, qt.IsNil)
	defer list.Close()
	h := instances.Heartbeat{TTL: 3600_000, Instances: []message.Listing{{ID: "x", State: "live"}}}
	r.c.Assert(list.SendHeartbeat(context.Background(), h), qt.IsNil)
	listings := func() int {
		seen.Lock()
		defer seen.Unlock()
		return len(seen.listed)
	}
	await(r.c, "list is published", func() bool {
		seen.Lock()
		defer seen.Unlock()
		return len(seen.listed) > 0 && len(seen.listed[len(seen.listed)-1].Instances) == 1
	})
	published, polls := listings(), r.counters().Calls[standin.KindList]
	await(r.c, "list is polled", func() bool { return r.counters().Calls[standin.KindList] >= polls+2 })
	r.c.Assert(listings(), qt.Equals, published)
}
