package wave

import (
	"errors"
	"fmt"
	"log/slog"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/benbjohnson/immutable"
)

// Step returns the state after the message and the effects to carry out. Only Tick takes instances out of service or
// returns them.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case ConfigChanged:
		return s.WithFleet(m.Fleet), nil
	case RecordChanged:
		return applyChange(s, m), nil
	case RecordsLoaded:
		return applyLoad(s, m), nil
	case InstancesListed:
		return applyList(s.WithNow(m.Now), m), nil
	case ListConfirmed:
		s = s.WithNow(m.Now)
		s.listedAt, s.listAgeKnown = m.Now, true
		return s, nil
	case InFlight:
		return applyInFlight(s.WithNow(m.Now), m), nil
	case WriteResult:
		return handleWriteResult(s.WithNow(m.Now), m)
	case ReadFailed:
		s = s.WithNow(m.Now)
		return s.withPendingWrite(pendingWrite{record: m.Record, inDoubt: true, rereadAt: s.now.Add(s.settings.ReadRetry)}), nil
	case LoadFailed:
		s = s.WithNow(m.Now)
		s.nextLoad = s.now.Add(s.settings.ReadRetry)
		return s, nil
	case RunCommand:
		return handleCommand(s.WithNow(m.Now), m)
	case Move:
		return handleMove(s.WithNow(m.Now), m)
	case OwnershipWon:
		return handleOwnershipWon(s.WithNow(m.Now), m)
	case OwnershipLost:
		return handleOwnershipLost(s.WithNow(m.Now))
	case Tick:
		return decide(s.WithNow(m.Now))
	default:
		panic(fmt.Sprintf("wave: unknown message %T", m))
	}
}

// applyChange stores the record unless a newer revision is known. A record that was read back ends a write in doubt.
func applyChange(s State, m RecordChanged) State {
	if pending, ok := s.pendingWrites.Get(m.Record.Key()); ok && pending.inDoubt && m.ReadBack {
		s = s.withoutPendingWrite(m.Record.Key())
	}
	known := s.revision(m.Record)
	if !m.ReadBack {
		s.watchRevision = max(s.watchRevision, m.Revision)
	}
	if known > m.Revision && !m.Deleted {
		return s
	}
	if l, ok := m.Record.(record.Ledger); ok && m.ReadBack && m.Revision > known {
		s.readAhead = s.readAhead.Set(l.Service, m.Revision)
	}
	if m.Deleted {
		return s.withoutRecord(m.Record)
	}
	return s.withRecord(m.Record, m.Revision)
}

// revision returns the known revision of the record's key, 0 if it is unknown.
func (s State) revision(r record.Record) int64 {
	switch r := r.(type) {
	case record.Instance:
		stored, _ := s.instances.Get(r.ID)
		return stored.Revision
	case record.Ledger:
		stored, _ := s.ledgers.Get(r.Service)
		return stored.Revision
	case record.Wave:
		stored, _ := s.waves.Get(r.ID)
		return stored.Revision
	case record.Claim, record.ConfigHead, record.Member, record.Owner, record.ClaimSegment:
		return 0 // not part of the state
	default:
		panic(fmt.Sprintf("wave: unknown record %T", r))
	}
}

func (s State) withRecord(r record.Record, revision int64) State {
	switch r := r.(type) {
	case record.Instance:
		return s.WithInstance(r, revision)
	case record.Ledger:
		return s.WithLedger(r, revision)
	case record.Wave:
		return s.WithWave(r, revision)
	case record.Claim, record.ConfigHead, record.Member, record.Owner, record.ClaimSegment:
		return s // not part of the state
	default:
		panic(fmt.Sprintf("wave: unknown record %T", r))
	}
}

func (s State) withoutRecord(r record.Record) State {
	switch r := r.(type) {
	case record.Instance:
		s.instances = s.instances.Delete(r.ID)
	case record.Ledger:
		s.ledgers = s.ledgers.Delete(r.Service)
	case record.Wave:
		s.waves = s.waves.Delete(r.ID)
	case record.Claim, record.ConfigHead, record.Member, record.Owner, record.ClaimSegment: // not part of the state
	default:
		panic(fmt.Sprintf("wave: unknown record %T", r))
	}
	return s
}

func applyLoad(s State, m RecordsLoaded) State {
	for _, r := range m.Records {
		s = applyChange(s, r)
	}
	s.readAhead = immutable.NewSortedMap[string, int64](nil) // the loaded instances are at least as new as the ledgers
	s.loaded = s.epoch > 0
	return s
}

func applyList(s State, m InstancesListed) State {
	live := make(map[string]message.Listing, len(m.Instances))
	for _, l := range m.Instances {
		live[l.ID] = l
	}
	s.live = live
	s.listedAt = m.Now
	for itr := s.instances.Iterator(); !itr.Done(); {
		id, stored, _ := itr.Next()
		// Draining instances count too, because the write that lets them reboot may not be confirmed yet.
		if stored.Record.State != record.Serving && !s.Live(id) {
			s.absentAt = s.absentAt.Set(id, m.Now)
		}
	}
	return s
}

func applyInFlight(s State, m InFlight) State {
	for id, count := range m.Counts {
		s.inFlight = s.inFlight.Set(id, inFlightCount{count: count, observedAt: m.Now})
	}
	return s
}

func handleWriteResult(s State, m WriteResult) (State, []Effect) {
	key := m.Record.Key()
	if m.Err == nil {
		s = s.withoutPendingWrite(key)
		if s.revision(m.Record) > m.Revision {
			return s, nil
		}
		return s.withRecord(m.Record, m.Revision), nil
	}
	s = s.withPendingWrite(pendingWrite{record: m.Record, inDoubt: true, rereadAt: s.now.Add(s.settings.ReadRetry)})
	event := "write.conflict"
	if errors.Is(m.Err, message.ErrUnavailable) {
		event = "write.lost"
	}
	return s, []Effect{
		Read{Record: m.Record},
		notice(slog.LevelInfo, event, "write not confirmed, reading the record back", "key", key, "error", m.Err),
	}
}

func handleCommand(s State, m RunCommand) (State, []Effect) {
	stored, ok := s.Wave(m.Wave)
	if !ok {
		return s, []Effect{notice(slog.LevelWarn, "wave.refused", "command for an unknown wave", "wave", m.Wave)}
	}
	w, err := Apply(stored.Record, m.Command, s.now)
	if err != nil {
		return s, []Effect{notice(slog.LevelWarn, "wave.refused", "command refused", "wave", m.Wave, "error", err)}
	}
	return s.write(w, stored.Revision)
}

func handleMove(s State, m Move) (State, []Effect) {
	stored, ok := s.Instance(m.Instance)
	if _, exists := s.fleet.Pool(m.Pool); !ok || !exists || stored.Record.State != record.Serving || stored.Record.Target != "" {
		return s, []Effect{notice(slog.LevelWarn, "move.refused", "instance cannot be moved now",
			"instance", m.Instance, "pool", m.Pool, "state", string(stored.Record.State))}
	}
	return s.write(stored.Record.WithTarget(m.Pool), stored.Revision)
}

// write requests a compare-and-swap unless another write of the key is pending.
func (s State) write(r record.Record, expectedRevision int64) (State, []Effect) {
	if _, busy := s.pendingWrites.Get(r.Key()); busy {
		return s, []Effect{notice(slog.LevelWarn, "write.busy", "another write of the record is pending", "key", r.Key())}
	}
	return s.withPendingWrite(pendingWrite{record: r}), []Effect{Write{Record: r, ExpectedRevision: expectedRevision}}
}

func handleOwnershipWon(s State, m OwnershipWon) (State, []Effect) {
	s.validUntil = m.Until
	if m.Epoch == s.epoch {
		return s, nil
	}
	s.epoch = m.Epoch
	s.loaded = false
	s.nextLoad = s.now.Add(s.settings.ReadRetry)
	return s, []Effect{
		Load{},
		notice(slog.LevelInfo, "planner.won", "planner epoch started", "epoch", m.Epoch),
	}
}

func handleOwnershipLost(s State) (State, []Effect) {
	if s.epoch == 0 {
		return s, nil
	}
	epoch := s.epoch
	s.epoch = 0
	s.loaded = false
	return s, []Effect{notice(slog.LevelInfo, "planner.lost", "planner epoch ended", "epoch", epoch)}
}

func notice(level slog.Level, event, text string, attrs ...any) Notice {
	return Notice{Level: level, Event: event, Text: text, Attrs: attrs}
}

// decide requests the reads and loads that are due and, if this process may act, makes all decisions.
func decide(s State) (State, []Effect) {
	s, effects := rereadInDoubt(s)
	if s.epoch > 0 && !s.loaded && !s.now.Before(s.nextLoad) {
		s.nextLoad = s.now.Add(s.settings.DrainTimeout) // in case neither RecordsLoaded nor LoadFailed arrives
		effects = append(effects, Load{})
	}
	if !s.mayAct() {
		return s, effects
	}
	p := newPass(s)
	p.run()
	return p.state, append(effects, p.effects...)
}

// rereadInDoubt requests a read of each key in doubt whose reread is due.
func rereadInDoubt(s State) (State, []Effect) {
	var effects []Effect
	known := s.pendingWrites
	for itr := known.Iterator(); !itr.Done(); {
		_, pending, _ := itr.Next()
		if pending.inDoubt && !s.now.Before(pending.rereadAt) {
			pending.rereadAt = s.now.Add(s.settings.ReadRetry)
			s = s.withPendingWrite(pending)
			effects = append(effects, Read{Record: pending.record})
		}
	}
	return s, effects
}
