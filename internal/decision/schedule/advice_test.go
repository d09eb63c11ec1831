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

// Guards against starts without a ticket or with an expired one, and against advice requests without a pause.
func TestStartsNeedValidTicket(t *testing.T) {
	c := qt.New(t)
	sub := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 2, Need: job.Resources{CPU: 6000}, Estimate: time.Second}}}
	p := newSingleExecutor(&site.Config{Version: 1, Queues: []site.Queue{{Name: "q", Pool: pool, Attempts: 3, Stretch: 2, Advice: &site.Advice{Valid: 2 * time.Second}}}}, sub)
	runCycle := func(after time.Duration) (starts []port.Start, requested [][]string) {
		p.now += after
		effects := p.step(schedule.Tick{Now: p.now, Unix: p.now.Milliseconds()})
		effects = append(effects, p.step(schedule.RunCycle{Now: p.now})...)
		for i := 0; i < len(effects); i++ {
			if x, ok := effects[i].(schedule.StartRun); ok {
				starts = append(starts, x.Start)
			}
			if x, ok := effects[i].(schedule.Advise); ok {
				requested = append(requested, x.Executors)
			}
			if x, ok := effects[i].(schedule.Commit); ok {
				p.now += time.Millisecond
				effects = append(effects, p.step(schedule.CommitResult{Now: p.now, Number: x.Number})...)
				effects = append(effects, p.step(schedule.RunCycle{Now: p.now})...)
			}
		}
		return starts, requested
	}
	p.heartbeat()
	var starts []port.Start
	var requested [][]string
	for range 5 { // executors are usable only once a write has confirmed the owner
		if starts, requested = runCycle(30 * time.Millisecond); len(requested) > 0 {
			break
		}
	}
	c.Assert(starts, qt.HasLen, 0)
	c.Assert(requested, qt.DeepEquals, [][]string{{"x"}})
	_, requested = runCycle(100 * time.Millisecond)
	c.Assert(requested, qt.HasLen, 0, qt.Commentf("the first request is in flight"))
	step := job.Task{Job: sub.ID}
	p.step(schedule.AdviceResult{Step: step, Now: p.now, Err: errors.New("busy")})
	_, requested = runCycle(time.Second)
	c.Assert(requested, qt.HasLen, 1, qt.Commentf("after a failed request"))
	p.step(schedule.AdviceResult{Step: step, Now: p.now, ValidFor: 2 * time.Second, Grants: []port.Grant{{Executor: "x", Ticket: "t1"}}})
	starts, _ = runCycle(10 * time.Millisecond)
	c.Assert(starts, qt.HasLen, 1)
	c.Assert(starts[0].Ticket, qt.Equals, "t1")
	p.step(schedule.OrderResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Kind: schedule.OrderStart, Task: starts[0].Task, Run: starts[0].Run, Now: p.now, Err: port.ErrTicketRejected})
	starts, requested = runCycle(time.Second)
	c.Assert(starts, qt.HasLen, 0, qt.Commentf("the executor has rejected the ticket"))
	c.Assert(requested, qt.HasLen, 1)
	p.step(schedule.AdviceResult{Step: step, Now: p.now, ValidFor: 2 * time.Second, Grants: []port.Grant{{Executor: "x", Ticket: "t2"}}})
	starts, requested = runCycle(1900 * time.Millisecond)
	c.Assert(starts, qt.HasLen, 0, qt.Commentf("the ticket may expire before it arrives"))
	c.Assert(requested, qt.HasLen, 1)
}

// Guards against starts with a ticket for a former incarnation of the executor, which the present one rejects.
func TestTicketsEndWithIncarnation(t *testing.T) {
	c := qt.New(t)
	sub := job.Submission{ID: "0000000000000001", Queue: "new", Spec: "s", Steps: []job.Step{{Count: 2, Need: job.Resources{CPU: 6000}, Estimate: time.Second}}}
	p := newSingleExecutor(version2, sub)
	report := func(r port.ExecutorReport) {
		p.now += 10 * time.Millisecond
		r.Clock, r.Born = p.now.Milliseconds(), max(r.Born, 100)
		p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Report: r})
	}
	report(port.ExecutorReport{})
	starts := p.advised()
	c.Assert(starts, qt.HasLen, 1, qt.Commentf("the executor has room for one task"))
	report(port.ExecutorReport{Born: 200})
	report(port.ExecutorReport{Born: 200})
	asked, started := 0, 0
	for range 10 {
		p.now += 20 * time.Millisecond
		effects := append(p.step(schedule.Tick{Now: p.now, Unix: 2000}), p.step(schedule.RunCycle{Now: p.now})...)
		for _, x := range commits(effects) {
			effects = append(effects, p.step(schedule.CommitResult{Now: p.now, Number: x.Number})...)
		}
		for _, e := range effects {
			if _, ok := e.(schedule.Advise); ok {
				asked++
			}
			if _, ok := e.(schedule.StartRun); ok {
				started++
			}
		}
	}
	c.Assert(started, qt.Equals, 0)
	c.Assert(asked, qt.Equals, 1)
	c.Assert(p.advised(), qt.HasLen, 1)
}
