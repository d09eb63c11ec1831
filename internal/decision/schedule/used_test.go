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

// Guards against a record of used executors that still names one without runs that does not answer, such as one whose
// instance has moved. The next owner would wait for the end of its lease before it starts tasks of stored jobs: 6 s after
// a loss of power, with 147 instances on their way to another pool.
func TestUsedRecordFollowsExecutors(t *testing.T) {
	c := qt.New(t)
	executor := func(id string) site.Executor {
		return site.Executor{ID: id, Address: id, Pool: pool, Capacity: job.Resources{CPU: 8000}}
	}
	p := &singleExecutor{now: 10 * time.Second}
	p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000)
	p.state, _ = schedule.Recover(p.state, &site.Config{Version: 1}, schedule.Stored{Listed: []site.Executor{executor("x"), executor("y")}})
	var recorded []string
	// cycle runs a scheduling cycle and stores what it commits.
	cycle := func() {
		p.now += 50 * time.Millisecond
		p.step(schedule.Tick{Now: p.now, Unix: 1000})
		for _, x := range commits(p.step(schedule.RunCycle{Now: p.now})) {
			for _, w := range x.Writes {
				if w.Key == cluster.PrefixUsed+pool {
					used, err := job.Decode[cluster.Used](w.Value)
					c.Assert(err, qt.IsNil)
					recorded = nil
					for _, e := range used.Executors {
						recorded = append(recorded, e.ID)
					}
				}
			}
			p.step(schedule.CommitResult{Now: p.now, Number: x.Number})
		}
	}
	answer := func(id string, err error) {
		p.step(schedule.HeartbeatResult{Executor: id, FencingToken: fencingToken(p.state, id), Sent: p.now, Now: p.now, Err: err, Report: port.ExecutorReport{Clock: p.now.Milliseconds()}})
	}
	answer("x", nil)
	answer("y", nil)
	cycle()
	cycle()
	c.Assert(recorded, qt.DeepEquals, []string{"x", "y"})
	answer("y", errors.New("connection refused"))
	cycle()
	cycle()
	c.Assert(recorded, qt.DeepEquals, []string{"x"}, qt.Commentf("y has no runs"))
	answer("y", nil)
	cycle()
	cycle()
	c.Assert(recorded, qt.DeepEquals, []string{"x", "y"})
	answer("y", errors.New("connection refused"))
	p.step(schedule.ExecutorsListed{Now: p.now, Executors: []site.Executor{executor("x")}})
	cycle()
	cycle()
	c.Assert(recorded, qt.DeepEquals, []string{"x"})
}
