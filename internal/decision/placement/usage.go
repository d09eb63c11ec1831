package placement

import (
	"fmt"
	"maps"
	"slices"
)

// onUsageReported grows the size of a job that exceeds it if worker and quota allow, and otherwise throttles or
// checkpoints the job.
//
// Cores can be taken away from a running job, but memory and accelerators cannot: a job that exceeds those is
// checkpointed and runs again with its measured size.
func onUsageReported(s State, m UsageReported) (State, []Effect) {
	p := &placer{state: s}
	for _, id := range slices.Sorted(maps.Keys(m.Jobs)) {
		if j, ok := s.jobs.Get(id); ok && j.phase == running {
			p.enforceSize(id, m.Jobs[id])
		}
	}
	return p.state, p.effects
}

func (p *placer) enforceSize(id string, seen Size) {
	j, _ := p.state.jobs.Get(id)
	if seen.Fits(j.size) {
		return
	}
	w, ok := p.state.workers.Get(j.worker)
	if !ok {
		return
	}
	size := j.size.larger(seen)
	if extra := size.Minus(j.size); extra.Fits(w.free) && p.withinQuota(j, extra) {
		p.grow(j, w, extra)
		return
	}
	if memory := (Size{Memory: seen.Memory, Accelerators: seen.Accelerators}); !memory.Fits(j.size) {
		j.job.Declared = size
		p.checkpoint(j, fmt.Sprintf("uses %g GB memory and %d accelerators, more than its %g GB and %d",
			seen.Memory, seen.Accelerators, j.size.Memory, j.size.Accelerators))
		return
	}
	if !j.throttled {
		j.throttled = true
		p.state = p.state.withJob(j)
		p.effects = append(p.effects, Throttle{Job: id, Worker: j.worker, Size: j.size})
	}
}

func (p *placer) withinQuota(j job, extra Size) bool {
	held, _ := p.state.usage.Get(j.job.Team)
	return held.Plus(extra).Fits(p.state.quotas[j.job.Team])
}

func (p *placer) grow(j job, w worker, extra Size) {
	held, _ := p.state.usage.Get(j.job.Team)
	p.state.usage = p.state.usage.Set(j.job.Team, held.Plus(extra))
	j.size = j.size.Plus(extra)
	w.free = w.free.Minus(extra)
	p.state = p.state.withJob(j).withWorker(w)
}
