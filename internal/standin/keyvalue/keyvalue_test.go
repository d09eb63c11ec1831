package keyvalue_test

import (
	"strings"
	"testing"
	"time"

	"teaselloft/internal/standin/keyvalue"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// step applies a message and returns its answer and the events that watches get.
func step(s *keyvalue.State, m keyvalue.Message) (keyvalue.Effect, []keyvalue.Event) {
	next, effects := keyvalue.Step(*s, m)
	*s = next
	var answer keyvalue.Effect
	var events []keyvalue.Event
	for _, e := range effects {
		if n, ok := e.(keyvalue.Notify); ok {
			events = append(events, n.Events...)
			continue
		}
		answer = e
	}
	return answer, events
}

// Guards against two writers that both win with the same expected revision.
func TestSwap(t *testing.T) {
	c := qt.New(t)
	s := keyvalue.New(10)
	answer, _ := step(&s, keyvalue.Swap{Key: "k", Value: "a"})
	c.Assert(answer, qt.Equals, keyvalue.Swapped{Revision: 2, Succeeded: true})
	answer, _ = step(&s, keyvalue.Swap{Key: "k", Value: "b"})
	c.Assert(answer, qt.Equals, keyvalue.Swapped{Revision: 2})
	answer, _ = step(&s, keyvalue.Swap{Key: "k", Value: "b", Expected: 2})
	c.Assert(answer, qt.Equals, keyvalue.Swapped{Revision: 3, Succeeded: true})
	answer, _ = step(&s, keyvalue.Swap{Key: "k", Delete: true, Expected: 2})
	c.Assert(answer, qt.Equals, keyvalue.Swapped{Revision: 3})
	answer, _ = step(&s, keyvalue.Swap{Key: "k", Delete: true, Expected: 3})
	c.Assert(answer, qt.Equals, keyvalue.Swapped{Revision: 4, Succeeded: true})
	answer, _ = step(&s, keyvalue.Swap{Key: "k", Value: strings.Repeat("x", keyvalue.MaxValue+1)})
	c.Assert(answer, qt.Equals, keyvalue.Failed{Reason: keyvalue.ReasonTooLarge})
}

// Guards against an expired lease whose keys stay, or that takes a key which another lease holds by now.
func TestLease(t *testing.T) {
	c := qt.New(t)
	s := keyvalue.New(10)
	step(&s, keyvalue.Watch{ID: 1, Key: "a", End: "z"})
	step(&s, keyvalue.Grant{Now: start, TTL: 2 * time.Second})
	step(&s, keyvalue.Grant{Now: start, TTL: 9 * time.Second})
	step(&s, keyvalue.Swap{Key: "k", Value: "a", Lease: 1})
	step(&s, keyvalue.Swap{Key: "moved", Value: "a", Lease: 1})
	step(&s, keyvalue.Swap{Key: "moved", Value: "b", Lease: 2, Expected: 3})
	step(&s, keyvalue.KeepAlive{Now: start.Add(time.Second), ID: 1})
	_, events := step(&s, keyvalue.Tick{Now: start.Add(2 * time.Second)})
	c.Assert(events, qt.HasLen, 0)
	_, events = step(&s, keyvalue.Tick{Now: start.Add(3 * time.Second)})
	c.Assert(events, qt.DeepEquals, []keyvalue.Event{{Pair: keyvalue.Pair{Key: "k", Modified: 5}, Deleted: true}})
	answer, _ := step(&s, keyvalue.KeepAlive{Now: start.Add(3 * time.Second), ID: 1})
	c.Assert(answer, qt.Equals, keyvalue.Leased{Revision: 5, ID: 1})
	answer, _ = step(&s, keyvalue.Swap{Key: "k", Value: "a", Lease: 1})
	c.Assert(answer, qt.Equals, keyvalue.Failed{Reason: keyvalue.ReasonNoLease})
	_, events = step(&s, keyvalue.Revoke{ID: 2})
	c.Assert(events, qt.HasLen, 1)
	c.Assert(s.Keys(), qt.Equals, 0)
}

// Guards against a watch that skips or repeats events of its range, whichever revision it starts from.
func TestWatchIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := keyvalue.New(20)
		var all []keyvalue.Event
		for range rapid.IntRange(1, 40).Draw(t, "writes") {
			key := rapid.SampledFrom([]string{"a/1", "a/2", "b/1"}).Draw(t, "key")
			answer, _ := step(&s, keyvalue.Range{Key: key})
			m := keyvalue.Swap{Key: key, Value: "v"}
			if pairs := answer.(keyvalue.Pairs).Pairs; len(pairs) > 0 {
				m.Expected = pairs[0].Modified
			}
			step(&s, m)
			if key != "b/1" {
				all = append(all, keyvalue.Event{Pair: keyvalue.Pair{Key: key, Modified: s.Revision()}})
			}
		}
		from := rapid.Int64Range(1, s.Revision()+1).Draw(t, "start")
		probe, _ := step(&s, keyvalue.Watch{ID: 2, Key: "none", Start: 1})
		if c, ok := probe.(keyvalue.Cancelled); ok && rapid.Bool().Draw(t, "at the boundary") {
			from = c.Compacted - 1 + rapid.Int64Range(0, 1).Draw(t, "kept")
		}
		answer, events := step(&s, keyvalue.Watch{ID: 1, Key: "a/", End: "a0", Start: from})
		if c, ok := answer.(keyvalue.Cancelled); ok {
			if from >= c.Compacted {
				t.Fatalf("cancelled at %d though history starts at %d", from, c.Compacted)
			}
			return
		}
		for len(all) > 0 && all[0].Pair.Modified < from {
			all = all[1:]
		}
		if len(all) != len(events) {
			t.Fatalf("got %d events, want %d", len(events), len(all))
		}
		for i := range all {
			if all[i].Pair.Key != events[i].Pair.Key || all[i].Pair.Modified != events[i].Pair.Modified {
				t.Fatalf("event %d is %v, want %v", i, events[i], all[i])
			}
		}
	})
}

// Guards against a page that skips keys.
func TestRange(t *testing.T) {
	c := qt.New(t)
	s := keyvalue.New(10).WithPair("a", "1", 0).WithPair("b", "2", 0).WithPair("c", "3", 0)
	answer, _ := step(&s, keyvalue.Range{Key: "a", End: "c", Limit: 1})
	got := answer.(keyvalue.Pairs)
	c.Assert(got.Count, qt.Equals, 2)
	c.Assert(got.Pairs, qt.HasLen, 1)
	answer, _ = step(&s, keyvalue.Range{Key: "a\x00", End: "\x00"})
	c.Assert(answer.(keyvalue.Pairs).Pairs[0].Key, qt.Equals, "b")
}
