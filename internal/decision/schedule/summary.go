package schedule

import (
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// Summary is what the state dump shows of a pool.
type Summary struct {
	Epoch     uint64            `json:"epoch"`
	Config    int64             `json:"config"`
	Open      int               `json:"open"` // jobs that have not ended
	Ready     int               `json:"ready"`
	Ended     int               `json:"ended"`
	Unstored  int               `json:"unstored"`
	Unsettled int               `json:"unsettled"`
	Executors []ExecutorSummary `json:"executors"`
	Now       time.Duration     `json:"now"`
	States    map[string]int    `json:"states"`
}

// ExecutorSummary is what the state dump shows of an executor.
type ExecutorSummary struct {
	ID       string        `json:"id"`
	Instance string        `json:"instance"`
	Rack     string        `json:"rack"`
	Open     bool          `json:"open"`
	Draining bool          `json:"draining"`
	Silent   time.Duration `json:"silent"` // since its last answer, 0 while it answers
	Barred   bool          `json:"barred"`
	Vacating bool          `json:"vacating"`
	Runs     int           `json:"runs"`
	Used     job.Resources `json:"used"`
	Capacity job.Resources `json:"capacity"`
	Slowness float64       `json:"slowness"`
}

// Summary returns what the state dump shows.
func (s State) Summary() Summary {
	out := Summary{
		Epoch: s.Epoch, Config: s.config.Version, Ready: s.ready.Len(), Ended: s.ended.Len(), Open: s.jobs.Len() - s.ended.Len(),
		Unstored: s.changed.Len(), Unsettled: len(s.unsettled), Now: s.now, States: map[string]int{},
	}
	for i := s.jobs.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		out.States[s.Look(id).State.String()]++
	}
	s.each(func(e executorState) {
		x := ExecutorSummary{
			ID: e.info.ID, Instance: e.info.Instance, Rack: e.info.Rack(), Open: e.open, Draining: e.info.Draining,
			Barred: s.now < e.barred, Vacating: s.now < e.vacate, Runs: len(e.runs), Used: e.taken, Capacity: e.info.Capacity, Slowness: e.slowness,
		}
		if e.failing != 0 {
			x.Silent = s.now - e.clockAt
		}
		out.Executors = append(out.Executors, x)
	})
	return out
}

// Load returns what runs on the pool's executors and what waits for room.
func (s State) Load() port.Load {
	load := port.Load{Executors: map[string]port.ExecutorLoad{}}
	s.each(func(e executorState) {
		x := port.ExecutorLoad{CPU: e.taken.CPU, Runs: len(e.runs), Usable: e.usable(s.now, s.confirmed)}
		for _, r := range e.runs {
			if r.lasts {
				x.LongRunning++
			}
		}
		load.Executors[e.info.ID] = x
	})
	for i := s.ready.Iterator(); !i.Done(); {
		r, p, _ := i.Next()
		j, ok := s.jobs.Get(p.job)
		if !ok {
			continue
		}
		w := j.works[p.work]
		cpu := int64(w.waiting) * j.sub.Steps[w.step].Demand().CPU
		if r.class == classLate {
			load.Late += cpu
		} else {
			load.Backlog += cpu
		}
	}
	return load
}
