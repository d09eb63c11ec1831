package operate_test

import (
	"fmt"
	"testing"
	"time"

	"teaselloft/internal/decision/operate"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var (
	noon  = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	later = noon.Add(time.Minute)
)

func sample() fleet.Fleet {
	return fleet.Fleet{
		Spare: "desk",
		Pools: []fleet.Pool{{Name: "rakes", Fleet: "rist"}, {Name: "screens", Fleet: "rist"}, {Name: "flags", Fleet: "day"}, {Name: "desk"}},
		Services: []fleet.Service{
			{Name: "rake-control", Pool: "rakes", Budget: fleet.Budget{Available: 2}},
			{Name: "rake-faults", Pool: "rakes", Budget: fleet.Budget{Available: 1}},
		},
	}
}

func serving(id, pool string) record.Instance {
	return record.Instance{ID: id, Pool: pool, State: record.Serving, Since: noon}
}

// Guards against an order that leaves an instance in a state that the operator did not ask for.
func TestDecide(t *testing.T) {
	c := qt.New(t)
	drained := serving("a", "rakes").WithState(record.Draining, later).WithWave("", "why")
	moving := drained.WithTarget("desk")
	for _, test := range []struct {
		name  string
		order operate.Order
		from  record.Instance
		want  record.Instance
	}{
		{"drain", operate.Drain{}, serving("a", "rakes"), drained},
		{"drain cancels a planned move", operate.Drain{}, serving("a", "rakes").WithTarget("desk"), drained},
		{"move to spare", operate.Move{Pool: "desk"}, serving("a", "rakes").WithWave("w", "old"), moving},
		{"move within fleet", operate.Move{Pool: "screens"}, serving("a", "rakes"), drained.WithTarget("screens")},
		{"move from spare", operate.Move{Pool: "flags"}, serving("a", "desk"), serving("a", "desk").WithState(record.Draining, later).WithWave("", "why").WithTarget("flags")},
		{"move from a removed pool", operate.Move{Pool: "flags"}, serving("a", "gone"), serving("a", "gone").WithState(record.Draining, later).WithWave("", "why").WithTarget("flags")},
		{"return from drain", operate.Return{}, moving, serving("a", "rakes").WithState(record.Serving, later).WithWave("", "why")},
		{"return after reboot", operate.Return{}, moving.WithState(record.Rebooting, noon), serving("a", "desk").WithState(record.Serving, later).WithWave("", "why")},
		{"return from out", operate.Return{}, serving("a", "rakes").WithState(record.Out, noon), serving("a", "rakes").WithState(record.Serving, later).WithWave("", "why")},
	} {
		got, err := operate.Decide(test.order, test.from, sample(), "why", later)
		c.Check(err, qt.IsNil, qt.Commentf(test.name))
		c.Check(got, qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// Guards against an order that overrides one of another operator or of the planner, and against a move between fleets.
func TestDecideRefuses(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		order operate.Order
		from  record.Instance
		want  string
	}{
		{operate.Drain{}, serving("a", "rakes").WithState(record.Draining, noon).WithWave("w-1", ""), `order is refused: instance "a" is draining since 2026-12-04T12:00:00Z for wave w-1`},
		{operate.Move{Pool: "desk"}, serving("a", "rakes").WithState(record.Out, noon).WithWave("", "disk"), `order is refused: instance "a" is out since 2026-12-04T12:00:00Z: disk`},
		{operate.Move{Pool: "rakes"}, serving("a", "rakes"), `order is refused: instance "a" is in pool "rakes" already`},
		{operate.Move{Pool: "none"}, serving("a", "rakes"), `order is refused: pool "none" does not exist`},
		{operate.Move{Pool: "flags"}, serving("a", "rakes"), `order is refused: pool "rakes" is of fleet "rist" and pool "flags" of fleet "day"; fleets share only the spare pool "desk"`},
		{operate.Return{}, serving("a", "rakes"), `order is refused: instance "a" serves already`},
	} {
		_, err := operate.Decide(test.order, test.from, sample(), "why", later)
		c.Check(err, qt.ErrorIs, operate.ErrRefused)
		c.Check(err, qt.ErrorMatches, test.want)
	}
}

// Guards against an order type that TakesOut or Decide does not handle.
func TestEveryOrderIsHandled(t *testing.T) {
	c := qt.New(t)
	for _, o := range []operate.Order{operate.Move{Pool: "desk"}, operate.Drain{}, operate.Return{}} {
		c.Check(operate.TakesOut(o), qt.Equals, o != operate.Order(operate.Return{}))
		_, err := operate.Decide(o, serving("a", "rakes"), sample(), "", later)
		c.Check(err == nil, qt.Equals, operate.TakesOut(o))
	}
}

// Guards against reservations that together leave fewer instances in service than the budget requires.
func TestReserveKeepsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := sample()
		service := rapid.SampledFrom(operate.ServicesOf(f, "rakes")).Draw(t, "service")
		var all []record.Instance
		for i := range rapid.IntRange(0, 6).Draw(t, "instances") {
			r := serving(fmt.Sprint("i-", i), rapid.SampledFrom([]string{"rakes", "rakes", "desk"}).Draw(t, "pool"))
			r.State = rapid.SampledFrom([]record.InstanceState{record.Serving, record.Serving, record.Draining, record.Out}).Draw(t, "state")
			all = append(all, r)
		}
		var ledger record.Ledger
		for range 8 {
			id := fmt.Sprint("i-", rapid.IntRange(0, 6).Draw(t, "id"))
			next, err := operate.Reserve(ledger, service, all, id, 7)
			if err != nil {
				continue
			}
			if next.At[id] != 7 || next.Service != service.Name {
				t.Fatalf("ledger %+v", next)
			}
			ledger = next
		}
		if n := countServing(ledger, all); len(ledger.Out) > 0 && n < service.Budget.Available {
			t.Fatalf("%d of %+v are in service with ledger %v", n, all, ledger.Out)
		}
	})
}

// countServing counts the serving instances of the pool rakes that the ledger does not list.
func countServing(l record.Ledger, all []record.Instance) int {
	n := 0
	for _, i := range all {
		if _, out := l.At[i.ID]; i.Pool == "rakes" && i.State == record.Serving && !out {
			n++
		}
	}
	return n
}
