package lease_test

import (
	"testing"
	"time"

	"teaselloft/internal/decision/lease"

	qt "github.com/frankban/quicktest"
)

var sent = time.Unix(1000, 0)

const ttl = 2 * time.Second

// Messages shared by most tests.
var (
	begin      = lease.Begin{Incarnation: "a"}
	granted    = lease.Granted{ID: 7, Sent: sent, TTL: ttl}
	registered = lease.Registered{ID: 7}
	gone       = lease.Gone{ID: 7, Incarnation: "b"}
)

func renewed(id int64, seconds int) lease.Renewed {
	return lease.Renewed{ID: id, Sent: sent.Add(time.Duration(seconds) * time.Second), TTL: ttl}
}

// run applies messages to the zero state and returns the state and the effects of the last message.
func run(messages ...lease.Message) (lease.State, []lease.Effect) {
	var s lease.State
	var effects []lease.Effect
	for _, m := range messages {
		s, effects = lease.Step(s, m)
	}
	return s, effects
}

// checkEffects compares the effects of the last message with want.
func checkEffects(c *qt.C, messages []lease.Message, want ...lease.Effect) {
	c.Helper()
	_, effects := run(messages...)
	c.Check(effects, qt.DeepEquals, want)
}

// Guards against a proof of liveness that is published before the member key is registered, or for the lease of an
// earlier incarnation.
func TestProofFollowsRegistration(t *testing.T) {
	c := qt.New(t)
	proof := lease.Publish{Incarnation: "a", Sent: sent.Add(time.Second), TTL: ttl}
	checkEffects(c, []lease.Message{begin, granted, lease.Due{}, renewed(7, 1)})
	checkEffects(c, []lease.Message{begin, granted, registered, lease.Due{}, renewed(7, 1)}, proof)
	again := []lease.Message{begin, granted, registered, gone, lease.Granted{ID: 8, Sent: sent, TTL: ttl}, registered, lease.Due{}}
	checkEffects(c, append(again, renewed(8, 1)))
	checkEffects(c, append(again, lease.Registered{ID: 8}, renewed(7, 1)))
}

// Guards against a late answer to an early keep-alive that replaces a newer proof with an older one.
func TestProofsNeverGoBack(t *testing.T) {
	c := qt.New(t)
	checkEffects(c, []lease.Message{begin, granted, registered, lease.Due{}, lease.Due{}, renewed(7, 2), renewed(7, 1)})
}

// Guards against a process that keeps its incarnation after its lease was lost and others may have taken over.
func TestLostLeaseChangesIncarnation(t *testing.T) {
	c := qt.New(t)
	s, effects := run(begin, granted, gone)
	c.Assert(effects, qt.DeepEquals, []lease.Effect{lease.Grant{}})
	c.Assert(s.Incarnation(), qt.Equals, "b")
	checkEffects(c, []lease.Message{begin, granted, gone, lease.Granted{ID: 8}}, lease.Register{ID: 8, Incarnation: "b"}, lease.Wait{})
	checkEffects(c, []lease.Message{begin, granted, gone, lease.Granted{ID: 8}, gone})
}

// Guards against unanswered keep-alives that drop the lease, are retried without backoff or accumulate without bound.
func TestUnansweredKeepAlives(t *testing.T) {
	c := qt.New(t)
	checkEffects(c, []lease.Message{begin, granted, lease.Due{}, lease.Failed{ID: 7}}, lease.Pause{})
	checkEffects(c, []lease.Message{begin, lease.Failed{}}, lease.Pause{})
	checkEffects(c, []lease.Message{begin, lease.Failed{}, lease.Due{}}, lease.Grant{})
	unanswered := []lease.Message{begin, granted, lease.Due{}, lease.Due{}, lease.Due{}, lease.Due{}}
	checkEffects(c, unanswered, lease.Renew{ID: 7}, lease.Wait{})
	checkEffects(c, append(unanswered, lease.Due{}), lease.Wait{})
	checkEffects(c, append(unanswered, lease.Failed{ID: 7}, lease.Due{}), lease.Renew{ID: 7}, lease.Wait{})
}

// Guards against a message type without a case in Step.
func TestStepHandlesEveryMessage(t *testing.T) {
	c := qt.New(t)
	for _, m := range []lease.Message{
		begin, lease.Due{}, granted, renewed(7, 1), registered, gone, lease.Failed{}, lease.Stop{}, lease.Revoked{},
	} {
		c.Check(func() { run(m) }, qt.Not(qt.PanicMatches), ".*", qt.Commentf("%T", m))
	}
	c.Assert(func() { run(nil) }, qt.PanicMatches, "lease: unknown message .*")
}

// Guards against a stop that leaves a lease behind or waits for one that does not exist.
func TestStop(t *testing.T) {
	c := qt.New(t)
	checkEffects(c, []lease.Message{lease.Stop{}}, lease.Finish{})
	checkEffects(c, []lease.Message{begin, granted, lease.Stop{}}, lease.Revoke{ID: 7})
	checkEffects(c, []lease.Message{begin, granted, lease.Stop{}, gone, lease.Revoked{}}, lease.Finish{})
	checkEffects(c, []lease.Message{begin, lease.Stop{}})
	checkEffects(c, []lease.Message{begin, lease.Stop{}, granted}, lease.Revoke{ID: 7})
	checkEffects(c, []lease.Message{begin, lease.Stop{}, lease.Failed{}}, lease.Finish{})
	checkEffects(c, []lease.Message{begin, granted, lease.Stop{}, lease.Due{}})
}
