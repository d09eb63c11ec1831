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

const movedPath = "host/path/"

// routing returns a configuration that routes movedPath to a pool.
func routing(version int64, to string) *site.Config {
	return &site.Config{Version: version, Queues: []site.Queue{{Name: "q-" + to, Host: "host", Prefix: "/path/", Pool: to, Attempts: 3}}}
}

func movedJob(id job.ID, queue string) job.Submission {
	return job.Submission{ID: id, Queue: queue, Path: movedPath, Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 10}, Estimate: time.Second}}}
}

// answers returns the answers among effects, by token.
func answers(effects []schedule.Effect) map[uint64]error {
	out := map[uint64]error{}
	for _, e := range effects {
		if a, ok := e.(schedule.Answer); ok {
			out[a.Token] = a.Err
		}
	}
	return out
}

// submitted returns the answers after a submission and the commits that follow it.
func (p *singleExecutor) submitted(m schedule.Submit) map[uint64]error {
	m.Now = p.now
	effects := p.step(m)
	for range 2 {
		p.now += 100 * time.Millisecond
		effects = append(effects, p.step(schedule.RunCycle{Now: p.now})...)
		for _, x := range commits(effects) {
			effects = append(effects, p.step(schedule.CommitResult{Now: p.now, Number: x.Number})...)
		}
	}
	return answers(effects)
}

// Guards against two pools that accept the same job: a caller repeats it at a daemon whose configuration still routes the
// path here, after another pool was told that this one has not accepted it.
func TestSubmissionAfterMoveIsNotAccepted(t *testing.T) {
	c := qt.New(t)
	const id = "0000000000000001"
	sub := movedJob(id, "q")
	for _, test := range []struct {
		name       string
		config     *site.Config // of this owner
		relinquish int64        // version of the configuration of the daemon that asked; 0 if none did
		version    int64        // of the submission
		want       error
	}{
		{"before the move", routing(1, pool), 0, 1, nil},
		{"asked, the owner has the old configuration", routing(1, pool), 2, 1, port.ErrUnknownOutcome},
		{"asked, the owner has the new configuration", routing(2, "other"), 2, 1, port.ErrUnknownOutcome},
		{"not asked, the owner has the new configuration", routing(2, "other"), 0, 1, port.ErrUnknownOutcome},
		{"the path was moved back", routing(2, "other"), 2, 3, nil},
		{"the path was moved here, the owner does not know it yet", routing(1, "other"), 0, 2, nil},
	} {
		p := newSingleExecutor(test.config)
		if test.relinquish != 0 {
			asked := answers(p.step(schedule.Relinquish{Token: 1, Now: p.now, Submission: sub, Version: test.relinquish}))
			c.Check(asked[1], qt.ErrorIs, port.ErrNoJob, qt.Commentf("%s", test.name))
		}
		got := p.submitted(schedule.Submit{Token: 2, Submission: sub, Version: test.version})
		c.Assert(got, qt.HasLen, 1, qt.Commentf("%s", test.name))
		if test.want == nil {
			c.Check(got[2], qt.IsNil, qt.Commentf("%s", test.name))
			continue
		}
		c.Check(got[2], qt.ErrorIs, test.want, qt.Commentf("%s", test.name))
	}
}

// Guards against a move that is remembered after the owner has a later configuration, by which it would refuse the jobs
// of a path that was moved back.
func TestMoveBackIsAccepted(t *testing.T) {
	c := qt.New(t)
	p := newSingleExecutor(routing(1, pool))
	p.step(schedule.Relinquish{Token: 1, Now: p.now, Submission: movedJob("0000000000000001", "q"), Version: 2})
	p.step(schedule.ConfigChanged{Config: routing(3, pool)})
	got := p.submitted(schedule.Submit{Token: 2, Submission: movedJob("0000000000000002", "q"), Version: 3})
	c.Assert(got, qt.DeepEquals, map[uint64]error{2: nil})
}

// Guards against a former pool that does not recognize a repeated job: one that has ended, was canceled, is being stored
// or has been recovered, under a queue of another name; and against taking another job with its ID for the same.
func TestRelinquishKnownJob(t *testing.T) {
	c := qt.New(t)
	const open, canceled, storing, recovered = "0000000000000001", "0000000000000002", "0000000000000003", "0000000000000004"
	p := newSingleExecutor(routing(1, pool))
	relinquish := func(sub job.Submission) map[uint64]error {
		return answers(p.step(schedule.Relinquish{Token: 9, Now: p.now, Submission: sub, Version: 2}))
	}
	c.Assert(p.submitted(schedule.Submit{Token: 1, Submission: movedJob(open, "q"), Version: 1})[1], qt.IsNil)
	c.Assert(p.submitted(schedule.Submit{Token: 2, Submission: movedJob(canceled, "q"), Version: 1})[2], qt.IsNil)
	p.step(schedule.Cancel{Token: 3, Now: p.now, ID: canceled})
	p.cycle(nil)
	for _, id := range []job.ID{open, canceled} {
		c.Check(relinquish(movedJob(id, "q-other")), qt.DeepEquals, map[uint64]error{9: nil}, qt.Commentf("job %s", id))
	}
	changed := movedJob(open, "q-other")
	changed.Spec = "t"
	c.Check(relinquish(changed)[9], qt.ErrorIs, port.ErrIDConflict)
	elsewhere := movedJob(canceled, "q")
	elsewhere.Path = "host/elsewhere/"
	c.Check(relinquish(elsewhere)[9], qt.ErrorIs, port.ErrIDConflict)

	p.step(schedule.Submit{Token: 4, Now: p.now, Submission: movedJob(storing, "q"), Version: 1})
	c.Check(relinquish(movedJob(storing, "q-other")), qt.HasLen, 0, qt.Commentf("the commit decides"))
	p.now += time.Second
	effects := p.step(schedule.RunCycle{Now: p.now})
	for _, x := range commits(effects) {
		effects = append(effects, p.step(schedule.CommitResult{Now: p.now, Number: x.Number})...)
	}
	c.Check(answers(effects), qt.DeepEquals, map[uint64]error{4: nil, 9: nil})

	sub := movedJob(recovered, "q")
	old := sub.WithQueue("q", "") // its record was written before records had the path
	s := schedule.New(pool, 3, schedule.DefaultPolicy(6*time.Second), p.now, 1000)
	s, _ = schedule.Recover(s, routing(1, pool), schedule.Stored{Jobs: []schedule.StoredJob{
		{ID: recovered, Record: job.Record{Submission: &old, Queue: "q", Digest: old.Digest()}},
		{ID: open, Record: job.Record{State: job.Completed, Queue: "q", Path: movedPath, Digest: movedJob(open, "q").Digest()}},
	}})
	p.state = s
	c.Check(relinquish(sub.WithQueue("q-other", movedPath)), qt.DeepEquals, map[uint64]error{9: nil})
	c.Check(relinquish(movedJob(open, "q-other")), qt.DeepEquals, map[uint64]error{9: nil})
}
