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
	p := &placer{state: s, kindSizes: map[string]Size{}, usage: map[string]Size{}}
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

// placer collects the state and the effects of one step.
type placer struct {
	state       State
	effects     []Effect
	largestSize Size   // largest of each resource over all workers
	workerSizes []Size // distinct sizes of workers
	unplaceable []Size // sizes that fit no worker in this step, during which free capacity only shrinks
	preempted   int
	started     int
	searchStart string          // worker after which the next search for victims starts
	kindSizes   map[string]Size // cache of learned sizes
	usage       map[string]Size // cache of the usage by team
}

func (p *placer) collectWorkerSizes() {
	for itr := p.state.workers.Iterator(); !itr.Done(); {
		_, w, _ := itr.Next()
		if slices.Contains(p.workerSizes, w.worker.Size) {
			continue
		}
		p.workerSizes = append(p.workerSizes, w.worker.Size)
		p.largestSize = p.largestSize.larger(w.worker.Size)
	}
}

func (p *placer) place(j job) {
	size := p.size(j.job)
	if reason := p.unschedulableReason(j.job, size); reason != "" {
		j.phase, j.reason = unschedulable, reason
		p.state = p.state.withJob(j)
		p.effects = append(p.effects, MarkUnschedulable{Job: j.job.ID, Reason: reason})
		return
	}
	held := p.teamUsage(j.job.Team)
	if quota := p.state.quotas[j.job.Team]; !held.Plus(size).Fits(quota) {
		return // waits until other jobs of the team have ended
	}
	tooLarge := slices.ContainsFunc(p.unplaceable, func(r Size) bool { return r.Fits(size) })
	w, ok := worker{}, false
	if !tooLarge {
		w, ok = p.state.bestFit(j, size)
	}
	if ok {
		p.state = p.state.withAssignment(j, w, size)
		p.usage[j.job.Team] = held.Plus(size)
		p.started++
		p.effects = append(p.effects, Run{Job: j.job.ID, Worker: w.worker.ID, Size: size})
		return
	}
	if !tooLarge && len(j.failedOn) == 0 && len(p.unplaceable) < maxUnplaceable {
		p.unplaceable = append(p.unplaceable, size)
	}
	if j.job.Class == message.Urgent && p.state.now.Sub(j.since) >= p.state.settings.PreemptionDelay {
		p.preempt(j, size)
	}
}

// maxUnplaceable bounds the sizes that each queued job is compared with.
const maxUnplaceable = 64

// size returns the learned or declared size of a job.
func (p *placer) size(j Job) Size {
	key := j.kind()
	if size, ok := p.kindSizes[key]; ok {
		return size
	}
	if l, _ := p.state.sizes.Get(key); len(l.peaks) < p.state.settings.MinSamples {
		return j.Declared
	}
	p.kindSizes[key] = p.state.EstimateSize(j)
	return p.kindSizes[key]
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

// bestFit returns the worker on which the job leaves the fewest accelerators, and then cores, unused.
func (s State) bestFit(j job, size Size) (worker, bool) {
	itr := s.byCapacity.Iterator()
	for count := size.Accelerators; ; {
		itr.Seek(capacityKey{accelerators: count, cores: size.Cores - tolerance})
		if itr.Done() {
			return worker{}, false
		}
		next := count
		for !itr.Done() {
			r, _, _ := itr.Next()
			if r.accelerators != count {
				next = r.accelerators
				break
			}
			w, _ := s.workers.Get(r.worker)
			if size.Fits(w.free) && !slices.Contains(j.failedOn, r.worker) {
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
		if w.worker.ID == p.searchStart || !size.Fits(w.worker.Size) || w.quarantines > 0 || !p.state.now.Before(w.leaseUntil) {
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

// victims returns running jobs of a worker that make room for the size, or nil if all of them are not enough. Unless
// normal is set, only background work and stragglers are considered. Urgent jobs are never preempted.
func (p *placer) victims(w worker, size Size, normal bool) []job {
	free := w.free
	var list []job
	for itr := w.jobs.Iterator(); !itr.Done() && !size.Fits(free); {
		id, _, _ := itr.Next()
		j, _ := p.state.jobs.Get(id)
		preemptible := j.job.Class == message.Background || normal && j.job.Class == message.Normal
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
	p.effects = append(p.effects, Checkpoint{Job: j.job.ID, Worker: j.worker, Reason: reason})
}
