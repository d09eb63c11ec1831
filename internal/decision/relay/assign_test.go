package relay_test

import (
	"fmt"
	"testing"

	"teaselloft/internal/decision/relay"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/site"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// input returns executors and members that are spread over three zones.
func input(executors, members int) relay.Input {
	in := relay.Input{
		Pool: "p", Self: "d0", Members: map[string]cluster.Member{}, Busy: map[string]bool{"d0": true}, Suspected: map[string]bool{}, Current: map[string]string{},
	}
	for i := range executors {
		in.Executors = append(in.Executors, site.Executor{ID: fmt.Sprintf("x%d", i), Zone: fmt.Sprintf("z%d", i%3)})
	}
	for i := range members {
		name := fmt.Sprintf("d%d", i)
		in.Members[name] = cluster.Member{Name: name, Zone: fmt.Sprintf("z%d", i%3), Address: "127.0.0.1:1"}
	}
	return in
}

func loads(assigned map[string]string) map[string]int {
	n := map[string]int{}
	for _, name := range assigned {
		n[name]++
	}
	return n
}

// Guards against relays for a pool that its owner can serve alone, where they only add a way to fail.
func TestSmallPoolHasNoRelays(t *testing.T) {
	c := qt.New(t)
	c.Assert(relay.Assign(input(relay.ExecutorsPerRelay, 30)), qt.HasLen, 0)
	c.Assert(relay.Assign(input(100, 1)), qt.HasLen, 0, qt.Commentf("there is no other member"))
}

// Guards against calls that cross zones without need, and against one relay that gets most executors.
func TestRelaysInZone(t *testing.T) {
	c := qt.New(t)
	in := input(96, 40)
	assigned := relay.Assign(in)
	c.Assert(assigned, qt.HasLen, 96)
	for _, e := range in.Executors {
		c.Check(in.Members[assigned[e.ID]].Zone, qt.Equals, e.Zone)
	}
	for name, n := range loads(assigned) {
		c.Check(n, qt.Equals, relay.ExecutorsPerRelay, qt.Commentf("relay %s", name))
	}
}

// Guards against new connections to executors whose relay is still good, when a relay fails or a member joins.
func TestAssignmentIsStable(t *testing.T) {
	c := qt.New(t)
	in := input(96, 40)
	in.Current = relay.Assign(in)
	c.Assert(relay.Assign(in), qt.DeepEquals, in.Current)

	lost := in.Current["x0"]
	in.Suspected[lost] = true
	after := relay.Assign(in)
	for id, name := range in.Current {
		if name != lost {
			c.Check(after[id], qt.Equals, name)
		} else {
			c.Check(after[id], qt.Not(qt.Equals), lost)
			c.Check(after[id], qt.Not(qt.Equals), "")
		}
	}
}

// Guards against relays that are overfilled, suspected, leaving or unknown, and against the owner as its own relay.
func TestAssignmentLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := input(rapid.IntRange(0, 300).Draw(t, "executors"), rapid.IntRange(0, 30).Draw(t, "members"))
		for name, m := range in.Members {
			in.Busy[name] = in.Busy[name] || rapid.IntRange(0, 9).Draw(t, "busy") == 0
			in.Suspected[name] = rapid.IntRange(0, 5).Draw(t, "suspected") == 0
			m.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
			in.Members[name] = m
		}
		for _, e := range in.Executors {
			in.Current[e.ID] = fmt.Sprintf("d%d", rapid.IntRange(0, 35).Draw(t, "current"))
		}
		assigned := relay.Assign(in)
		for name, n := range loads(assigned) {
			m, ok := in.Members[name]
			if !ok || m.Leaving || in.Suspected[name] || name == in.Self || n > 2*relay.ExecutorsPerRelay {
				t.Fatalf("relay %s (%+v) has %d executors", name, m, n)
			}
		}
	})
}
