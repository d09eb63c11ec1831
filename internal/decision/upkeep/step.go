package upkeep

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
	"teaselloft/internal/model/tenure"
)

// Figures of a wave.
const (
	cycle   = 5 * time.Second         // that one instance takes: to be emptied, its upkeep, and to be listed again
	haste   = 0.6                     // share of the time until the deadline that a wave is planned to take
	vanish  = 3 * time.Second         // after which an instance that is not listed has left
	settle  = 1500 * time.Millisecond // after a takeover, in which the last orders of the former owner show in the list
	noLeave = 4 * time.Second         // after which an instance that is up has not left: a former owner's order was carried out before
	tooLong = 12 * time.Second        // after which an instance that cannot be emptied lets another one go first
)

// Step returns the state after a message and what has to be done.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Tick:
		return tick(s, m)
	case Emptied:
		return emptied(s, m)
	case Ordered:
		return answered(s, m)
	case Unreported:
		s.completed = maps.Clone(s.completed)
		delete(s.completed, m.Wave)
		return s.withReported(m.Wave, -1), nil
	default:
		panic(fmt.Sprintf("upkeep: message %T is not handled", m))
	}
}

func tick(s State, m Tick) (State, []Effect) {
	s.now = m.Now
	if s.began == 0 {
		s.began = m.Now
	}
	if m.Instances != nil {
		s = s.list(m.Instances)
	}
	var out []Effect
	for _, number := range slices.Sorted(maps.Keys(m.Directory.Waves)) {
		w := m.Directory.Waves[number]
		var effects []Effect
		s, effects = s.advance(w, m)
		out = append(out, effects...)
	}
	s, effects := s.balance(m)
	out = append(out, effects...)
	return s, append(out, s.vacate(m.Directory)...)
}

// list takes over the list of instances and ends the visits of those that are up again.
func (s State) list(instances []site.Instance) State {
	s.instances = make(map[string]site.Instance, len(instances))
	for _, i := range instances {
		s.instances[i.Name] = i
	}
	arrived := make(map[string]time.Duration, len(instances))
	since := s.now
	if s.listed == 0 {
		since = -stay // those of the first list may have been there for long
	}
	for _, i := range instances {
		arrived[i.Executor] = since
		if before, ok := s.arrived[i.Executor]; ok {
			arrived[i.Executor] = before
		}
	}
	s.arrived, s.listed = arrived, s.now
	for name, v := range s.visits {
		i, ok := s.instances[name]
		back := ok && i.State == site.InstanceUp && (i.Executor != v.executor || i.Executor == "")
		stayed := ok && i.State == site.InstanceUp && s.now-v.since > noLeave
		if v.stage == away && (back && s.now-v.since > time.Second || stayed || !ok) {
			s = s.withoutVisit(name)
		}
	}
	return s
}

// advance starts further visits of a wave and reports its progress.
func (s State) advance(w tenure.DeclaredWave, m Tick) (State, []Effect) {
	if s.completed[w.Number] {
		return s, nil
	}
	s.most, s.waves = maps.Clone(s.most), maps.Clone(s.waves)
	s.most[w.Number], s.waves[w.Number] = max(1, w.Most), w.Instances
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
func (s State) left(w tenure.DeclaredWave) (State, []string) {
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
func (s State) atOnce(w tenure.DeclaredWave, open int) int {
	remaining := time.Duration(float64(w.Deadline)*haste) - (s.now - w.Seen)
	n := w.Most
	if remaining > cycle {
		n = int(math.Ceil(float64(open) * float64(cycle) / float64(remaining)))
	}
	return min(max(n, 1), max(w.Most, 1))
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
		if visited && v.stage != vacating || s.instances[name].State == site.InstanceUpkeep {
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

// vacate asks for the executors of all visited instances to be emptied, and to be kept empty.
func (s State) vacate(d tenure.Directory) []Effect {
	pools := map[string][]string{}
	var out []Effect
	for _, name := range slices.Sorted(maps.Keys(s.visits)) {
		v := s.visits[name]
		i, ok := s.instances[name]
		if !ok || v.stage == away {
			continue
		}
		if pool, ok := d.Config.Pool(i.Pool); ok && pool.Standby || i.Executor == "" {
			out = append(out, Vacate{Pool: "", Executors: []string{name}})
			continue
		}
		pools[i.Pool] = append(pools[i.Pool], i.Executor)
	}
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		out = append(out, Vacate{Pool: pool, Executors: pools[pool]})
	}
	return out
}

// emptied orders the upkeep of instances on which nothing runs; without a pool, Executors names instances on standby.
func emptied(s State, m Emptied) (State, []Effect) {
	var out []Effect
	for _, name := range slices.Sorted(maps.Keys(s.visits)) {
		v := s.visits[name]
		i, ok := s.instances[name]
		key := i.Executor
		if m.Pool == "" {
			key = name
		}
		if !ok || v.stage != vacating || !slices.Contains(m.Executors, key) || s.now >= m.Until {
			continue
		}
		if s.now-s.began < settle || !s.allowed(v.purpose) {
			continue
		}
		v.stage, v.since, v.executor = ordered, s.now, i.Executor
		s = s.withVisit(name, v)
		out = append(out, effectOf(v.purpose, name), Note{Level: slog.LevelInfo, Event: "instance.ordered", Attrs: []any{
			"instance", name, "purpose", fmt.Sprintf("%+v", v.purpose), "from", i.Pool, "executor", i.Executor,
		}})
	}
	return s, out
}

// allowed reports whether the order for a purpose may be given now.
func (s State) allowed(p purpose) bool {
	switch p := p.(type) {
	case maintenance:
		return s.down(p.wave) < s.most[p.wave]
	case transfer:
		return true
	default:
		panic(fmt.Sprintf("upkeep: purpose %T is not handled", p))
	}
}

// answered takes note of the outcome of an order; one that is not known is repeated, which has no further effect.
func answered(s State, m Ordered) (State, []Effect) {
	v, ok := s.visits[m.Instance]
	if !ok || v.stage != ordered {
		return s, nil
	}
	attrs := []any{"instance", m.Instance, "purpose", fmt.Sprintf("%+v", v.purpose), "after", m.Now - v.since, "error", m.Err}
	wave, isWave := v.purpose.(maintenance)
	switch {
	case m.Err == nil:
		v.stage, v.since = away, m.Now
		s = s.withVisit(m.Instance, v)
		if isWave {
			s = s.withDone(wave.wave, m.Instance)
		}
		return s, []Effect{Note{Level: slog.LevelInfo, Event: "instance.away", Attrs: attrs}}
	case errors.Is(m.Err, port.ErrFenced):
		return s, []Effect{Superseded{Instance: m.Instance}}
	case errors.Is(m.Err, port.ErrNoInstance), errors.Is(m.Err, port.ErrWave):
		s = s.withoutVisit(m.Instance)
		if isWave {
			s = s.withDone(wave.wave, m.Instance)
		}
		return s, []Effect{Note{Level: slog.LevelWarn, Event: "instance.rejected", Attrs: attrs}}
	case errors.Is(m.Err, port.ErrInstanceBusy), errors.Is(m.Err, port.ErrNotDone):
		return s.withoutVisit(m.Instance), []Effect{Note{Level: slog.LevelInfo, Event: "instance.refused", Attrs: attrs}}
	default:
		return s, []Effect{Note{Level: slog.LevelWarn, Event: "instance.unsure", Attrs: attrs}, effectOf(v.purpose, m.Instance)}
	}
}
