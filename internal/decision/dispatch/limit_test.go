package dispatch_test

import (
	"testing"
	"time"

	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/model/message"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a message type without a case in Step.
func TestStepHandlesEveryMessage(t *testing.T) {
	c := qt.New(t)
	for _, m := range []dispatch.Message{
		dispatch.Configure{},
		dispatch.Start{},
		dispatch.Prove{},
		dispatch.Stop{},
		dispatch.Ask{},
		dispatch.Release{},
		dispatch.Withdraw{},
		dispatch.Holding{},
		dispatch.Reachable{},
		dispatch.Gone{},
		dispatch.Written{},
		dispatch.Tick{},
	} {
		s, _ := dispatch.Step(dispatch.New("s", dispatch.Defaults()), m)
		c.Check(s.View().Service, qt.Equals, "s", qt.Commentf("%T", m))
	}
}

// Guards against two members that use one slot without an owner, and against slots that no member may use.
func TestStaticShareCoversEachSlotOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}`), 1, 8, rapid.ID[string])
		executors, members := names.Draw(t, "executors"), names.Draw(t, "members")
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		used := map[dispatch.Share]bool{}
		for _, m := range members {
			for _, s := range dispatch.StaticShare(executors, slots, members, m) {
				if used[s] {
					t.Fatalf("%v is used twice", s)
				}
				used[s] = true
			}
		}
		if len(used) != slots*len(executors) {
			t.Fatalf("%d of %d slots are shared out", len(used), slots*len(executors))
		}
	})
}

// Guards against an executor that fails everything and so attracts all work, and against one that never comes back.
func TestFailingExecutorIsEjected(t *testing.T) {
	c := qt.New(t)
	s := owner(2, "e1", "e2")
	now := origin
	sends := map[string]int{}
	for i := range 60 {
		now = now.Add(time.Millisecond)
		r := request("b", uint64(i), "")
		r.Deadline = now.Add(10 * time.Second)
		var effects []dispatch.Effect
		s, effects = run(s, dispatch.Ask{Now: now, From: "b", Request: r})
		g := grants(effects)[0]
		sends[g.Executor.ID]++
		o := message.Answered
		if g.Executor.ID == "e1" {
			o = message.Unknown
		}
		s, _ = run(s, dispatch.Release{Now: now, From: "b", Release: message.Release{ID: g.ID, Executor: g.Executor.ID, Outcome: o, RunTime: 1}})
	}
	c.Assert(sends["e1"], qt.Equals, dispatch.Defaults().Failures)
	now = now.Add(dispatch.Defaults().Ejection)
	probes := 0
	for i := range 4 {
		r := request("b", uint64(100+i), "")
		r.Deadline = now.Add(10 * time.Second)
		var effects []dispatch.Effect
		s, effects = run(s, dispatch.Ask{Now: now, From: "b", Request: r})
		for _, g := range grants(effects) {
			if g.Executor.ID == "e1" {
				probes++
			}
		}
	}
	c.Assert(probes, qt.Equals, 1, qt.Commentf("probation is one grant at a time"))
}

// Guards against a queue without bound, a caller that fills it alone, and a request that waits past its deadline.
func TestQueueIsBounded(t *testing.T) {
	c := qt.New(t)
	o := dispatch.Defaults()
	s := owner(1, "e1")
	reasons := map[message.Reason]int{}
	ask := func(n int, caller string, left time.Duration) {
		r := request("b", uint64(n), "")
		r.Caller, r.Deadline = caller, at(left)
		var effects []dispatch.Effect
		s, effects = run(s, dispatch.Ask{Now: origin, From: "b", Request: r})
		for _, d := range denials(effects) {
			reasons[d.Refusal.Reason]++
			c.Assert(d.Refusal.RetryAfter >= time.Second, qt.IsTrue)
		}
	}
	ask(0, "first", time.Second)
	for i := range o.CallerQueue + 5 {
		ask(i+1, "greedy", 20*time.Second)
	}
	c.Assert(reasons, qt.DeepEquals, map[message.Reason]int{message.ReasonFairShare: 5})
	ask(10_000, "other", 20*time.Second)
	c.Assert(reasons[message.ReasonFairShare], qt.Equals, 5)
	s, _ = run(s, dispatch.Release{Now: origin, From: "b", Release: message.Release{ID: request("b", 0, "").ID, Executor: "e1", RunTime: 3 * time.Second}})
	ask(10_001, "other", 2*time.Second)
	c.Assert(reasons[message.ReasonDeadline], qt.Equals, 0, qt.Commentf("the kind is learned after the queue was filled"))
	for i := range 5 {
		ask(10_002+i, "other", 2*time.Second)
	}
	c.Assert(reasons[message.ReasonDeadline] > 0, qt.IsTrue)
	_, effects := run(s, dispatch.Tick{Now: at(20 * time.Second)})
	c.Assert(len(denials(effects)) >= o.CallerQueue, qt.IsTrue, qt.Commentf("each queued request is answered at its deadline"))
}

// Guards against long work that takes all slots from short and urgent work.
func TestLongWorkIsCapped(t *testing.T) {
	c := qt.New(t)
	s := owner(8, "e1")
	n := uint64(0)
	ask := func(path string, class message.Class) []message.Grant {
		n++
		r := request("b", n, "")
		r.Path, r.Class = path, class
		var effects []dispatch.Effect
		s, effects = run(s, dispatch.Ask{Now: origin, From: "b", Request: r})
		return grants(effects)
	}
	for range 30 {
		for path, d := range map[string]time.Duration{"/short": time.Millisecond, "/brief": time.Millisecond, "/long": time.Second} {
			g := ask(path, message.Normal)[0]
			s, _ = run(s, dispatch.Release{Now: origin, From: "b", Release: message.Release{ID: g.ID, Executor: "e1", RunTime: d}})
		}
	}
	granted := 0
	for range 10 {
		granted += len(ask("/long", message.Normal))
	}
	c.Assert(granted, qt.Equals, 5)
	for range 5 {
		granted += len(ask("/short", message.Normal))
	}
	c.Assert(granted, qt.Equals, 7)
	c.Assert(ask("/short", message.Urgent), qt.HasLen, 1, qt.Commentf("the last slot is for urgent work"))
}
