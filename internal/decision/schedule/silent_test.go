package schedule_test

import (
	"errors"
	"testing"
	"time"

	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"

	qt "github.com/frankban/quicktest"
)

// attempts returns the number of heartbeats to an executor that answers none of them for a while.
func (p *singleExecutor) attempts(length time.Duration, runs ...port.ActiveRun) int {
	n := 0
	p.heartbeat(runs...)
	for until := p.now + length; p.now < until; {
		delay := length
		for _, e := range p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Err: errors.New("no answer")}) {
			if x, ok := e.(schedule.SendHeartbeat); ok {
				n, delay = n+1, x.Delay
			}
		}
		p.now += delay + time.Millisecond
	}
	return n
}

// Guards against owners that spend their time on executors whose instances have moved to another pool: these stay listed for
// seconds and refuse each connection. An executor with a run is asked often, because its lease ends.
func TestSilentExecutorWithoutRunsIsAskedSeldom(t *testing.T) {
	c := qt.New(t)
	idle := newSingleExecutor(oneQueue)
	idle.heartbeat()
	idle.confirm()
	c.Assert(idle.attempts(4*time.Second) <= 6, qt.IsTrue)

	busy := newSingleExecutor(oneQueue, longRunningJob(job.Step{Count: 1}))
	busy.heartbeat()
	starts := busy.startsWithin(time.Second, nil)
	c.Assert(starts, qt.HasLen, 1)
	c.Assert(busy.attempts(4*time.Second, port.ActiveRun{Task: starts[0].Task, Run: starts[0].Run, Percent: 100}) >= 15, qt.IsTrue)
}
