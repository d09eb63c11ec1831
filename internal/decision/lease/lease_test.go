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
	start      = lease.Start{Incarnation: "a"}
	granted    = lease.Granted{ID: 7, Sent: sent, TTL: ttl}
	registered = lease.Registered{ID: 7}
	lost       = lease.Lost{ID: 7, Incarnation: "b"}
)

// renewed returns the answer to a keep-alive that was sent some seconds after the grant request.
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

// check compares the effects of the last message with want.
func check(c *qt.C, messages []lease.Message, want ...lease.Effect) {
	c.Helper()
	_, effects := run(messages...)
	c.Check(effects, qt.DeepEquals, want)
}

// Guards against lease validity that is published before the member key is registered, or for the lease of an
// earlier incarnation.
func TestValidityFollowsRegistration(t *testing.T) {
	c := qt.New(t)
	validity := lease.PublishValidity{Incarnation: "a", Sent: sent.Add(time.Second), TTL: ttl}
	check(c, []lease.Message{start, granted, lease.TimerFired{}, renewed(7, 1)})
	check(c, []lease.Message{start, granted, registered, lease.TimerFired{}, renewed(7, 1)}, validity)
	// Lease 7 is lost and lease 8 granted, so registered and renewed(7, 1) are late answers for the earlier lease.
	secondLease := []lease.Message{start, granted, registered, lost, lease.Granted{ID: 8, Sent: sent, TTL: ttl}, registered, lease.TimerFired{}}
	check(c, append(secondLease, renewed(8, 1)))
	check(c, append(secondLease, lease.Registered{ID: 8}, renewed(7, 1)))
}

// Guards against a late answer to an early keep-alive that shortens the published lease validity.
func TestValidityNeverDecreases(t *testing.T) {
	c := qt.New(t)
	check(c, []lease.Message{start, granted, registered, lease.TimerFired{}, lease.TimerFired{}, renewed(7, 2), renewed(7, 1)})
}

// Guards against a process that keeps its incarnation after its lease was lost and others may have taken over.
func TestLostLeaseChangesIncarnation(t *testing.T) {
	c := qt.New(t)
	s, effects := run(start, granted, lost)
	c.Assert(effects, qt.DeepEquals, []lease.Effect{lease.Grant{}})
	c.Assert(s.Incarnation(), qt.Equals, "b")
	check(c, []lease.Message{start, granted, lost, lease.Granted{ID: 8}}, lease.Register{ID: 8, Incarnation: "b"}, lease.ScheduleRenewal{})
	check(c, []lease.Message{start, granted, lost, lease.Granted{ID: 8}, lost})
}

// Guards against unanswered keep-alives that drop the lease, are retried without backoff or accumulate without bound.
func TestUnansweredKeepAlives(t *testing.T) {
	c := qt.New(t)
	check(c, []lease.Message{start, granted, lease.TimerFired{}, lease.RequestFailed{ID: 7}}, lease.Backoff{})
	check(c, []lease.Message{start, lease.RequestFailed{}}, lease.Backoff{})
	check(c, []lease.Message{start, lease.RequestFailed{}, lease.TimerFired{}}, lease.Grant{})
	unanswered := []lease.Message{start, granted, lease.TimerFired{}, lease.TimerFired{}, lease.TimerFired{}, lease.TimerFired{}}
	check(c, unanswered, lease.Renew{ID: 7}, lease.ScheduleRenewal{})
	check(c, append(unanswered, lease.TimerFired{}), lease.ScheduleRenewal{})
	check(c, append(unanswered, lease.RequestFailed{ID: 7}, lease.TimerFired{}), lease.Renew{ID: 7}, lease.ScheduleRenewal{})
}

// Guards against a message type without a case in Step.
func TestStepHandlesEveryMessage(t *testing.T) {
	c := qt.New(t)
	for _, m := range []lease.Message{
		start, lease.TimerFired{}, granted, renewed(7, 1), registered, lost, lease.RequestFailed{}, lease.Stop{}, lease.Revoked{},
	} {
		c.Check(func() { run(m) }, qt.Not(qt.PanicMatches), ".*", qt.Commentf("%T", m))
	}
	c.Assert(func() { run(nil) }, qt.PanicMatches, "lease: unknown message .*")
}

// Guards against a stop that leaves a lease behind or waits for one that does not exist.
func TestStop(t *testing.T) {
	c := qt.New(t)
	check(c, []lease.Message{lease.Stop{}}, lease.Done{})
	check(c, []lease.Message{start, granted, lease.Stop{}}, lease.Revoke{ID: 7})
	check(c, []lease.Message{start, granted, lease.Stop{}, lost, lease.Revoked{}}, lease.Done{})
	check(c, []lease.Message{start, lease.Stop{}})
	check(c, []lease.Message{start, lease.Stop{}, granted}, lease.Revoke{ID: 7})
	check(c, []lease.Message{start, lease.Stop{}, lease.RequestFailed{}}, lease.Done{})
	check(c, []lease.Message{start, granted, lease.Stop{}, lease.TimerFired{}})
}
