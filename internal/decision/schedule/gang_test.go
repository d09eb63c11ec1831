package schedule_test

import (
	"errors"
	"testing"
	"time"

	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	qt "github.com/frankban/quicktest"
)

func gangJob() job.Submission {
	step := func(s job.Step) job.Step {
		s.Need, s.Estimate = job.Resources{CPU: 100}, time.Second
		return s
	}
	return job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{
		step(job.Step{Count: 2, Gang: true, MaxPerExecutor: 1}), step(job.Step{Count: 1, After: []int{0}}),
	}}
}

// Guards against a job that never goes on: one member's end as done stands for the whole gang, and the other member's end
// is lost with its executor.
func TestEndOfGangMemberRepresentsGang(t *testing.T) {
	c := qt.New(t)
	sub := gangJob()
	executor := func(id string) site.Executor {
		return site.Executor{ID: id, Address: id, Pool: pool, Capacity: job.Resources{CPU: 8000}}
	}
	p := &singleExecutor{now: 10 * time.Second}
	p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000).WithConfirmation(p.now)
	p.state, _ = schedule.Recover(p.state, oneQueue, schedule.Stored{
		Jobs: []schedule.StoredJob{{ID: sub.ID, Record: job.Record{Submission: &sub}}}, Listed: []site.Executor{executor("x"), executor("y")},
	})
	report := func(id string, ended ...port.EndedRun) []schedule.Effect {
		return p.step(schedule.HeartbeatResult{Executor: id, FencingToken: fencingToken(p.state, id), Sent: p.now, Now: p.now, Report: port.ExecutorReport{Clock: p.now.Milliseconds(), Ended: ended}})
	}
	report("x")
	report("y")
	starts := p.startsWithin(time.Second, nil)
	c.Assert(starts, qt.HasLen, 2)
	p.now += time.Second
	for _, e := range report("x", port.EndedRun{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Outcome: job.OutcomeDone}) {
		_, stopped := e.(schedule.StopRun)
		c.Check(stopped, qt.IsFalse, qt.Commentf("the other member has ended as well"))
	}
	p.step(schedule.HeartbeatResult{Executor: "y", FencingToken: fencingToken(p.state, "y"), Sent: p.now, Now: p.now, Err: errors.New("no answer")})
	next := p.startsWithin(time.Second, nil)
	c.Assert(next, qt.HasLen, 1)
	c.Assert(next[0].Task.Step, qt.Equals, 1)
	for range 200 { // until the lease of the silent executor has expired
		p.now += 50 * time.Millisecond
		report("x")
		for _, s := range p.cycle(nil) {
			c.Assert(s.Task.Step, qt.Equals, 1, qt.Commentf("no member starts again"))
		}
	}
}

// Guards against a job that never goes on after a takeover, because an earlier version has stored the end of one member
// of its gang only.
func TestStoredEndOfGangMember(t *testing.T) {
	c := qt.New(t)
	sub := gangJob()
	p := newSingleExecutor(oneQueue)
	p.state, _ = schedule.Recover(schedule.New(pool, 3, schedule.DefaultPolicy(6*time.Second), p.now, 1000), oneQueue, schedule.Stored{
		Jobs:   []schedule.StoredJob{{ID: sub.ID, Record: job.Record{Submission: &sub}, Progress: job.Progress{Steps: []job.StepProgress{{Done: []byte{2}}}}}},
		Listed: []site.Executor{{ID: "x", Address: "x", Pool: pool, Capacity: job.Resources{CPU: 8000}}},
	})
	p.heartbeat()
	starts := p.startsWithin(time.Second, nil)
	c.Assert(starts, qt.HasLen, 1)
	c.Assert(starts[0].Task.Step, qt.Equals, 1)
}

// Guards against a member of a gang that goes on running after its job has ended, because another member ended first.
func TestEndOfJobStopsGangMembers(t *testing.T) {
	c := qt.New(t)
	sub := gangJob()
	sub.Steps = []job.Step{{Count: 2, Gang: true, Need: job.Resources{CPU: 100}, Estimate: time.Second}}
	p := newSingleExecutor(oneQueue, sub)
	p.heartbeat()
	starts := p.startsWithin(time.Second, nil)
	c.Assert(starts, qt.HasLen, 2)
	effects := p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Report: port.ExecutorReport{
		Clock: p.now.Milliseconds(), Runs: []port.ActiveRun{{Task: starts[1].Task, Run: starts[1].Run}},
		Ended: []port.EndedRun{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Outcome: job.OutcomeDone}},
	}})
	for range 4 {
		p.now += 50 * time.Millisecond
		effects = append(effects, p.step(schedule.RunCycle{Now: p.now})...)
		for _, x := range commits(effects) {
			effects = append(effects, p.step(schedule.CommitResult{Now: p.now, Number: x.Number})...)
		}
	}
	var stopped []job.Task
	for _, e := range effects {
		if x, ok := e.(schedule.StopRun); ok {
			stopped = append(stopped, x.Stop.Task)
		}
	}
	c.Assert(stopped, qt.DeepEquals, []job.Task{starts[1].Task})
}
