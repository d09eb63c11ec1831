package schedule

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// host is an executor while tasks are placed; unlike the state it changes as they are.
type host struct {
	e    executorState
	free job.Resources
}

// hosts returns the executors on which tasks may be started.
func (s State) hosts() []*host {
	var all []*host
	s.each(func(e executorState) {
		if e.usable(s.now, s.confirmed) {
			all = append(all, &host{e: e, free: e.info.Capacity.Minus(e.taken)})
		}
	})
	return all
}

// place starts ready tasks in order of rank where there is room.
func (t *turn) place() {
	if !t.s.mustPump {
		return
	}
	t.s.mustPump = false
	hosts := t.s.hosts()
	if len(hosts) == 0 {
		return
	}
	room := largest(hosts)
	for i := t.s.ready.Iterator(); !i.Done(); {
		r, p, _ := i.Next()
		if r.class == classInTime && t.s.late(p) {
			t.s = t.s.withRank(p.job, p.work) // it comes again, as late
			t.s.mustPump = true
			continue
		}
		if t.placeWork(hosts, p, room) {
			room = largest(hosts)
		}
	}
}

// largest returns the most of each resource that is free on one executor.
func largest(hosts []*host) job.Resources {
	var r job.Resources
	for _, h := range hosts {
		r = job.Resources{CPU: max(r.CPU, h.free.CPU), Memory: max(r.Memory, h.free.Memory), GPU: max(r.GPU, h.free.GPU)}
	}
	return r
}

// late reports whether a work can no longer end in time.
func (s State) late(p place) bool {
	j, ok := s.jobs.Get(p.job)
	return ok && s.now > j.latest(j.works[p.work])
}

// placeWork starts the tasks of a work that find room and reports whether it has started any.
func (t *turn) placeWork(hosts []*host, p place, room job.Resources) (started bool) {
	j, ok := t.s.jobs.Get(p.job)
	if !ok {
		return false
	}
	w := j.works[p.work]
	step := j.sub.Steps[w.step]
	if !step.Demand().FitsIn(room) {
		return false
	}
	granted, ok := t.granted(j, p.work, hosts)
	if !ok {
		return false
	}
	f := fit{step: step, need: step.Demand(), work: w, job: j, granted: granted, rack: t.s.rackOf(w), now: t.s.now}
	if step.Gang {
		return t.placeGang(hosts, f)
	}
	return t.placeTasks(hosts, f)
}

// rackOf returns the rack on which a task of the work runs, if any does.
func (s State) rackOf(w work) string {
	for _, x := range w.tasks {
		if x.executor != "" && x.phase != waiting && x.phase != done {
			if e, ok := s.executors.Get(x.executor); ok {
				return e.info.Rack()
			}
		}
	}
	return ""
}

// placeTasks starts the waiting tasks of a work one by one, as far as there is room.
func (t *turn) placeTasks(hosts []*host, f fit) (started bool) {
	var on []string
	for index, x := range f.work.tasks {
		if x.phase != waiting {
			continue
		}
		if x.notUntil > t.s.now {
			t.s.mustPump = true
			continue
		}
		h := f.best(hosts, x)
		if h == nil {
			break
		}
		t.start(h, f, index, x.run)
		f.rack = h.e.info.Rack()
		on = append(on, fmt.Sprintf("%d:%s", index, h.e.info.ID))
	}
	if len(on) == 0 {
		return false
	}
	t.emit(note(slog.LevelInfo, "step.started", "job", string(f.job.sub.ID), "occurrence", f.work.occurrence, "step", f.work.step,
		"tasks", strings.Join(on, ","), "left", f.work.waiting-len(on), "waited", t.s.now-f.work.due, "late", t.s.now > f.job.latest(f.work)))
	return true
}

// placeGang starts all tasks of a gang with one run number, or none.
func (t *turn) placeGang(hosts []*host, f fit) bool {
	var run uint64
	for _, x := range f.work.tasks {
		if x.phase != waiting || x.notUntil > t.s.now {
			return false // members of the former run have not all ended
		}
		run = max(run, x.run)
	}
	chosen := make([]*host, 0, len(f.work.tasks))
	for range f.work.tasks {
		h := f.best(hosts, taskState{})
		if h == nil {
			break
		}
		f.rack = h.e.info.Rack()
		h.free = h.free.Minus(f.need)
		h.e.runs = append(slices.Clip(h.e.runs), runState{task: job.Task{Job: f.job.sub.ID, Occurrence: f.work.occurrence, Step: f.work.step}})
		chosen = append(chosen, h)
	}
	for _, h := range chosen {
		h.free = h.free.Plus(f.need)
		h.e.runs = h.e.runs[:len(h.e.runs)-1]
	}
	if len(chosen) < len(f.work.tasks) {
		return false
	}
	for index, h := range chosen {
		t.start(h, f, index, run)
	}
	return true
}

// fit is the search for an executor for the tasks of a work.
type fit struct {
	step    job.Step
	need    job.Resources
	work    work
	job     jobState
	granted map[string]string // executor to ticket; nil when any executor may run the step
	rack    string            // on which tasks of the work run already
	now     time.Duration
}

// slowExecutor is the smoothed ratio of durations to estimates above which an executor is used last.
const slowExecutor = 2.0

// best returns the executor for a task, or nil.
func (f fit) best(hosts []*host, x taskState) *host {
	var best *host
	var bestScore int64
	for _, h := range hosts {
		if !f.allowed(h) {
			continue
		}
		if score := f.score(h, x); best == nil || score < bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

func (f fit) allowed(h *host) bool {
	if !f.need.FitsIn(h.free) {
		return false
	}
	if f.step.Label != "" && !slices.Contains(h.e.info.Labels, f.step.Label) {
		return false
	}
	if f.granted != nil {
		if _, ok := f.granted[h.e.info.ID]; !ok {
			return false
		}
	}
	if f.step.MaxPerExecutor > 0 && f.siblings(h) >= f.step.MaxPerExecutor {
		return false
	}
	if f.step.Rack != "" && h.e.info.Rack() != f.step.Rack {
		return f.now-f.work.due > f.step.Estimate // elsewhere it is several times slower, so it waits for its rack first
	}
	return true
}

// siblings counts the runs of the same work on an executor.
func (f fit) siblings(h *host) int {
	n := 0
	for _, r := range h.e.runs {
		if r.task.Job == f.job.sub.ID && r.task.Occurrence == f.work.occurrence && r.task.Step == f.work.step {
			n++
		}
	}
	return n
}

// score is lower for a better executor.
func (f fit) score(h *host, x taskState) int64 {
	const slow, elsewhere, again = 1 << 40, 1 << 38, 1 << 39
	left := h.free.Minus(f.need)
	score := left.CPU // the fullest one, which leaves room for large tasks
	switch {
	case f.step.BestEffort:
		score = -left.CPU + int64(len(h.e.runs))<<16
	case f.step.LatencySensitive(): // the emptiest one, since all load lengthens its tail
		score = -left.CPU + int64(f.siblings(h))<<20
	case f.step.LongRunning: // beside others that last, so that few instances have to be emptied before they can move
		score += int64(f.siblings(h))<<20 - int64(h.e.lasting())<<24
	}
	if h.e.slowness > slowExecutor {
		score += slow
	}
	if f.step.OneRack && f.rack != "" && h.e.info.Rack() != f.rack {
		score += elsewhere
	}
	if x.failedOn == h.e.info.ID {
		score += again
	}
	return score
}

// start orders a run of a task.
func (t *turn) start(h *host, f fit, index int, before uint64) {
	task := job.Task{Job: f.job.sub.ID, Occurrence: f.work.occurrence, Step: f.work.step, Index: index}
	run := max(before, (t.s.Epoch-1)*runsPerEpoch) + 1
	e, _ := t.s.executors.Get(h.e.info.ID)
	s := port.Start{
		Task: task, Run: run, Spec: f.job.sub.Spec, Fence: t.s.Epoch,
		Expires: e.at(t.s.now) + t.s.policy.StartExpiry.Milliseconds(),
		Ticket:  f.granted[e.info.ID],
	}
	e.expires = max(e.expires, s.Expires)
	e = e.withRun(runState{
		task: task, run: run, need: f.need, phase: starting, since: t.s.now, known: t.s.now, pace: 100,
		lasts: f.step.LongRunning, serves: f.step.LatencySensitive(), filler: f.step.BestEffort, target: f.step.LatencyTarget, expected: f.step.Estimate,
	})
	t.s = t.s.withExecutor(e)
	h.e, h.free = e, h.free.Minus(f.need)
	t.withTask(task, func(x taskState) taskState {
		s.Checkpoint = x.saved
		x.phase, x.run, x.executor, x.since = starting, run, e.info.ID, t.s.now
		return x
	})
	if j, ok := t.s.jobs.Get(task.Job); ok && !j.begun {
		j.begun = true
		t.s = t.s.withJob(j)
	}
	t.emit(StartRun{Executor: e.info.ID, Start: s})
}
