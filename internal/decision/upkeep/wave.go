package upkeep

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

// Figures of a wave.
const (
	cycle   = 5 * time.Second  // that one instance takes: to be emptied, its upkeep, and to be listed again
	haste   = 0.6              // share of the time until the deadline that a wave is planned to take
	vanish  = 3 * time.Second  // after which an instance that is not listed has left
	tooLong = 12 * time.Second // after which an instance that cannot be emptied lets another one go first
)

// advance starts further visits of a wave and reports its progress.
func (s State) advance(w cluster.DeclaredWave, m Tick) (State, []Effect) {
	if s.completed[w.Number] {
		return s, nil
	}
	s.most, s.waves = maps.Clone(s.most), maps.Clone(s.waves)
	s.most[w.Number], s.waves[w.Number] = max(1, w.MaxUnavailable), w.Instances
	s, open := s.left(w)
	var out []Effect
	if len(open) == 0 {
		s.completed = maps.Clone(s.completed)
		s.completed[w.Number] = true
		s = s.withReported(w.Number, -1)
		return s, []Effect{
			Report{Wave: w.Number, Done: s.names(w.Number), Completed: true},
			Note{Level: slog.LevelInfo, Event: "wave.completed", Attrs: []any{"wave", w.Number, "instances", len(w.Instances), "after", s.now - w.Seen}},
		}
	}
	if n, ok := s.reported[w.Number]; !ok || n != len(s.done[w.Number]) {
		s = s.withReported(w.Number, len(s.done[w.Number]))
		out = append(out, Report{Wave: w.Number, Done: s.names(w.Number)})
	}
	if s.listed == 0 {
		return s, out
	}
	room := s.atOnce(w, len(open)) - s.visiting(w.Number)
	left, emptied := s.usable(m)
	for _, name := range s.order(open, m) {
		if room <= 0 {
			break
		}
		i := s.instances[name]
		if _, ok := s.visits[name]; ok {
			continue
		}
		if n, ok := left[i.Pool]; ok && n <= keepSpare && emptied[i.Pool] > 0 {
			continue // what runs on it has to go somewhere; balance brings other instances when there is demand
		}
		left[i.Pool]--
		emptied[i.Pool]++
		s = s.withVisit(name, visit{purpose: maintenance{wave: w.Number}, stage: vacating, since: s.now, executor: i.Executor})
		out = append(out, Note{Level: slog.LevelInfo, Event: "upkeep.planned", Attrs: []any{"instance", name, "wave", w.Number, "pool", i.Pool, "left", len(open)}})
		room--
	}
	return s, out
}

// usable counts the executors of each working pool that take tasks, and those that are being emptied or are away.
func (s State) usable(m Tick) (left, emptied map[string]int) {
	left, emptied = map[string]int{}, map[string]int{}
	for _, i := range s.instances {
		load, ok := m.Loads[i.Pool]
		if !ok {
			continue
		}
		_, visited := s.visits[i.Name]
		left[i.Pool] += count(!visited && load.Executors[i.Executor].Usable)
		emptied[i.Pool] += count(visited)
	}
	return left, emptied
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// left returns the instances of a wave that have not had their upkeep; one that has left the site does not count.
func (s State) left(w cluster.DeclaredWave) (State, []string) {
	var open []string
	for _, name := range w.Instances {
		if s.done[w.Number][name] {
			continue
		}
		if _, ok := s.instances[name]; !ok && s.listed != 0 {
			if s.missing[name] == 0 {
				s = s.withMissing(name, s.now)
			} else if s.now-s.missing[name] > vanish {
				continue
			}
		} else if s.missing[name] != 0 {
			s = s.withMissing(name, 0)
		}
		open = append(open, name)
	}
	return s, open
}

// atOnce returns how many instances of a wave are visited at the same time, to end well before its deadline.
func (s State) atOnce(w cluster.DeclaredWave, open int) int {
	remaining := time.Duration(float64(w.Deadline)*haste) - (s.now - w.Seen)
	n := w.MaxUnavailable
	if remaining > cycle {
		n = int(math.Ceil(float64(open) * float64(cycle) / float64(remaining)))
	}
	return min(max(n, 1), max(w.MaxUnavailable, 1))
}

func (s State) visiting(wave int64) int {
	n := 0
	for _, v := range s.visits {
		if v.purpose == (maintenance{wave: wave}) && (v.stage != vacating || s.now-v.since < tooLong) {
			n++
		}
	}
	return n
}

// down counts the instances of a wave that are down for it, or may be, those that a former owner ordered included.
func (s State) down(wave int64) int {
	n := 0
	for _, name := range s.waves[wave] {
		v, visited := s.visits[name]
		if visited && v.stage != vacating || s.instances[name].State == site.InstanceMaintenance {
			n++
		}
	}
	return n
}

// order sorts instances by how little their upkeep takes away: those on standby first, then the least loaded.
func (s State) order(open []string, m Tick) []string {
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
	out := slices.Clone(open)
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(cost(a), cost(b)) })
	return slices.DeleteFunc(out, func(name string) bool { return cost(name) == math.MaxInt64 })
}

// names returns the instances of a wave that have had their upkeep.
func (s State) names(wave int64) []string { return slices.Sorted(maps.Keys(s.done[wave])) }
