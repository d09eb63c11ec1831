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

// newQueue is a queue with advice that only version 2 of the configuration has.
var (
	newQueue = site.Queue{Name: "new", Pool: pool, Attempts: 3, Stretch: 2, Target: time.Second, Advice: &site.Advice{Valid: time.Minute}}
	version2 = &site.Config{Version: 2, Queues: []site.Queue{{Name: "q", Pool: pool, Attempts: 3}, newQueue}}
)

// jobOfNewQueue returns a job with a task, which repeats if repeat is above 0.
func jobOfNewQueue(repeat int) job.Submission {
	return job.Submission{ID: "0000000000000001", Queue: "new", Spec: "s", Repeat: repeat, Start: 1000, Interval: time.Hour, Steps: []job.Step{
		{Count: 1, Need: job.Resources{CPU: 100}, Estimate: time.Second},
	}}
}

// advised runs cycles for a second, in which calls for advice grant a ticket, and returns the starts.
func (p *singleExecutor) advised() (starts []port.Start) {
	for until := p.now + time.Second; p.now < until; p.now += 50 * time.Millisecond {
		effects := append(p.step(schedule.Tick{Now: p.now, Unix: 2000}), p.step(schedule.RunCycle{Now: p.now})...)
		for _, x := range commits(effects) {
			p.step(schedule.CommitResult{Now: p.now, Number: x.Number})
		}
		for _, e := range effects {
			if a, ok := e.(schedule.Advise); ok {
				p.step(schedule.AdviceResult{Step: a.Step, Now: p.now, Grants: []port.Grant{{Executor: "x", Ticket: "granted"}}, ValidFor: time.Minute})
			}
			if s, ok := e.(schedule.StartRun); ok {
				starts = append(starts, s.Start)
			}
		}
	}
	return starts
}

// Guards against an accepted job that never runs: its queue is not in the owner's configuration yet, and the owner starts
// its tasks by settings of its own, without the tickets that the executors ask for. That also concerns the next owner.
func TestJobOfUnknownQueueAwaitsConfiguration(t *testing.T) {
	c := qt.New(t)
	for _, repeat := range []int{0, 1} {
		sub := jobOfNewQueue(repeat)
		var stored job.Record
		p := newSingleExecutor(oneQueue)
		p.heartbeat()
		p.advised()
		effects := append(p.step(schedule.Submit{Token: 1, Now: p.now, Unix: 1000, Submission: sub, Version: 2}), p.step(schedule.RunCycle{Now: p.now})...)
		for _, x := range commits(effects) {
			var err error
			stored, err = job.Decode[job.Record](x.Writes[0].Value)
			c.Assert(err, qt.IsNil)
			effects = append(effects, p.step(schedule.CommitResult{Now: p.now, Number: x.Number})...)
		}
		c.Assert(answers(effects), qt.DeepEquals, map[uint64]error{1: nil})
		c.Assert(p.advised(), qt.HasLen, 0)
		p.step(schedule.ConfigChanged{Config: version2})
		starts := p.advised()
		c.Assert(starts, qt.HasLen, 1)
		c.Assert(starts[0].Ticket, qt.Equals, "granted")

		next := newSingleExecutor(oneQueue)
		next.state, _ = schedule.Recover(schedule.New(pool, 3, schedule.DefaultPolicy(6*time.Second), next.now, 1000), oneQueue, schedule.Stored{
			Jobs: []schedule.StoredJob{{ID: sub.ID, Record: stored}}, Listed: []site.Executor{{ID: "x", Address: "x", Pool: pool, Capacity: job.Resources{CPU: 8000}}},
		})
		next.heartbeat()
		c.Assert(next.advised(), qt.HasLen, 0, qt.Commentf("a next owner with the old configuration"))
		next.step(schedule.ConfigChanged{Config: version2})
		c.Assert(next.advised(), qt.HasLen, 1)
	}
}

// Guards against a job that waits for ever because its queue has left the configuration again.
func TestJobOfDroppedQueueRuns(t *testing.T) {
	c := qt.New(t)
	p := newSingleExecutor(oneQueue)
	p.heartbeat()
	p.advised()
	p.step(schedule.Submit{Token: 1, Now: p.now, Unix: 1000, Submission: jobOfNewQueue(0), Version: 2})
	c.Assert(p.advised(), qt.HasLen, 0)
	p.step(schedule.ConfigChanged{Config: &site.Config{Version: 3}})
	c.Assert(p.advised(), qt.HasLen, 1)
}

// Guards against jobs that keep the settings that their queue had when they were accepted.
func TestJobsFollowSettingsOfQueue(t *testing.T) {
	c := qt.New(t)
	before := newQueue
	before.Advice = nil
	p := newSingleExecutor(&site.Config{Version: 1, Queues: []site.Queue{before}})
	p.step(schedule.Submit{Token: 1, Now: p.now, Unix: 1000, Submission: jobOfNewQueue(0), Version: 1})
	c.Assert(p.advised(), qt.HasLen, 0, qt.Commentf("the executor has not answered"))
	p.step(schedule.ConfigChanged{Config: version2})
	p.heartbeat()
	starts := p.advised()
	c.Assert(starts, qt.HasLen, 1)
	c.Assert(starts[0].Ticket, qt.Equals, "granted")
}
