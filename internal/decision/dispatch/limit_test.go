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
		dispatch.ExtendOwnership{},
		dispatch.Stop{},
		dispatch.GrantRequest{},
		dispatch.Release{},
		dispatch.Withdraw{},
		dispatch.HeldGrants{},
		dispatch.ReachabilityChanged{},
		dispatch.MemberDead{},
		dispatch.WriteResult{},
		dispatch.Tick{},
	} {
		s, _ := dispatch.Step(dispatch.New("s", dispatch.Defaults()), m)
		c.Check(s.View().Service, qt.Equals, "s", qt.Commentf("%T", m))
	}
}

// Guards against a slot in the static shares of two members, and against a slot in no share.
func TestStaticShareCoversEachSlotOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}`), 1, 8, rapid.ID[string])
		executors, members := names.Draw(t, "executors"), names.Draw(t, "members")
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		used := map[dispatch.Slot]bool{}
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

// Guards against an executor that fails all requests and so attracts more, and an ejected one that never returns.
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
		s, effects = run(s, dispatch.GrantRequest{Now: now, From: "b", Request: r})
		g := grants(effects)[0]
		sends[g.Executor.ID]++
		o := message.Answered
		if g.Executor.ID == "e1" {
			o = message.Unknown
		}
		s, _ = run(s, dispatch.Release{Now: now, From: "b", Release: message.Release{ID: g.ID, Executor: g.Executor.ID, Outcome: o, RunTime: 1}})
	}
	c.Assert(sends["e1"], qt.Equals, dispatch.Defaults().FailureThreshold)
	now = now.Add(dispatch.Defaults().BaseEjection)
	probes := 0
	for i := range 4 {
		r := request("b", uint64(100+i), "")
		r.Deadline = now.Add(10 * time.Second)
		var effects []dispatch.Effect
		s, effects = run(s, dispatch.GrantRequest{Now: now, From: "b", Request: r})
		for _, g := range grants(effects) {
			if g.Executor.ID == "e1" {
				probes++
			}
		}
	}
	c.Assert(probes, qt.Equals, 1, qt.Commentf("probation is one grant at a time"))
}

// Guards against an unbounded queue, one caller that fills the queue, and requests that wait past their deadline.
func TestQueueIsBounded(t *testing.T) {
	c := qt.New(t)
	o := dispatch.Defaults()
	s := owner(1, "e1")
	reasons := map[message.Reason]int{}
	ask := func(n int, caller string, left time.Duration) {
		r := request("b", uint64(n), "")
		r.Caller, r.Deadline = caller, at(left)
		var effects []dispatch.Effect
		s, effects = run(s, dispatch.GrantRequest{Now: origin, From: "b", Request: r})
		for _, d := range denials(effects) {
			reasons[d.Refusal.Reason]++
			c.Assert(d.Refusal.RetryAfter >= time.Second, qt.IsTrue)
		}
	}
	ask(0, "first", time.Second)
	for i := range o.CallerQueueLimit + 5 {
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
	c.Assert(len(denials(effects)) >= o.CallerQueueLimit, qt.IsTrue, qt.Commentf("each queued request is answered at its deadline"))
}

// mixedLoad sends short and long requests to an owner of 8 slots.
type mixedLoad struct {
	state dispatch.State
	count uint64
}

func (m *mixedLoad) ask(now time.Time, path string, class message.Class) []message.Grant {
	m.count++
	r := request("b", m.count, "")
	r.Path, r.Class = path, class
	var effects []dispatch.Effect
	m.state, effects = run(m.state, dispatch.GrantRequest{Now: now, From: "b", Request: r})
	return grants(effects)
}

func (m *mixedLoad) release(now time.Time, g message.Grant, d time.Duration) []message.Grant {
	var effects []dispatch.Effect
	m.state, effects = run(m.state, dispatch.Release{Now: now, From: "b", Release: message.Release{ID: g.ID, Executor: "e1", RunTime: d}})
	return grants(effects)
}

// newMixedLoad returns a mixedLoad whose owner has learned the run times of short and long kinds.
func newMixedLoad(o dispatch.Options) *mixedLoad {
	m := &mixedLoad{state: ownerWith(o, 8, "e1")}
	for range 30 {
		for path, d := range map[string]time.Duration{"/short": time.Millisecond, "/brief": time.Millisecond, "/long": time.Second} {
			m.release(origin, m.ask(origin, path, message.Normal)[0], d)
		}
	}
	return m
}

// Guards against long requests that take all slots from short and urgent ones.
func TestLongWorkIsCapped(t *testing.T) {
	c := qt.New(t)
	o := dispatch.Defaults()
	o.PeakHalfLife = 0
	m := newMixedLoad(o)
	granted := 0
	for range 10 {
		granted += len(m.ask(origin, "/long", message.Normal))
	}
	c.Assert(granted, qt.Equals, 5)
	for range 5 {
		granted += len(m.ask(origin, "/short", message.Normal))
	}
	c.Assert(granted, qt.Equals, 7)
	c.Assert(m.ask(origin, "/short", message.Urgent), qt.HasLen, 1, qt.Commentf("the last slot is for urgent work"))
}

// Guards against slots that stay idle because of the cap on long requests, though no short request has used them
// recently. No message arrives when the peak of short requests has decayed, so NextWake must ask for a Tick.
func TestCapFollowsShortWork(t *testing.T) {
	c := qt.New(t)
	m := newMixedLoad(dispatch.Defaults())
	var shorts []message.Grant
	for range 7 {
		shorts = append(shorts, m.ask(origin, "/short", message.Normal)...)
	}
	c.Assert(shorts, qt.HasLen, 7)
	granted := 0
	for range 10 {
		granted += len(m.ask(origin, "/long", message.Normal))
	}
	for _, g := range shorts {
		granted += len(m.release(origin, g, time.Millisecond))
	}
	c.Assert(granted, qt.Equals, 5)
	for range 2 {
		wake := m.state.NextWake()
		c.Assert(wake.Before(at(5*time.Second)), qt.IsTrue)
		var effects []dispatch.Effect
		m.state, effects = run(m.state, dispatch.Tick{Now: wake})
		granted += len(grants(effects))
	}
	c.Assert(granted, qt.Equals, 7)
	c.Assert(m.ask(at(5*time.Second), "/short", message.Urgent), qt.HasLen, 1)
}
