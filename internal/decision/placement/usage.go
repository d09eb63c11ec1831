package placement

import (
	"fmt"
	"maps"
	"slices"
)

// onUsageReported compares the measured usage of running jobs with their sizes. A job that uses more gets a larger size
// if its worker and the quota allow it, and is throttled or checkpointed otherwise.
//
// Cores can be taken away from a running job, but memory and accelerators cannot: a job that exceeds its size in those
// is checkpointed and runs again with its measured size, unless a size has been learned for its kind.
func onUsageReported(s State, m UsageReported) (State, []Effect) {
	p := &placer{state: s}
	for _, id := range slices.Sorted(maps.Keys(m.Jobs)) {
		if j, ok := s.jobs.Get(id); ok && j.phase == running {
			p.enforceSize(id, m.Jobs[id])
		}
	}
	return p.state, p.effects
}

func (p *placer) enforceSize(id string, measured Size) {
	j, _ := p.state.jobs.Get(id)
	if measured.Fits(j.size) {
		return
	}
	w, ok := p.state.workers.Get(j.worker)
	if !ok {
		return
	}
	size := j.size.maxEach(measured)
	if extra := size.Minus(j.size); extra.Fits(w.free) && p.withinQuota(j, extra) {
		p.grow(j, w, extra)
		return
	}
	if incompressible := (Size{Memory: measured.Memory, Accelerators: measured.Accelerators}); !incompressible.Fits(j.size) {
		j.spec.Declared = size
		p.checkpoint(j, fmt.Sprintf("uses %g GB memory and %d accelerators, more than its %g GB and %d",
			measured.Memory, measured.Accelerators, j.size.Memory, j.size.Accelerators))
		return
	}
	if !j.throttled {
		j.throttled = true
		p.state = p.state.withJob(j)
		p.effects = append(p.effects, Throttle{Job: id, Worker: j.worker, Size: j.size})
	}
}

func (p *placer) withinQuota(j job, extra Size) bool {
	held, _ := p.state.usage.Get(j.spec.Team)
	return held.Plus(extra).Fits(p.state.quotas[j.spec.Team])
}

func (p *placer) grow(j job, w worker, extra Size) {
	held, _ := p.state.usage.Get(j.spec.Team)
	p.state.usage = p.state.usage.Set(j.spec.Team, held.Plus(extra))
	j.size = j.size.Plus(extra)
	w.free = w.free.Minus(extra)
	p.state = p.state.withJob(j).withWorker(w)
}
