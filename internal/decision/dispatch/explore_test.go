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

// settle delivers all frames and lets all deadlines pass, after which every request must have been answered.
func (sim *simulation) settle() {
	sim.limits.requests, sim.limits.takeovers, sim.limits.linkBreaks, sim.limits.lostAnswers = 0, 0, 0, 0
	sim.limits.withdrawals, sim.limits.deaths, sim.limits.timeSteps = 0, 0, 0
	for range 2 {
		sim.drain()
		sim.advanceTime(30 * time.Second)
	}
	sim.drain()
	for _, p := range sim.owners {
		for id, must := range p.pending {
			if must {
				sim.reportViolation("epoch %d never answers %v", p.epoch, id)
			}
		}
	}
}

// drain applies the first possible event until there is none.
func (sim *simulation) drain() {
	for list := sim.possibleEvents(); len(list) > 0 && sim.violation == ""; list = sim.possibleEvents() {
		list[0].run(sim)
	}
}

// Guards against a violated grant invariant under any order of messages, with lost frames, lost write answers, paused
// and dead processes.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(simLimits{
			entries:     []string{"a", "b", "c"},
			executors:   []string{"e1", "e2"},
			slots:       rapid.IntRange(1, 3).Draw(t, "slots"),
			keys:        []string{"", "k1", "k2"},
			outcomes:    []message.Outcome{message.Answered, message.NotRun, message.Unknown},
			requests:    20,
			takeovers:   3,
			linkBreaks:  rapid.IntRange(0, 3).Draw(t, "breaks"),
			lostAnswers: rapid.IntRange(0, 4).Draw(t, "losses"),
			withdrawals: 3,
			timeSteps:   8,
			deaths:      rapid.IntRange(0, 1).Draw(t, "deaths"),
		})
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			rare := rapid.IntRange(0, 9).Draw(t, "rare") == 0
			list := slices.DeleteFunc(sim.possibleEvents(), func(e event) bool { return e.rare != rare })
			if len(list) == 0 {
				continue
			}
			e := list[rapid.IntRange(0, len(list)-1).Draw(t, "choice")]
			e.run(sim)
			if sim.violation != "" {
				t.Fatalf("after %s: %s", e.name, sim.violation)
			}
		}
		sim.settle()
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
	})
}

// Guards against a second run of one key, for example across a takeover, by exploring every order of events in a small
// simulation.
func TestExplore(t *testing.T) {
	answered := []message.Outcome{message.Answered}
	unknown := []message.Outcome{message.Unknown}
	base := simLimits{entries: []string{"a", "b"}, executors: []string{"e1"}, slots: 1, keys: []string{"k"}, skipPurityCheck: true}
	for _, test := range []struct {
		name     string
		before   int               // requests sent before the exploration
		outcomes []message.Outcome // outcomes of those, none if they are still running
		change   func(*simLimits)
	}{
		{"two requests", 0, nil, func(s *simLimits) { s.requests, s.outcomes = 2, unknown }},
		{"two requests, answer lost", 0, nil, func(s *simLimits) { s.requests, s.lostAnswers = 2, 1 }},
		{"two requests, answer lost, time passes", 0, nil, func(s *simLimits) { s.requests, s.lostAnswers, s.timeSteps, s.onlyEntry = 2, 1, 1, "b" }},
		{"takeover", 0, nil, func(s *simLimits) { s.requests, s.takeovers, s.onlyEntry = 1, 1, "a" }},
		{"takeover, answer lost", 0, nil, func(s *simLimits) { s.requests, s.takeovers, s.lostAnswers, s.onlyEntry = 1, 1, 1, "b" }},
		{"takeover after a run", 1, answered, func(s *simLimits) { s.requests, s.takeovers, s.onlyEntry = 1, 1, "a" }},
		{"takeover during a run", 1, nil, func(s *simLimits) { s.requests, s.takeovers, s.onlyEntry, s.keys = 1, 1, "a", []string{""} }},
		{"withdraw", 0, nil, func(s *simLimits) { s.requests, s.withdrawals = 2, 1 }},
		{"broken link", 0, nil, func(s *simLimits) { s.requests, s.linkBreaks = 1, 1 }},
		{"not run", 0, nil, func(s *simLimits) { s.requests, s.outcomes = 2, []message.Outcome{message.Answered, message.NotRun} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(base)
			sim.drain()
			sim.limits.outcomes = test.outcomes
			for range test.before {
				sim.limits.requests++
				sim.submit("b", "k")
				sim.drain()
			}
			sim.limits.outcomes = answered
			test.change(&sim.limits)
			explore(t, sim)
		})
	}
}

// maxStates bounds the exploration if a change of the decision logic lets the number of states grow.
const maxStates = 60_000

// explore visits every state that can be reached from start. It fails on a violated invariant, or if the key never
// runs.
func explore(t *testing.T, start *simulation) {
	t.Helper()
	visited := map[[sha256.Size]byte]bool{}
	type visit struct {
		simulation *simulation
		trail      []string
	}
	stack := []visit{{simulation: start}}
	runs, finalStates := 0, 0
	for len(stack) > 0 {
		v := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		list := v.simulation.possibleEvents()
		if len(visited) > maxStates {
			t.Fatalf("more than %d states", maxStates)
		}
		if len(list) == 0 {
			finalStates++
			runs += v.simulation.runs["k"]
		}
		for _, e := range list {
			next := v.simulation.clone()
			e.run(next)
			trail := slices.Concat(v.trail, []string{e.name})
			if next.violation != "" {
				t.Fatalf("%s\nafter %q", next.violation, trail)
			}
			var buffer bytes.Buffer
			next.writeStateKey(&buffer)
			key := sha256.Sum256(buffer.Bytes())
			if !visited[key] {
				visited[key] = true
				stack = append(stack, visit{simulation: next, trail: trail})
			}
		}
	}
	t.Logf("%d states visited, %d final states, %d of them after a run", len(visited), finalStates, runs)
	if runs == 0 {
		t.Fatal("the key never runs")
	}
}
