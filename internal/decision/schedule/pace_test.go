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

// single is a pool with one executor that answers every call, on a clock that the test moves.
type single struct {
	state schedule.State
	now   time.Duration
}

// newSingle recovers a pool whose store holds the jobs.
func newSingle(c *site.Config, jobs ...job.Submission) *single {
	p := &single{now: 10 * time.Second}
	p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000)
	var stored []schedule.Stored
	for _, j := range jobs {
		stored = append(stored, schedule.Stored{ID: j.ID, Record: job.Record{Submission: &j}})
	}
	p.state, _ = schedule.Recover(p.state, c, stored, []site.Executor{{ID: "x", Address: "x", Pool: pool, Capacity: job.Resources{CPU: 8000}}})
	return p
}

// step passes a message on and returns the effects.
func (p *single) step(m schedule.Message) []schedule.Effect {
	var effects []schedule.Effect
	p.state, effects = schedule.Step(p.state, m)
	return effects
}

// hold answers a hold with runs.
func (p *single) hold(runs ...port.ActiveRun) []schedule.Effect {
	return p.step(schedule.Held{Executor: "x", Sent: p.now, Now: p.now, Holding: port.ExecutorReport{Clock: p.now.Milliseconds(), Runs: runs}})
}

// Guards against fillers that go on beside a serving task over its target, which may last 4 s at most, and that never
// come back once it has recovered.
func TestPaceKeepsTargets(t *testing.T) {
	c := qt.New(t)
	const target = 100 * time.Millisecond
	serving := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 100}, LongRunning: true, LatencyTarget: target}}}
	filling := job.Submission{ID: "0000000000000002", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 100}, LongRunning: true, BestEffort: true}}}
	p := newSingle(&site.Config{Version: 1, Queues: []site.Queue{{Name: "q", Pool: pool, Attempts: 3}}}, serving, filling)
	paces := func(tail float64) (percents []int) {
		p.now += 500 * time.Millisecond
		for _, e := range p.hold(
			port.ActiveRun{Task: job.Task{Job: serving.ID}, Run: 1, Percent: 100, Metric: tail},
			port.ActiveRun{Task: job.Task{Job: filling.ID}, Run: 1, Percent: 100},
		) {
			if x, ok := e.(schedule.PaceRun); ok {
				c.Assert(x.Pace.Task.Job, qt.Equals, filling.ID)
				percents = append(percents, x.Pace.Percent)
			}
		}
		return percents
	}
	c.Assert(paces(50), qt.HasLen, 0)
	c.Assert(paces(95), qt.DeepEquals, []int{50}, qt.Commentf("close to the target"))
	c.Assert(paces(130), qt.DeepEquals, []int{0}, qt.Commentf("over the target"))
	c.Assert(paces(80), qt.HasLen, 0, qt.Commentf("too close to let it back"))
	last := 0
	for range 40 {
		for _, percent := range paces(30) {
			c.Assert(percent > last, qt.IsTrue)
			last = percent
		}
	}
	c.Assert(last, qt.Equals, 100)
}
