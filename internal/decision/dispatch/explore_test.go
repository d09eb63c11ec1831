package dispatch_test

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"testing"
	"time"

	"teaselloft/internal/model/message"

	"pgregory.net/rapid"
)

// settle delivers everything and lets all deadlines pass, so that every request must be answered.
func (w *world) settle() {
	w.scope.requests, w.scope.takeovers, w.scope.breaks, w.scope.losses = 0, 0, 0, 0
	w.scope.withdraws, w.scope.deaths, w.scope.passes = 0, 0, 0
	for range 2 {
		w.drain()
		w.pass(30 * time.Second)
	}
	w.drain()
	for _, p := range w.owners {
		for id, must := range p.pending {
			if must {
				w.broken("epoch %d never answers %v", p.epoch, id)
			}
		}
	}
}

// drain takes the first choice until there is none.
func (w *world) drain() {
	for list := w.choices(); len(list) > 0 && w.fault == ""; list = w.choices() {
		list[0].do(w)
	}
}

// Guards the rules of grants against any order of messages, lost frames, lost answers, paused and dead processes.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(scope{
			entries:   []string{"a", "b", "c"},
			executors: []string{"e1", "e2"},
			slots:     rapid.IntRange(1, 3).Draw(t, "slots"),
			keys:      []string{"", "k1", "k2"},
			outcomes:  []message.Outcome{message.Answered, message.NotRun, message.Unknown},
			requests:  20,
			takeovers: 3,
			breaks:    rapid.IntRange(0, 3).Draw(t, "breaks"),
			losses:    rapid.IntRange(0, 4).Draw(t, "losses"),
			withdraws: 3,
			passes:    8,
			deaths:    rapid.IntRange(0, 1).Draw(t, "deaths"),
		})
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			rare := rapid.IntRange(0, 9).Draw(t, "rare") == 0
			list := slices.DeleteFunc(w.choices(), func(c choice) bool { return c.rare != rare })
			if len(list) == 0 {
				continue
			}
			c := list[rapid.IntRange(0, len(list)-1).Draw(t, "choice")]
			c.do(w)
			if w.fault != "" {
				t.Fatalf("after %s: %s", c.name, w.fault)
			}
		}
		w.settle()
		if w.fault != "" {
			t.Fatal(w.fault)
		}
	})
}

// Guards against a second run of one key over a takeover, in every order of a small world.
func TestExplore(t *testing.T) {
	answered := []message.Outcome{message.Answered}
	unknown := []message.Outcome{message.Unknown}
	base := scope{entries: []string{"a", "b"}, executors: []string{"e1"}, slots: 1, keys: []string{"k"}, once: true}
	for _, test := range []struct {
		name   string
		before int               // requests that are sent before the exploration
		ends   []message.Outcome // of those, none when they still run
		change func(*scope)
	}{
		{"ask twice", 0, nil, func(s *scope) { s.requests, s.outcomes = 2, unknown }},
		{"ask twice, answer lost", 0, nil, func(s *scope) { s.requests, s.losses = 2, 1 }},
		{"ask twice, answer lost, time passes", 0, nil, func(s *scope) { s.requests, s.losses, s.passes, s.asker = 2, 1, 1, "b" }},
		{"takeover", 0, nil, func(s *scope) { s.requests, s.takeovers, s.asker = 1, 1, "a" }},
		{"takeover, answer lost", 0, nil, func(s *scope) { s.requests, s.takeovers, s.losses, s.asker = 1, 1, 1, "b" }},
		{"takeover after a run", 1, answered, func(s *scope) { s.requests, s.takeovers, s.asker = 1, 1, "a" }},
		{"takeover during a run", 1, nil, func(s *scope) { s.requests, s.takeovers, s.asker, s.keys = 1, 1, "a", []string{""} }},
		{"withdraw", 0, nil, func(s *scope) { s.requests, s.withdraws = 2, 1 }},
		{"broken link", 0, nil, func(s *scope) { s.requests, s.breaks = 1, 1 }},
		{"not run", 0, nil, func(s *scope) { s.requests, s.outcomes = 2, []message.Outcome{message.Answered, message.NotRun} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(base)
			w.drain()
			w.scope.outcomes = test.ends
			for range test.before {
				w.scope.requests++
				w.arrive("b", "k")
				w.drain()
			}
			w.scope.outcomes = answered
			test.change(&w.scope)
			explore(t, w)
		})
	}
}

// mostStates keeps a change of the decision from making the exploration endless.
const mostStates = 60_000

func explore(t *testing.T, start *world) {
	t.Helper()
	visited := map[[sha256.Size]byte]bool{}
	type visit struct {
		world *world
		trail []string
	}
	stack := []visit{{world: start}}
	runs, ends := 0, 0
	for len(stack) > 0 {
		v := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		list := v.world.choices()
		if len(visited) > mostStates {
			t.Fatalf("more than %d states", mostStates)
		}
		if len(list) == 0 {
			ends++
			runs += v.world.runs["k"]
		}
		for _, c := range list {
			next := v.world.clone()
			c.do(next)
			trail := slices.Concat(v.trail, []string{c.name})
			if next.fault != "" {
				t.Fatalf("%s\nafter %q", next.fault, trail)
			}
			var buffer bytes.Buffer
			next.writeKey(&buffer)
			key := sha256.Sum256(buffer.Bytes())
			if !visited[key] {
				visited[key] = true
				stack = append(stack, visit{world: next, trail: trail})
			}
		}
	}
	t.Logf("%d states visited, %d ends, %d of them after a run", len(visited), ends, runs)
	if runs == 0 {
		t.Fatal("the key never runs")
	}
}
