package lease_test

import (
	"testing"
	"time"

	"teaselloft/internal/decision/lease"

	qt "github.com/frankban/quicktest"
)

var sent = time.Unix(1000, 0)

const ttl = 2 * time.Second

// Messages that most tests begin with.
var (
	begin      = lease.Begin{Incarnation: "a"}
	granted    = lease.Granted{ID: 7, Sent: sent, TTL: ttl}
	registered = lease.Registered{ID: 7}
	gone       = lease.Gone{ID: 7, Incarnation: "b"}
)

func renewed(id int64, seconds int) lease.Renewed {
	return lease.Renewed{ID: id, Sent: sent.Add(time.Duration(seconds) * time.Second), TTL: ttl}
}

// play applies messages and returns the effects of the last one.
func play(messages ...lease.Message) (lease.State, []lease.Effect) {
	var s lease.State
	var effects []lease.Effect
	for _, m := range messages {
		s, effects = lease.Step(s, m)
	}
	return s, effects
}

// check compares the effects of the last message.
func check(c *qt.C, messages []lease.Message, want ...lease.Effect) {
	c.Helper()
	_, effects := play(messages...)
	c.Check(effects, qt.DeepEquals, want)
}

// Guards against a proof of being alive before others can see the member key, or for another incarnation.
func TestProofFollowsRegistration(t *testing.T) {
	c := qt.New(t)
	proof := lease.Publish{Incarnation: "a", Sent: sent.Add(time.Second), TTL: ttl}
	check(c, []lease.Message{begin, granted, lease.Due{}, renewed(7, 1)})
	check(c, []lease.Message{begin, granted, registered, lease.Due{}, renewed(7, 1)}, proof)
	again := []lease.Message{begin, granted, registered, gone, lease.Granted{ID: 8, Sent: sent, TTL: ttl}, registered, lease.Due{}}
	check(c, append(again, renewed(8, 1)))
	check(c, append(again, lease.Registered{ID: 8}, renewed(7, 1)))
}

// Guards against an answer that arrives late and takes back a later proof.
func TestProofsNeverGoBack(t *testing.T) {
	c := qt.New(t)
	check(c, []lease.Message{begin, granted, registered, lease.Due{}, lease.Due{}, renewed(7, 2), renewed(7, 1)})
}

// Guards against a process that goes on under its old incarnation after others may have taken over.
func TestLostLeaseChangesIncarnation(t *testing.T) {
	c := qt.New(t)
	s, effects := play(begin, granted, gone)
	c.Assert(effects, qt.DeepEquals, []lease.Effect{lease.Grant{}})
	c.Assert(s.Incarnation(), qt.Equals, "b")
	check(c, []lease.Message{begin, granted, gone, lease.Granted{ID: 8}}, lease.Register{ID: 8, Incarnation: "b"}, lease.Wait{})
	check(c, []lease.Message{begin, granted, gone, lease.Granted{ID: 8}, gone})
}

// Guards against an unanswered keep-alive that gives the lease up, is repeated without a pause or piles up.
func TestUnansweredKeepAlives(t *testing.T) {
	c := qt.New(t)
	check(c, []lease.Message{begin, granted, lease.Due{}, lease.Failed{ID: 7}}, lease.Pause{})
	check(c, []lease.Message{begin, lease.Failed{}}, lease.Pause{})
	check(c, []lease.Message{begin, lease.Failed{}, lease.Due{}}, lease.Grant{})
	flying := []lease.Message{begin, granted, lease.Due{}, lease.Due{}, lease.Due{}, lease.Due{}}
	check(c, flying, lease.Renew{ID: 7}, lease.Wait{})
	check(c, append(flying, lease.Due{}), lease.Wait{})
	check(c, append(flying, lease.Failed{ID: 7}, lease.Due{}), lease.Renew{ID: 7}, lease.Wait{})
}

// Guards against a message that Step does not know.
func TestEveryMessage(t *testing.T) {
	c := qt.New(t)
	for _, m := range []lease.Message{
		begin, lease.Due{}, granted, renewed(7, 1), registered, gone, lease.Failed{}, lease.Stop{}, lease.Revoked{},
	} {
		c.Check(func() { play(m) }, qt.Not(qt.PanicMatches), ".*", qt.Commentf("%T", m))
	}
	c.Assert(func() { play(nil) }, qt.PanicMatches, "lease: unknown message .*")
}

// Guards against a stop that leaves a lease behind or waits for one that does not exist.
func TestStop(t *testing.T) {
	c := qt.New(t)
	check(c, []lease.Message{lease.Stop{}}, lease.Finish{})
	check(c, []lease.Message{begin, granted, lease.Stop{}}, lease.Revoke{ID: 7})
	check(c, []lease.Message{begin, granted, lease.Stop{}, gone, lease.Revoked{}}, lease.Finish{})
	check(c, []lease.Message{begin, lease.Stop{}})
	check(c, []lease.Message{begin, lease.Stop{}, granted}, lease.Revoke{ID: 7})
	check(c, []lease.Message{begin, lease.Stop{}, lease.Failed{}}, lease.Finish{})
	check(c, []lease.Message{begin, granted, lease.Stop{}, lease.Due{}})
}
