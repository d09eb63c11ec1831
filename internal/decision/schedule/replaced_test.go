package schedule_test

import (
	"errors"
	"testing"
	"time"

	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	qt "github.com/frankban/quicktest"
)

// newPair recovers a pool with two executors, x and y, of which only x answers, and a long-running task.
func newPair() (p *singleExecutor, silent func()) {
	sub := longRunningJob(job.Step{Count: 1})
	executor := func(id string) site.Executor {
		return site.Executor{ID: id, Address: id, Pool: pool, Instance: "m-" + id, Born: 100, Capacity: job.Resources{CPU: 8000}}
	}
	p = &singleExecutor{now: 10 * time.Second}
	p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000).WithConfirmation(p.now)
	p.state, _ = schedule.Recover(p.state, oneQueue, schedule.Stored{
		Jobs: []schedule.StoredJob{{ID: sub.ID, Record: job.Record{Submission: &sub}}}, Listed: []site.Executor{executor("x"), executor("y")},
		Used: cluster.Used{Epoch: 1, Executors: []cluster.UsedExecutor{{ID: "x", Address: "x", Instance: "m-x", Born: 100}, {ID: "y", Address: "y", Instance: "m-y", Born: 100}}},
	})
	return p, func() {
		p.step(schedule.HeartbeatResult{Executor: "y", FencingToken: fencingToken(p.state, "y"), Sent: p.now, Now: p.now, Err: errors.New("no answer")})
	}
}

// Guards against a new owner that waits seconds for executors whose instances have moved to other pools, while their
// entries are still listed: its long-running tasks had no run for 7 s.
func TestTakeoverDoesNotAwaitReplacedExecutors(t *testing.T) {
	c := qt.New(t)
	p, silent := newPair()
	wait := func(length time.Duration) (starts []port.Start) {
		for until := p.now + length; p.now < until; p.now += 50 * time.Millisecond {
			p.heartbeat()
			silent()
			starts = append(starts, p.cycle(nil)...)
		}
		return starts
	}
	c.Assert(wait(time.Second), qt.HasLen, 0)
	c.Assert(p.state.Silent(), qt.HasLen, 1)
	p.step(schedule.ExecutorsReplaced{Now: p.now, Executors: []string{"y"}})
	c.Assert(p.state.Silent(), qt.HasLen, 0)
	c.Assert(wait(time.Second), qt.HasLen, 1)
}

// Guards against tasks of a silent executor that wait for the end of its lease although its instance runs a later
// executor, and against starting them elsewhere before a write has confirmed the ownership, or while the executor answers.
func TestRunsOfReplacedExecutor(t *testing.T) {
	c := qt.New(t)
	p, silent := newPair()
	on := port.ActiveRun{Task: job.Task{Job: "0000000000000001"}, Run: 1, Percent: 100}
	answer := func() {
		p.step(schedule.HeartbeatResult{Executor: "y", FencingToken: fencingToken(p.state, "y"), Sent: p.now, Now: p.now, Report: port.ExecutorReport{Clock: p.now.Milliseconds(), Born: 100, Runs: []port.ActiveRun{on}}})
	}
	p.now += 50 * time.Millisecond
	p.heartbeat()
	answer()
	c.Assert(p.cycle(nil), qt.HasLen, 0)
	p.step(schedule.ExecutorsReplaced{Now: p.now, Executors: []string{"y"}})
	c.Assert(p.cycle(nil), qt.HasLen, 0, qt.Commentf("y answers"))
	silent()
	p.now += 50 * time.Millisecond
	p.heartbeat()
	effects := append(p.step(schedule.ExecutorsReplaced{Now: p.now, Executors: []string{"y", "unknown"}}), p.step(schedule.RunCycle{Now: p.now})...)
	for _, e := range effects {
		_, started := e.(schedule.StartRun)
		c.Assert(started, qt.IsFalse, qt.Commentf("before a write has confirmed the ownership"))
	}
	p.now += 10 * time.Millisecond
	for _, x := range commits(effects) {
		p.step(schedule.CommitResult{Now: p.now, Number: x.Number})
	}
	starts := p.startsWithin(time.Second, nil)
	c.Assert(starts, qt.HasLen, 1)
	c.Assert(starts[0].Run > on.Run, qt.IsTrue)
}

// Guards against taking an executor for replaced by itself, by an earlier one, or by one of another instance.
func TestReplacedExecutors(t *testing.T) {
	c := qt.New(t)
	executor := func(id, instance string, born int64) site.Executor {
		return site.Executor{ID: id, Instance: instance, Born: born}
	}
	d := cluster.Directory{}.WithExecutors([]site.Executor{
		executor("a", "m-1", 100), executor("b", "m-1", 200), executor("c", "m-2", 300), executor("d", "", 900), executor("e", "m-3", 0),
	}, nil)
	silent := []site.Executor{executor("a", "m-1", 100), executor("b", "m-1", 200), executor("c", "m-2", 150), executor("x", "", 1), executor("y", "m-1", 0), executor("z", "m-2", 299)}
	c.Assert(d.Replaced(silent), qt.DeepEquals, []string{"a", "z"})
}
