package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	qt "github.com/frankban/quicktest"
)

// waitingJobs returns jobs of one step with the given need, whose IDs begin with a prefix.
func waitingJobs(n int, prefix string, need job.Resources, estimate time.Duration) []job.Submission {
	jobs := make([]job.Submission, 0, n)
	for i := range n {
		jobs = append(jobs, job.Submission{
			ID: job.ID(fmt.Sprintf("%s%08x", prefix, i)), Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: need, Estimate: estimate}},
		})
	}
	return jobs
}

// startedWithin returns the IDs of the jobs that are started within a duration while the executor answers.
func (p *singleExecutor) startedWithin(length time.Duration) map[job.ID]bool {
	started := map[job.ID]bool{}
	for until := p.now + length; p.now < until; {
		p.heartbeat()
		for _, s := range p.startsWithin(50*time.Millisecond, nil) {
			started[s.Task.Job] = true
		}
	}
	return started
}

// Guards against jobs that fit on no executor and keep others from being started, although there is room: each cycle
// looked at the first 100 task sets without room only. Such a job starts once a larger executor is listed.
func TestOversizedJobsDoNotBlockOthers(t *testing.T) {
	c := qt.New(t)
	oversized := waitingJobs(150, "aaaaaaaa", job.Resources{CPU: 100, Memory: 1 << 16}, time.Millisecond)
	small := waitingJobs(1, "bbbbbbbb", job.Resources{CPU: 100}, time.Minute)
	p := newSingleExecutor(oneQueue, append(oversized, small...)...)
	c.Assert(p.startedWithin(time.Second), qt.DeepEquals, map[job.ID]bool{small[0].ID: true})
	c.Assert(p.state.Summary().Oversized, qt.Equals, 150)

	larger := site.Executor{ID: "x", Address: "x", Pool: pool, Capacity: job.Resources{CPU: 8000, Memory: 1 << 16}}
	p.step(schedule.ExecutorsListed{Now: p.now, Executors: []site.Executor{larger}})
	c.Assert(p.state.Summary().Oversized, qt.Equals, 0)
	c.Assert(p.startedWithin(time.Second)[oversized[0].ID], qt.IsTrue)
}

// Guards against ready work that is never looked at behind hundreds of task sets that fit on the executors but have no
// room for now.
func TestWaitingJobsDoNotBlockOthers(t *testing.T) {
	c := qt.New(t)
	large := waitingJobs(2000, "aaaaaaaa", job.Resources{CPU: 8000}, time.Millisecond)
	small := waitingJobs(1, "bbbbbbbb", job.Resources{CPU: 100}, time.Hour)
	running := job.Submission{ID: "cccccccc00000000", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 100}, LongRunning: true}}}
	p := newSingleExecutor(oneQueue, append(append(large, small...), running)...)
	p.heartbeat()
	on := port.ActiveRun{Task: job.Task{Job: running.ID}, Run: 1, Percent: 100}
	started := map[job.ID]bool{}
	for until := p.now + 5*time.Second; p.now < until; p.now += 50 * time.Millisecond {
		p.heartbeat(on)
		for _, s := range p.cycle(nil) {
			started[s.Task.Job] = true
		}
	}
	c.Assert(started[small[0].ID], qt.IsTrue)
	c.Assert(started[large[0].ID], qt.IsFalse)
}

// The time of a scheduling cycle while task sets wait that fit on no executor.
func BenchmarkCycle(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprintf("oversized=%d", n), func(b *testing.B) {
			p := newSingleExecutor(oneQueue, waitingJobs(n, "aaaaaaaa", job.Resources{CPU: 100, Memory: 1 << 16}, time.Millisecond)...)
			p.startedWithin(200 * time.Millisecond)
			p.step(schedule.Tick{Now: p.now, Unix: 1000})
			b.ResetTimer()
			for range b.N {
				_, _ = schedule.Step(p.state, schedule.RunCycle{Now: p.now})
			}
		})
	}
}
