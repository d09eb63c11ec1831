package placement

import (
	"fmt"
	"slices"
	"time"

	"teaselloft/internal/model/message"

	"github.com/benbjohnson/immutable"
)

func noJobs() *immutable.SortedMap[string, struct{}] {
	return immutable.NewSortedMap[string, struct{}](nil)
}

// placeQueued expires leases, ends quarantines and places queued jobs in the order of their class.
func placeQueued(s State) (State, []Effect) {
	s = expire(s)
	p := &placer{state: s, estimates: map[string]Size{}, usage: map[string]Size{}}
	p.collectWorkerSizes()
	queue := s.queue
	for itr := queue.Iterator(); !itr.Done(); {
		_, j, _ := itr.Next()
		p.place(j)
		if p.started >= s.settings.MaxStarts {
			break
		}
	}
	return p.state, p.effects
}

// expire removes the workers whose lease has certainly expired, and updates the capacity index for those whose lease
// has just expired or whose quarantine may have ended.
func expire(s State) State {
	workers := s.workers
	for itr := workers.Iterator(); !itr.Done(); {
		id, w, _ := itr.Next()
		switch {
		case s.now.After(w.leaseUntil.Add(s.settings.LeaseMargin)):
			s = removeWorker(s, id)
		case !s.now.Before(w.leaseUntil), w.quarantines > 0:
			s = s.withWorker(w)
		}
	}
	return s
}

// placer holds the state and the effects while one message is processed.
type placer struct {
	state       State
	effects     []Effect
	largestSize Size   // largest of each resource over all workers
	workerSizes []Size // distinct sizes of workers
	unplaceable []Size // sizes that fit no worker until the next Tick, since placing jobs only reduces free capacity
	preempted   int
	started     int
	searchStart string          // worker after which the next search for victims starts
	estimates   map[string]Size // cache of the learned sizes by kind
	usage       map[string]Size // cache of the usage by team
}

func (p *placer) collectWorkerSizes() {
	for itr := p.state.workers.Iterator(); !itr.Done(); {
		_, w, _ := itr.Next()
		if slices.Contains(p.workerSizes, w.spec.Size) {
			continue
		}
		p.workerSizes = append(p.workerSizes, w.spec.Size)
		p.largestSize = p.largestSize.maxEach(w.spec.Size)
	}
}

func (p *placer) place(j job) {
	size := p.cachedEstimate(j.spec)
	if reason := p.unschedulableReason(j.spec, size); reason != "" {
		j.phase, j.reason = unschedulable, reason
		p.state = p.state.withJob(j)
		p.effects = append(p.effects, MarkUnschedulable{Job: j.spec.ID, Reason: reason})
		return
	}
	held := p.teamUsage(j.spec.Team)
	if quota := p.state.quotas[j.spec.Team]; !held.Plus(size).Fits(quota) {
		return // waits until other jobs of the team have ended
	}
	tooLarge := slices.ContainsFunc(p.unplaceable, func(u Size) bool { return u.Fits(size) })
	w, ok := worker{}, false
	if !tooLarge {
		w, ok = p.state.bestFit(j, size)
	}
	if ok {
		p.state = p.state.withAssignment(j, w, size)
		p.usage[j.spec.Team] = held.Plus(size)
		p.started++
		p.effects = append(p.effects, Run{Job: j.spec.ID, Worker: w.spec.ID, Size: size})
		return
	}
	// A job that failed to start excludes some workers, which may still have room for other jobs of its size.
	if !tooLarge && len(j.failedOn) == 0 && len(p.unplaceable) < maxUnplaceable {
		p.unplaceable = append(p.unplaceable, size)
	}
	if j.spec.Class == message.Urgent && p.state.now.Sub(j.since) >= p.state.settings.PreemptionDelay {
		p.preempt(j, size)
	}
}

// maxUnplaceable bounds the sizes that each queued job is compared with.
const maxUnplaceable = 64

// cachedEstimate returns the same size as EstimateSize and keeps learned sizes for the rest of the step.
func (p *placer) cachedEstimate(j Job) Size {
	key := j.kind()
	if size, ok := p.estimates[key]; ok {
		return size
	}
	if learned, _ := p.state.sizes.Get(key); len(learned.peaks) < p.state.settings.MinSamples {
		return j.Declared
	}
	p.estimates[key] = p.state.EstimateSize(j)
	return p.estimates[key]
}

// teamUsage returns the sum of the sizes reserved for the jobs of the team.
func (p *placer) teamUsage(team string) Size {
	held, ok := p.usage[team]
	if !ok {
		held, _ = p.state.usage.Get(team)
		p.usage[team] = held
	}
	return held
}

// unschedulableReason returns why the job could not run even on idle workers, or "".
func (p *placer) unschedulableReason(j Job, size Size) string {
	quota, ok := p.state.quotas[j.Team]
	if !ok {
		return fmt.Sprintf("team %q has no quota", j.Team)
	}
	if !size.Fits(quota) {
		return size.excess(quota, fmt.Sprintf("quota of team %q", j.Team))
	}
	if p.state.workers.Len() == 0 {
		return ""
	}
	if reason := size.excess(p.largestSize, "the largest worker"); reason != "" {
		return reason
	}
	if !slices.ContainsFunc(p.workerSizes, size.Fits) {
		return fmt.Sprintf("needs %g cores, %g GB memory and %d accelerators together, which no single worker has",
			size.Cores, size.Memory, size.Accelerators)
	}
	return ""
}

// bestFit returns the worker on which the job leaves the fewest accelerators, and then cores, unused. For each number
// of free accelerators, in increasing order, it examines the workers with enough free cores.
func (s State) bestFit(j job, size Size) (worker, bool) {
	itr := s.byCapacity.Iterator()
	for count := size.Accelerators; ; {
		itr.Seek(capacityKey{accelerators: count, cores: size.Cores - tolerance})
		if itr.Done() {
			return worker{}, false
		}
		next := count
		for !itr.Done() {
			key, _, _ := itr.Next()
			if key.accelerators != count {
				next = key.accelerators
				break
			}
			w, _ := s.workers.Get(key.worker)
			if size.Fits(w.free) && !slices.Contains(j.failedOn, key.worker) {
				return w, true
			}
		}
		if next == count {
			return worker{}, false
		}
		count = next
	}
}

// preempt checkpoints jobs of one worker so that an urgent job of the given size fits there.
//
// An urgent job preempts at most once per preemptionRetryDelay, so that it preempts no further jobs while the first
// checkpoint is being written.
func (p *placer) preempt(j job, size Size) {
	if p.preempted >= p.state.settings.MaxPreemptions || p.state.now.Sub(j.lastPreemption) < preemptionRetryDelay {
		return
	}
	j.lastPreemption = p.state.now
	p.state = p.state.withJob(j)
	victims := p.findVictims(size)
	for _, v := range victims {
		p.checkpoint(v, "an urgent job waits")
		p.searchStart = v.worker
	}
}

// maxSearchedWorkers bounds the workers that a search examines once it has found victims that include normal work.
const maxSearchedWorkers = 64

// findVictims returns jobs of one worker that make room for the size. It prefers background work and stragglers, and
// falls back to normal work if no examined worker has enough of them.
func (p *placer) findVictims(size Size) []job {
	itr := p.state.workers.Iterator()
	itr.Seek(p.searchStart)
	var fallback []job
	for seen := 0; !itr.Done() && (seen < maxSearchedWorkers || fallback == nil); seen++ {
		_, w, _ := itr.Next()
		if w.spec.ID == p.searchStart || !size.Fits(w.spec.Size) || w.quarantines > 0 || !p.state.now.Before(w.leaseUntil) {
			continue
		}
		if victims := p.victims(w, size, false); victims != nil {
			return victims
		}
		if fallback == nil {
			fallback = p.victims(w, size, true)
		}
	}
	return fallback
}

// preemptionRetryDelay is how long an urgent job waits for the checkpoints it requested before it preempts again.
const preemptionRetryDelay = 2 * time.Second

// victims returns running jobs of a worker that make room for the size, or nil if all of them are not enough. It
// considers background work and stragglers, and normal work only with includeNormal. Urgent jobs are never preempted.
func (p *placer) victims(w worker, size Size, includeNormal bool) []job {
	free := w.free
	var list []job
	for itr := w.jobs.Iterator(); !itr.Done() && !size.Fits(free); {
		id, _, _ := itr.Next()
		j, _ := p.state.jobs.Get(id)
		preemptible := j.spec.Class == message.Background || includeNormal && j.spec.Class == message.Normal
		if j.phase != running || !preemptible && !p.state.isStraggler(j) {
			continue
		}
		free = free.Plus(j.size)
		list = append(list, j)
	}
	if !size.Fits(free) {
		return nil
	}
	return list
}

func (p *placer) checkpoint(j job, reason string) {
	j.phase, j.since = checkpointing, p.state.now
	p.state = p.state.withJob(j)
	p.preempted++
	p.effects = append(p.effects, Checkpoint{Job: j.spec.ID, Worker: j.worker, Reason: reason})
}
