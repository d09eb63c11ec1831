package dispatch_test

import (
	"testing"
	"time"

	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	qt "github.com/frankban/quicktest"
)

var origin = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time {
	return origin.Add(d)
}

func candidates(ids ...string) []dispatch.Candidate {
	var list []dispatch.Candidate
	for _, id := range ids {
		list = append(list, dispatch.Candidate{Executor: message.Executor{ID: id, Zone: "z-" + id}, Available: true})
	}
	return list
}

func request(entry string, n uint64, key string) message.Request {
	return message.Request{
		ID:         message.ID{Entry: entry, Incarnation: "1", Sequence: n},
		Service:    "s",
		Method:     "POST",
		Path:       "/x",
		Caller:     "caller",
		Key:        key,
		Idempotent: key == "",
		Class:      message.Normal,
		Deadline:   at(10 * time.Second),
	}
}

// run applies messages and returns the state and the effects of the last message.
func run(s dispatch.State, messages ...dispatch.Message) (dispatch.State, []dispatch.Effect) {
	var effects []dispatch.Effect
	for _, m := range messages {
		s, effects = dispatch.Step(s, m)
	}
	return s, effects
}

// owner returns the state of the active owner "a" of epoch 1, with member "b".
func owner(slots int, executors ...string) dispatch.State {
	return ownerWith(dispatch.Defaults(), slots, executors...)
}

func ownerWith(o dispatch.Options, slots int, executors ...string) dispatch.State {
	s, _ := run(dispatch.New("s", o),
		dispatch.Configure{Now: origin, Service: fleet.Service{Slots: slots}, Executors: candidates(executors...)},
		dispatch.ExtendOwnership{Now: origin, Until: at(time.Hour)},
		dispatch.Start{Now: origin, Epoch: 1, Self: "a", Members: []string{"b"}, PreviousMembers: []string{"a", "b"}},
		dispatch.WriteResult{Now: origin, Epoch: 1, Sequence: 1, Revision: 1},
		dispatch.HeldGrants{Now: origin, From: "a"},
		dispatch.HeldGrants{Now: origin, From: "b"},
	)
	return s
}

func grants(effects []dispatch.Effect) []message.Grant {
	var found []message.Grant
	for _, e := range effects {
		if r, ok := e.(dispatch.SendFrame); ok {
			if g, ok := r.Frame.(message.Grant); ok {
				found = append(found, g)
			}
		}
	}
	return found
}

func denials(effects []dispatch.Effect) []message.Deny {
	var found []message.Deny
	for _, e := range effects {
		if r, ok := e.(dispatch.SendFrame); ok {
			if d, ok := r.Frame.(message.Deny); ok {
				found = append(found, d)
			}
		}
	}
	return found
}

func write(effects []dispatch.Effect) (dispatch.Write, bool) {
	for _, e := range effects {
		if w, ok := e.(dispatch.Write); ok && !w.Delete {
			return w, true
		}
	}
	return dispatch.Write{}, false
}

// Guards against a grant before the claim of a non-idempotent request is in the store.
func TestGrantWaitsForClaim(t *testing.T) {
	c := qt.New(t)
	s, effects := run(owner(2, "e1"), dispatch.GrantRequest{Now: at(1), From: "b", Request: request("b", 1, "key")})
	c.Assert(grants(effects), qt.HasLen, 0)
	w, ok := write(effects)
	c.Assert(ok, qt.IsTrue)
	c.Assert(w.Record.(record.Claim).Entries, qt.HasLen, 1)
	s, effects = run(s, dispatch.GrantRequest{Now: at(2), From: "b", Request: request("b", 2, "other")})
	c.Assert(effects, qt.HasLen, 0, qt.Commentf("a second write must wait for the first"))
	_, effects = run(s, dispatch.WriteResult{Now: at(3), Epoch: 1, Sequence: w.Sequence, Revision: 2})
	c.Assert(grants(effects), qt.HasLen, 1)
	_, ok = write(effects)
	c.Assert(ok, qt.IsTrue)
}

// Guards against an owner that grants before every member has reported its grants.
func TestGrantWaitsForMembers(t *testing.T) {
	c := qt.New(t)
	options := dispatch.Defaults()
	options.GracePeriod = time.Second
	s, effects := run(dispatch.New("s", options),
		dispatch.Configure{Now: origin, Service: fleet.Service{Slots: 1}, Executors: candidates("e1")},
		dispatch.ExtendOwnership{Now: origin, Until: at(time.Hour)},
		dispatch.Start{Now: origin, Epoch: 2, Self: "a", Members: []string{"b"}},
	)
	c.Assert(effects, qt.HasLen, 3)
	s, effects = run(s,
		dispatch.WriteResult{Now: origin, Epoch: 2, Sequence: 1, Revision: 1},
		dispatch.HeldGrants{Now: origin, From: "a"},
		dispatch.GrantRequest{Now: at(1), From: "a", Request: request("a", 1, "")},
	)
	c.Assert(effects, qt.HasLen, 0)
	c.Assert(s.View().Blocked, qt.Equals, "no answer from b")
	held := message.HeldGrant{ID: message.ID{Entry: "b"}, Executor: "e1", Left: time.Second}
	s, effects = run(s, dispatch.HeldGrants{Now: at(2), From: "b", Grants: []message.HeldGrant{held}})
	c.Assert(effects, qt.HasLen, 0, qt.Commentf("the held grant fills the only slot"))
	c.Assert(s.NextWake(), qt.Equals, at(2).Add(time.Second+options.GracePeriod))
	_, effects = run(s, dispatch.Tick{Now: s.NextWake()})
	c.Assert(grants(effects), qt.HasLen, 1)
}

// Guards against a second run of a key while the first request with it is claimed, running or finished.
func TestClaimedKeyIsDuplicate(t *testing.T) {
	c := qt.New(t)
	s, effects := run(owner(2, "e1"), dispatch.GrantRequest{Now: at(1), From: "b", Request: request("b", 1, "key")})
	w, _ := write(effects)
	again := dispatch.GrantRequest{Now: at(2), From: "a", Request: request("a", 1, "key")}
	assertDuplicate := func(effects []dispatch.Effect) {
		c.Helper()
		c.Assert(denials(effects), qt.HasLen, 1)
		c.Assert(denials(effects)[0].Refusal.Reason, qt.Equals, message.ReasonDuplicate)
		c.Assert(denials(effects)[0].Holder, qt.Equals, "b")
	}
	s, effects = run(s, again)
	assertDuplicate(effects)
	s, effects = run(s, dispatch.WriteResult{Now: at(3), Epoch: 1, Sequence: w.Sequence, Revision: 2})
	g := grants(effects)[0]
	s, effects = run(s, again)
	assertDuplicate(effects)
	r := message.Release{ID: g.ID, Epoch: 1, Executor: g.Executor.ID, Outcome: message.Answered}
	_, effects = run(s, dispatch.Release{Now: at(4), From: "b", Release: r}, again)
	assertDuplicate(effects)
}
