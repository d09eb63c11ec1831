package entry_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"teaselloft/internal/model/message"
)

// Guards against decisions that need an encoding: a whole request passes between entry instances as values.
func TestRequestWithoutEncoding(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 2)
	w.flow(100)
	for i := range 12 {
		w.arrive(w.nodes[i%3], "")
		w.arrive(w.nodes[i%3], fmt.Sprintf("key-%d", i))
	}
	w.flow(200)
	c.Assert(w.fault, qt.Equals, "")
	c.Assert(w.pending, qt.HasLen, 0)
	c.Assert(len(w.executed), qt.Equals, 12)
	c.Assert(w.refused, qt.HasLen, 0)
}

// Guards against a killed owner whose service is not taken over, or whose waiting requests are lost.
func TestOwnerKilled(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 2)
	w.flow(100)
	owner, ok := w.nodes[0].state.Ownership().Owner(service)
	c.Assert(ok, qt.IsTrue)
	for i, n := range w.nodes {
		if n.name == owner.Entry {
			n.dead = true
			continue
		}
		w.arrive(n, "")
		w.arrive(n, fmt.Sprintf("key-%d", i))
	}
	w.flow(100)
	c.Assert(w.fault, qt.Equals, "")
	c.Assert(w.refused, qt.HasLen, 0)
	c.Assert(w.pending, qt.HasLen, 0)
}

// Guards against an outage of the platform that stops idempotent requests, or lets others run without a claim.
func TestPlatformOutage(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 3)
	w.flow(100)
	w.down = true
	w.flow(150)
	before := w.answered
	for range 5 {
		for i, n := range w.nodes {
			w.arrive(n, "")
			w.arrive(n, fmt.Sprintf("key-%d-%d", i, w.sequence))
		}
		w.flow(40)
	}
	c.Assert(w.fault, qt.Equals, "")
	c.Assert(w.executed, qt.HasLen, 0)
	c.Assert(w.answered-before >= 13, qt.IsTrue, qt.Commentf("%d answered", w.answered-before))
	w.down = false
	w.flow(400)
	w.arrive(w.nodes[0], "after")
	w.flow(100)
	c.Assert(w.executed["after"], qt.Equals, 1)
	c.Assert(w.fault, qt.Equals, "")
}

// Guards against a non-idempotent request that runs twice, an oversubscribed slot and a false "not run"
// under pauses, kills, cuts, outages, lost responses and repeated keys.
func TestHistories(t *testing.T) {
	histories, keys, answered := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, 2)
		w.flow(100)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.act(t)
			if w.fault != "" {
				t.Fatal(w.fault + "\n" + strings.Join(w.trace, "\n"))
			}
		}
		w.heal()
		w.flow(800)
		if w.fault != "" {
			t.Fatal(w.fault + "\n" + strings.Join(w.trace, "\n"))
		}
		if len(w.pending) > 0 {
			t.Fatalf("%d requests were never answered: %v", len(w.pending), w.pending)
		}
		histories++
		keys += len(w.executed)
		answered += w.answered
	})
	t.Logf("%d histories, %d non-idempotent requests run, %d answered", histories, keys, answered)
}

// act draws one step of the world or one fault.
func (w *world) act(t *rapid.T) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	action := rapid.IntRange(0, 15).Draw(t, "action")
	if action < 5 {
		w.note("fault %d at %s", action, n.name)
	}
	switch action {
	case 0:
		n.paused = !n.paused && !n.dead
	case 1:
		w.down = !w.down
	case 2:
		other := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "other")]
		pair := [2]string{n.name, other.name}
		w.cut[pair] = !w.cut[pair] && n != other
	case 3:
		if w.alive() > 2 {
			w.kill(n)
		}
	case 4:
		if !n.paused && !n.dead && len(n.calls) > 0 {
			w.call(n, true)
		}
	case 5, 6, 7, 8:
		if !n.dead {
			w.arrive(n, rapid.SampledFrom([]string{"", "", "a", "b", "c", "d"}).Draw(t, "key"))
		}
	case 9, 10:
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			if !n.paused && !n.dead && len(n.inbox) > 0 {
				w.deliver(n)
			}
		}
	default:
		w.flow(rapid.IntRange(1, 25).Draw(t, "ticks"))
	}
}

func (w *world) alive() int {
	count := 0
	for _, n := range w.nodes {
		if !n.dead {
			count++
		}
	}
	return count
}

// kill ends a node; its callers see a closed connection and its runs go on unobserved.
func (w *world) kill(n *node) {
	n.dead = true
	n.inbox, n.calls = nil, nil
	for id := range w.pending {
		if id.Entry == n.name {
			delete(w.pending, id)
		}
	}
	for _, other := range w.nodes {
		if !other.dead {
			w.feed(other, message.LinkChanged{Entry: n.name})
		}
	}
}

func (w *world) heal() {
	w.down = false
	clear(w.cut)
	for _, n := range w.nodes {
		n.paused = false
	}
}
