package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	qt "github.com/frankban/quicktest"
)

// Guards against a claimed request that is refused after a takeover though it was not sent, or granted though it may
// have been sent.
func TestRepeatedRequestAfterTakeover(t *testing.T) {
	c := qt.New(t)
	_, effects := run(owner(2, "e1"), dispatch.GrantRequest{Now: at(1), From: "b", Request: request("b", 1, "key")})
	w, _ := write(effects)
	newOwner := func() dispatch.State {
		s, _ := run(dispatch.New("s", dispatch.Defaults()),
			dispatch.Configure{Now: origin, Service: fleet.Service{Slots: 1}, Executors: candidates("e1")},
			dispatch.ExtendOwnership{Now: origin, Until: at(time.Hour)},
			dispatch.Start{
				Now: origin, Epoch: 2, Self: "a", Members: []string{"b"}, PreviousMembers: []string{"a", "b"},
				Claim: w.Record.(record.Claim), Revision: 2,
			},
			dispatch.WriteResult{Now: origin, Epoch: 2, Sequence: 1, Revision: 3},
			dispatch.HeldGrants{Now: origin, From: "a"},
		)
		return s
	}
	again := dispatch.GrantRequest{Now: at(2), From: "b", Request: request("b", 1, "key")}
	waiting, effects := run(newOwner(), again) // member b has not reported its grants yet
	c.Assert(effects, qt.HasLen, 0, qt.Commentf("a grant of epoch 1 may still arrive before GatherGrants"))
	_, effects = run(waiting, dispatch.HeldGrants{Now: at(3), From: "b"})
	c.Assert(grants(effects), qt.HasLen, 1, qt.Commentf("the report does not list it, so it was not sent"))
	held := message.HeldGrant{ID: again.Request.ID, Executor: "e1", Left: time.Second, Key: "key"}
	waiting, effects = run(waiting, dispatch.HeldGrants{Now: at(3), From: "b", Grants: []message.HeldGrant{held}})
	c.Assert(grants(effects), qt.HasLen, 0, qt.Commentf("the report lists it"))
	_, effects = run(waiting, dispatch.Tick{Now: at(time.Minute)})
	c.Assert(grants(effects), qt.HasLen, 0, qt.Commentf("it is never granted again"))
	_, effects = run(newOwner(), dispatch.HeldGrants{Now: at(2), From: "b"}, again)
	c.Assert(grants(effects), qt.HasLen, 1)
	other := dispatch.GrantRequest{Now: at(2), From: "b", Request: request("b", 2, "key")}
	_, effects = run(newOwner(), dispatch.HeldGrants{Now: at(2), From: "b"}, other)
	c.Assert(denials(effects), qt.HasLen, 1, qt.Commentf("another request with the key"))
}

// Guards against claim values that exceed the size limit of the store, and claims that are lost when they move to a
// segment.
func TestClaimsMoveToSegments(t *testing.T) {
	c := qt.New(t)
	s := owner(8, "e1")
	largest, segments := 0, 0
	for i := range 1000 {
		now := at(time.Duration(i) * time.Millisecond)
		var effects []dispatch.Effect
		s, effects = run(s, dispatch.GrantRequest{Now: now, From: "b", Request: request("b", uint64(i), fmt.Sprint("key", i))})
		for w, ok := write(effects); ok; w, ok = write(effects) {
			switch r := w.Record.(type) {
			case record.Claim:
				largest = max(largest, len(r.Entries))
			case record.ClaimSegment:
				segments++
			case record.Member, record.Owner, record.Instance, record.Ledger, record.ConfigHead, record.Wave:
				c.Fatalf("unexpected record %T", r)
			default:
				panic(fmt.Sprintf("unknown record %T", r))
			}
			s, effects = run(s, dispatch.WriteResult{Now: now, Epoch: 1, Sequence: w.Sequence, Revision: int64(i)})
			for _, g := range grants(effects) {
				s, _ = run(s, dispatch.Release{Now: now, From: "b", Release: message.Release{ID: g.ID, Epoch: 1, Executor: "e1"}})
			}
		}
	}
	c.Assert(largest < 500, qt.IsTrue, qt.Commentf("%d entries in one value", largest))
	c.Assert(s.View().Segments, qt.Equals, segments)
	c.Assert(s.View().Claims, qt.Equals, 1000)
	_, effects := run(s, dispatch.GrantRequest{Now: at(2 * time.Second), From: "b", Request: request("b", 2000, "key0")})
	c.Assert(denials(effects), qt.HasLen, 1)
	r := request("b", 2001, "key0")
	r.Deadline = at(3 * time.Hour)
	_, effects = run(s, dispatch.ExtendOwnership{Now: at(time.Second), Until: at(3 * time.Hour)}, dispatch.GrantRequest{Now: at(2 * time.Hour), From: "b", Request: r})
	w, ok := write(effects)
	c.Assert(ok, qt.IsTrue, qt.Commentf("claims are kept one hour"))
	c.Assert(w.Record.(record.Claim).Segments, qt.HasLen, 0)
}

// Guards against a burst of one caller that starves another, whose requests must get every second turn.
func TestTurnsBetweenCallers(t *testing.T) {
	c := qt.New(t)
	s := owner(1, "e1")
	s, effects := run(s, dispatch.GrantRequest{Now: at(1), From: "b", Request: request("b", 0, "")})
	running := grants(effects)[0]
	for i := range 400 {
		r := request("b", uint64(i+1), "")
		if i >= 390 {
			r.Caller = "other"
		}
		s, _ = run(s, dispatch.GrantRequest{Now: at(2), From: "b", Request: r})
	}
	served := 0
	for i := range 30 {
		s, effects = run(s, dispatch.Release{Now: at(3), From: "b", Release: message.Release{ID: running.ID, Executor: "e1", RunTime: time.Millisecond}})
		c.Assert(grants(effects), qt.HasLen, 1)
		running = grants(effects)[0]
		if running.ID.Sequence > 390 {
			served++
		}
		c.Assert(served >= min(10, i/2), qt.IsTrue, qt.Commentf("%d of the other caller after %d grants", served, i+1))
	}
}

// BenchmarkRequest measures time and allocations of a request at two queue lengths, since the cost must not grow with
// the queue.
func BenchmarkRequest(b *testing.B) {
	for _, length := range []int{10, 4000} {
		b.Run(fmt.Sprint("queue ", length), func(b *testing.B) {
			s := owner(8, "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "e10")
			var running []message.Grant
			ask := func(i int) {
				r := request("b", uint64(i), "")
				r.Caller = fmt.Sprint("caller", i%100)
				var effects []dispatch.Effect
				s, effects = dispatch.Step(s, dispatch.GrantRequest{Now: at(1), From: "b", Request: r})
				running = append(running, grants(effects)...)
			}
			for i := range length + 80 {
				ask(i)
			}
			b.ReportAllocs()
			i := length + 80
			for b.Loop() {
				ask(i)
				i++
				g := running[0]
				running = running[1:]
				var effects []dispatch.Effect
				s, effects = dispatch.Step(s, dispatch.Release{Now: at(1), From: "b", Release: message.Release{
					ID: g.ID, Executor: g.Executor.ID, RunTime: time.Millisecond,
				}})
				running = append(running, grants(effects)...)
			}
		})
	}
}

// Guards against an owner that continues after another owner wrote the claim, and one that resigns because of its own
// write whose answer was lost.
func TestWriteConflict(t *testing.T) {
	c := qt.New(t)
	s, effects := run(owner(1, "e1"), dispatch.GrantRequest{Now: at(1), From: "b", Request: request("b", 1, "key")})
	w, _ := write(effects)
	failed := dispatch.WriteResult{Now: at(2), Epoch: 1, Sequence: w.Sequence, Revision: 9, Err: message.ErrConflict}
	_, effects = run(s, failed)
	c.Assert(effects[len(effects)-1], qt.Equals, dispatch.Effect(dispatch.Resign{Epoch: 1}))
	c.Assert(denials(effects)[0].Refusal.Reason, qt.Equals, message.ReasonNoOwner)

	failed.Found = record.Claim{Epoch: 1, Sequence: w.Sequence - 1}
	s, effects = run(s, failed)
	c.Assert(grants(effects), qt.HasLen, 0)
	again, ok := write(effects)
	c.Assert(ok, qt.IsTrue)
	c.Assert(again.ExpectedRevision, qt.Equals, int64(9))
	_, effects = run(s, dispatch.WriteResult{Now: at(3), Epoch: 1, Sequence: again.Sequence, Revision: 10})
	c.Assert(grants(effects), qt.HasLen, 1)
}

// Guards against a slot that stays in use by a grant whose frame was lost when the link broke.
func TestLostGrantIsFreed(t *testing.T) {
	c := qt.New(t)
	ask := dispatch.GrantRequest{Now: at(1), From: "b", Request: request("b", 1, "")}
	s, effects := run(owner(1, "e1"), ask)
	c.Assert(grants(effects), qt.HasLen, 1)
	s, _ = run(s,
		dispatch.ReachabilityChanged{Now: at(2), Entry: "b"},
		dispatch.ReachabilityChanged{Now: at(3), Entry: "b", Up: true},
		dispatch.HeldGrants{Now: at(4), From: "b"},
	)
	c.Assert(s.View().Executors[0].Grants, qt.Equals, 0)
	_, effects = run(s, ask)
	c.Assert(grants(effects), qt.HasLen, 1)
}

// Guards against a grant that is sent again and then freed by the answer to an earlier GatherGrants.
func TestGrantSentAgainSurvivesGather(t *testing.T) {
	c := qt.New(t)
	ask := dispatch.GrantRequest{Now: at(1), From: "b", Request: request("b", 1, "")}
	s, effects := run(owner(1, "e1"), ask)
	c.Assert(grants(effects), qt.HasLen, 1)
	s, effects = run(s, dispatch.LinkRestored{Now: at(2), Entry: "b"}, ask)
	c.Assert(grants(effects), qt.HasLen, 1)
	other := dispatch.GrantRequest{Now: at(3), From: "a", Request: request("a", 2, "")}
	_, effects = run(s, dispatch.HeldGrants{Now: at(3), From: "b"}, other)
	c.Assert(grants(effects), qt.HasLen, 0, qt.Commentf("the only slot is in use"))
}
