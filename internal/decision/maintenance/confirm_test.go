package maintenance_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"teaselloft/internal/decision/maintenance"
	"teaselloft/internal/model/port"

	qt "github.com/frankban/quicktest"
)

// vacated returns an owner, at 12 s, that waits for a confirmation to order the maintenance of n instances of pool a.
func vacated(c *qt.C, n int) maintenance.State {
	s := maintenance.New(nil)
	for _, now := range []time.Duration{10, 12} {
		s, _ = maintenance.Step(s, tickAt(now*time.Second, n))
	}
	empty := maintenance.VacateResult{Now: 12 * time.Second, Pool: "a", ClosedUntil: 12500 * time.Millisecond}
	for _, i := range upInstances("a", n) {
		empty.Executors = append(empty.Executors, i.Executor)
	}
	s, effects := maintenance.Step(s, empty)
	c.Assert(effects, qt.DeepEquals, []maintenance.Effect{maintenance.Confirm{}})
	return s
}

func tickAt(now time.Duration, n int) maintenance.Tick {
	instances := upInstances("a", n+2) // a wave leaves two executors to their pool
	var names []string
	for _, i := range instances[:n] {
		names = append(names, i.Name)
	}
	return maintenance.Tick{Now: now, Directory: wave(n, names...), Instances: instances, Loads: map[string]port.Load{"a": poolLoad("a", n+2, 0, 0)}}
}

func events(effects []maintenance.Effect) (names []string) {
	for _, e := range effects {
		if n, ok := e.(maintenance.Note); ok {
			names = append(names, n.Event)
		}
	}
	return names
}

func vacates(effects []maintenance.Effect) bool {
	return slices.ContainsFunc(effects, func(e maintenance.Effect) bool { _, ok := e.(maintenance.Vacate); return ok })
}

// Guards against a write to the store for each order, and against orders on the strength of an old write.
func TestOrdersShareConfirmation(t *testing.T) {
	c := qt.New(t)
	s := vacated(c, 3)
	late, effects := maintenance.Step(s, maintenance.ConfirmResult{Now: 12400 * time.Millisecond, Sent: 11700 * time.Millisecond})
	c.Assert(effects, qt.DeepEquals, []maintenance.Effect{maintenance.Confirm{}})
	_, effects = maintenance.Step(late, maintenance.ConfirmResult{Now: 12450 * time.Millisecond, Sent: 12400 * time.Millisecond})
	c.Assert(orders(effects), qt.HasLen, 3)
	for _, e := range effects {
		if m, ok := e.(maintenance.StartMaintenance); ok {
			c.Assert(m.SendBy, qt.Equals, 12500*time.Millisecond, qt.Commentf("the executor is empty until then"))
		}
	}
}

// Guards against an instance that is ordered on an executor which has taken tasks while the store was silent.
func TestLateConfirmationOrdersNothing(t *testing.T) {
	c := qt.New(t)
	_, effects := maintenance.Step(vacated(c, 1), maintenance.ConfirmResult{Now: 12600 * time.Millisecond, Sent: 12550 * time.Millisecond})
	c.Assert(effects, qt.HasLen, 0)
}

// Guards against an owner without a confirmation that keeps executors empty or plans more operations, and against one
// that does not go on afterwards.
func TestUnconfirmedOwnerLeavesExecutorsToPools(t *testing.T) {
	c := qt.New(t)
	s := vacated(c, 1)
	s, effects := maintenance.Step(s, tickAt(13100*time.Millisecond, 1))
	c.Assert(events(effects), qt.DeepEquals, []string{"fleet.unconfirmed"})
	c.Assert(vacates(effects), qt.IsFalse)
	s, effects = maintenance.Step(s, tickAt(20*time.Second, 2))
	c.Assert(effects, qt.HasLen, 0, qt.Commentf("no plan for the second instance"))
	s, effects = maintenance.Step(s, maintenance.ConfirmResult{Now: 20 * time.Second, Err: port.ErrRefused})
	c.Assert(effects, qt.HasLen, 0)
	s, effects = maintenance.Step(s, tickAt(21*time.Second, 1))
	c.Assert(effects, qt.DeepEquals, []maintenance.Effect{maintenance.Confirm{}})
	s, effects = maintenance.Step(s, maintenance.ConfirmResult{Now: 21 * time.Second, Sent: 21 * time.Second})
	c.Assert(events(effects), qt.DeepEquals, []string{"fleet.confirmed"})
	_, effects = maintenance.Step(s, tickAt(21100*time.Millisecond, 1))
	c.Assert(vacates(effects), qt.IsTrue)
}

// Guards against an instance that is given up, or no longer counts as unavailable, because a repeated order was not sent.
func TestUnsentOrders(t *testing.T) {
	c := qt.New(t)
	s, effects := maintenance.Step(vacated(c, 1), maintenance.ConfirmResult{Now: 12 * time.Second, Sent: 12 * time.Second})
	c.Assert(orders(effects), qt.HasLen, 1)
	unsent := maintenance.OrderResult{Now: 12700 * time.Millisecond, Instance: "a-0", Err: maintenance.ErrNotSent}
	_, effects = maintenance.Step(s, unsent)
	c.Assert(events(effects), qt.DeepEquals, []string{"instance.unsent"})

	s, effects = maintenance.Step(s, maintenance.OrderResult{Now: 12500 * time.Millisecond, Instance: "a-0", Err: errors.New("no answer")})
	c.Assert(orders(effects), qt.HasLen, 1)
	s, _ = maintenance.Step(s, unsent)
	s, effects = maintenance.Step(s, tickAt(12800*time.Millisecond, 1))
	c.Assert(slices.Contains(effects, maintenance.Effect(maintenance.Confirm{})), qt.IsTrue)
	_, effects = maintenance.Step(s, maintenance.ConfirmResult{Now: 12900 * time.Millisecond, Sent: 12800 * time.Millisecond})
	c.Assert(orders(effects), qt.DeepEquals, []string{"a-0"}, qt.Commentf("repeated without another check of the executor"))
}

// Guards against one more unavailable instance than a wave allows while the list does not show yet that an order without
// an answer was carried out: its repetition is refused because the instance is down, or because nothing was sent.
func TestOrderInDoubtStaysCounted(t *testing.T) {
	for _, repeated := range []error{port.ErrInstanceNotUp, port.ErrRefused} {
		t.Run(repeated.Error(), func(t *testing.T) {
			c := qt.New(t)
			s := vacated(c, 2)
			tick := tickAt(12100*time.Millisecond, 2)
			tick.Directory = wave(1, "a-0", "a-1")
			s, _ = maintenance.Step(s, tick)
			s, effects := maintenance.Step(s, maintenance.ConfirmResult{Now: 12100 * time.Millisecond, Sent: 12100 * time.Millisecond})
			c.Assert(orders(effects), qt.DeepEquals, []string{"a-0"})
			for _, err := range []error{errors.New("no answer"), repeated} {
				s, effects = maintenance.Step(s, maintenance.OrderResult{Now: 12200 * time.Millisecond, Instance: "a-0", Err: err})
				c.Assert(slices.Contains(orders(effects), "a-1"), qt.IsFalse)
			}
			tick.Now = 12300 * time.Millisecond
			_, effects = maintenance.Step(s, tick)
			c.Assert(slices.Contains(orders(effects), "a-1"), qt.IsFalse)
		})
	}
}

// Guards against one more unavailable instance than a wave allows when a list lacks an instance that is down, because its
// entry is invalid or it changed between two pages.
func TestUnlistedInstanceStaysCounted(t *testing.T) {
	c := qt.New(t)
	s := vacated(c, 2)
	tick := tickAt(12100*time.Millisecond, 2)
	tick.Directory = wave(1, "a-0", "a-1")
	s, _ = maintenance.Step(s, tick)
	s, effects := maintenance.Step(s, maintenance.ConfirmResult{Now: 12100 * time.Millisecond, Sent: 12100 * time.Millisecond})
	c.Assert(orders(effects), qt.DeepEquals, []string{"a-0"})
	s, effects = maintenance.Step(s, maintenance.OrderResult{Now: 12200 * time.Millisecond, Instance: "a-0"})
	c.Assert(orders(effects), qt.HasLen, 0)
	tick.Now, tick.Instances = 12300*time.Millisecond, tick.Instances[1:]
	_, effects = maintenance.Step(s, tick)
	c.Assert(orders(effects), qt.HasLen, 0)
}
