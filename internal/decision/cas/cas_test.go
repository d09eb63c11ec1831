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
	own   = "own"
	rival = "rival"
)

// world simulates a store with a second writer, lost answers and attempts that take effect late.
type world struct {
	t      *rapid.T
	state  cas.State
	store  keyvalue.State
	write  keyvalue.Swap
	late   int     // attempts without an answer that have not reached the store
	wrote  []int64 // revisions of the attempts that took effect
	rivals int     // writes of the second writer
	calls  int
}

// apply sends one attempt to the store and records whether it took effect.
func (w *world) apply() (keyvalue.Swapped, bool) {
	store, effects := keyvalue.Step(w.store, w.write)
	w.store = store
	answer := effects[0].(keyvalue.Swapped)
	if answer.Succeeded {
		w.wrote = append(w.wrote, answer.Revision)
	}
	return answer, answer.Succeeded
}

// disturb may apply late attempts and may let the second writer write.
func (w *world) disturb() {
	for w.late > 0 && rapid.Bool().Draw(w.t, "late attempt arrives") {
		w.late--
		w.apply()
	}
	if rapid.IntRange(0, 5).Draw(w.t, "rival") == 0 {
		w.rivals++
		w.store = w.store.WithPair(key, rival, 0)
	}
}

func (w *world) attempt(now time.Time) cas.Message {
	w.calls++
	switch rapid.IntRange(0, 3).Draw(w.t, "attempt") {
	case 0:
		return cas.NotApplied{Now: now}
	case 1:
		w.late++
		return cas.AnswerLost{Now: now}
	case 2:
		w.apply()
		return cas.AnswerLost{Now: now}
	default:
		answer, done := w.apply()
		if done {
			return cas.Succeeded{Revision: answer.Revision}
		}
		return cas.CompareFailed{}
	}
}

func (w *world) read(now time.Time) cas.Message {
	_, effects := keyvalue.Step(w.store, keyvalue.Range{Key: key})
	pairs := effects[0].(keyvalue.Pairs).Pairs
	switch {
	case rapid.IntRange(0, 3).Draw(w.t, "read") == 0:
		return cas.ReadFailed{Now: now}
	case len(pairs) == 0:
		return cas.KeyMissing{Now: now}
	default:
		return cas.KeyFound{Now: now, Revision: pairs[0].Modified, SameValue: pairs[0].Value == own}
	}
}

// run steps the write until it finishes.
func (w *world) run() cas.Finish {
	now := start
	m := cas.Message(cas.Begin{})
	for {
		state, effects := cas.Step(w.state, m)
		w.state = state
		for _, e := range effects {
			w.disturb()
			switch e := e.(type) {
			case cas.Pause:
				now = now.Add(100 * time.Millisecond)
			case cas.Attempt:
				m = w.attempt(now)
			case cas.ReadBack:
				now = now.Add(time.Millisecond)
				m = w.read(now)
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
		w := &world{t: t, store: keyvalue.New(100)}
		if rapid.Bool().Draw(t, "exists") {
			w.store = w.store.WithPair(key, "old", 0)
			w.write.Expected = w.store.Revision()
		}
		w.write.Key = key
		w.write.Value = own
		w.write.Delete = w.write.Expected > 0 && rapid.Bool().Draw(t, "delete")
		if w.write.Delete {
			w.write.Value = ""
		}
		w.state = cas.New(w.write.Expected, w.write.Delete, start.Add(time.Second))
		end := w.run()
		if len(w.wrote) > 1 {
			t.Fatalf("write took effect at the revisions %v", w.wrote)
		}
		switch end.Result {
		case cas.Done:
			if len(w.wrote) != 1 || end.Revision != 0 && end.Revision != w.wrote[0] {
				t.Fatalf("done at revision %d, took effect at %v", end.Revision, w.wrote)
			}
		case cas.Conflict:
			if w.rivals == 0 {
				t.Fatalf("conflict without a second writer, took effect at %v", w.wrote)
			}
		case cas.Unresolved:
		default:
			t.Fatalf("unexpected result %d", end.Result)
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
