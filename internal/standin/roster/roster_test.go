package roster_test

import (
	"testing"
	"time"

	"teaselloft/internal/model/message"
	"teaselloft/internal/standin/roster"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// look returns the states by instance at a time, and the version.
func look(s *roster.State, now time.Time) (map[string]string, uint64) {
	next, effects := roster.Step(*s, roster.Look{Now: now})
	*s = next
	v := effects[0].(roster.View)
	states := map[string]string{}
	for _, l := range v.Instances {
		states[l.ID] = l.State
	}
	return states, v.Version
}

func beat(s *roster.State, now time.Time, state string) {
	*s, _ = roster.Step(*s, roster.Heartbeat{
		Now: now, TTL: 2 * time.Second, Instances: []message.Listing{{ID: "a", State: state}},
	})
}

// Guards against a list that does not lag, skips a state or never forgets an instance without heartbeats.
func TestListLags(t *testing.T) {
	c := qt.New(t)
	s := roster.New(time.Second)
	beat(&s, at(0), "live")
	beat(&s, at(500), "leaving")
	for _, want := range []struct {
		at    int
		state string
	}{{999, ""}, {1000, "live"}, {1499, "live"}, {1500, "leaving"}, {3499, "leaving"}, {3500, ""}} {
		states, _ := look(&s, at(want.at))
		c.Check(states["a"], qt.Equals, want.state, qt.Commentf("at %d ms", want.at))
	}
}

// Guards against a version that changes with every heartbeat, which would defeat conditional reads.
func TestVersionFollowsChanges(t *testing.T) {
	c := qt.New(t)
	s := roster.New(0)
	beat(&s, at(0), "live")
	_, first := look(&s, at(1))
	beat(&s, at(500), "live")
	_, second := look(&s, at(501))
	c.Assert(second, qt.Equals, first)
	beat(&s, at(600), "leaving")
	_, third := look(&s, at(601))
	c.Assert(third, qt.Not(qt.Equals), first)
}
