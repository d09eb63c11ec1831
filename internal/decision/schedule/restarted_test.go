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

// restarting is a pool with an executor x that restarts, and another one, y, which has room for the tasks of x.
type restarting struct {
	*singleExecutor
	x       site.Executor
	step    func(schedule.Message)
	effects []schedule.Effect // since the last call of take
	ownEnds bool              // whether the owner has given the pool up
}

// newRestarting returns a pool in which run 1 of a task is ordered from x. The order has no result yet.
func newRestarting(c *qt.C) (p *restarting, ordered port.Start) {
	p = &restarting{singleExecutor: &singleExecutor{now: 10 * time.Second}}
	p.x = site.Executor{ID: "x", Address: "x", Pool: pool, Instance: "m-x", Born: 100, Capacity: job.Resources{CPU: 8000}}
	y := site.Executor{ID: "y", Address: "y", Pool: pool, Instance: "m-y", Born: 100, Capacity: job.Resources{CPU: 9000}}
	p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000).WithConfirmation(p.now)
	p.state, _ = schedule.Recover(p.state, oneQueue, schedule.Stored{Listed: []site.Executor{p.x, y}})
	p.step = func(m schedule.Message) {
		effects := p.singleExecutor.step(m)
		for _, e := range effects {
			if _, ok := e.(schedule.StepDown); ok {
				p.ownEnds = true
			}
		}
		p.effects = append(p.effects, effects...)
	}
	sub := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 4000}, Estimate: time.Second}}}
	p.answer(100)
	p.cycles(100 * time.Millisecond)
	p.step(schedule.Submit{Token: 1, Now: p.now, Unix: 1000, Submission: sub})
	starts := p.cycles(100 * time.Millisecond)
	c.Assert(starts, qt.HasLen, 1)
	c.Assert(starts[0].Executor, qt.Equals, "x", qt.Commentf("the fullest executor with room"))
	return p, starts[0].Start
}

// answer passes the reports of both executors to heartbeats with the present tokens; x was born at a given time.
func (p *restarting) answer(born int64, runs ...port.ActiveRun) {
	p.report(fencingToken(p.state, "x"), port.ExecutorReport{Clock: 500, Born: born, Runs: runs})
	p.step(schedule.HeartbeatResult{Executor: "y", FencingToken: fencingToken(p.state, "y"), Sent: p.now, Now: p.now, Report: port.ExecutorReport{Clock: p.now.Milliseconds(), Born: 100}})
}

// report passes a report of x to a heartbeat with a token.
func (p *restarting) report(token uint64, r port.ExecutorReport) {
	p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: token, Sent: p.now, Now: p.now, Report: r})
}

// cycles runs scheduling cycles for a duration, in which all commits succeed, and returns the starts.
func (p *restarting) cycles(length time.Duration) (starts []schedule.StartRun) {
	for until := p.now + length; p.now < until; p.now += 20 * time.Millisecond {
		p.step(schedule.Tick{Now: p.now, Unix: 1000})
		p.step(schedule.RunCycle{Now: p.now})
		for _, x := range commits(p.take(&starts)) {
			p.now += 5 * time.Millisecond
			p.step(schedule.CommitResult{Now: p.now, Number: x.Number})
			p.step(schedule.RunCycle{Now: p.now})
		}
	}
	p.take(&starts)
	return starts
}

// take returns the effects since its last call and adds the starts among them to a list.
func (p *restarting) take(starts *[]schedule.StartRun) []schedule.Effect {
	effects := p.effects
	p.effects = nil
	for _, e := range effects {
		if s, ok := e.(schedule.StartRun); ok {
			*starts = append(*starts, s)
		}
	}
	return effects
}

// restart passes a report that shows that x has restarted, and returns the token of the next heartbeat.
func (p *restarting) restart(c *qt.C) (token uint64) {
	p.answer(200)
	connected := false
	for _, e := range p.effects {
		if x, ok := e.(schedule.Connect); ok && x.Executor.ID == "x" && x.Executor.Born == 200 {
			connected = true
		}
		if h, ok := e.(schedule.SendHeartbeat); ok && h.Executor == "x" {
			token = h.Heartbeat.FencingToken
		}
	}
	c.Assert(connected, qt.IsTrue, qt.Commentf("calls that wait in the channel to the former incarnation"))
	return token
}

// Guards against tasks that run twice because orders for the former incarnation of an executor start them on the present
// one, while they are started again elsewhere. Until the present one has answered a call with a higher token, any order
// may still arrive.
func TestOrdersForFormerIncarnation(t *testing.T) {
	run := func(c *qt.C) (*restarting, port.Start, uint64) {
		p, first := newRestarting(c)
		token := p.restart(c)
		c.Assert(token > first.FencingToken, qt.IsTrue)
		c.Assert(p.cycles(500*time.Millisecond), qt.HasLen, 0, qt.Commentf("before the executor has answered with the higher token"))
		return p, first, token
	}
	t.Run("started", func(t *testing.T) {
		c := qt.New(t)
		p, first, _ := run(c)
		for range 10 {
			p.answer(200, port.ActiveRun{Task: first.Task, Run: first.Run, Percent: 50})
			c.Assert(p.cycles(100*time.Millisecond), qt.HasLen, 0, qt.Commentf("run 1 is on the present incarnation"))
		}
	})
	t.Run("ended", func(t *testing.T) {
		c := qt.New(t)
		p, first, token := run(c)
		p.report(token, port.ExecutorReport{Clock: 500, Born: 200, Ended: []port.EndedRun{{Number: 1, Task: first.Task, Run: first.Run, Outcome: job.OutcomeDone}}})
		c.Assert(p.cycles(500*time.Millisecond), qt.HasLen, 0)
		c.Assert(p.state.Status(first.Task.Job).State, qt.Equals, job.Completed)
	})
	t.Run("refused", func(t *testing.T) {
		c := qt.New(t)
		p, first, token := run(c)
		p.answer(200)
		starts := p.cycles(200 * time.Millisecond)
		c.Assert(starts, qt.HasLen, 1)
		c.Assert(starts[0].Start.Run, qt.Equals, first.Run+1)
		c.Assert(starts[0].Executor != "x" || starts[0].Start.FencingToken == token, qt.IsTrue)
	})
}

// Guards against an owner that gives its pool up because an executor refuses an order for its former incarnation, and
// against one that takes late results for those of the present incarnation.
func TestResultsOfFormerIncarnation(t *testing.T) {
	c := qt.New(t)
	p, first := newRestarting(c)
	p.restart(c)
	p.step(schedule.OrderResult{Executor: "x", FencingToken: first.FencingToken, Kind: schedule.OrderStart, Task: first.Task, Run: first.Run, Now: p.now, Err: port.ErrFenced})
	p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: first.FencingToken, Sent: p.now, Now: p.now, Err: port.ErrFenced})
	c.Assert(p.ownEnds, qt.IsFalse)
	p.report(first.FencingToken, port.ExecutorReport{Clock: 9000, Born: 100, Runs: []port.ActiveRun{{Task: first.Task, Run: first.Run, Percent: 50}}})
	p.answer(200)
	c.Assert(p.cycles(200*time.Millisecond), qt.HasLen, 1, qt.Commentf("run 1 has ended with the former incarnation"))
	p.report(fencingToken(p.state, "x"), port.ExecutorReport{})
	p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Err: port.ErrFenced})
	c.Assert(p.ownEnds, qt.IsTrue, qt.Commentf("another owner has called the present incarnation"))
}

// Guards against a token of a new owner that is not above all tokens of the one before it, and against one for an executor
// that has left and returned that is not above its former one.
func TestFencingTokensRise(t *testing.T) {
	c := qt.New(t)
	p, first := newRestarting(c)
	p.step(schedule.HeartbeatResult{Executor: "y", FencingToken: fencingToken(p.state, "y"), Sent: p.now, Now: p.now, Err: errors.New("no answer")})
	before := fencingToken(p.state, "y")
	p.step(schedule.ExecutorsListed{Now: p.now, Executors: []site.Executor{p.x}})
	p.cycles(100 * time.Millisecond)
	c.Assert(fencingToken(p.state, "y"), qt.Equals, uint64(0))
	p.step(schedule.ExecutorsListed{Now: p.now, Executors: []site.Executor{p.x, {ID: "y", Address: "y", Pool: pool, Born: 100}}})
	c.Assert(fencingToken(p.state, "y") > before, qt.IsTrue)
	for range 100 {
		p.answer(p.now.Milliseconds())
		p.now += time.Millisecond
	}
	restarted := fencingToken(p.state, "x")
	c.Assert(restarted > first.FencingToken, qt.IsTrue)
	next, _ := schedule.Recover(schedule.New(pool, 3, schedule.DefaultPolicy(6*time.Second), p.now, 1000), oneQueue, schedule.Stored{Listed: []site.Executor{p.x}})
	c.Assert(fencingToken(next, "x") > restarted, qt.IsTrue)
}

// Guards against a new owner that starts the tasks of an executor that has restarted elsewhere, before that executor has
// answered. Orders of the former owner may have started them there again.
func TestTakeoverAwaitsRestartedExecutor(t *testing.T) {
	c := qt.New(t)
	sub := longRunningJob(job.Step{Count: 1})
	p := &restarting{singleExecutor: &singleExecutor{now: 10 * time.Second}}
	p.step = func(m schedule.Message) { p.effects = append(p.effects, p.singleExecutor.step(m)...) }
	executor := func(id string, born int64) site.Executor {
		return site.Executor{ID: id, Address: id, Pool: pool, Born: born, Capacity: job.Resources{CPU: 8000}}
	}
	p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000).WithConfirmation(p.now)
	p.state, _ = schedule.Recover(p.state, oneQueue, schedule.Stored{
		Jobs: []schedule.StoredJob{{ID: sub.ID, Record: job.Record{Submission: &sub}}}, Listed: []site.Executor{executor("x", 200), executor("y", 100)},
		Used: cluster.Used{Epoch: 1, Executors: []cluster.UsedExecutor{{ID: "x", Address: "x", Born: 100}, {ID: "y", Address: "y", Born: 100}}},
	})
	p.step(schedule.HeartbeatResult{Executor: "y", FencingToken: fencingToken(p.state, "y"), Sent: p.now, Now: p.now, Report: port.ExecutorReport{Clock: 1, Born: 100}})
	c.Assert(p.cycles(500*time.Millisecond), qt.HasLen, 0)
	for range 10 {
		p.answer(200, port.ActiveRun{Task: job.Task{Job: sub.ID}, Run: 1, Percent: 100})
		c.Assert(p.cycles(100*time.Millisecond), qt.HasLen, 0, qt.Commentf("run 1 is on x"))
	}
}

// Guards against tasks that are started again while their runs go on, because the lease of a restarted executor outlasts
// what its owner has extended: a call for the former incarnation asks for a time on the former clock, which the executor
// shortens to its longest lease.
func TestLeaseOfRestartedExecutorIsTheLongest(t *testing.T) {
	c := qt.New(t)
	p, first := newRestarting(c)
	token := p.restart(c)
	p.report(token, port.ExecutorReport{Clock: 500, Born: 200, Runs: []port.ActiveRun{{Task: first.Task, Run: first.Run, Percent: 50}}})
	listed := p.now
	silence := func(length time.Duration) (starts []schedule.StartRun) {
		for until := p.now + length; p.now < until; {
			p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Err: errors.New("no answer")})
			p.step(schedule.HeartbeatResult{Executor: "y", FencingToken: fencingToken(p.state, "y"), Sent: p.now, Now: p.now, Report: port.ExecutorReport{Clock: p.now.Milliseconds(), Born: 100}})
			starts = append(starts, p.cycles(100*time.Millisecond)...)
		}
		return starts
	}
	const longest = 6 * time.Second // the policy's, at a clock that may run 2% slow
	c.Assert(silence(longest*100/98-(p.now-listed)), qt.HasLen, 0)
	c.Assert(silence(time.Second), qt.HasLen, 1)
}

// Guards against an owner that another one has replaced, and that keeps runs on a restarted executor alive for longer than
// the next owner waits for it. A former owner knows of no other only after a write that follows the executor's answer.
func TestLeaseOfRestartedExecutorNeedsConfirmation(t *testing.T) {
	c := qt.New(t)
	p, first := newRestarting(c)
	token := p.restart(c)
	expiries := func() (n int) {
		for _, e := range p.effects {
			if h, ok := e.(schedule.SendHeartbeat); ok && h.Executor == "x" && h.Heartbeat.Expires != 0 {
				n++
			}
		}
		p.effects = nil
		return n
	}
	report := func() {
		p.now += 10 * time.Millisecond
		p.report(token, port.ExecutorReport{Clock: 500, Born: 200, Runs: []port.ActiveRun{{Task: first.Task, Run: first.Run, Percent: 50}}})
	}
	expiries()
	report()
	report()
	c.Assert(expiries(), qt.Equals, 0)
	p.cycles(50 * time.Millisecond)
	report()
	c.Assert(expiries(), qt.Equals, 1)
}

// Guards against a next owner that waits for a whole lease only, although an executor of the former one has restarted shortly
// before and has got a longer one by a call for its former incarnation; and against one that waits so for ever after.
func TestRecordTellsOfFormerLeases(t *testing.T) {
	c := qt.New(t)
	p, first := newRestarting(c)
	var record cluster.Used
	store := func(length time.Duration) {
		for until := p.now + length; p.now < until; p.now += 20 * time.Millisecond {
			p.answer(200, port.ActiveRun{Task: first.Task, Run: first.Run, Percent: 50})
			p.step(schedule.Tick{Now: p.now, Unix: 1000})
			p.step(schedule.RunCycle{Now: p.now})
			for _, x := range commits(p.effects) {
				for _, w := range x.Writes {
					if w.Key == cluster.PrefixUsed+pool {
						var err error
						record, err = job.Decode[cluster.Used](w.Value)
						c.Assert(err, qt.IsNil)
					}
				}
				p.effects = nil
				p.step(schedule.CommitResult{Now: p.now, Number: x.Number})
			}
			p.effects = nil
		}
	}
	store(200 * time.Millisecond)
	sub := longRunningJob(job.Step{Count: 1})
	takeOver := func() (waited time.Duration) {
		next := &singleExecutor{now: p.now}
		next.state = schedule.New(pool, 3, schedule.DefaultPolicy(6*time.Second), next.now, 1000).WithConfirmation(next.now)
		listed := p.x
		listed.Born = 200
		next.state, _ = schedule.Recover(next.state, oneQueue, schedule.Stored{
			Jobs: []schedule.StoredJob{{ID: sub.ID, Record: job.Record{Submission: &sub}}}, Used: record, FormerExited: true,
			Listed: []site.Executor{listed, {ID: "y", Address: "y", Pool: pool, Born: 100, Capacity: job.Resources{CPU: 8000}}},
		})
		for starts := 0; starts == 0 && next.now < p.now+20*time.Second; {
			next.now += 50 * time.Millisecond
			next.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(next.state, "x"), Sent: next.now, Now: next.now, Err: errors.New("no answer")})
			next.step(schedule.HeartbeatResult{Executor: "y", FencingToken: fencingToken(next.state, "y"), Sent: next.now, Now: next.now, Report: port.ExecutorReport{Clock: next.now.Milliseconds(), Born: 100}})
			starts = len(next.cycle(nil))
		}
		return next.now - p.now
	}
	const longest, whole = 6 * time.Second * 100 / 98, 5 * time.Second * 100 / 98 // leases at a clock that runs 2% slow
	waited := takeOver()
	c.Check(waited > longest-200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", waited))
	store(10 * time.Second)
	waited = takeOver()
	c.Check(waited > whole && waited < longest-200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", waited))
}
