package schedule_test

import (
	"testing"
	"time"

	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	qt "github.com/frankban/quicktest"
)

// Guards against a task that runs twice because its run is listed neither as active nor as ended: the executor has more
// unacknowledged ends than it lists at a time, which happens while the store does not answer.
func TestRunBeyondListedEndsIsNotGone(t *testing.T) {
	c := qt.New(t)
	const tasks = port.MaxListedEnds + 1
	sub := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{Count: tasks, Need: job.Resources{CPU: 1}, Estimate: time.Second}}}
	p := newSingleExecutor(&site.Config{Version: 1, Queues: []site.Queue{{Name: "q", Pool: pool, Attempts: 3}}}, sub)
	p.heartbeat()
	var starts []port.Start
	for range 5 {
		p.now += 50 * time.Millisecond
		for _, x := range p.cycle(nil) {
			starts = append(starts, x)
			p.step(schedule.OrderResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Kind: schedule.OrderStart, Task: x.Task, Run: x.Run, Now: p.now})
		}
	}
	c.Assert(starts, qt.HasLen, tasks)
	// restarts returns the starts of a cycle while the store does not answer.
	restarts := func() (n int) {
		for _, e := range append(p.step(schedule.Tick{Now: p.now, Unix: 1000}), p.step(schedule.RunCycle{Now: p.now})...) {
			if _, ok := e.(schedule.StartRun); ok {
				n++
			}
		}
		return n
	}
	report := port.ExecutorReport{Clock: p.now.Milliseconds()}
	for i, s := range starts[:port.MaxListedEnds] {
		report.Ended = append(report.Ended, port.EndedRun{Number: uint64(i + 1), Task: s.Task, Run: s.Run, Outcome: job.OutcomeDone})
	}
	for range 3 {
		p.now += 50 * time.Millisecond
		p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Report: report})
		c.Assert(restarts(), qt.Equals, 0)
	}
	report.Ended = report.Ended[1:] // an acknowledged end makes room, so the report is complete and the run has not ended
	p.now += 50 * time.Millisecond
	p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Report: report})
	c.Assert(restarts(), qt.Equals, 1)
}

// Guards against a new owner that starts tasks again that have ended as done, because the first report of their executor
// lists other ends only. The ends that it does not list yet stay in force as long as the lease is extended.
func TestTakeoverAwaitsAllEnds(t *testing.T) {
	c := qt.New(t)
	const tasks = port.MaxListedEnds + 1
	sub := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{Count: tasks, Need: job.Resources{CPU: 1}, Estimate: time.Second}}}
	p := &singleExecutor{now: 10 * time.Second}
	p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000).WithConfirmation(p.now)
	p.state, _ = schedule.Recover(p.state, oneQueue, schedule.Stored{
		Jobs:   []schedule.StoredJob{{ID: sub.ID, Record: job.Record{Submission: &sub}}},
		Listed: []site.Executor{{ID: "x", Address: "x", Pool: pool, Born: 100, Capacity: job.Resources{CPU: 8000}}},
		Used:   cluster.Used{Epoch: 1, Executors: []cluster.UsedExecutor{{ID: "x", Address: "x", Born: 100}}},
	})
	var ends []port.EndedRun
	for i := range tasks {
		ends = append(ends, port.EndedRun{Number: uint64(i + 1), Task: job.Task{Job: sub.ID, Index: i}, Run: 1, Outcome: job.OutcomeDone})
	}
	report := func(listed []port.EndedRun) {
		p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Report: port.ExecutorReport{
			Clock: p.now.Milliseconds(), Born: 100, Ended: listed,
		}})
	}
	for until := p.now + 10*time.Second; p.now < until; p.now += 100 * time.Millisecond {
		report(ends[:port.MaxListedEnds])
		c.Assert(p.cycle(nil), qt.HasLen, 0, qt.Commentf("an end is not listed yet"))
	}
	report(ends[port.MaxListedEnds:])
	c.Assert(p.cycle(nil), qt.HasLen, 0)
	c.Assert(p.state.Status(sub.ID).State, qt.Equals, job.Completed)
}
