package cas_test

import (
	"fmt"
	"testing"
	"time"

	"teaselloft/internal/decision/cas"
	"teaselloft/internal/standin/keyvalue"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const (
	key   = "k"
	own   = "own"   // value that the write under test writes
	rival = "rival" // value that the second writer writes
)

// simulation simulates a store with a second writer, lost answers and attempts that take effect late.
type simulation struct {
	t       *rapid.T
	state   cas.State
	store   keyvalue.State
	write   keyvalue.Swap
	late    int     // attempts without an answer that have not reached the store
	applied []int64 // revisions of the attempts that took effect
	rivals  int     // writes of the second writer
	calls   int
}

// apply sends one attempt to the store and records whether it took effect.
func (sim *simulation) apply() (keyvalue.Swapped, bool) {
	store, effects := keyvalue.Step(sim.store, sim.write)
	sim.store = store
	answer := effects[0].(keyvalue.Swapped)
	if answer.Succeeded {
		sim.applied = append(sim.applied, answer.Revision)
	}
	return answer, answer.Succeeded
}

// disturb may apply late attempts and may let the second writer write.
func (sim *simulation) disturb() {
	for sim.late > 0 && rapid.Bool().Draw(sim.t, "late attempt arrives") {
		sim.late--
		sim.apply()
	}
	if rapid.IntRange(0, 5).Draw(sim.t, "rival") == 0 {
		sim.rivals++
		sim.store = sim.store.WithPair(key, rival, 0)
	}
}

// attempt answers an Attempt effect with a random outcome.
func (sim *simulation) attempt(now time.Time) cas.Message {
	sim.calls++
	switch rapid.IntRange(0, 3).Draw(sim.t, "attempt") {
	case 0:
		return cas.NotApplied{Now: now}
	case 1:
		sim.late++
		return cas.AnswerLost{Now: now}
	case 2:
		sim.apply()
		return cas.AnswerLost{Now: now}
	default:
		answer, done := sim.apply()
		if done {
			return cas.Succeeded{Revision: answer.Revision}
		}
		return cas.CompareFailed{}
	}
}

// read answers a ReadBack effect.
func (sim *simulation) read(now time.Time) cas.Message {
	_, effects := keyvalue.Step(sim.store, keyvalue.Range{Key: key})
	pairs := effects[0].(keyvalue.Pairs).Pairs
	switch {
	case rapid.IntRange(0, 3).Draw(sim.t, "read") == 0:
		return cas.ReadFailed{Now: now}
	case len(pairs) == 0:
		return cas.KeyMissing{Now: now}
	default:
		return cas.KeyFound{Now: now, Revision: pairs[0].Modified, SameValue: pairs[0].Value == own}
	}
}

// run steps the write until it finishes.
func (sim *simulation) run() cas.Finish {
	now := start
	m := cas.Message(cas.Begin{})
	for {
		state, effects := cas.Step(sim.state, m)
		sim.state = state
		for _, e := range effects {
			sim.disturb()
			switch e := e.(type) {
			case cas.Pause:
				now = now.Add(100 * time.Millisecond)
			case cas.Attempt:
				m = sim.attempt(now)
			case cas.ReadBack:
				now = now.Add(time.Millisecond)
				m = sim.read(now)
			case cas.Finish:
				return e
			default:
				panic(fmt.Sprintf("unknown effect %T", e))
			}
		}
	}
}

// Guards against a write that is reported as done without effect or as a conflict without a second writer, and
// against a write that takes effect twice.
func TestResultMatchesStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, store: keyvalue.New(100)}
		if rapid.Bool().Draw(t, "exists") {
			sim.store = sim.store.WithPair(key, "old", 0)
			sim.write.Expected = sim.store.Revision()
		}
		sim.write.Key = key
		sim.write.Value = own
		sim.write.Delete = sim.write.Expected > 0 && rapid.Bool().Draw(t, "delete")
		if sim.write.Delete {
			sim.write.Value = ""
		}
		sim.state = cas.New(sim.write.Expected, sim.write.Delete, start.Add(time.Second))
		finish := sim.run()
		if len(sim.applied) > 1 {
			t.Fatalf("write took effect at the revisions %v", sim.applied)
		}
		switch finish.Result {
		case cas.Done:
			if len(sim.applied) != 1 || finish.Revision != 0 && finish.Revision != sim.applied[0] {
				t.Fatalf("done at revision %d, took effect at %v", finish.Revision, sim.applied)
			}
		case cas.Conflict:
			if sim.rivals == 0 {
				t.Fatalf("conflict without a second writer, took effect at %v", sim.applied)
			}
		case cas.Unresolved:
		default:
			t.Fatalf("unexpected result %d", finish.Result)
		}
	})
}

// Guards against a message type that Step does not handle.
func TestStepHandlesEveryMessage(t *testing.T) {
	c := qt.New(t)
	for _, m := range []cas.Message{
		cas.Begin{},
		cas.Succeeded{},
		cas.CompareFailed{},
		cas.AnswerLost{},
		cas.NotApplied{},
		cas.Rejected{},
		cas.KeyFound{},
		cas.KeyMissing{},
		cas.ReadFailed{},
	} {
		_, effects := cas.Step(cas.New(0, false, start), m)
		c.Check(effects, qt.Not(qt.HasLen), 0, qt.Commentf("%T", m))
	}
	c.Assert(func() { cas.Step(cas.State{}, nil) }, qt.PanicMatches, "cas: unknown message .*")
}

// Guards against a write that is repeated beyond its deadline.
func TestFinishesAfterDeadline(t *testing.T) {
	c := qt.New(t)
	s := cas.New(0, false, start)
	for _, m := range []cas.Message{
		cas.AnswerLost{Now: start},
		cas.NotApplied{Now: start},
		cas.ReadFailed{Now: start},
		cas.KeyMissing{Now: start},
		cas.KeyFound{Now: start},
	} {
		_, effects := cas.Step(s, m)
		c.Check(effects, qt.DeepEquals, []cas.Effect{cas.Finish{Result: cas.Unresolved}}, qt.Commentf("%T", m))
	}
}

// Guards against a rejection that is reported as final although an earlier attempt may have taken effect.
func TestRejectedAfterLostIsUnresolved(t *testing.T) {
	c := qt.New(t)
	s := cas.New(0, false, start.Add(time.Second))
	_, effects := cas.Step(s, cas.Rejected{})
	c.Assert(effects, qt.DeepEquals, []cas.Effect{cas.Finish{Result: cas.Invalid}})
	_, effects = cas.Step(s.WithInDoubt(), cas.Rejected{})
	c.Assert(effects, qt.DeepEquals, []cas.Effect{cas.Finish{Result: cas.Unresolved}})
}
