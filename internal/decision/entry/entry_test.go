package entry_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"teaselloft/internal/model/message"
)

// Guards against decisions that depend on an encoding: whole requests pass between entry instances as values.
func TestRequestWithoutEncoding(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(3, 2)
	s.advance(100)
	for i := range 12 {
		s.submit(s.nodes[i%3], "")
		s.submit(s.nodes[i%3], fmt.Sprintf("key-%d", i))
	}
	s.advance(200)
	c.Assert(s.violation, qt.Equals, "")
	c.Assert(s.pending, qt.HasLen, 0)
	c.Assert(len(s.executed), qt.Equals, 12)
	c.Assert(s.refused, qt.HasLen, 0)
}

// Guards against a service that is not taken over after its owner was killed, and against waiting requests that are lost.
func TestOwnerKilled(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(3, 2)
	s.advance(100)
	owner, ok := s.nodes[0].state.Ownership().Owner(service)
	c.Assert(ok, qt.IsTrue)
	for i, n := range s.nodes {
		if n.name == owner.Entry {
			n.dead = true
			continue
		}
		s.submit(n, "")
		s.submit(n, fmt.Sprintf("key-%d", i))
	}
	s.advance(100)
	c.Assert(s.violation, qt.Equals, "")
	c.Assert(s.refused, qt.HasLen, 0)
	c.Assert(s.pending, qt.HasLen, 0)
}

// Guards against an outage of the platform that stops idempotent requests, and against non-idempotent requests that run
// without a claim.
func TestPlatformOutage(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(3, 3)
	s.advance(100)
	s.storeDown = true
	s.advance(150)
	before := s.answered
	for range 5 {
		for i, n := range s.nodes {
			s.submit(n, "")
			s.submit(n, fmt.Sprintf("key-%d-%d", i, s.sequence))
		}
		s.advance(40)
	}
	c.Assert(s.violation, qt.Equals, "")
	c.Assert(s.executed, qt.HasLen, 0)
	c.Assert(s.answered-before >= 13, qt.IsTrue, qt.Commentf("%d of 15 idempotent requests answered", s.answered-before))
	s.storeDown = false
	s.advance(400)
	s.submit(s.nodes[0], "after")
	s.advance(100)
	c.Assert(s.executed["after"], qt.Equals, 1)
	c.Assert(s.violation, qt.Equals, "")
}

// Guards against a non-idempotent request that runs twice, oversubscribed slots and a request refused as not run that
// ran, under pauses, kills, broken links, store outages, lost responses and repeated keys.
func TestHistories(t *testing.T) {
	histories, keys, answered := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(3, 2)
		s.advance(100)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			s.drawAction(t)
			if s.violation != "" {
				t.Fatal(s.violation + "\n" + strings.Join(s.trace, "\n"))
			}
		}
		s.clearFaults()
		s.advance(800)
		if s.violation != "" {
			t.Fatal(s.violation + "\n" + strings.Join(s.trace, "\n"))
		}
		if len(s.pending) > 0 {
			t.Fatalf("%d requests were never answered: %v", len(s.pending), s.pending)
		}
		histories++
		keys += len(s.executed)
		answered += s.answered
	})
	t.Logf("%d histories, %d non-idempotent requests run, %d answered", histories, keys, answered)
}

// drawAction draws and executes one action: a fault, a new request, deliveries or the passing of time.
func (s *simulation) drawAction(t *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	action := rapid.IntRange(0, 15).Draw(t, "action")
	if action < 5 {
		s.note("fault %d at %s", action, n.name)
	}
	switch action {
	case 0:
		n.paused = !n.paused && !n.dead
	case 1:
		s.storeDown = !s.storeDown
	case 2:
		other := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "other")]
		pair := [2]string{n.name, other.name}
		s.brokenLinks[pair] = !s.brokenLinks[pair] && n != other
	case 3:
		if s.liveNodes() > 2 {
			s.kill(n)
		}
	case 4:
		if !n.paused && !n.dead && len(n.calls) > 0 {
			s.executeCall(n, true)
		}
	case 5, 6, 7, 8:
		if !n.dead {
			s.submit(n, rapid.SampledFrom([]string{"", "", "a", "b", "c", "d"}).Draw(t, "key"))
		}
	case 9, 10:
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			if !n.paused && !n.dead && len(n.inbox) > 0 {
				s.deliver(n)
			}
		}
	default:
		s.advance(rapid.IntRange(1, 25).Draw(t, "ticks"))
	}
}

func (s *simulation) liveNodes() int {
	count := 0
	for _, n := range s.nodes {
		if !n.dead {
			count++
		}
	}
	return count
}

// kill ends a node. Its callers see a closed connection, and its runs continue unobserved.
func (s *simulation) kill(n *node) {
	n.dead = true
	n.inbox, n.calls = nil, nil
	for id := range s.pending {
		if id.Entry == n.name {
			delete(s.pending, id)
		}
	}
	for _, other := range s.nodes {
		if !other.dead {
			s.enqueue(other, message.LinkChanged{Entry: n.name})
		}
	}
}

// clearFaults ends the outage, the broken links and the pauses.
func (s *simulation) clearFaults() {
	s.storeDown = false
	clear(s.brokenLinks)
	for _, n := range s.nodes {
		n.paused = false
	}
}
