package schedule_test

import (
	"testing"
	"time"

	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var oneQueue = &site.Config{Version: 1, Queues: []site.Queue{{Name: "q", Pool: pool, Attempts: 3}}}

func longRunningJob(step job.Step) job.Submission {
	step.Need, step.LongRunning = job.Resources{CPU: 100}, true
	return job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{step}}
}

// ended passes a report in which runs have ended, with the number of the first one.
func (p *singleExecutor) ended(first uint64, outcome job.Outcome, runs ...port.Start) []schedule.Effect {
	report := port.ExecutorReport{Clock: p.now.Milliseconds()}
	for i, s := range runs {
		report.Ended = append(report.Ended, port.EndedRun{Number: first + uint64(i), Task: s.Task, Run: s.Run, Outcome: outcome})
	}
	return p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Report: report})
}

// startsWithin returns the starts of the cycles within a duration; their orders succeed.
func (p *singleExecutor) startsWithin(length time.Duration, record func(schedule.Commit)) (starts []port.Start) {
	for until := p.now + length; p.now < until; p.now += 50 * time.Millisecond {
		for _, s := range p.cycle(record) {
			starts = append(starts, s)
			p.step(schedule.OrderResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Kind: schedule.OrderStart, Task: s.Task, Run: s.Run, Now: p.now})
		}
	}
	return starts
}

// Guards against a long-running task that is not started again after its run has ended as done, and against a job that is
// shown as completed for that reason. The tasks of a gang start again together.
func TestLongRunningTaskRestartsAfterDone(t *testing.T) {
	for _, step := range []job.Step{{Count: 3}, {Count: 2, Gang: true}} {
		c := qt.New(t)
		p := newSingleExecutor(oneQueue, longRunningJob(step))
		p.heartbeat()
		starts := p.startsWithin(time.Second, nil)
		c.Assert(starts, qt.HasLen, step.Count)
		p.now += 10 * time.Second
		p.heartbeat()
		p.ended(1, job.OutcomeDone, starts...)
		again := p.startsWithin(time.Second, nil)
		c.Assert(again, qt.HasLen, step.Count)
		for _, s := range again {
			c.Check(s.Run > starts[0].Run, qt.IsTrue)
			c.Check(s.Run == again[0].Run || !step.Gang, qt.IsTrue)
		}
		c.Assert(p.state.Status("0000000000000001").State, qt.Equals, job.Running)
	}
}

// Guards against a long-running task whose current run is stopped because an earlier one, whose end is listed late, has
// ended as done.
func TestLateEndOfLongRunningTask(t *testing.T) {
	c := qt.New(t)
	p := newSingleExecutor(oneQueue, longRunningJob(job.Step{Count: 1}))
	p.heartbeat()
	starts := p.startsWithin(time.Second, nil)
	c.Assert(starts, qt.HasLen, 1)
	late := starts[0]
	late.Run-- // of a former owner
	effects := p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Report: port.ExecutorReport{
		Clock: p.now.Milliseconds(), Runs: []port.ActiveRun{{Task: starts[0].Task, Run: starts[0].Run, Percent: 100}},
		Ended: []port.EndedRun{{Number: 1, Task: late.Task, Run: late.Run, Outcome: job.OutcomeDone}},
	}})
	for _, e := range effects {
		_, stopped := e.(schedule.StopRun)
		c.Check(stopped, qt.IsFalse)
	}
	c.Check(p.startsWithin(time.Second, nil), qt.HasLen, 0)
	c.Assert(p.state.Status("0000000000000001").State, qt.Equals, job.Running)
}

// Guards against an owner that takes long-running tasks for done because the record of the job's progress says so, which
// an earlier version has written.
func TestStoredEndOfLongRunningTask(t *testing.T) {
	c := qt.New(t)
	sub := longRunningJob(job.Step{Count: 2})
	p := newSingleExecutor(oneQueue)
	p.state, _ = schedule.Recover(schedule.New(pool, 3, schedule.DefaultPolicy(6*time.Second), p.now, 1000), oneQueue, schedule.Stored{
		Jobs:   []schedule.StoredJob{{ID: sub.ID, Record: job.Record{Submission: &sub}, Progress: job.Progress{Steps: []job.StepProgress{{Done: []byte{3}}}}}},
		Listed: []site.Executor{{ID: "x", Address: "x", Pool: pool, Capacity: job.Resources{CPU: 8000}}},
	})
	p.heartbeat()
	c.Assert(p.startsWithin(time.Second, nil), qt.HasLen, 2)
}

// Guards against hundreds of starts of a long-running task that ends at once each time, against one that then waits
// longer than users accept, and against writes for ends that change nothing that is stored.
func TestLongRunningTaskThatEndsAtOnce(t *testing.T) {
	for _, outcome := range []job.Outcome{job.OutcomeDone, job.OutcomeFailed} {
		c := qt.New(t)
		p := newSingleExecutor(oneQueue, longRunningJob(job.Step{Count: 1}))
		p.heartbeat()
		runs, writes, number := 0, 0, uint64(0)
		var lastEnd, longest time.Duration
		record := func(x schedule.Commit) { writes += len(x.Writes) }
		p.startsWithin(100*time.Millisecond, nil)
		for began := p.now; p.now < began+time.Minute; {
			p.heartbeat() // extends the ownership's validity and the lease
			for _, s := range p.startsWithin(50*time.Millisecond, record) {
				if lastEnd != 0 {
					longest = max(longest, p.now-lastEnd)
				}
				runs++
				number++
				p.now += 20 * time.Millisecond
				p.ended(number, outcome, s)
				lastEnd = p.now
			}
		}
		c.Check(runs > 15 && runs < 40, qt.IsTrue, qt.Commentf("%v: %d runs in a minute", outcome, runs))
		c.Check(longest < 4*time.Second, qt.IsTrue, qt.Commentf("%v: waited for %v", outcome, longest))
		c.Check(writes, qt.Equals, 0, qt.Commentf("%v", outcome))
	}
}

// Guards against long-running tasks that have no run although there is room, whatever way their runs end, and against
// jobs that end although nobody has canceled them, under silent and restarting executors, refused writes and takeovers.
func TestLongRunningHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.IntRange(2, 4).Draw(t, "executors"))
		sim.longRunningEnd = true
		serial, lasting := 0, 0
		const maxLasting = 2 // leaves room for the other jobs
		for range rapid.IntRange(5, 25).Draw(t, "actions") {
			if lasting < maxLasting && rapid.IntRange(0, 4).Draw(t, "lasts") == 0 {
				lasting++
				sub := drawSubmission(t, serial)
				for i := range sub.Steps {
					sub.Steps[i].Need, sub.Steps[i].LongRunning, sub.Steps[i].After = job.Resources{CPU: 10, Memory: 10}, true, nil
				}
				sim.submit(sim.current(), sub)
				serial++
			} else {
				sim.randomAction(&serial)
			}
			sim.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond)
		}
		sim.longRunningEnd = false
		sim.clearFaults()
		sim.checkLongRunning()
		sim.checkOutcomes()
	})
}

// checkLongRunning fails the test if an accepted job that lasts has ended without a cancellation, or if one of its tasks
// has no run. It cancels the others.
func (sim *simulation) checkLongRunning() {
	for id, j := range sim.jobs {
		if !j.sub.LongRunning() || !j.accepted || j.cancelRequested {
			continue
		}
		if state := sim.current().state.Status(id).State; state.Final() {
			sim.t.Fatalf("job %s lasts and is %s", id, state)
		}
		for step, x := range j.sub.Steps {
			for index := range x.Count {
				task := job.Task{Job: id, Step: step, Index: index}
				if !sim.runs(task) {
					sim.t.Fatalf("%v: %v has no run, they started at %v", sim.now, task, sim.startTimes[task])
				}
			}
		}
	}
	for id, j := range sim.jobs {
		if j.sub.LongRunning() {
			sim.cancel(sim.current(), id)
		}
	}
	sim.advance(10 * time.Second)
}

// runs reports whether a task has a run on an executor that is up.
func (sim *simulation) runs(task job.Task) bool {
	for _, x := range sim.executors {
		if _, ok := x.runs[task]; ok && x.up {
			return true
		}
	}
	return false
}
