package schedule_test

import (
	"testing"
	"time"

	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	qt "github.com/frankban/quicktest"
)

// Guards against the eviction of a long-running task while another one is still being stopped by an order of the former
// owner. An executor lists a run until its stop is complete, so the new owner can't see the stop.
func TestVacateAfterTakeover(t *testing.T) {
	c := qt.New(t)
	sub := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{
		Count: 2, Need: job.Resources{CPU: 100}, LongRunning: true, AllowedMisses: 1,
	}}}
	executors := []site.Executor{
		{ID: "x0", Address: "x0", Pool: pool, Capacity: job.Resources{CPU: 1000}},
		{ID: "x1", Address: "x1", Pool: pool, Capacity: job.Resources{CPU: 1000}},
	}
	now := 10 * time.Second
	s := schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), now, 1000)
	s, _ = schedule.Recover(s, &site.Config{Version: 1}, schedule.Stored{
		Jobs: []schedule.StoredJob{{ID: sub.ID, Record: job.Record{Submission: &sub}}}, Listed: executors,
	})
	heartbeat := func() {
		for i, id := range []string{"x0", "x1"} {
			s, _ = schedule.Step(s, schedule.HeartbeatResult{Executor: id, FencingToken: fencingToken(s, id), Sent: now, Now: now, Report: port.ExecutorReport{Clock: now.Milliseconds(), Runs: []port.ActiveRun{
				{Task: job.Task{Job: sub.ID, Index: i}, Run: 1, Percent: 100},
			}}})
		}
	}
	stops := func() int {
		var effects []schedule.Effect
		s, effects = schedule.Step(s, schedule.Vacate{Now: now, Until: now + time.Second, Executors: []string{"x0"}})
		n := 0
		for _, e := range effects {
			if _, ok := e.(schedule.StopRun); ok {
				n++
			}
		}
		return n
	}
	heartbeat()
	c.Assert(stops(), qt.Equals, 0)
	now += 2 * time.Second
	heartbeat()
	c.Assert(stops(), qt.Equals, 1)
}

// Guards against an owner that another one may have replaced and that reports executors as empty. The order that follows
// would end the tasks that the other owner has started there.
func TestVacateNeedsValidOwnership(t *testing.T) {
	c := qt.New(t)
	p := newSingleExecutor(&site.Config{Version: 1})
	vacated := func() []string {
		for _, e := range p.step(schedule.Vacate{Token: 1, Now: p.now, Until: p.now + time.Second, Executors: []string{"x"}}) {
			if a, ok := e.(schedule.Answer); ok {
				return a.Empty
			}
		}
		return nil
	}
	confirm := func() {
		p.step(schedule.Tick{Now: p.now, Unix: 1000})
		for _, x := range commits(p.step(schedule.RunCycle{Now: p.now})) {
			p.step(schedule.CommitResult{Now: p.now, Number: x.Number})
		}
	}
	p.heartbeat()
	confirm()
	c.Assert(vacated(), qt.DeepEquals, []string{"x"})
	p.now += 3 * time.Second
	c.Assert(vacated(), qt.HasLen, 0)
	for _, x := range commits(p.step(schedule.RunCycle{Now: p.now})) {
		p.step(schedule.CommitResult{Now: p.now, Number: x.Number})
	}
	c.Assert(vacated(), qt.DeepEquals, []string{"x"})
}

// Guards against a wave that is never completed: two tasks of a long-running step on one executor do not get to work, and
// each keeps the other from being moved away.
func TestVacateMovesTasksThatNeverWork(t *testing.T) {
	c := qt.New(t)
	sub := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{
		Count: 2, Need: job.Resources{CPU: 100}, LongRunning: true, AllowedMisses: 1,
	}}}
	p := newSingleExecutor(&site.Config{Version: 1}, sub)
	stops := 0
	for range 200 {
		p.now += 100 * time.Millisecond
		p.heartbeat(
			port.ActiveRun{Task: job.Task{Job: sub.ID}, Run: 1, Percent: 50}, port.ActiveRun{Task: job.Task{Job: sub.ID, Index: 1}, Run: 1, Percent: 50},
		)
		p.cycle(nil)
		for _, e := range p.step(schedule.Vacate{Now: p.now, Until: p.now + time.Second, Executors: []string{"x"}}) {
			if _, ok := e.(schedule.StopRun); ok {
				stops++
			}
		}
	}
	c.Assert(stops > 0, qt.IsTrue)
}

// Guards against evicting a task that has just come to work, or is about to, while another one of its step is away.
func TestVacateLeavesTasksThatComeToWork(t *testing.T) {
	c := qt.New(t)
	sub := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{
		Count: 2, Need: job.Resources{CPU: 100}, LongRunning: true, AllowedMisses: 1,
	}}}
	p := newSingleExecutor(&site.Config{Version: 1}, sub)
	stops := func(percent int) (n int) {
		p.now += 100 * time.Millisecond
		p.heartbeat(
			port.ActiveRun{Task: job.Task{Job: sub.ID}, Run: 1, Percent: percent}, port.ActiveRun{Task: job.Task{Job: sub.ID, Index: 1}, Run: 1, Percent: 50},
		)
		p.cycle(nil)
		for _, e := range p.step(schedule.Vacate{Now: p.now, Until: p.now + time.Second, Executors: []string{"x"}}) {
			if x, ok := e.(schedule.StopRun); ok {
				c.Check(x.Stop.Task.Index, qt.Equals, 1)
				n++
			}
		}
		return n
	}
	for range 50 {
		c.Assert(stops(50), qt.Equals, 0)
	}
	stopped := 0
	for range 50 {
		stopped += stops(100)
	}
	c.Assert(stopped > 0, qt.IsTrue, qt.Commentf("the task that never gets to work"))
}
