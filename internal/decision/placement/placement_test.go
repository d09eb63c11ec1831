package placement_test

import (
	"fmt"
	"testing"
	"time"

	"teaselloft/internal/decision/placement"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// simulation applies the effects to simulated workers and keeps track of where jobs run.
type simulation struct {
	state         placement.State
	now           time.Time
	places        map[string]string // worker by job, for jobs that may be running
	sizes         map[string]placement.Size
	workers       map[string]placement.Worker
	unschedulable map[string]string // reason by job
	quarantined   map[string]bool
	checkpointing []string // jobs with a checkpoint in progress
	violation     error    // first violated invariant, nil if none
}

func newSimulation(workers int, size placement.Size, quota fleet.Quota) *simulation {
	s := &simulation{
		state: placement.New(placement.Defaults()), now: start,
		places: map[string]string{}, sizes: map[string]placement.Size{}, workers: map[string]placement.Worker{},
		unschedulable: map[string]string{}, quarantined: map[string]bool{},
	}
	s.step(placement.ConfigChanged{Teams: []fleet.Team{{Name: "halyard", Quota: quota}}})
	for n := range workers {
		w := placement.Worker{ID: fmt.Sprintf("w%03d", n), Size: size}
		s.workers[w.ID] = w
		s.step(placement.WorkerHeartbeat{Now: s.now, Worker: w})
	}
	return s
}

func (s *simulation) step(m placement.Message) []placement.Effect {
	var effects []placement.Effect
	s.state, effects = placement.Step(s.state, m)
	for _, e := range effects {
		s.apply(e)
	}
	return effects
}

func (s *simulation) apply(e placement.Effect) {
	switch e := e.(type) {
	case placement.Run:
		if at, ok := s.places[e.Job]; ok && s.violation == nil {
			s.violation = fmt.Errorf("job %s runs on %s and on %s", e.Job, at, e.Worker)
		}
		s.places[e.Job], s.sizes[e.Job] = e.Worker, e.Size
		s.checkWorker(e.Worker)
	case placement.Stop:
		delete(s.places, e.Job)
	case placement.Checkpoint:
		s.checkpointing = append(s.checkpointing, e.Job)
	case placement.MarkUnschedulable:
		s.unschedulable[e.Job] = e.Reason
	case placement.Quarantine:
		s.quarantined[e.Worker] = true
	case placement.Readmit:
		delete(s.quarantined, e.Worker)
	case placement.Throttle:
	}
}

func (s *simulation) checkWorker(id string) {
	var sum placement.Size
	for job, at := range s.places {
		if at == id {
			sum = sum.Plus(s.sizes[job])
		}
	}
	if !sum.Fits(s.workers[id].Size) && s.violation == nil {
		s.violation = fmt.Errorf("worker %s holds %+v", id, sum)
	}
}

// tick advances the clock, renews every lease and places queued jobs.
func (s *simulation) tick(d time.Duration) []placement.Effect {
	s.now = s.now.Add(d)
	for _, w := range s.workers {
		s.step(placement.WorkerHeartbeat{Now: s.now, Worker: w})
	}
	return s.step(placement.Tick{Now: s.now})
}

func (s *simulation) submit(id string, class message.Class, size placement.Size) {
	s.step(placement.Submit{Now: s.now, Job: placement.Job{ID: id, Team: "halyard", Kind: "k", Class: class, Declared: size}})
}

func (s *simulation) start() {
	for job := range s.places {
		s.step(placement.JobStarted{Now: s.now, Job: job})
	}
}

var (
	workerSize = placement.Size{Cores: 16, Memory: 64}
	largeQuota = fleet.Quota{Cores: 1000, Memory: 4000, Accelerators: 10}
	small      = placement.Size{Cores: 1, Memory: 2}
)

// Guards against jobs that can never run and block others, or are dropped without a reason for the operator.
func TestUnschedulableJobsAreReportedWithReason(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(3, workerSize, fleet.Quota{Cores: 100, Memory: 200, Accelerators: 1})
	s.submit("cores", message.Urgent, placement.Size{Cores: 17, Memory: 1})
	s.submit("quota", message.Normal, placement.Size{Cores: 1, Memory: 201})
	s.submit("accelerators", message.Normal, placement.Size{Cores: 1, Accelerators: 1})
	s.submit("fine", message.Background, small)
	s.tick(time.Second)
	c.Assert(s.unschedulable, qt.DeepEquals, map[string]string{
		"cores":        "needs 17 cores, more than the 16 of the largest worker",
		"quota":        `needs 201 GB memory, more than the 200 of quota of team "halyard"`,
		"accelerators": "needs 1 accelerators, more than the 0 of the largest worker",
	})
	c.Assert(s.places["fine"], qt.Not(qt.Equals), "")
	s.workers["big"] = placement.Worker{ID: "big", Size: placement.Size{Cores: 32, Memory: 64}}
	s.tick(time.Second)
	c.Assert(s.places["cores"], qt.Equals, "big")
}

// Guards against urgent jobs that stay queued while background jobs occupy every worker.
func TestUrgentJobsPreemptBackgroundJobs(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(2, workerSize, largeQuota)
	for n := range 8 {
		s.submit(fmt.Sprint("b", n), message.Background, placement.Size{Cores: 4, Memory: 16})
		s.tick(time.Second)
		s.start()
	}
	s.submit("urgent", message.Urgent, placement.Size{Cores: 8, Memory: 8})
	began := s.now
	for s.places["urgent"] == "" && s.now.Sub(began) < time.Minute {
		s.tick(time.Second)
		for _, id := range s.checkpointing {
			delete(s.places, id)
			s.step(placement.JobCheckpointed{Now: s.now, Job: id})
		}
		c.Assert(len(s.checkpointing) <= 2, qt.IsTrue)
		s.checkpointing = nil
	}
	c.Assert(s.now.Sub(began) <= 6700*time.Millisecond, qt.IsTrue, qt.Commentf("after %s", s.now.Sub(began)))
	c.Assert(s.violation, qt.IsNil)
}

// Guards against a worker that is given jobs although it fails all of them, or that is never readmitted.
func TestFailingWorkerIsQuarantinedAndReadmitted(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(2, workerSize, largeQuota)
	failed := 0
	round := func(broken bool) {
		s.submit(fmt.Sprint("j", s.now.UnixNano()), message.Normal, small)
		s.tick(time.Second)
		for job, at := range s.places {
			if broken && at == "w000" {
				failed++
				delete(s.places, job)
				s.step(placement.StartFailed{Now: s.now, Job: job})
				continue
			}
			delete(s.places, job)
			s.step(placement.JobStarted{Now: s.now, Job: job})
			s.step(placement.JobFinished{Now: s.now, Job: job, Peak: small})
		}
	}
	for range 2 * 3600 {
		round(true)
	}
	c.Assert(s.quarantined["w000"], qt.IsTrue)
	c.Assert(failed > 0 && failed <= 8, qt.IsTrue, qt.Commentf("%d jobs failed to start", failed))
	for range 20 * 3600 {
		if !s.quarantined["w000"] {
			break
		}
		round(false)
	}
	c.Assert(s.quarantined["w000"], qt.IsFalse)
}

// Guards against canceled jobs that still run, and against resources that stay reserved for canceled jobs.
func TestCanceledJobsReleaseResources(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, workerSize, largeQuota)
	var ids []string
	for n := range 40 {
		ids = append(ids, fmt.Sprint("j", n))
		s.submit(ids[n], message.Normal, placement.Size{Cores: 6, Memory: 10})
	}
	s.tick(time.Second)
	c.Assert(s.places, qt.HasLen, 2)
	effects := s.step(placement.Cancel{Now: s.now, Jobs: ids})
	c.Assert(effects, qt.HasLen, 2)
	c.Assert(s.places, qt.HasLen, 0)
	s.submit("all", message.Normal, workerSize)
	s.tick(time.Second)
	c.Assert(s.places, qt.DeepEquals, map[string]string{"all": "w000"})
}

// Guards against urgent jobs that preempt a recently started job instead of a straggler, and against a straggler that
// runs twice.
func TestStragglerIsPreemptedForUrgentJob(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(2, workerSize, largeQuota)
	run := func(id string) {
		s.submit(id, message.Normal, placement.Size{Cores: 16, Memory: 64})
		s.tick(time.Second)
		s.start()
	}
	finish := func(id string) {
		s.now = s.now.Add(2 * time.Second)
		s.end(placement.JobFinished{Now: s.now, Job: id, Peak: placement.Size{Cores: 13, Memory: 50}})
	}
	for n := range 5 {
		run(fmt.Sprint("j", n))
		finish(fmt.Sprint("j", n))
	}
	run("first")
	run("slow")
	finish("first")
	for range 10 {
		s.tick(time.Second)
	}
	run("fresh")
	c.Assert(s.places, qt.DeepEquals, map[string]string{"fresh": "w000", "slow": "w001"})
	s.submit("urgent", message.Urgent, placement.Size{Cores: 16, Memory: 64})
	s.tick(time.Second)
	s.tick(time.Second)
	c.Assert(s.checkpointing, qt.DeepEquals, []string{"slow"})
	delete(s.places, "slow")
	s.step(placement.JobCheckpointed{Now: s.now, Job: "slow"})
	s.tick(time.Second)
	c.Assert(s.places["urgent"], qt.Equals, "w001")
	c.Assert(s.violation, qt.IsNil)
}

// Guards against urgent jobs that stay queued when only normal jobs could be preempted, or that preempt urgent jobs.
func TestUrgentJobsPreemptNormalButNotUrgentJobs(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(2, workerSize, largeQuota)
	s.submit("first", message.Urgent, workerSize)
	s.tick(time.Second)
	s.submit("normal", message.Normal, workerSize)
	s.tick(time.Second)
	s.start()
	s.submit("urgent", message.Urgent, small)
	for range 3 {
		s.tick(time.Second)
	}
	c.Assert(s.checkpointing, qt.DeepEquals, []string{"normal"})
}

// Guards against wrong sizes that persist: learned sizes replace declared ones, and a job that exceeds its size is
// throttled or checkpointed.
func TestLearnedSizesReplaceDeclaredOnes(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, workerSize, largeQuota)
	for n := range 6 {
		id := fmt.Sprint("j", n)
		s.submit(id, message.Normal, placement.Size{Cores: 10, Memory: 20})
		s.tick(time.Second)
		s.start()
		delete(s.places, id)
		s.step(placement.JobFinished{Now: s.now, Job: id, Peak: small})
	}
	s.submit("learned", message.Normal, placement.Size{Cores: 10, Memory: 20})
	s.tick(time.Second)
	c.Assert(s.sizes["learned"].Cores < 2, qt.IsTrue)
	s.start()
	s.submit("filler", message.Urgent, placement.Size{Cores: 10, Memory: 20})
	effects := s.step(placement.UsageReported{Now: s.now, Jobs: map[string]placement.Size{"learned": {Cores: 40, Memory: 2}}})
	c.Assert(effects, qt.DeepEquals, []placement.Effect{placement.Throttle{Job: "learned", Worker: "w000", Size: s.sizes["learned"]}})
	effects = s.step(placement.UsageReported{Now: s.now, Jobs: map[string]placement.Size{"learned": {Cores: 1, Memory: 70}}})
	c.Assert(effects, qt.HasLen, 1)
	c.Assert(effects[0].(placement.Checkpoint).Job, qt.Equals, "learned")
	s.tick(time.Second)
	c.Assert(s.places["learned"], qt.Equals, "w000", qt.Commentf("it was placed again before its checkpoint was complete"))
	c.Assert(s.violation, qt.IsNil)
}

// Guards against jobs that run twice, overcommitted workers and exceeded quotas.
func TestPlacementInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := fleet.Quota{Cores: 24, Memory: 96}
		s := newSimulation(4, workerSize, quota)
		lost := map[string]time.Time{}
		next := 0
		pick := func(t *rapid.T) string {
			if next == 0 {
				t.Skip("no job")
			}
			return fmt.Sprint("j", rapid.IntRange(0, next-1).Draw(t, "job"))
		}
		running := func(t *rapid.T) string {
			id := pick(t)
			if s.places[id] == "" || !lost[s.places[id]].IsZero() {
				t.Skip("not running")
			}
			return id
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				size := placement.Size{
					Cores: float64(rapid.IntRange(1, 17).Draw(t, "cores")), Memory: float64(rapid.IntRange(1, 65).Draw(t, "memory")),
				}
				class := rapid.SampledFrom([]message.Class{message.Urgent, message.Normal, message.Background}).Draw(t, "class")
				s.submit(fmt.Sprint("j", next), class, size)
				next++
			},
			"time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
				for id, w := range s.workers {
					if lost[id].IsZero() {
						s.step(placement.WorkerHeartbeat{Now: s.now, Worker: w})
					} else if s.now.Sub(lost[id]) >= placement.Defaults().LeaseDuration {
						s.evict(id) // the worker stopped its jobs when its lease expired
					}
				}
				s.step(placement.Tick{Now: s.now})
			},
			"start":  func(t *rapid.T) { s.step(placement.JobStarted{Now: s.now, Job: running(t)}) },
			"finish": func(t *rapid.T) { s.end(placement.JobFinished{Now: s.now, Job: running(t), Peak: small}) },
			"fail":   func(t *rapid.T) { s.fail(running(t)) },
			"cancel": func(t *rapid.T) { s.step(placement.Cancel{Now: s.now, Jobs: []string{pick(t)}}) },
			"use": func(t *rapid.T) {
				id := running(t)
				measured := placement.Size{Cores: float64(rapid.IntRange(1, 40).Draw(t, "cores")), Memory: float64(rapid.IntRange(1, 70).Draw(t, "memory"))}
				s.step(placement.UsageReported{Now: s.now, Jobs: map[string]placement.Size{id: measured}})
			},
			"save": func(*rapid.T) {
				for _, id := range s.checkpointing {
					if lost[s.places[id]].IsZero() {
						delete(s.places, id)
						s.step(placement.JobCheckpointed{Now: s.now, Job: id})
					}
				}
				s.checkpointing = nil
			},
			"lose": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"w000", "w001"}).Draw(t, "worker")
				if lost[id].IsZero() {
					lost[id] = s.now
				}
			},
			"": func(t *rapid.T) {
				var sum placement.Size
				for id := range s.places {
					sum = sum.Plus(s.sizes[id])
				}
				limit := placement.Size{Cores: float64(quota.Cores), Memory: float64(quota.Memory)}
				if s.violation == nil && !sum.Fits(limit) {
					s.violation = fmt.Errorf("the team holds %+v of its quota", sum)
				}
				if s.violation != nil {
					t.Fatal(s.violation)
				}
			},
		})
	})
}

// fail reports a failed start, which is ignored unless the job is starting.
func (s *simulation) fail(id string) {
	before := s.places[id]
	s.step(placement.StartFailed{Now: s.now, Job: id})
	if s.state.WorkerOf(id) != before {
		delete(s.places, id)
	}
}

func (s *simulation) end(m placement.JobFinished) {
	delete(s.places, m.Job)
	s.step(m)
}

func (s *simulation) evict(worker string) {
	for id, at := range s.places {
		if at == worker {
			delete(s.places, id)
		}
	}
}
