package wave

import (
	"errors"
	"fmt"
	"log/slog"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/benbjohnson/immutable"
)

// Step returns the state after the message and what to do about it; only Time and Won lead to decisions.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Configure:
		return s.WithFleet(m.Fleet), nil
	case Changed:
		return change(s, m), nil
	case Loaded:
		return load(s, m), nil
	case Listed:
		return list(s.WithNow(m.Now), m), nil
	case Confirmed:
		s = s.WithNow(m.Now)
		s.listedAt, s.confirms = m.Now, true
		return s, nil
	case Flights:
		return fly(s.WithNow(m.Now), m), nil
	case Written:
		return written(s.WithNow(m.Now), m)
	case ReadFailed:
		s = s.WithNow(m.Now)
		return s.withOpen(open{record: m.Record, doubt: true, next: s.now.Add(s.settings.ReadAgain)}), nil
	case LoadFailed:
		s = s.WithNow(m.Now)
		s.loading = s.now.Add(s.settings.ReadAgain)
		return s, nil
	case Operate:
		return operate(s.WithNow(m.Now), m)
	case Move:
		return move(s.WithNow(m.Now), m)
	case Won:
		return win(s.WithNow(m.Now), m)
	case Lost:
		return lose(s.WithNow(m.Now))
	case Time:
		return decide(s.WithNow(m.Now))
	default:
		panic(fmt.Sprintf("wave: message %T", m))
	}
}

// change takes over a record unless a newer revision is known, and closes a write in doubt that was read back.
func change(s State, m Changed) State {
	if o, ok := s.open.Get(m.Record.Key()); ok && o.doubt && m.Read {
		s = s.withClosed(m.Record.Key())
	}
	known := s.revision(m.Record)
	if !m.Read {
		s.watched = max(s.watched, m.Revision)
	}
	if known > m.Revision && !m.Deleted {
		return s
	}
	if l, ok := m.Record.(record.Ledger); ok && m.Read && m.Revision > known {
		s.ahead = s.ahead.Set(l.Service, m.Revision)
	}
	if m.Deleted {
		return s.without(m.Record)
	}
	return s.with(m.Record, m.Revision)
}

// revision returns the known revision of the record's key, 0 for an unknown one.
func (s State) revision(r record.Record) int64 {
	switch r := r.(type) {
	case record.Instance:
		k, _ := s.instances.Get(r.ID)
		return k.Revision
	case record.Ledger:
		k, _ := s.ledgers.Get(r.Service)
		return k.Revision
	case record.Wave:
		k, _ := s.waves.Get(r.ID)
		return k.Revision
	case record.Claim, record.ConfigHead, record.Member, record.Owner, record.ClaimSegment:
		return 0 // not kept
	default:
		panic(fmt.Sprintf("wave: record %T", r))
	}
}

func (s State) with(r record.Record, revision int64) State {
	switch r := r.(type) {
	case record.Instance:
		return s.WithInstance(r, revision)
	case record.Ledger:
		return s.WithLedger(r, revision)
	case record.Wave:
		return s.WithWave(r, revision)
	case record.Claim, record.ConfigHead, record.Member, record.Owner, record.ClaimSegment:
		return s // not kept
	default:
		panic(fmt.Sprintf("wave: record %T", r))
	}
}

func (s State) without(r record.Record) State {
	switch r := r.(type) {
	case record.Instance:
		s.instances = s.instances.Delete(r.ID)
	case record.Ledger:
		s.ledgers = s.ledgers.Delete(r.Service)
	case record.Wave:
		s.waves = s.waves.Delete(r.ID)
	case record.Claim, record.ConfigHead, record.Member, record.Owner, record.ClaimSegment: // not kept
	default:
		panic(fmt.Sprintf("wave: record %T", r))
	}
	return s
}

func load(s State, m Loaded) State {
	for _, r := range m.Records {
		s = change(s, r)
	}
	s.ahead = immutable.NewSortedMap[string, int64](nil)
	s.loaded = s.epoch > 0
	return s
}

func list(s State, m Listed) State {
	live := make(map[string]message.Listing, len(m.Instances))
	for _, l := range m.Instances {
		live[l.ID] = l
	}
	s.live = live
	s.listedAt = m.Now
	for itr := s.instances.Iterator(); !itr.Done(); {
		id, k, _ := itr.Next()
		// A draining instance counts too: the write that lets it reboot may not be confirmed yet.
		if k.Record.State != record.Serving && !s.Live(id) {
			s.gone = s.gone.Set(id, m.Now)
		}
	}
	return s
}

func fly(s State, m Flights) State {
	for id, count := range m.Counts {
		s.flights = s.flights.Set(id, flight{count: count, at: m.Now})
	}
	return s
}

func written(s State, m Written) (State, []Effect) {
	key := m.Record.Key()
	if m.Err == nil {
		s = s.withClosed(key)
		if s.revision(m.Record) > m.Revision {
			return s, nil
		}
		return s.with(m.Record, m.Revision), nil
	}
	s = s.withOpen(open{record: m.Record, doubt: true, next: s.now.Add(s.settings.ReadAgain)})
	event := "write.conflict"
	if errors.Is(m.Err, message.ErrUnavailable) {
		event = "write.lost"
	}
	return s, []Effect{
		Read{Record: m.Record},
		notice(slog.LevelInfo, event, "write not confirmed, reading the record back", "key", key, "error", m.Err),
	}
}

func operate(s State, m Operate) (State, []Effect) {
	k, ok := s.Wave(m.Wave)
	if !ok {
		return s, []Effect{notice(slog.LevelWarn, "wave.refused", "command for an unknown wave", "wave", m.Wave)}
	}
	w, err := Apply(k.Record, m.Command, s.now)
	if err != nil {
		return s, []Effect{notice(slog.LevelWarn, "wave.refused", "command refused", "wave", m.Wave, "error", err)}
	}
	return s.write(w, k.Revision)
}

func move(s State, m Move) (State, []Effect) {
	k, ok := s.Instance(m.Instance)
	if _, exists := s.fleet.Pool(m.Pool); !ok || !exists || k.Record.State != record.Serving || k.Record.Target != "" {
		return s, []Effect{notice(slog.LevelWarn, "move.refused", "instance cannot be moved now",
			"instance", m.Instance, "pool", m.Pool, "state", string(k.Record.State))}
	}
	return s.write(k.Record.WithTarget(m.Pool), k.Revision)
}

// write emits a compare-and-swap unless one on the same key is under way.
func (s State) write(r record.Record, expected int64) (State, []Effect) {
	if _, busy := s.open.Get(r.Key()); busy {
		return s, []Effect{notice(slog.LevelWarn, "write.busy", "another write of the record is under way", "key", r.Key())}
	}
	return s.withOpen(open{record: r}), []Effect{Write{Record: r, Expected: expected}}
}

func win(s State, m Won) (State, []Effect) {
	s.until = m.Until
	if m.Epoch == s.epoch {
		return s, nil
	}
	s.epoch = m.Epoch
	s.loaded = false
	s.loading = s.now.Add(s.settings.ReadAgain)
	return s, []Effect{
		Load{},
		notice(slog.LevelInfo, "planner.won", "planner epoch begins", "epoch", m.Epoch),
	}
}

func lose(s State) (State, []Effect) {
	if s.epoch == 0 {
		return s, nil
	}
	epoch := s.epoch
	s.epoch = 0
	s.loaded = false
	return s, []Effect{notice(slog.LevelInfo, "planner.lost", "planner epoch ends", "epoch", epoch)}
}

func notice(level slog.Level, event, text string, attrs ...any) Notice {
	return Notice{Level: level, Event: event, Text: text, Attrs: attrs}
}

// decide reads records in doubt again and then plans, if this process may.
func decide(s State) (State, []Effect) {
	s, effects := readAgain(s)
	if s.epoch > 0 && !s.loaded && !s.now.Before(s.loading) {
		s.loading = s.now.Add(s.settings.DrainLimit) // until Loaded or LoadFailed
		effects = append(effects, Load{})
	}
	if !s.acts() {
		return s, effects
	}
	p := newPass(s)
	p.run()
	return p.state, append(effects, p.effects...)
}

func readAgain(s State) (State, []Effect) {
	var effects []Effect
	known := s.open
	for itr := known.Iterator(); !itr.Done(); {
		_, o, _ := itr.Next()
		if o.doubt && !s.now.Before(o.next) {
			o.next = s.now.Add(s.settings.ReadAgain)
			s = s.withOpen(o)
			effects = append(effects, Read{Record: o.record})
		}
	}
	return s, effects
}
