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

// releasing is a pool with one executor, whose commits wait until the test answers them.
type releasing struct {
	*singleExecutor
	c       *qt.C
	commits []schedule.Commit
	extends int // heartbeats that extend the lease
	starts  int
	handed  bool
}

func (p *releasing) observe(effects []schedule.Effect) {
	p.commits = append(p.commits, commits(effects)...)
	for _, e := range effects {
		if x, ok := e.(schedule.SendHeartbeat); ok && x.Heartbeat.Expires != 0 {
			p.extends++
		}
		if _, ok := e.(schedule.StartRun); ok {
			p.starts++
		}
		if _, ok := e.(schedule.HandedOver); ok {
			p.handed = true
		}
	}
}

// pass passes a message, a tick and a scheduling cycle, and returns how many heartbeats that extend a lease and how many
// starts the owner has sent.
func (p *releasing) pass(m schedule.Message) (extends, starts int) {
	extends, starts = p.extends, p.starts
	p.now += 50 * time.Millisecond
	if m != nil {
		p.observe(p.step(m))
	}
	p.observe(p.step(schedule.Tick{Now: p.now, Unix: 1000}))
	p.observe(p.step(schedule.RunCycle{Now: p.now}))
	return p.extends - extends, p.starts - starts
}

func (p *releasing) answer() schedule.Message {
	run := port.ActiveRun{Task: job.Task{Job: "0000000000000001"}, Run: 1, Percent: 100}
	return schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Report: port.ExecutorReport{Clock: p.now.Milliseconds(), Runs: []port.ActiveRun{run}}}
}

func (p *releasing) silence() schedule.Message {
	return schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Err: errors.New("no answer")}
}

// store answers all commits that wait and returns the last record of the used executors among them.
func (p *releasing) store() (record *cluster.Used) {
	waiting := p.commits
	p.commits = nil
	for _, x := range waiting {
		for _, w := range x.Writes {
			if w.Key == cluster.PrefixUsed+pool {
				used, err := job.Decode[cluster.Used](w.Value)
				p.c.Assert(err, qt.IsNil)
				record = &used
			}
		}
		p.observe(p.step(schedule.CommitResult{Now: p.now, Number: x.Number}))
	}
	return record
}

// releaseInFlight reports whether a commit waits that releases x.
func (p *releasing) releaseInFlight() bool {
	for _, x := range p.commits {
		for _, w := range x.Writes {
			if used, err := job.Decode[cluster.Used](w.Value); w.Key == cluster.PrefixUsed+pool && err == nil && used.Executors[0].Lapse > 0 {
				return true
			}
		}
	}
	return false
}

// newReleasing recovers a pool with a run on x, and with a job that fits beside it, under a record of the used executors.
func newReleasing(c *qt.C, used cluster.UsedExecutor) *releasing {
	lasting := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 100}, LongRunning: true}}}
	p := &releasing{c: c, singleExecutor: &singleExecutor{now: 10 * time.Second}}
	p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000).WithConfirmation(p.now)
	var effects []schedule.Effect
	p.state, effects = schedule.Recover(p.state, oneQueue, schedule.Stored{
		Jobs:   []schedule.StoredJob{{ID: lasting.ID, Record: job.Record{Submission: &lasting}}},
		Listed: []site.Executor{{ID: "x", Address: "x", Pool: pool, Capacity: job.Resources{CPU: 8000}}},
		Used:   cluster.Used{Epoch: 1, Executors: []cluster.UsedExecutor{used}},
	})
	p.observe(effects)
	return p
}

// submit submits a job that fits on x.
func (p *releasing) submit() schedule.Message {
	return schedule.Submit{Token: 1, Now: p.now, Unix: 1000, Submission: job.Submission{
		ID: "0000000000000002", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 100}, Estimate: time.Second}},
	}}
}

// Guards against runs that outlive what the record tells the next owner: the owner uses an executor that the record
// releases before it has stored another one.
func TestReleasedExecutorIsUnusedUntilRecordIsStored(t *testing.T) {
	c := qt.New(t)
	p := newReleasing(c, cluster.UsedExecutor{ID: "x", Address: "x"})
	for range 6 {
		p.pass(p.answer())
		p.store()
	}
	extends, _ := p.pass(p.answer())
	c.Assert(extends, qt.Equals, 1)
	p.pass(p.silence())
	p.pass(p.submit())
	var record *cluster.Used
	for range 20 {
		p.pass(p.silence())
		if record = p.store(); record != nil && record.Executors[0].Lapse > 0 {
			break
		}
	}
	c.Assert(record, qt.IsNotNil)
	c.Assert(record.Executors[0].Lapse > 4000 && record.Executors[0].Lapse < 5300, qt.IsTrue, qt.Commentf("%d", record.Executors[0].Lapse))
	check := func(when string) {
		extends, starts := p.pass(p.answer())
		c.Assert([]int{extends, starts}, qt.DeepEquals, []int{0, 0}, qt.Commentf("%s", when))
	}
	check("the record is stored")
	check("the next one is in flight")
	record = p.store()
	c.Assert(record.Executors[0].Lapse, qt.Equals, int64(0))
	extends, starts := p.pass(p.answer())
	c.Assert([]int{extends, starts}, qt.DeepEquals, []int{1, 1})
}

// Guards against an owner that uses an executor while the record that releases it may be stored already.
func TestExecutorIsUnusedWhileItsReleaseIsInFlight(t *testing.T) {
	c := qt.New(t)
	p := newReleasing(c, cluster.UsedExecutor{ID: "x", Address: "x"})
	for range 6 {
		p.pass(p.answer())
		p.store()
	}
	p.pass(p.silence())
	p.pass(p.submit())
	for !p.releaseInFlight() {
		p.store()
		p.pass(p.silence())
	}
	for range 3 {
		extends, starts := p.pass(p.answer())
		c.Assert([]int{extends, starts}, qt.DeepEquals, []int{0, 0})
	}
	p.store()
	p.pass(p.answer())
	p.store()
	extends, starts := p.pass(p.answer())
	c.Assert([]int{extends, starts}, qt.DeepEquals, []int{1, 1})
}

// Guards against a new owner that extends leases on the strength of its own takeover, although the stored record, which
// the owner after it may read, tells that they end.
func TestNewOwnerKeepsReleaseOfFormerOne(t *testing.T) {
	c := qt.New(t)
	p := newReleasing(c, cluster.UsedExecutor{ID: "x", Address: "x", Lapse: 3000})
	for range 3 {
		extends, starts := p.pass(p.answer())
		c.Assert([]int{extends, starts}, qt.DeepEquals, []int{0, 0})
	}
	c.Assert(p.store().Executors[0].Lapse, qt.Equals, int64(0))
	extends, _ := p.pass(p.answer())
	c.Assert(extends, qt.Equals, 1)
}

// Guards against an owner that goes on giving orders after it has handed its pool over, and against one that reports the
// handover before the record which releases its executors is stored.
func TestOwnerGivesNoOrdersAfterHandover(t *testing.T) {
	c := qt.New(t)
	p := newReleasing(c, cluster.UsedExecutor{ID: "x", Address: "x"})
	for range 6 {
		p.pass(p.answer())
		p.store()
	}
	p.commits = nil
	p.pass(p.submit())
	p.store()
	extends, starts := p.pass(schedule.HandOver{Now: p.now})
	c.Assert([]int{extends, starts, len(p.commits)}, qt.DeepEquals, []int{0, 0, 1})
	c.Assert(p.handed, qt.IsFalse)
	record := p.store()
	c.Assert(record.IsReleased(), qt.IsTrue)
	c.Assert(p.handed, qt.IsTrue)
	for range 40 {
		extends, starts := p.pass(p.answer())
		c.Assert([]int{extends, starts}, qt.DeepEquals, []int{0, 0})
		p.store()
	}
}

// Guards against a wait that begins anew with each owner if none of them gets the time to hand the pool over.
func TestRecordOfReleasedExecutorIsRenewed(t *testing.T) {
	c := qt.New(t)
	p := newReleasing(c, cluster.UsedExecutor{ID: "x", Address: "x", Lapse: 5000})
	begin, last := p.now, int64(5000)
	for p.now < begin+4*time.Second {
		p.pass(p.silence())
		if record := p.store(); record != nil {
			left := 5000 - (p.now - begin).Milliseconds()
			c.Assert(record.Executors[0].Lapse, qt.Equals, left)
			last = left
		}
		c.Assert(last-(5000-(p.now-begin).Milliseconds()) <= 600, qt.IsTrue, qt.Commentf("%v after the takeover the record tells %d ms", p.now-begin, last))
	}
}

// Guards against a second run when the record of the used executors is missing although the pool had an owner.
func TestMissingRecordAwaitsListedExecutors(t *testing.T) {
	c := qt.New(t)
	p := newReleasing(c, cluster.UsedExecutor{ID: "x", Address: "x"})
	lasting := job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 100}, LongRunning: true}}}
	p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000).WithConfirmation(p.now)
	p.state, _ = schedule.Recover(p.state, oneQueue, schedule.Stored{
		Jobs: []schedule.StoredJob{{ID: lasting.ID, Record: job.Record{Submission: &lasting}}},
		Listed: []site.Executor{
			{ID: "x", Address: "x", Pool: pool, Capacity: job.Resources{CPU: 8000}}, {ID: "y", Address: "y", Pool: pool, Capacity: job.Resources{CPU: 8000}},
		},
	})
	for range 60 {
		p.pass(p.silence())
		m := p.answer().(schedule.HeartbeatResult)
		m.Executor, m.Report.Runs = "y", nil
		_, starts := p.pass(m)
		p.store()
		c.Assert(starts, qt.Equals, 0)
	}
}

// Guards against an owner that is cut off from the store and ends its wait for a silent executor by its own clock, although
// the next owner may reach the executor and keep its runs alive.
func TestWaitEndsOnlyAfterConfirmation(t *testing.T) {
	for _, lapse := range []int64{0, 4500} {
		c := qt.New(t)
		p := newReleasing(c, cluster.UsedExecutor{ID: "x", Address: "x", Lapse: lapse})
		used := cluster.Used{Epoch: 1}
		var listed []site.Executor
		for _, id := range []string{"x", "y", "z"} {
			listed = append(listed, site.Executor{ID: id, Address: id, Pool: pool, Capacity: job.Resources{CPU: 8000}})
			used.Executors = append(used.Executors, cluster.UsedExecutor{ID: id, Address: id, Lapse: lapse})
		}
		lasting := longRunningJob(job.Step{Count: 1})
		p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000).WithConfirmation(p.now)
		p.state, _ = schedule.Recover(p.state, oneQueue, schedule.Stored{
			Jobs: []schedule.StoredJob{{ID: lasting.ID, Record: job.Record{Submission: &lasting}}}, Listed: listed, Used: used,
		})
		p.commits = nil
		begin := p.now
		for p.now < begin+14*time.Second {
			for _, id := range []string{"y", "z"} {
				p.observe(p.step(schedule.HeartbeatResult{Executor: id, FencingToken: fencingToken(p.state, id), Sent: p.now, Now: p.now, Report: port.ExecutorReport{Clock: p.now.Milliseconds()}}))
			}
			_, starts := p.pass(p.silence())
			c.Assert(starts, qt.Equals, 0, qt.Commentf("%v after the takeover, lapse %d", p.now-begin, lapse))
			if p.now < begin+time.Second {
				p.store()
			}
		}
		p.store()
		starts := 0
		for range 5 {
			_, n := p.pass(p.silence())
			starts += n
			p.store()
		}
		c.Assert(starts, qt.Equals, 1)
	}
}

// Guards against a wait that is cut short because the record releases one of several silent executors: the former owner may
// have a quorum of the others.
func TestReleaseOfOneExecutorDoesNotEndWaitForOthers(t *testing.T) {
	c := qt.New(t)
	p := newReleasing(c, cluster.UsedExecutor{ID: "x", Address: "x"})
	lasting := longRunningJob(job.Step{Count: 1})
	p.state = schedule.New(pool, 2, schedule.DefaultPolicy(6*time.Second), p.now, 1000).WithConfirmation(p.now)
	p.state, _ = schedule.Recover(p.state, oneQueue, schedule.Stored{
		Jobs:   []schedule.StoredJob{{ID: lasting.ID, Record: job.Record{Submission: &lasting}}},
		Listed: []site.Executor{{ID: "x", Address: "x", Pool: pool, Capacity: job.Resources{CPU: 8000}}},
		Used: cluster.Used{Epoch: 1, Executors: []cluster.UsedExecutor{
			{ID: "x", Address: "x"}, {ID: "y", Address: "y"}, {ID: "z", Address: "z", Lapse: 100},
		}},
	})
	starts := func(length time.Duration) (n int) {
		for end := p.now + length; p.now < end; p.store() {
			m := p.answer().(schedule.HeartbeatResult)
			m.Report.Runs = nil
			_, started := p.pass(m)
			n += started
		}
		return n
	}
	c.Assert(starts(20*time.Second), qt.Equals, 0)
	c.Assert(starts(3*time.Second), qt.Equals, 1)
}
