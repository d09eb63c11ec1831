package store_test

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"
	"teaselloft/internal/standin/memory"

	"pgregory.net/rapid"
)

// observer is an entry instance that reads the configuration now and then.
type observer struct {
	assembly store.Assembly
	version  uint64
}

// history runs operators and observers against one store, with faults and with calls of one between those of another.
type history struct {
	t         *rapid.T
	store     *memory.Store
	observers []*observer
	winners   map[uint64]string      // change by version
	content   map[uint64]fleet.Fleet // by version
	heads     []uint64
	changes   int
	depth     int
}

func newHistory(t *rapid.T) *history {
	h := &history{
		t: t, store: memory.New(),
		observers: []*observer{{}, {}, {}},
		winners:   map[uint64]string{},
		content:   map[uint64]fleet.Fleet{},
	}
	faults := rapid.Permutation([]memory.Fault{
		memory.None, memory.None, memory.None, memory.None, memory.None, memory.None,
		memory.Refuse, memory.Lose, memory.Lose,
	})
	var queue []memory.Fault
	h.store.Inject(func(memory.Call) memory.Fault {
		if len(queue) == 0 {
			queue = faults.Draw(t, "faults")
		}
		next := queue[0]
		queue = queue[1:]
		return next
	})
	h.store.Watch(func(c message.RecordChanged) {
		if head, ok := c.Record.(record.ConfigHead); ok {
			h.heads = append(h.heads, head.Version)
		}
	})
	h.store.Before(func(memory.Call) { h.interleave() })
	return h
}

// interleave runs another operator or an observer before a call of the current one.
func (h *history) interleave() {
	if h.depth > 2 || h.changes > 12 {
		return
	}
	switch rapid.IntRange(0, 9).Draw(h.t, "interleave") {
	case 0:
		h.apply()
	case 1:
		h.observe()
	}
}

// apply makes one change from the version in force or from an older one.
func (h *history) apply() {
	h.depth++
	defer func() { h.depth-- }()
	h.changes++
	id := fmt.Sprint("change-", h.changes)
	base := uint64(max(0, len(h.heads)-rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(h.t, "behind")))
	f := small(h.changes)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	applied, err := store.Apply(ctx, h.store, change(id, base, f))
	switch {
	case err == nil:
		h.win(applied.Version, base, id, f)
	case !errors.Is(err, store.ErrStale):
		h.t.Fatalf("change %s from version %d: %v", id, base, err)
	}
}

func (h *history) win(version, base uint64, id string, f fleet.Fleet) {
	if other, taken := h.winners[version]; taken {
		h.t.Fatalf("version %d is of %s and of %s", version, other, id)
	}
	if version != base+1 {
		h.t.Fatalf("change %s from version %d made version %d", id, base, version)
	}
	h.winners[version] = id
	h.content[version] = f.WithVersion(version)
}

// observe reads the configuration in force; a call that fails leaves the observer as it was.
func (h *history) observe() {
	h.depth++
	defer func() { h.depth-- }()
	o := rapid.SampledFrom(h.observers).Draw(h.t, "observer")
	head, _, err := store.ReadHead(context.Background(), h.store)
	if err != nil || head.Version == 0 {
		return
	}
	a, err := o.assembly.Assemble(context.Background(), h.store, head)
	if errors.Is(err, store.ErrCorrupt) || errors.Is(err, message.ErrNotFound) {
		h.t.Fatalf("head %+v names what cannot be read: %v", head, err)
	}
	if err != nil || a.Fleet.Version < o.version && a.Fleet.Version < head.Version {
		return
	}
	if a.Fleet.Version < o.version {
		// Another observation of the same observer ran between; it keeps the newer version.
		return
	}
	o.assembly, o.version = a, a.Fleet.Version
	h.seen(a.Fleet)
}

// seen checks an observed fleet against the one that was applied, if its operator has the answer already.
func (h *history) seen(f fleet.Fleet) {
	if want, ok := h.content[f.Version]; ok && !reflect.DeepEqual(f, want) {
		h.t.Fatalf("version %d is %+v instead of %+v", f.Version, f, want)
	}
}

// check verifies that versions rose by one and that every version has exactly one winner.
func (h *history) check() {
	for i, version := range h.heads {
		if version != uint64(i+1) {
			h.t.Fatalf("heads %v", h.heads)
		}
		if _, ok := h.winners[version]; !ok {
			h.t.Fatalf("no operator knows that version %d is theirs", version)
		}
	}
	if len(h.winners) != len(h.heads) {
		h.t.Fatalf("operators believe in %v, the heads are %v", h.winners, h.heads)
	}
	h.store.Inject(func(memory.Call) memory.Fault { return memory.None })
	h.store.Before(func(memory.Call) {})
	for range h.observers {
		h.observe()
	}
}

// Guards against a configuration that reverts, a version that two racing operators both believe to be theirs, and a
// change that its own operator does not recognize after a lost answer.
func TestHistories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides Deadline, which must not be called in a bubble.
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			h := newHistory(t)
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				if rapid.IntRange(0, 2).Draw(t, "step") == 0 {
					h.observe()
				} else {
					h.apply()
				}
			}
			h.check()
		})
	})
}
