package maintenance

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/site"
)

// Parameters of waves.
const (
	instanceCycle         = 5 * time.Second  // from planning the maintenance of an instance until it is listed again afterwards
	deadlineShare         = 0.6              // planned duration of a wave as a share of the time until its deadline
	shortageDeadlineShare = 0.85             // the same while the pools lack instances
	surplusPerInstance    = 2                // surplus instances for each one that is maintained ahead of the plan
	missingTimeout        = 3 * time.Second  // after which an instance that is not listed counts as removed
	stalledAfter          = 12 * time.Second // after which an operation whose instance is not empty leaves its place to another
)

// advanceWave starts further operations of a wave and reports its progress.
func (s State) advanceWave(w cluster.DeclaredWave, m Tick) (State, []Effect) {
	if s.completed[w.Number] {
		return s, nil
	}
	s.maxUnavailable, s.waveInstances = maps.Clone(s.maxUnavailable), maps.Clone(s.waveInstances)
	s.maxUnavailable[w.Number], s.waveInstances[w.Number] = max(1, w.MaxUnavailable), w.Instances
	s, pending := s.pendingInstances(w)
	var out []Effect
	if len(pending) == 0 {
		s.completed = maps.Clone(s.completed)
		s.completed[w.Number] = true
		s = s.withReported(w.Number, -1)
		return s, []Effect{
			ReportWave{Wave: w.Number, Done: s.doneInstances(w.Number), Completed: true},
			Note{Level: slog.LevelInfo, Event: "wave.completed", Attrs: []any{"wave", w.Number, "instances", len(w.Instances), "after", s.now - w.Seen}},
		}
	}
	if n, ok := s.reportedDone[w.Number]; !ok || n != len(s.done[w.Number]) {
		s = s.withReported(w.Number, len(s.done[w.Number]))
		out = append(out, ReportWave{Wave: w.Number, Done: s.doneInstances(w.Number)})
	}
	if s.listedAt == 0 || s.confirmation.overdue {
		return s, out
	}
	available := s.concurrency(w, len(pending)) - s.activeOperations(w.Number)
	usable, operations := s.countExecutors(m)
	for _, name := range s.candidates(pending, m) {
		if available <= 0 {
			break
		}
		i := s.instances[name]
		if _, ok := s.operations[name]; ok {
			continue
		}
		if n, ok := usable[i.Pool]; ok && n <= minSpareExecutors && operations[i.Pool] > 0 {
			continue // its tasks need the other executors of the pool, to which balance adds instances if there is demand
		}
		usable[i.Pool]--
		operations[i.Pool]++
		s = s.withOperation(name, operation{purpose: waveMaintenance{wave: w.Number}, stage: vacating, since: s.now, executorBefore: i.Executor})
		out = append(out, Note{Level: slog.LevelInfo, Event: "upkeep.planned", Attrs: []any{"instance", name, "wave", w.Number, "pool", i.Pool, "left", len(pending)}})
		available--
	}
	return s, out
}

// countExecutors counts, by pool, the executors that take tasks and the operations. Pools without a known load are left
// out.
func (s State) countExecutors(m Tick) (usable, operations map[string]int) {
	usable, operations = map[string]int{}, map[string]int{}
	for _, i := range s.instances {
		load, ok := m.Loads[i.Pool]
		if !ok {
			continue
		}
		_, inOperation := s.operations[i.Name]
		usable[i.Pool] += boolToInt(!inOperation && load.Executors[i.Executor].Usable)
		operations[i.Pool] += boolToInt(inOperation)
	}
	return usable, operations
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// pendingInstances returns the instances of a wave whose maintenance is not done, except those removed from the site.
func (s State) pendingInstances(w cluster.DeclaredWave) (State, []string) {
	var pending []string
	for _, name := range w.Instances {
		if s.done[w.Number][name] {
			continue
		}
		if _, ok := s.instances[name]; !ok && s.listedAt != 0 {
			if s.missingSince[name] == 0 {
				s = s.withMissingSince(name, s.now)
			} else if s.now-s.missingSince[name] > missingTimeout {
				continue
			}
		} else if s.missingSince[name] != 0 {
			s = s.withMissingSince(name, 0)
		}
		pending = append(pending, name)
	}
	return s, pending
}

// concurrency returns how many operations of a wave run at a time so that the wave ends well before its deadline. When
// too little of the planned duration is left for one more operation, it returns the maximum. A wave is slower while the
// pools lack instances and faster while they have a surplus, because demand rises and falls within a wave.
func (s State) concurrency(w cluster.DeclaredWave, pending int) int {
	share := deadlineShare
	if s.surplus < 0 {
		share = shortageDeadlineShare
	}
	remaining := time.Duration(float64(w.Deadline)*share) - (s.now - w.Seen)
	n := w.MaxUnavailable
	if remaining > instanceCycle {
		n = int(math.Ceil(float64(pending) * float64(instanceCycle) / float64(remaining)))
	}
	n = max(n, s.surplus/surplusPerInstance)
	return min(max(n, 1), max(w.MaxUnavailable, 1))
}

// activeOperations counts the operations of a wave, except those whose instance is not empty after stalledAfter.
func (s State) activeOperations(wave int64) int {
	n := 0
	for _, op := range s.operations {
		if op.purpose == (waveMaintenance{wave: wave}) && (op.stage != vacating || s.now-op.since < stalledAfter) {
			n++
		}
	}
	return n
}

// unavailable counts the instances of a wave that are or may be down for it, including those that a previous owner
// ordered.
func (s State) unavailable(wave int64) int {
	n := 0
	for _, name := range s.waveInstances[wave] {
		op, inOperation := s.operations[name]
		if inOperation && op.stage != vacating || s.instances[name].State == site.InstanceMaintenance {
			n++
		}
	}
	return n
}

// candidates returns the instances that are up, ordered by how little capacity their maintenance costs: those on
// standby first, then the least loaded, and those of pools without a known load last.
func (s State) candidates(pending []string, m Tick) []string {
	cost := func(name string) int64 {
		i, ok := s.instances[name]
		if !ok || i.State != site.InstanceUp {
			return math.MaxInt64
		}
		pool, ok := m.Directory.Config.Pool(i.Pool)
		if ok && pool.Standby {
			return -1
		}
		load, ok := m.Loads[i.Pool]
		if !ok {
			return math.MaxInt64 / 2
		}
		return load.Executors[i.Executor].CPU + load.Backlog
	}
	out := slices.Clone(pending)
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(cost(a), cost(b)) })
	return slices.DeleteFunc(out, func(name string) bool { return cost(name) == math.MaxInt64 })
}

// doneInstances returns the sorted instances of a wave whose maintenance is done.
func (s State) doneInstances(wave int64) []string { return slices.Sorted(maps.Keys(s.done[wave])) }
