package upkeep

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// Times of the visits.
const (
	settle  = 1500 * time.Millisecond // after a takeover, in which the last orders of the former owner show in the list
	noLeave = 4 * time.Second         // after which an instance that is up has not left: a former owner's order was carried out before
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

// vacate asks for the executors of all visited instances to be emptied, and to be kept empty.
func (s State) vacate(d cluster.Directory) []Effect {
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
	case errors.Is(m.Err, port.ErrNoInstance), errors.Is(m.Err, port.ErrNotInWave):
		s = s.withoutVisit(m.Instance)
		if isWave {
			s = s.withDone(wave.wave, m.Instance)
		}
		return s, []Effect{Note{Level: slog.LevelWarn, Event: "instance.rejected", Attrs: attrs}}
	case errors.Is(m.Err, port.ErrInstanceNotUp), errors.Is(m.Err, port.ErrRefused):
		return s.withoutVisit(m.Instance), []Effect{Note{Level: slog.LevelInfo, Event: "instance.refused", Attrs: attrs}}
	default:
		return s, []Effect{Note{Level: slog.LevelWarn, Event: "instance.unsure", Attrs: attrs}, effectOf(v.purpose, m.Instance)}
	}
}
