package schedule

import (
	"log/slog"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"

	"github.com/benbjohnson/immutable"
)

// candidate is an executor with its free resources. Unlike the state, it is changed in place during a cycle.
type candidate struct {
	executor *executorState
	free     job.Resources
	changed  bool // executor is a copy that the state does not contain yet
	// reservedFor is the account for whose next task the executor is kept free of tasks of accounts above their share.
	reservedFor accountID
}

// allowance says which tasks of a task set may start.
type allowance struct {
	tasks      int
	aboveShare bool // the account has reached its fair share
}

// addRun adds a run that is ordered to start.
func (c *candidate) addRun(r runState, leaseExpires int64) {
	if !c.changed {
		e := *c.executor
		e.runs = append(make([]*runState, 0, len(e.runs)+4), e.runs...)
		c.executor, c.changed = &e, true
	}
	e := c.executor
	e.runs = append(e.runs, &r)
	e.allocated = e.allocated.Plus(r.need)
	e.leaseExpires = max(e.leaseExpires, leaseExpires)
	c.free = c.free.Minus(r.need)
}

// candidates returns the executors on which tasks may be started.
func (s State) candidates() []candidate {
	all := make([]candidate, 0, s.executors.Len())
	s.eachExecutor(func(e *executorState) {
		if s.usable(e) {
			all = append(all, candidate{executor: e, free: e.info.Capacity.Minus(e.allocated)})
		}
	})
	return all
}

// maxMisses is the number of task sets without a task that fits, after which a cycle ends. It bounds the time of a cycle
// during a surge, when thousands of task sets wait for the same executors.
const maxMisses = 100

// maxLaterMisses is the same for the task sets behind those. Every laterInterval a cycle looks at others of them, so that
// one for which there is room is found however many wait without. A large pool has hundreds of cycles a second in a surge.
const (
	maxLaterMisses = 50
	laterInterval  = 100 * time.Millisecond
)

// placeReady starts ready tasks in order of rank as far as there are free resources.
func (t *transition) placeReady() {
	if !t.s.placementDue {
		return
	}
	t.s.placementDue = false
	if t.s.ready.Len() == 0 {
		return
	}
	if !t.s.owns() {
		t.s.placementDue, t.s.confirmationDue = true, true
		return
	}
	candidates := t.s.candidates()
	if len(candidates) == 0 {
		return
	}
	if t.s.hasAccounts() {
		t.placeByAccount(candidates)
		return
	}
	i := t.s.ready.Iterator()
	next := t.placeFrom(i, candidates, maxMisses)
	if next == nil {
		t.s.scanFrom = rank{}
		return
	}
	if t.s.now < t.s.laterScanAt+laterInterval {
		return
	}
	t.s.laterScanAt = t.s.now
	if (rankOrder{}).Compare(t.s.scanFrom, *next) > 0 {
		i.Seek(t.s.scanFrom)
	}
	t.s.scanFrom = rank{}
	if next = t.placeFrom(i, candidates, maxLaterMisses); next != nil {
		t.s.scanFrom = *next
	}
}

// placeFrom starts tasks of the task sets from the position of an iterator on, until there was no room for a number of
// them. It returns the rank of the last one, or nil if none are left.
func (t *transition) placeFrom(i *immutable.SortedMapIterator[rank, taskSetRef], candidates []candidate, limit int) *rank {
	free, misses := maxFree(candidates), 0
	for !i.Done() {
		r, ref, _ := i.Next()
		if r.class == classOversized {
			return nil // nothing but such task sets follows
		}
		if r.class == classInTime && t.s.isLate(ref) {
			t.s = t.s.withRank(ref) // moves it to the late class, for the next cycle
			t.s.placementDue = true
			continue
		}
		switch t.placeTaskSet(candidates, ref, free, allowance{tasks: math.MaxInt}) {
		case placed:
			free = maxFree(candidates)
		case oversized:
			t.s = t.s.withRank(ref) // the largest executor has left
			misses++
		case noRoom:
			misses++
		case deferred, held:
		}
		if misses == limit {
			return &r
		}
	}
	return nil
}

// maxFree returns for each resource the largest amount that is free on any candidate.
func maxFree(candidates []candidate) job.Resources {
	var r job.Resources
	for i := range candidates {
		c := &candidates[i]
		r = job.Resources{CPU: max(r.CPU, c.free.CPU), Memory: max(r.Memory, c.free.Memory), GPU: max(r.GPU, c.free.GPU)}
	}
	return r
}

// isLate reports whether a task set can no longer meet the objective of its job.
func (s State) isLate(ref taskSetRef) bool {
	j, ok := s.jobs.Get(ref.job)
	return ok && s.now > j.latestStart(j.taskSet(ref.occurrence, ref.step))
}

// placeResult is what came of the attempt to place a task set.
type placeResult int

const (
	placed    placeResult = iota // at least one task was started
	noRoom                       // no executor has room for a task
	oversized                    // no executor is large enough for a task
	deferred                     // it waits for advice
	held                         // its account has reached a bound
)

// placeTaskSet starts tasks of a task set. The argument free holds the largest free amount of each resource on any
// candidate.
func (t *transition) placeTaskSet(candidates []candidate, ref taskSetRef, free job.Resources, allowed allowance) placeResult {
	j, ok := t.s.job(ref.job)
	if !ok {
		return deferred
	}
	ts := j.taskSet(ref.occurrence, ref.step)
	step := j.sub.Steps[ts.step]
	if !step.Demand().FitsIn(free) {
		if !t.s.mayFit(step) {
			return oversized
		}
		return noRoom
	}
	tickets, ok := t.ticketsFor(j, ts, candidates)
	if !ok {
		return deferred
	}
	p := t.s.newPlacement(j, ts)
	p.tickets, p.allowance = tickets, allowed
	if step.OneRack {
		p.rack = t.s.rackOf(ts)
	}
	t.setNeighbourCosts(p)
	var started bool
	if step.Gang {
		started = t.placeGang(candidates, p)
	} else {
		started = t.placeTasks(candidates, p)
	}
	if started {
		return placed
	}
	return noRoom
}

// rackOf returns the rack of the first running task of a task set, or an empty string.
func (s State) rackOf(ts *taskSet) string {
	for _, x := range ts.tasks.All() {
		if x.executor != "" && x.phase != waiting && x.phase != done {
			if e, ok := s.executor(x.executor); ok {
				return e.info.Rack()
			}
		}
	}
	return ""
}

// placeTasks starts the waiting tasks of a task set one by one, as far as there are free resources.
func (t *transition) placeTasks(candidates []candidate, p *placement) (started bool) {
	var chosen []chosenTask
	var last *candidate // of the task before, if it is the best one for the next task, too
	for index, x := range p.taskSet.tasks.All() {
		if x.phase != waiting {
			continue
		}
		if x.notBefore > t.s.now {
			t.s.placementDue = true
			continue
		}
		c := last
		if c == nil || x.failedOn != "" || !p.feasible(c) {
			c = p.best(candidates, *x)
		}
		if c == nil {
			break
		}
		last = nil
		if p.packs() && x.failedOn == "" {
			last = c
		}
		chosen = append(chosen, p.choose(t.s, c, index, x.run))
		p.rack = c.executor.info.Rack()
		if len(chosen) == p.tasks {
			break
		}
	}
	if len(chosen) == 0 {
		return false
	}
	t.startTasks(p, chosen)
	t.emit(note(slog.LevelInfo, "step.started", "job", string(p.job.sub.ID), "occurrence", p.taskSet.occurrence, "step", p.taskSet.step,
		"tasks", startedTasks(chosen), "left", p.taskSet.waiting-len(chosen), "waited", t.s.now-p.taskSet.due, "late", t.s.now > p.job.latestStart(&p.taskSet)))
	return true
}

// packs reports whether the executor that is best for one task of the step is also the best for the next one, as long as
// there is room: the fullest executor only becomes fuller.
func (p *placement) packs() bool {
	return !p.step.BestEffort && !p.step.LongRunning && p.step.MaxPerExecutor == 0 && p.costs == nil
}

// chosenTask is a task with the executor that is chosen for it and the number of its run.
type chosenTask struct {
	on    *candidate
	index int
	run   uint64
}

// startedTasks lists started tasks in logs. Its text is only built if the line is written.
type startedTasks []chosenTask

// String returns the index of each task and its executor.
func (x startedTasks) String() string {
	var b strings.Builder
	for i, c := range x {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(c.index))
		b.WriteByte(':')
		b.WriteString(c.on.executor.info.ID)
	}
	return b.String()
}

// placeGang starts all tasks of a gang with the same run number, or none of them.
func (t *transition) placeGang(candidates []candidate, p *placement) bool {
	var run uint64
	for _, x := range p.taskSet.tasks.All() {
		if x.phase != waiting || x.notBefore > t.s.now {
			return false // some tasks of the previous run have not ended
		}
		run = max(run, x.run)
	}
	// Reserves the resources while it chooses, since each choice depends on the earlier ones, and releases them again.
	chosen := make([]*candidate, 0, p.taskSet.tasks.Len())
	for range p.taskSet.tasks.Len() {
		c := p.best(candidates, taskState{})
		if c == nil {
			break
		}
		p.rack = c.executor.info.Rack()
		c.free = c.free.Minus(p.need)
		reserved := *c.executor
		reserved.runs = append(slices.Clip(reserved.runs), &runState{task: p.task(0), image: p.image})
		c.executor = &reserved
		chosen = append(chosen, c)
	}
	for _, c := range chosen {
		c.free = c.free.Plus(p.need)
		c.executor, _ = t.s.executors.Get(c.executor.info.ID)
	}
	if len(chosen) < p.taskSet.tasks.Len() {
		return false
	}
	gang := make([]chosenTask, 0, len(chosen))
	for index, c := range chosen {
		gang = append(gang, p.choose(t.s, c, index, run))
	}
	t.startTasks(p, gang)
	return true
}

// choose adds a run of a task to the runs of a candidate.
func (p *placement) choose(s State, c *candidate, index int, lastRun uint64) chosenTask {
	run := max(lastRun, (s.Epoch-1)*runsPerEpoch) + 1
	c.addRun(runState{
		task: p.task(index), run: run, account: p.job.account, need: p.need, phase: starting, since: s.now, lastOrderAt: s.now, speed: 100,
		longRunning: p.step.LongRunning, serving: p.step.LatencySensitive(), bestEffort: p.step.BestEffort, latencyTarget: p.step.LatencyTarget, estimate: p.step.Estimate, image: p.image,
	}, s.startExpires(c.executor))
	return chosenTask{on: c, index: index, run: run}
}

func (p *placement) task(index int) job.Task {
	return job.Task{Job: p.job.sub.ID, Occurrence: p.taskSet.occurrence, Step: p.taskSet.step, Index: index}
}

// startExpires returns the time on an executor's clock until which a start order that is sent now has an effect.
func (s State) startExpires(e *executorState) int64 {
	return e.localTime(s.now) + s.policy.StartExpiry.Milliseconds()
}

// startTasks orders the runs of chosen tasks of a task set. Their changes to the state are made together, because one at a
// time copies the task set and an executor for each task.
func (t *transition) startTasks(p *placement, chosen []chosenTask) {
	j, ts := p.job, p.taskSet
	started := make([]taskState, len(chosen))
	for i, c := range chosen {
		x := &started[i]
		*x = *ts.tasks.Get(c.index)
		e := c.on.executor
		t.emit(StartRun{Executor: e.info.ID, Start: port.Start{
			Task: p.task(c.index), Run: c.run, Spec: j.sub.Spec, FencingToken: e.fencingToken, Expires: t.s.startExpires(e),
			Ticket: p.tickets[e.info.ID], Checkpoint: x.checkpoint,
		}})
		x.phase, x.run, x.executor, x.since = starting, c.run, e.info.ID, t.s.now
		if c.on.changed {
			c.on.changed = false
			t.s = t.s.withExecutorPointer(e)
		}
	}
	next := 0 // of the chosen tasks, which are in order
	ts.tasks = ts.tasks.WithEach(func(i int, before *taskState) *taskState {
		if next == len(chosen) || chosen[next].index != i {
			return before
		}
		next++
		return &started[next-1]
	})
	ts.waiting -= len(chosen)
	t.lastPlaced = len(chosen)
	j.started = true
	t.s = t.s.withJob(j.withTaskSet(ts))
	t.s = t.s.withRank(taskSetRef{job: j.sub.ID, occurrence: ts.occurrence, step: ts.step})
}
