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

// pass lets leases and quarantines end and then places what is queued, urgent jobs first.
func pass(s State) (State, []Effect) {
	s = expire(s)
	p := &placer{state: s, sizes: map[string]Size{}, teams: map[string]Size{}}
	p.largest()
	known := s.queue
	for itr := known.Iterator(); !itr.Done(); {
		_, j, _ := itr.Next()
		p.place(j)
		if p.started >= s.settings.Batch {
			break
		}
	}
	return p.state, p.effects
}

// expire queues the jobs of workers whose lease has certainly ended and readmits workers on probation.
func expire(s State) State {
	known := s.workers
	for itr := known.Iterator(); !itr.Done(); {
		id, w, _ := itr.Next()
		switch {
		case s.now.After(w.until.Add(s.settings.Margin)):
			s = leave(s, id)
		case !s.now.Before(w.until), w.rounds > 0:
			s = s.withWorker(w)
		}
	}
	return s
}

// placer places the queue in one step.
type placer struct {
	state     State
	effects   []Effect
	offered   Size   // largest of each resource over all workers
	kinds     []Size // distinct sizes of workers
	refused   []Size // sizes that found no room in this step; room only shrinks during it
	displaced int
	started   int
	searched  string          // worker at which the search for work to displace goes on
	sizes     map[string]Size // learned sizes by kind, looked up once
	teams     map[string]Size // held by team
}

func (p *placer) largest() {
	for itr := p.state.workers.Iterator(); !itr.Done(); {
		_, w, _ := itr.Next()
		if slices.Contains(p.kinds, w.worker.Size) {
			continue
		}
		p.kinds = append(p.kinds, w.worker.Size)
		p.offered = p.offered.most(w.worker.Size)
	}
}

func (p *placer) place(j job) {
	size := p.size(j.job)
	if reason := p.impossible(j.job, size); reason != "" {
		j.phase, j.reason = aside, reason
		p.state = p.state.withJob(j)
		p.effects = append(p.effects, SetAside{Job: j.job.ID, Reason: reason})
		return
	}
	held := p.held(j.job.Team)
	if quota := p.state.quotas[j.job.Team]; !held.Plus(size).Fits(quota) {
		return // the team's own jobs have to end first
	}
	hopeless := slices.ContainsFunc(p.refused, func(r Size) bool { return r.Fits(size) })
	w, ok := worker{}, false
	if !hopeless {
		w, ok = p.state.find(j, size)
	}
	if ok {
		p.state = p.state.withPlace(j, w, size)
		p.teams[j.job.Team] = held.Plus(size)
		p.started++
		p.effects = append(p.effects, Run{Job: j.job.ID, Worker: w.worker.ID, Size: size})
		return
	}
	if !hopeless && len(j.failed) == 0 && len(p.refused) < maxRefused {
		p.refused = append(p.refused, size)
	}
	if j.job.Class == message.Urgent && p.state.now.Sub(j.since) >= p.state.settings.Wait {
		p.displace(j, size)
	}
}

// maxRefused bounds the sizes against which each queued job is compared.
const maxRefused = 64

// size returns the learned or declared size of a job.
func (p *placer) size(j Job) Size {
	key := j.kind()
	if size, ok := p.sizes[key]; ok {
		return size
	}
	if l, _ := p.state.learned.Get(key); len(l.peaks) < p.state.settings.Samples {
		return j.Declared
	}
	p.sizes[key] = p.state.Size(j)
	return p.sizes[key]
}

// held returns what the team's jobs hold.
func (p *placer) held(team string) Size {
	held, ok := p.teams[team]
	if !ok {
		held, _ = p.state.held.Get(team)
		p.teams[team] = held
	}
	return held
}

// impossible returns why no change of the load will ever let the job run, or "".
func (p *placer) impossible(j Job, size Size) string {
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
	if reason := size.excess(p.offered, "the largest worker"); reason != "" {
		return reason
	}
	if !slices.ContainsFunc(p.kinds, size.Fits) {
		return fmt.Sprintf("needs %g cores, %g GB memory and %d accelerators together, which no single worker has",
			size.Cores, size.Memory, size.Accelerators)
	}
	return ""
}

// find returns the worker on which the job leaves the least accelerators and cores unused.
func (s State) find(j job, size Size) (worker, bool) {
	itr := s.rooms.Iterator()
	for count := size.Accelerators; ; {
		itr.Seek(room{accelerators: count, cores: size.Cores - tolerance})
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
			if size.Fits(w.free) && !slices.Contains(j.failed, r.worker) {
				return w, true
			}
		}
		if next == count {
			return worker{}, false
		}
		count = next
	}
}

// displace checkpoints background work and stragglers on one worker where the urgent size then fits.
//
// A job asks once per patience, so that it displaces no more while the first checkpoint is being written.
func (p *placer) displace(j job, size Size) {
	if p.displaced >= p.state.settings.Displaced || p.state.now.Sub(j.asked) < patience {
		return
	}
	j.asked = p.state.now
	p.state = p.state.withJob(j)
	victims := p.search(size)
	for _, v := range victims {
		p.checkpoint(v, "an urgent job waits")
		p.searched = v.worker
	}
}

// searchMost bounds the workers that a search looks at once it has found work of any class to displace.
const searchMost = 64

// search returns the jobs of one worker whose end makes room, background work and stragglers if a few workers have enough.
func (p *placer) search(size Size) []job {
	itr := p.state.workers.Iterator()
	itr.Seek(p.searched)
	var second []job
	for seen := 0; !itr.Done() && (seen < searchMost || second == nil); seen++ {
		_, w, _ := itr.Next()
		if w.worker.ID == p.searched || !size.Fits(w.worker.Size) || w.rounds > 0 || !p.state.now.Before(w.until) {
			continue
		}
		if victims := p.victims(w, size, false); victims != nil {
			return victims
		}
		if second == nil {
			second = p.victims(w, size, true)
		}
	}
	return second
}

// patience is the time for which an urgent job waits for the checkpoints it asked for.
const patience = 2 * time.Second

// victims returns running jobs whose end makes room, nil when all of them are too few; without normal it looks only
// at background work and stragglers. Urgent work is never displaced.
func (p *placer) victims(w worker, size Size, normal bool) []job {
	free := w.free
	var list []job
	for itr := w.jobs.Iterator(); !itr.Done() && !size.Fits(free); {
		id, _, _ := itr.Next()
		j, _ := p.state.jobs.Get(id)
		low := j.job.Class == message.Background || normal && j.job.Class == message.Normal
		if j.phase != running || !low && !p.state.straggles(j) {
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
	j.phase, j.since = saving, p.state.now
	p.state = p.state.withJob(j)
	p.displaced++
	p.effects = append(p.effects, Checkpoint{Job: j.job.ID, Worker: j.worker, Reason: reason})
}
