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

// Guards against runs of a former owner that count as lapsed as soon as their executor falls silent, because the new owner
// had no proof of its ownership when the executor answered it first, and has extended no lease itself.
func TestAdoptedRunsOutlastSilence(t *testing.T) {
	c := qt.New(t)
	sub := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}, LongRunning: true}}}
	executor := func(id string) site.Executor {
		return site.Executor{ID: id, Address: id, Pool: pool, Capacity: job.Resources{CPU: 8000}}
	}
	p := &singleExecutor{now: 10 * time.Second}
	config := &site.Config{Version: 1, Queues: []site.Queue{{Name: "q", Pool: pool, Attempts: 3, Stretch: 2}}}
	// The reads of the takeover took 2 s after the write of the epoch was sent.
	p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000).WithConfirmation(p.now - 2*time.Second)
	p.state, _ = schedule.Recover(p.state, config, schedule.Stored{
		Jobs: []schedule.StoredJob{{ID: sub.ID, Record: job.Record{Submission: &sub}}}, Listed: []site.Executor{executor("x"), executor("y")},
	})
	answer := func(id string, err error, runs ...port.ActiveRun) []schedule.Effect {
		return p.step(schedule.HeartbeatResult{Executor: id, FencingToken: fencingToken(p.state, id), Sent: p.now, Now: p.now, Err: err, Report: port.ExecutorReport{Clock: p.now.Milliseconds(), Runs: runs}})
	}
	p.now += 10 * time.Millisecond
	answer("y", nil)
	answer("x", nil, port.ActiveRun{Task: job.Task{Job: sub.ID}, Run: 1, Percent: 100}) // its lease may last 5 s from now
	adopted := p.now
	for p.now < adopted+4*time.Second {
		p.now += 50 * time.Millisecond
		answer("x", errors.New("no answer"))
		if p.now > adopted+time.Second {
			answer("y", nil)
		}
		c.Assert(p.cycle(nil), qt.HasLen, 0, qt.Commentf("%v after x has listed run 1", p.now-adopted))
	}
}

// Guards against an owner that forgets that executors may be unknown, because the owner before it found the record of the
// used executors damaged and has replaced it.
func TestLostRecordOutlastsSecondTakeover(t *testing.T) {
	c := qt.New(t)
	sub := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}, LongRunning: true}}}
	config := &site.Config{Version: 1, Queues: []site.Queue{{Name: "q", Pool: pool, Attempts: 3, Stretch: 2}}}
	jobs := []schedule.StoredJob{{ID: sub.ID, Record: job.Record{Submission: &sub}}}
	listed := []site.Executor{{ID: "x", Address: "x", Pool: pool, Capacity: job.Resources{CPU: 8000}}}
	p := &singleExecutor{now: 10 * time.Second}
	takeOver := func(epoch uint64, stored schedule.Stored) (started time.Duration, record cluster.Used) {
		stored.Jobs, stored.Listed = jobs, listed
		p.state = schedule.New(pool, epoch, schedule.DefaultPolicy(6*time.Second), p.now, 1000).WithConfirmation(p.now)
		p.state, _ = schedule.Recover(p.state, config, stored)
		begin := p.now
		for p.now < begin+3*time.Second {
			p.now += 50 * time.Millisecond
			p.heartbeat()
			starts := p.cycle(func(x schedule.Commit) {
				for _, w := range x.Writes {
					if w.Key == cluster.PrefixUsed+pool {
						var err error
						record, err = job.Decode[cluster.Used](w.Value)
						c.Assert(err, qt.IsNil)
					}
				}
			})
			if len(starts) > 0 {
				return p.now - begin, record
			}
		}
		return 0, record
	}
	started, record := takeOver(2, schedule.Stored{UsedLost: true})
	c.Assert(started, qt.Equals, time.Duration(0))
	c.Assert(record.Waiting, qt.IsTrue)
	started, _ = takeOver(3, schedule.Stored{Used: record})
	c.Assert(started, qt.Equals, time.Duration(0), qt.Commentf("the executors in the lost record may still run the task"))
}

// Guards against an owner that loads a store which refuses it: it has nothing to store, and commits again and again to
// confirm its ownership.
func TestRefusedConfirmationsAreDelayed(t *testing.T) {
	c := qt.New(t)
	sub := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 9000}}}} // fits nowhere
	p := newSingleExecutor(&site.Config{Version: 1, Queues: []site.Queue{{Name: "q", Pool: pool, Attempts: 3}}}, sub)
	commitsIn := func(length time.Duration, err error) (n int) {
		for end := p.now + length; p.now < end; {
			p.now += 50 * time.Millisecond
			p.step(schedule.Tick{Now: p.now, Unix: 1000})
			for _, x := range commits(p.step(schedule.RunCycle{Now: p.now})) {
				n++
				p.step(schedule.CommitResult{Now: p.now, Number: x.Number, Err: err})
			}
		}
		return n
	}
	p.heartbeat()
	commitsIn(time.Second, nil)
	const perSecond = 2
	c.Assert(commitsIn(10*time.Second, port.ErrRefused) <= 10*perSecond, qt.IsTrue)
}

// Guards against a warning that a task has run twice when an executor lists an end again that the former owner has stored.
func TestStoredEndIsNotRepeated(t *testing.T) {
	c := qt.New(t)
	sub := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 2, Need: job.Resources{CPU: 1000}}}}
	p := &singleExecutor{now: 10 * time.Second}
	p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000)
	p.state, _ = schedule.Recover(p.state, &site.Config{Version: 1}, schedule.Stored{
		Jobs: []schedule.StoredJob{{
			ID: sub.ID, Record: job.Record{Submission: &sub}, Progress: job.Progress{Steps: []job.StepProgress{{Done: []byte{1}}}},
		}},
		Listed: []site.Executor{{ID: "x", Address: "x", Pool: pool, Capacity: job.Resources{CPU: 8000}}},
	})
	report := port.ExecutorReport{Clock: 1, Ended: []port.EndedRun{{Number: 1, Task: job.Task{Job: sub.ID}, Run: 1, Outcome: job.OutcomeDone}}}
	for _, e := range p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Report: report}) {
		if n, ok := e.(schedule.Note); ok {
			c.Check(n.Event, qt.Not(qt.Equals), "run.repeated")
		}
	}
}

// Guards against tasks that wait for a former owner whose process has ended: its daemon has started again since, when most
// of the executors that it used are lost.
func TestEndOfFormerOwnerShortensWait(t *testing.T) {
	c := qt.New(t)
	sub := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}, LongRunning: true}}}
	config := &site.Config{Version: 1, Queues: []site.Queue{{Name: "q", Pool: pool, Attempts: 3, Stretch: 2}}}
	used := cluster.Used{Epoch: 1, Executors: []cluster.UsedExecutor{{ID: "x", Address: "x"}, {ID: "lost-1", Address: "y"}, {ID: "lost-2", Address: "z"}}}
	p := &singleExecutor{now: 10 * time.Second}
	p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000).WithConfirmation(p.now)
	p.state, _ = schedule.Recover(p.state, config, schedule.Stored{
		Jobs: []schedule.StoredJob{{ID: sub.ID, Record: job.Record{Submission: &sub}}}, Used: used,
		Listed: []site.Executor{{ID: "x", Address: "x", Pool: pool, Capacity: job.Resources{CPU: 8000}}},
	})
	startsUntil := func(end time.Duration) (n int) {
		for p.now < end {
			p.now += 50 * time.Millisecond
			p.heartbeat()
			n += len(p.cycle(nil))
		}
		return n
	}
	c.Assert(startsUntil(20*time.Second), qt.Equals, 0, qt.Commentf("the former owner may have a quorum"))
	p.step(schedule.FormerOwnerEnded{Now: p.now})
	c.Assert(startsUntil(25200*time.Millisecond), qt.Equals, 0, qt.Commentf("its leases of 5 s may not have expired on a slow clock"))
	c.Assert(startsUntil(25500*time.Millisecond) > 0, qt.IsTrue)
}
