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

// commits returns the Commit effects.
func commits(effects []schedule.Effect) []schedule.Commit {
	var out []schedule.Commit
	for _, e := range effects {
		if c, ok := e.(schedule.Commit); ok {
			out = append(out, c)
		}
	}
	return out
}

// answered returns the tokens of the Answer effects without an error.
func answered(effects []schedule.Effect) []uint64 {
	var tokens []uint64
	for _, e := range effects {
		if a, ok := e.(schedule.Answer); ok && a.Err == nil {
			tokens = append(tokens, a.Token)
		}
	}
	return tokens
}

// submitBatch submits jobs with the tokens 1 to n and returns the effects of the cycle that follows.
func submitBatch(p *singleExecutor, n int) []schedule.Effect {
	for i := range n {
		sub := job.Submission{ID: job.ID(fmt.Sprintf("%016x", i+1)), Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1}, Estimate: time.Minute}}}
		p.step(schedule.Submit{Token: uint64(i + 1), Now: p.now, Unix: 1000, Submission: sub})
	}
	return p.step(schedule.RunCycle{Now: p.now})
}

// Guards against a surge of jobs that wait for one another's commits: with one commit in flight at a time, jobs started
// up to 0.9 s after their submission when 290 came in a second. Also guards against two commits in flight that contain
// the same job, and against answers before a job's own commit has succeeded.
func TestCommitLanes(t *testing.T) {
	c := qt.New(t)
	p := newSingleExecutor(&site.Config{Version: 1})
	p.now += time.Second
	inFlight := commits(submitBatch(p, 120))
	c.Assert(len(inFlight), qt.Equals, schedule.Lanes)
	lanes, keys := map[int]bool{}, map[string]bool{}
	for _, x := range inFlight {
		c.Check(lanes[x.Lane], qt.IsFalse)
		lanes[x.Lane] = true
		for _, w := range x.Writes {
			c.Check(keys[w.Key], qt.IsFalse, qt.Commentf("%s is in two commits", w.Key))
			keys[w.Key] = true
		}
	}
	third := inFlight[2]
	effects := p.step(schedule.CommitResult{Now: p.now, Number: third.Number})
	c.Assert(len(answered(effects)), qt.Equals, len(third.Writes))
	for _, token := range answered(effects) {
		key := fmt.Sprintf("teaselloft/job/%s/%016x", pool, token)
		found := false
		for _, w := range third.Writes {
			found = found || w.Key == key
		}
		c.Check(found, qt.IsTrue, qt.Commentf("%s is answered before it is stored", key))
	}
}

// Guards against a second call to the store for a few changes that the next commit can take along.
func TestPartialCommitWaits(t *testing.T) {
	c := qt.New(t)
	p := newSingleExecutor(&site.Config{Version: 1})
	p.now += time.Second
	first := commits(submitBatch(p, 3))
	c.Assert(len(first), qt.Equals, 1)
	sub := job.Submission{ID: "00000000000000ff", Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1}}}}
	p.step(schedule.Submit{Token: 99, Now: p.now, Unix: 1000, Submission: sub})
	c.Assert(commits(p.step(schedule.RunCycle{Now: p.now})), qt.HasLen, 0)
	p.step(schedule.CommitResult{Now: p.now, Number: first[0].Number})
	p.now += time.Second
	c.Assert(commits(p.step(schedule.RunCycle{Now: p.now})), qt.HasLen, 1)
}

// Guards against an acknowledgement of ended runs whose effects are in a commit of another lane that has not succeeded.
func TestAcknowledgementWaitsForAllLanes(t *testing.T) {
	c := qt.New(t)
	p := newSingleExecutor(&site.Config{Version: 1, Queues: []site.Queue{{Name: "q", Attempts: 3, Stretch: 2}}})
	p.now += time.Second
	p.heartbeat()
	p.now += time.Second
	for _, x := range commits(submitBatch(p, 100)) {
		p.step(schedule.CommitResult{Now: p.now, Number: x.Number})
	}
	p.now += time.Second
	var started []port.Start
	for _, e := range append(p.step(schedule.Tick{Now: p.now, Unix: 2000}), p.step(schedule.RunCycle{Now: p.now})...) {
		if e, ok := e.(schedule.StartRun); ok {
			started = append(started, e.Start)
		}
	}
	c.Assert(len(started) > 60, qt.IsTrue, qt.Commentf("%d tasks were started", len(started)))
	var ended []port.EndedRun
	for i, s := range started {
		ended = append(ended, port.EndedRun{Number: uint64(i + 1), Task: s.Task, Run: s.Run, Outcome: job.OutcomeDone})
	}
	p.now += time.Second
	p.step(schedule.HeartbeatResult{Executor: "x", FencingToken: fencingToken(p.state, "x"), Sent: p.now, Now: p.now, Report: port.ExecutorReport{Clock: p.now.Milliseconds(), Ended: ended}})
	inFlight := commits(p.step(schedule.RunCycle{Now: p.now}))
	c.Assert(len(inFlight) >= 2, qt.IsTrue)
	for i, x := range inFlight {
		effects := append(p.step(schedule.CommitResult{Now: p.now, Number: x.Number}), p.step(schedule.RunCycle{Now: p.now})...)
		for _, e := range effects {
			if e, ok := e.(schedule.SendHeartbeat); ok && i < len(inFlight)-1 {
				c.Check(int(e.Heartbeat.Ack) < len(ended), qt.IsTrue, qt.Commentf("all ends are acknowledged after %d of %d commits", i+1, len(inFlight)))
			}
		}
	}
}

// Guards against a task that runs more often than its queue allows: its last allowed run fails while the store has yet to
// refuse a cancellation of the job.
func TestRunFailsDuringRefusedCancellation(t *testing.T) {
	c := qt.New(t)
	config := &site.Config{Version: 1, Queues: []site.Queue{{Name: "q", Pool: pool, Attempts: 1}}}
	sub := waitingJobs(1, "aaaaaaaa", job.Resources{CPU: 100}, time.Second)[0]
	p := newSingleExecutor(config, sub)
	p.heartbeat()
	starts := p.startsWithin(time.Second, nil)
	c.Assert(starts, qt.HasLen, 1)
	p.step(schedule.Cancel{Token: 2, Now: p.now, ID: sub.ID})
	inFlight := commits(p.step(schedule.RunCycle{Now: p.now}))
	c.Assert(inFlight, qt.HasLen, 1)
	p.ended(1, job.OutcomeFailed, starts...)
	p.step(schedule.CommitResult{Now: p.now, Number: inFlight[0].Number, Err: port.ErrRefused})
	p.now += time.Second
	c.Assert(p.startsWithin(3*time.Second, nil), qt.HasLen, 0)
	c.Assert(p.state.Status(sub.ID).State, qt.Equals, job.Failed)
}
