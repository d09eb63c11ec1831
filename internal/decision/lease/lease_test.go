package lease_test

import (
	"testing"
	"time"

	"teaselloft/internal/decision/lease"

	qt "github.com/frankban/quicktest"
)

var sent = time.Unix(1000, 0)

const ttl = 2 * time.Second

// play applies messages and returns the effects of the last one.
func play(messages ...lease.Message) (lease.State, []lease.Effect) {
	var s lease.State
	var effects []lease.Effect
	for _, m := range messages {
		s, effects = lease.Step(s, m)
	}
	return s, effects
}

// Guards against a proof of being alive before others can see the member key, or for another incarnation.
func TestProofFollowsRegistration(t *testing.T) {
	c := qt.New(t)
	begin := lease.Begin{Incarnation: "a"}
	granted := lease.Granted{ID: 7, Sent: sent, TTL: ttl}
	renewed := lease.Renewed{Sent: sent, TTL: ttl}
	_, effects := play(begin, granted, renewed)
	c.Assert(effects, qt.DeepEquals, []lease.Effect{lease.Renew{ID: 7}})
	_, effects = play(begin, granted, lease.Registered{ID: 7}, renewed)
	c.Assert(effects, qt.DeepEquals, []lease.Effect{
		lease.Publish{Incarnation: "a", Sent: sent, TTL: ttl}, lease.Renew{ID: 7},
	})
	again := lease.Granted{ID: 8, Sent: sent, TTL: ttl}
	_, effects = play(begin, granted, lease.Registered{ID: 7}, lease.Gone{Incarnation: "b"}, again, lease.Registered{ID: 7}, renewed)
	c.Assert(effects, qt.DeepEquals, []lease.Effect{lease.Renew{ID: 8}})
}

// Guards against a process that goes on under its old incarnation after others may have taken over.
func TestLostLeaseChangesIncarnation(t *testing.T) {
	c := qt.New(t)
	s, effects := play(lease.Begin{Incarnation: "a"}, lease.Granted{ID: 7}, lease.Gone{Incarnation: "b"})
	c.Assert(effects, qt.DeepEquals, []lease.Effect{lease.Grant{}})
	c.Assert(s.Incarnation(), qt.Equals, "b")
	_, effects = play(lease.Begin{Incarnation: "a"}, lease.Granted{ID: 7}, lease.Gone{Incarnation: "b"}, lease.Granted{ID: 8})
	c.Assert(effects, qt.DeepEquals, []lease.Effect{lease.Register{ID: 8, Incarnation: "b"}, lease.Renew{ID: 8}})
}

// Guards against an unanswered keep-alive that gives the lease up, or is repeated without a pause.
func TestFailureKeepsLease(t *testing.T) {
	c := qt.New(t)
	_, effects := play(lease.Begin{Incarnation: "a"}, lease.Granted{ID: 7}, lease.Failed{})
	c.Assert(effects, qt.DeepEquals, []lease.Effect{lease.Pause{}, lease.Renew{ID: 7}})
	_, effects = play(lease.Begin{Incarnation: "a"}, lease.Failed{})
	c.Assert(effects, qt.DeepEquals, []lease.Effect{lease.Pause{}, lease.Grant{}})
}

// Guards against a message that Step does not know.
func TestEveryMessage(t *testing.T) {
	c := qt.New(t)
	for _, m := range []lease.Message{
		lease.Begin{},
		lease.Granted{ID: 1},
		lease.Renewed{},
		lease.Registered{},
		lease.Gone{},
		lease.Failed{},
		lease.Stop{},
		lease.Revoked{},
	} {
		_, effects := play(m)
		_, silent := m.(lease.Registered)
		c.Check(len(effects) == 0, qt.Equals, silent, qt.Commentf("%T", m))
	}
	c.Assert(func() { play(nil) }, qt.PanicMatches, "lease: unknown message .*")
}

// Guards against a stop that leaves a lease behind or waits for one that does not exist.
func TestStop(t *testing.T) {
	c := qt.New(t)
	_, effects := play(lease.Begin{Incarnation: "a"}, lease.Stop{})
	c.Assert(effects, qt.DeepEquals, []lease.Effect{lease.Finish{}})
	_, effects = play(lease.Begin{Incarnation: "a"}, lease.Granted{ID: 7}, lease.Stop{})
	c.Assert(effects, qt.DeepEquals, []lease.Effect{lease.Revoke{ID: 7}})
	_, effects = play(lease.Begin{Incarnation: "a"}, lease.Stop{}, lease.Granted{ID: 7})
	c.Assert(effects, qt.DeepEquals, []lease.Effect{lease.Revoke{ID: 7}})
}
