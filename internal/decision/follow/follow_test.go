package follow_test

import (
	"fmt"
	"maps"
	"testing"

	"teaselloft/internal/decision/follow"
	"teaselloft/internal/standin/keyvalue"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const pinned = "b"

// world joins the decision to a store whose watch breaks and whose history is compacted.
type world struct {
	t         *rapid.T
	store     keyvalue.State
	state     follow.State
	queue     []follow.Effect
	undeliver []keyvalue.Event // events between the store and the follower
	published map[string]string
	revisions map[string]int64
	gaps      bool // the history was compacted at least once
	seen      []string
	written   []string
}

func change(p keyvalue.Pair, deleted bool) follow.Change {
	return follow.Change{Key: p.Key, Value: []byte(p.Value), Revision: p.Modified, Deleted: deleted}
}

// mutate changes the store once.
func (w *world) mutate() {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "key")
	m := keyvalue.Swap{Key: key}
	_, effects := keyvalue.Step(w.store, keyvalue.Range{Key: key})
	if pairs := effects[0].(keyvalue.Pairs).Pairs; len(pairs) > 0 {
		m.Expected = pairs[0].Modified
		m.Delete = rapid.Bool().Draw(w.t, "delete")
	}
	if !m.Delete {
		m.Value = fmt.Sprint("value at ", w.store.Revision()+1)
	}
	w.store, effects = keyvalue.Step(w.store, m)
	w.written = append(w.written, fmt.Sprint(key, " ", w.store.Revision()))
	w.notified(effects)
}

func (w *world) notified(effects []keyvalue.Effect) {
	for _, e := range effects {
		if n, ok := e.(keyvalue.Notify); ok {
			w.undeliver = append(w.undeliver, n.Events...)
		}
	}
}

func (w *world) step(m follow.Message) {
	state, effects := follow.Step(w.state, m)
	w.state = state
	w.queue = append(effects, w.queue...)
}

// list reads in pages of one key, between which the store changes.
func (w *world) list(disturb bool) {
	listed := follow.Listed{Revision: w.store.Revision()}
	for _, key := range []string{"a", "b", "c"} {
		_, effects := keyvalue.Step(w.store, keyvalue.Range{Key: key})
		for _, p := range effects[0].(keyvalue.Pairs).Pairs {
			listed.Keys = append(listed.Keys, change(p, false))
		}
		if disturb && rapid.Bool().Draw(w.t, "change between pages") {
			w.mutate()
		}
	}
	w.step(listed)
}

func (w *world) watch(start int64) {
	w.undeliver = nil
	store, effects := keyvalue.Step(w.store, keyvalue.Watch{ID: 1, Key: "a", End: "z", Start: start})
	w.store = store
	if _, ok := effects[0].(keyvalue.Cancelled); ok {
		w.gaps = true
		w.step(follow.Compacted{})
		return
	}
	w.notified(effects)
}

// do carries out the first effect.
func (w *world) do(disturb bool) {
	e := w.queue[0]
	w.queue = w.queue[1:]
	switch e := e.(type) {
	case follow.List:
		w.list(disturb)
	case follow.Get:
		_, effects := keyvalue.Step(w.store, keyvalue.Range{Key: e.Key})
		for _, p := range effects[0].(keyvalue.Pairs).Pairs {
			w.step(follow.Got{Change: change(p, false)})
		}
	case follow.Watch:
		w.watch(e.Start)
	case follow.Pause:
	case follow.Publish:
		w.publish(e.Change)
	default:
		panic(fmt.Sprintf("unknown effect %T", e))
	}
}

func (w *world) publish(c follow.Change) {
	if c.Revision <= w.revisions[c.Key] {
		w.t.Fatalf("key %q is published at revision %d after %d", c.Key, c.Revision, w.revisions[c.Key])
	}
	w.revisions[c.Key] = c.Revision
	w.seen = append(w.seen, fmt.Sprint(c.Key, " ", c.Revision))
	if c.Deleted {
		delete(w.published, c.Key)
		return
	}
	w.published[c.Key] = string(c.Value)
}

// deliver hands some waiting events to the follower.
func (w *world) deliver(n int) {
	n = min(n, len(w.undeliver))
	if n == 0 {
		return
	}
	var m follow.Changed
	for _, e := range w.undeliver[:n] {
		m.Changes = append(m.Changes, change(e.Pair, e.Deleted))
		m.Revision = e.Pair.Modified
	}
	w.undeliver = w.undeliver[n:]
	w.step(m)
}

// brk ends the watch with events on their way.
func (w *world) brk() {
	w.store, _ = keyvalue.Step(w.store, keyvalue.Unwatch{ID: 1})
	w.undeliver = nil
	w.step(follow.Broken{})
}

func (w *world) finish() {
	for len(w.queue) > 0 || len(w.undeliver) > 0 {
		if len(w.queue) == 0 {
			w.deliver(len(w.undeliver))
			continue
		}
		w.do(false)
	}
}

func (w *world) content() map[string]string {
	found := map[string]string{}
	_, effects := keyvalue.Step(w.store, keyvalue.Range{Key: "a", End: "z"})
	for _, p := range effects[0].(keyvalue.Pairs).Pairs {
		found[p.Key] = p.Value
	}
	return found
}

// Guards against changes that are lost, repeated or out of order when watches break and the history is compacted.
func TestPublishedMatchesStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t:         t,
			store:     keyvalue.New(4),
			state:     follow.New(pinned),
			published: map[string]string{},
			revisions: map[string]int64{},
		}
		w.step(follow.Begin{})
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				w.mutate()
			case 2:
				if len(w.queue) > 0 {
					w.do(true)
				}
			case 3:
				if len(w.queue) == 0 {
					w.deliver(rapid.IntRange(1, 3).Draw(t, "events"))
				}
			case 4:
				if len(w.queue) == 0 && rapid.Bool().Draw(t, "break") {
					w.brk()
				}
			}
		}
		w.finish()
		if !maps.Equal(w.published, w.content()) {
			t.Fatalf("published %v, store has %v", w.published, w.content())
		}
	})
}

// Guards against a break of the watch that skips an event although the store still has it.
func TestResumeLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t:         t,
			store:     keyvalue.New(1000),
			state:     follow.New("none"),
			published: map[string]string{},
			revisions: map[string]int64{},
		}
		w.step(follow.Begin{})
		w.finish()
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				w.mutate()
			case 1:
				w.deliver(rapid.IntRange(1, 3).Draw(t, "events"))
			case 2:
				w.brk()
			}
			for len(w.queue) > 0 {
				w.do(false)
			}
		}
		w.finish()
		if fmt.Sprint(w.seen) != fmt.Sprint(w.written) {
			t.Fatalf("seen %v, written %v", w.seen, w.written)
		}
	})
}

// Guards against a message that Step does not know.
func TestEveryMessage(t *testing.T) {
	c := qt.New(t)
	for _, m := range []follow.Message{
		follow.Begin{},
		follow.Listed{},
		follow.Unlisted{},
		follow.Changed{},
		follow.Got{Change: follow.Change{Key: pinned, Revision: 1}},
		follow.Broken{},
		follow.Compacted{},
	} {
		_, effects := follow.Step(follow.New(pinned), m)
		_, silent := m.(follow.Changed) // without changes
		c.Check(len(effects) == 0, qt.Equals, silent, qt.Commentf("%T", m))
	}
	c.Assert(func() { follow.Step(follow.New(pinned), nil) }, qt.PanicMatches, "follow: unknown message .*")
}

// Guards against a store that cannot be read being called without a pause.
func TestFailuresPause(t *testing.T) {
	c := qt.New(t)
	for _, m := range []follow.Message{follow.Unlisted{}, follow.Broken{}, follow.Compacted{}} {
		_, effects := follow.Step(follow.New(pinned), m)
		c.Check(effects[0], qt.Equals, follow.Effect(follow.Pause{}), qt.Commentf("%T", m))
	}
}
