package listwatch_test

import (
	"fmt"
	"maps"
	"testing"

	"teaselloft/internal/decision/listwatch"
	"teaselloft/internal/standin/keyvalue"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const pinned = "b"

// simulation connects the decision to a store whose watch is interrupted and whose history is compacted.
type simulation struct {
	t         *rapid.T
	store     keyvalue.State
	state     listwatch.State
	queue     []listwatch.Effect
	inFlight  []keyvalue.Event // events that the store has sent and the decision has not received
	published map[string]string
	revisions map[string]int64
	gaps      bool     // a watch was refused because its start was compacted
	seen      []string // key and revision of each published change
	written   []string // key and revision of each change of the store
}

func change(p keyvalue.Pair, deleted bool) listwatch.Change {
	return listwatch.Change{Key: p.Key, Value: []byte(p.Value), Revision: p.Modified, Deleted: deleted}
}

// mutate writes or deletes a key of the store.
func (s *simulation) mutate() {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(s.t, "key")
	m := keyvalue.Swap{Key: key}
	_, effects := keyvalue.Step(s.store, keyvalue.Range{Key: key})
	if pairs := effects[0].(keyvalue.Pairs).Pairs; len(pairs) > 0 {
		m.Expected = pairs[0].Modified
		m.Delete = rapid.Bool().Draw(s.t, "delete")
	}
	if !m.Delete {
		m.Value = fmt.Sprint("value at ", s.store.Revision()+1)
	}
	s.store, effects = keyvalue.Step(s.store, m)
	s.written = append(s.written, fmt.Sprint(key, " ", s.store.Revision()))
	s.enqueueEvents(effects)
}

func (s *simulation) enqueueEvents(effects []keyvalue.Effect) {
	for _, e := range effects {
		if n, ok := e.(keyvalue.Notify); ok {
			s.inFlight = append(s.inFlight, n.Events...)
		}
	}
}

func (s *simulation) step(m listwatch.Message) {
	state, effects := listwatch.Step(s.state, m)
	s.state = state
	s.queue = append(effects, s.queue...)
}

// list reads the keys in pages of one key; with disturb the store may change between pages.
func (s *simulation) list(disturb bool) {
	listed := listwatch.ListResult{Revision: s.store.Revision()}
	for _, key := range []string{"a", "b", "c"} {
		_, effects := keyvalue.Step(s.store, keyvalue.Range{Key: key})
		for _, p := range effects[0].(keyvalue.Pairs).Pairs {
			listed.Keys = append(listed.Keys, change(p, false))
		}
		if disturb && rapid.Bool().Draw(s.t, "change between pages") {
			s.mutate()
		}
	}
	s.step(listed)
}

func (s *simulation) watch(start int64) {
	s.inFlight = nil
	store, effects := keyvalue.Step(s.store, keyvalue.Watch{ID: 1, Key: "a", End: "z", Start: start})
	s.store = store
	if _, ok := effects[0].(keyvalue.Cancelled); ok {
		s.gaps = true
		s.step(listwatch.WatchCompacted{})
		return
	}
	s.enqueueEvents(effects)
}

// execute carries out the first queued effect.
func (s *simulation) execute(disturb bool) {
	e := s.queue[0]
	s.queue = s.queue[1:]
	switch e := e.(type) {
	case listwatch.List:
		s.list(disturb)
	case listwatch.Get:
		_, effects := keyvalue.Step(s.store, keyvalue.Range{Key: e.Key})
		for _, p := range effects[0].(keyvalue.Pairs).Pairs {
			s.step(listwatch.GetResult{Change: change(p, false)})
		}
	case listwatch.Watch:
		s.watch(e.Start)
	case listwatch.Backoff:
	case listwatch.Publish:
		s.publish(e.Change)
	default:
		panic(fmt.Sprintf("unknown effect %T", e))
	}
}

func (s *simulation) publish(c listwatch.Change) {
	if c.Revision <= s.revisions[c.Key] {
		s.t.Fatalf("key %q is published at revision %d after %d", c.Key, c.Revision, s.revisions[c.Key])
	}
	s.revisions[c.Key] = c.Revision
	s.seen = append(s.seen, fmt.Sprint(c.Key, " ", c.Revision))
	if c.Deleted {
		delete(s.published, c.Key)
		return
	}
	s.published[c.Key] = string(c.Value)
}

// deliver passes at most n events to the decision.
func (s *simulation) deliver(n int) {
	n = min(n, len(s.inFlight))
	if n == 0 {
		return
	}
	var m listwatch.WatchResponse
	for _, e := range s.inFlight[:n] {
		m.Changes = append(m.Changes, change(e.Pair, e.Deleted))
		m.Revision = e.Pair.Modified
	}
	s.inFlight = s.inFlight[n:]
	s.step(m)
}

// interrupt ends the watch and drops the events in flight.
func (s *simulation) interrupt() {
	s.store, _ = keyvalue.Step(s.store, keyvalue.Unwatch{ID: 1})
	s.inFlight = nil
	s.step(listwatch.WatchInterrupted{})
}

// finish carries out all effects and delivers all events.
func (s *simulation) finish() {
	for len(s.queue) > 0 || len(s.inFlight) > 0 {
		if len(s.queue) == 0 {
			s.deliver(len(s.inFlight))
			continue
		}
		s.execute(false)
	}
}

// content returns the values in the store by key.
func (s *simulation) content() map[string]string {
	found := map[string]string{}
	_, effects := keyvalue.Step(s.store, keyvalue.Range{Key: "a", End: "z"})
	for _, p := range effects[0].(keyvalue.Pairs).Pairs {
		found[p.Key] = p.Value
	}
	return found
}

// Guards against published values that differ from the store, and against repeated or reordered changes, when
// watches are interrupted and the history is compacted.
func TestPublishedMatchesStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t:         t,
			store:     keyvalue.New(4),
			state:     listwatch.New(pinned),
			published: map[string]string{},
			revisions: map[string]int64{},
		}
		s.step(listwatch.Start{})
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				s.mutate()
			case 2:
				if len(s.queue) > 0 {
					s.execute(true)
				}
			case 3:
				if len(s.queue) == 0 {
					s.deliver(rapid.IntRange(1, 3).Draw(t, "events"))
				}
			case 4:
				if len(s.queue) == 0 && rapid.Bool().Draw(t, "break") {
					s.interrupt()
				}
			}
		}
		s.finish()
		if !maps.Equal(s.published, s.content()) {
			t.Fatalf("published %v, store has %v", s.published, s.content())
		}
	})
}

// Guards against an interrupted watch that skips an event that the store still has.
func TestResumeLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t:         t,
			store:     keyvalue.New(1000),
			state:     listwatch.New("none"),
			published: map[string]string{},
			revisions: map[string]int64{},
		}
		s.step(listwatch.Start{})
		s.finish()
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				s.mutate()
			case 1:
				s.deliver(rapid.IntRange(1, 3).Draw(t, "events"))
			case 2:
				s.interrupt()
			}
			for len(s.queue) > 0 {
				s.execute(false)
			}
		}
		s.finish()
		if fmt.Sprint(s.seen) != fmt.Sprint(s.written) {
			t.Fatalf("seen %v, written %v", s.seen, s.written)
		}
	})
}

// Guards against a message that Step does not know.
func TestEveryMessage(t *testing.T) {
	c := qt.New(t)
	for _, m := range []listwatch.Message{
		listwatch.Start{},
		listwatch.ListResult{},
		listwatch.ListFailed{},
		listwatch.WatchResponse{},
		listwatch.GetResult{Change: listwatch.Change{Key: pinned, Revision: 1}},
		listwatch.WatchInterrupted{},
		listwatch.WatchCompacted{},
	} {
		_, effects := listwatch.Step(listwatch.New(pinned), m)
		_, silent := m.(listwatch.WatchResponse) // without changes
		c.Check(len(effects) == 0, qt.Equals, silent, qt.Commentf("%T", m))
	}
	c.Assert(func() { listwatch.Step(listwatch.New(pinned), nil) }, qt.PanicMatches, "listwatch: unknown message .*")
}

// Guards against immediate retries of a failed call.
func TestFailuresBackOff(t *testing.T) {
	c := qt.New(t)
	for _, m := range []listwatch.Message{listwatch.ListFailed{}, listwatch.WatchInterrupted{}, listwatch.WatchCompacted{}} {
		_, effects := listwatch.Step(listwatch.New(pinned), m)
		c.Check(effects[0], qt.Equals, listwatch.Effect(listwatch.Backoff{}), qt.Commentf("%T", m))
	}
}
