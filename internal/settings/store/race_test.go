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

// observer is an entry instance that occasionally reads the configuration.
type observer struct {
	assembly store.Assembly
	version  uint64
}

// simulation runs operators and observers against one store, with injected faults and interleaved calls.
type simulation struct {
	t         *rapid.T
	store     *memory.Store
	observers []*observer
	winners   map[uint64]string      // change ID by version
	content   map[uint64]fleet.Fleet // by version
	heads     []uint64
	changes   int
	depth     int
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
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
	sim.store.Inject(func(memory.Call) memory.Fault {
		if len(queue) == 0 {
			queue = faults.Draw(t, "faults")
		}
		next := queue[0]
		queue = queue[1:]
		return next
	})
	sim.store.Watch(func(c message.RecordChanged) {
		if head, ok := c.Record.(record.ConfigHead); ok {
			sim.heads = append(sim.heads, head.Version)
		}
	})
	sim.store.Before(func(memory.Call) { sim.interleave() })
	return sim
}

// interleave may run another operator or observer before a store call.
func (sim *simulation) interleave() {
	if sim.depth > 2 || sim.changes > 12 {
		return
	}
	switch rapid.IntRange(0, 9).Draw(sim.t, "interleave") {
	case 0:
		sim.apply()
	case 1:
		sim.observe()
	}
}

// apply applies a change that is based on the current or the preceding version.
func (sim *simulation) apply() {
	sim.depth++
	defer func() { sim.depth-- }()
	sim.changes++
	id := fmt.Sprint("change-", sim.changes)
	base := uint64(max(0, len(sim.heads)-rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(sim.t, "behind")))
	f := small(sim.changes)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	applied, err := store.Apply(ctx, sim.store, change(id, base, f))
	switch {
	case err == nil:
		sim.win(applied.Version, base, id, f)
	case !errors.Is(err, store.ErrStale):
		sim.t.Fatalf("change %s from version %d: %v", id, base, err)
	}
}

func (sim *simulation) win(version, base uint64, id string, f fleet.Fleet) {
	if other, taken := sim.winners[version]; taken {
		sim.t.Fatalf("version %d was reported as applied to both %s and %s", version, other, id)
	}
	if version != base+1 {
		sim.t.Fatalf("change %s from version %d created version %d", id, base, version)
	}
	sim.winners[version] = id
	sim.content[version] = f.WithVersion(version)
}

// observe reads the current configuration; a failed call leaves the observer unchanged.
func (sim *simulation) observe() {
	sim.depth++
	defer func() { sim.depth-- }()
	o := rapid.SampledFrom(sim.observers).Draw(sim.t, "observer")
	head, _, err := store.ReadHead(context.Background(), sim.store)
	if err != nil || head.Version == 0 {
		return
	}
	a, err := o.assembly.Assemble(context.Background(), sim.store, head)
	if errors.Is(err, store.ErrCorrupt) || errors.Is(err, message.ErrNotFound) {
		sim.t.Fatalf("head %+v names a value that cannot be read: %v", head, err)
	}
	if err != nil || a.Fleet.Version < o.version && a.Fleet.Version < head.Version {
		return
	}
	if a.Fleet.Version < o.version {
		// A nested observation by the same observer has read a newer version, which it keeps.
		return
	}
	o.assembly, o.version = a, a.Fleet.Version
	sim.checkContent(a.Fleet)
}

// checkContent compares an observed fleet with the applied one if its operator has received the answer.
func (sim *simulation) checkContent(f fleet.Fleet) {
	if want, ok := sim.content[f.Version]; ok && !reflect.DeepEqual(f, want) {
		sim.t.Fatalf("version %d is %+v instead of %+v", f.Version, f, want)
	}
}

// check verifies that versions increased by one and that exactly one operator won each version.
func (sim *simulation) check() {
	for i, version := range sim.heads {
		if version != uint64(i+1) {
			sim.t.Fatalf("head versions %v do not increase by one", sim.heads)
		}
		if _, ok := sim.winners[version]; !ok {
			sim.t.Fatalf("no operator was told that it created version %d", version)
		}
	}
	if len(sim.winners) != len(sim.heads) {
		sim.t.Fatalf("operators were told of versions %v, the heads are %v", sim.winners, sim.heads)
	}
	sim.store.Inject(func(memory.Call) memory.Fault { return memory.None })
	sim.store.Before(func(memory.Call) {})
	for range sim.observers {
		sim.observe()
	}
}

// Guards against a configuration that reverts to an older version, a version that two concurrent operators both won,
// and a change that its own operator does not detect as applied after a lost answer.
func TestHistories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides Deadline, which must not be called in a bubble.
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			sim := newSimulation(t)
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				if rapid.IntRange(0, 2).Draw(t, "step") == 0 {
					sim.observe()
				} else {
					sim.apply()
				}
			}
			sim.check()
		})
	})
}
