package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	qt "github.com/frankban/quicktest"
)

// outage passes ticks and answers of x for a time in which the store answers no commit. It returns the heartbeats and the
// starts that the owner sends.
func (p *singleExecutor) outage(length time.Duration, born int64) (heartbeats []port.Heartbeat, starts int) {
	collect := func(effects []schedule.Effect) {
		for _, e := range effects {
			if x, ok := e.(schedule.SendHeartbeat); ok {
				heartbeats = append(heartbeats, x.Heartbeat)
			}
			if _, ok := e.(schedule.StartRun); ok {
				starts++
			}
		}
	}
	for end := p.now + length; p.now < end; {
		p.now += 500 * time.Millisecond
		collect(p.step(schedule.HeartbeatResult{
			Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now - 400*time.Millisecond, Now: p.now, Report: port.ExecutorReport{Clock: p.now.Milliseconds(), Born: born},
		}))
		collect(p.step(schedule.Tick{Now: p.now, Unix: 1000}))
		collect(p.step(schedule.RunCycle{Now: p.now}))
	}
	return heartbeats, starts
}

// confirm stores the record of the used executors and confirms the ownership after their first answer.
func (p *singleExecutor) confirm() {
	for range 3 {
		p.now += 50 * time.Millisecond
		p.cycle(nil)
	}
}

// Guards against an owner that extends leases for ever on the strength of its executors: a new one, which it doesn't know,
// may run its tasks for the next owner.
func TestExecutorsConfirmForLimitedTime(t *testing.T) {
	c := qt.New(t)
	p := newSingleExecutor(&site.Config{Version: 1})
	p.heartbeat()
	p.confirm()
	heartbeats, _ := p.outage(14*time.Second, 0)
	c.Assert(heartbeats[len(heartbeats)-1].Expires, qt.Not(qt.Equals), int64(0))
	p.outage(4*time.Second, 0)
	heartbeats, _ = p.outage(4*time.Second, 0)
	for _, h := range heartbeats {
		c.Assert(h.Expires, qt.Equals, int64(0))
	}
}

// Guards against an executor that has restarted and confirms an owner which another one has replaced: the new incarnation
// has seen no fencing token yet.
func TestRestartedExecutorDoesNotConfirm(t *testing.T) {
	c := qt.New(t)
	p := newSingleExecutor(&site.Config{Version: 1})
	p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Report: port.ExecutorReport{Clock: p.now.Milliseconds(), Born: 1}})
	p.confirm()
	p.outage(3*time.Second, 1)
	heartbeats, _ := p.outage(6*time.Second, 2)
	c.Assert(heartbeats[len(heartbeats)-1].Expires, qt.Equals, int64(0))
}

// Guards against an answer that ends the wait for the owner before the former one, whose executors are unknown.
func TestAnswersDoNotEndWaitOfFormerOwner(t *testing.T) {
	c := qt.New(t)
	sub := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}, LongRunning: true}}}
	config := &site.Config{Version: 1, Queues: []site.Queue{{Name: "q", Pool: pool, Attempts: 3, Stretch: 2}}}
	for _, waiting := range []bool{false, true} {
		p := &singleExecutor{now: 10 * time.Second}
		begin := p.now
		p.state = schedule.New(pool, 3, schedule.DefaultPolicy(6*time.Second), p.now, 1000).WithConfirmation(p.now)
		p.state, _ = schedule.Recover(p.state, config, schedule.Stored{
			Jobs:   []schedule.StoredJob{{ID: sub.ID, Record: job.Record{Submission: &sub}}},
			Used:   cluster.Used{Epoch: 2, Waiting: waiting, Executors: []cluster.UsedExecutor{{ID: "x", Address: "x"}, {ID: "silent", Address: "y"}}},
			Listed: []site.Executor{{ID: "x", Address: "x", Pool: pool, Capacity: job.Resources{CPU: 8000}}},
		})
		var record cluster.Used
		checked := false
		for p.now < begin+60*time.Second {
			p.now += 50 * time.Millisecond
			p.heartbeat()
			if starts := p.cycle(func(x schedule.Commit) {
				for _, w := range x.Writes {
					if w.Key == cluster.PrefixUsed+pool {
						record, _ = job.Decode[cluster.Used](w.Value) // the owner has just encoded it
					}
				}
			}); len(starts) > 0 {
				break
			}
			if !checked && p.now >= begin+time.Second {
				checked = true
				c.Check(record.Waiting, qt.Equals, waiting)
				c.Check(record.Executors, qt.HasLen, 2, qt.Commentf("the next owner has to wait for the silent one, too"))
			}
		}
		const half, whole = 7100 * time.Millisecond, 22100 * time.Millisecond
		want := half
		if waiting {
			want = whole
		}
		waited := p.now - begin
		c.Check(waited > want && waited < want+500*time.Millisecond, qt.IsTrue, qt.Commentf("waited %v", waited))
	}
}

// Guards against starts on an executor whose record is not stored, because a write of another lane has confirmed the
// ownership. The next owner would not wait for the executor.
func TestExecutorIsUsedOnceRecorded(t *testing.T) {
	c := qt.New(t)
	config := &site.Config{Version: 1, Queues: []site.Queue{{Name: "q", Pool: pool, Attempts: 3, Stretch: 2}}}
	p := newSingleExecutor(config)
	var open []schedule.Commit
	starts := 0
	cycle := func() {
		p.now += 50 * time.Millisecond
		for _, e := range append(p.step(schedule.Tick{Now: p.now, Unix: 1000}), p.step(schedule.RunCycle{Now: p.now})...) {
			if x, ok := e.(schedule.Commit); ok {
				open = append(open, x)
			}
			if _, ok := e.(schedule.StartRun); ok {
				starts++
			}
		}
	}
	p.heartbeat()
	cycle()
	c.Assert(open, qt.HasLen, 1)
	record := open[0]
	for lane := 1; lane < schedule.Lanes; lane++ { // full commits open further lanes
		for n := range 40 {
			sub := job.Submission{ID: job.ID(fmt.Sprintf("%016x", 100*lane+n)), Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 10}}}}
			p.step(schedule.Submit{Token: uint64(100*lane + n), Now: p.now, Unix: 1000, Submission: sub})
		}
		cycle()
	}
	c.Assert(len(open) > 1, qt.IsTrue)
	for _, x := range open[1:] {
		p.step(schedule.CommitResult{Now: p.now, Number: x.Number})
	}
	cycle()
	c.Assert(starts, qt.Equals, 0)
	p.step(schedule.CommitResult{Now: p.now, Number: record.Number})
	cycle()
	c.Assert(starts > 0, qt.IsTrue)
}
