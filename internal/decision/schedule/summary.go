package schedule

import (
	"time"

	"teaselloft/internal/decision/interference"
	"teaselloft/internal/decision/runtimes"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// Summary is the part of the state dump about a pool.
type Summary struct {
	Epoch     uint64            `json:"epoch"`
	Config    int64             `json:"config"`
	Open      int               `json:"open"` // jobs that have not ended
	Ready     int               `json:"ready"`
	Oversized int               `json:"oversized"` // jobs with a ready step that is larger than every executor of the pool
	Ended     int               `json:"ended"`
	Unstored  int               `json:"unstored"`  // jobs with changes that are not in a commit yet
	Unsettled int               `json:"unsettled"` // executors that may have runs of the former owner
	Confirmed time.Duration     `json:"confirmed"` // time since the store has last confirmed the ownership
	Executors []ExecutorSummary `json:"executors"`
	Now       time.Duration     `json:"now"`
	States    map[string]int    `json:"states"`
	Capacity  job.Resources     `json:"capacity"`           // of the usable executors, and what runs on the others
	Accounts  []AccountSummary  `json:"accounts,omitempty"` // in a configuration with accounts

	Learning     bool                `json:"learning"`     // whether the owner learns which images slow others down
	Interference []interference.Pair `json:"interference"` // images that slow others down
	RunTimes     []runtimes.Image    `json:"runTimes"`     // what the order of the ready queue uses in place of estimates
}

// ExecutorSummary is the part of the state dump about an executor.
type ExecutorSummary struct {
	ID          string        `json:"id"`
	Instance    string        `json:"instance"`
	Rack        string        `json:"rack"`
	Token       uint64        `json:"token"` // fencing token of the calls to its incarnation
	Open        bool          `json:"open"`
	Draining    bool          `json:"draining"`
	Silent      time.Duration `json:"silent"` // time since its last answer, 0 while it answers
	Quarantined bool          `json:"barred"`
	Vacating    bool          `json:"vacating"`
	Runs        int           `json:"runs"`
	Used        job.Resources `json:"used"`
	Capacity    job.Resources `json:"capacity"`
	Slowness    float64       `json:"slowness"`
}

// Summary returns the part of the state dump about the pool.
func (s State) Summary() Summary {
	out := Summary{
		Epoch: s.Epoch, Config: s.config.Version, Ready: s.ready.Len(), Ended: s.ended.Len(), Open: s.jobs.Len() - s.ended.Len(),
		Unstored: s.changed.Len(), Unsettled: len(s.unsettled), Confirmed: s.now - s.confirmedAt, Now: s.now, States: map[string]int{},
		Learning: s.policy.Interference, Interference: s.interference.Pairs(), Capacity: s.capacity(),
	}
	if s.policy.LearnRunTimes {
		out.RunTimes = s.runTimes.Images(s.now)
	}
	for i := s.jobs.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		out.States[s.Status(id).State.String()]++
	}
	s.eachOversized(func(taskSetRef) { out.Oversized++ })
	out.Accounts = s.accountSummaries()
	s.eachExecutor(func(e *executorState) {
		x := ExecutorSummary{
			ID: e.info.ID, Token: e.fencingToken, Instance: e.info.Instance, Rack: e.info.Rack(), Open: e.open, Draining: e.info.Draining,
			Quarantined: s.now < e.quarantinedUntil, Vacating: s.now < e.vacateUntil, Runs: len(e.runs), Used: e.allocated, Capacity: e.info.Capacity, Slowness: e.slowness,
		}
		if e.failingSince != 0 {
			x.Silent = s.now - e.clockReadAt
		}
		out.Executors = append(out.Executors, x)
	})
	return out
}

// Ready returns the number of ready task sets.
func (s State) Ready() int { return s.ready.Len() }

// Load returns the load of the pool's executors and the CPU demand of the ready tasks.
func (s State) Load() port.Load {
	load := port.Load{Executors: map[string]port.ExecutorLoad{}}
	s.eachExecutor(func(e *executorState) {
		x := port.ExecutorLoad{CPU: e.allocated.CPU, Runs: len(e.runs), Usable: s.usable(e)}
		for _, r := range e.runs {
			if r.longRunning {
				x.LongRunning++
			}
		}
		load.Executors[e.info.ID] = x
	})
	rooms := s.quotaRooms()
	for i := s.ready.Iterator(); !i.Done(); {
		r, ref, _ := i.Next()
		j, ok := s.job(ref.job)
		if !ok {
			continue
		}
		ts := j.taskSet(ref.occurrence, ref.step)
		cpu := int64(rooms.take(r.account, j.sub.Steps[ts.step], ts.waiting)) * j.sub.Steps[ts.step].Demand().CPU
		if r.class == classLate || r.class == classOversized {
			load.Late += cpu
		} else {
			load.Backlog += cpu
		}
	}
	return load
}
