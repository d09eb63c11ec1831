package maintenance

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

// An instance that is still up this long after its order was accepted does not leave again: the platform had already
// carried out the same order of a previous owner.
const departureTimeout = 4 * time.Second

// Step returns the state after a message and the effects to carry out.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Tick:
		return onTick(s, m)
	case VacateResult:
		return onVacateResult(s, m)
	case OrderResult:
		return onOrderResult(s, m)
	case ConfirmResult:
		return onConfirmResult(s, m)
	case ReportFailed:
		s.completed = maps.Clone(s.completed)
		delete(s.completed, m.Wave)
		return s.withReported(m.Wave, -1), nil
	default:
		panic(fmt.Sprintf("maintenance: message %T is not handled", m))
	}
}

func onTick(s State, m Tick) (State, []Effect) {
	s.now = m.Now
	if s.startedAt == 0 {
		s.startedAt = m.Now
	}
	s.formerEnded = s.formerEnded || s.former.Epoch != 0 && m.Directory.HasRestarted(s.former)
	if m.Instances != nil {
		s = s.withInstances(m.Instances, m.Now-m.ListAge)
	}
	s, out := s.checkConfirmation()
	for _, number := range slices.Sorted(maps.Keys(m.Directory.Waves)) {
		w := m.Directory.Waves[number]
		var effects []Effect
		s, effects = s.advanceWave(w, m)
		out = append(out, effects...)
	}
	s, effects := s.balance(m)
	out = append(out, effects...)
	s, effects = s.sendOrders()
	out = append(out, effects...)
	return s, append(out, s.vacateEffects(m.Directory)...)
}

// withInstances returns a copy with the instances of a list that was requested at a time, and without the operations that
// are complete.
func (s State) withInstances(instances []site.Instance, requestedAt time.Duration) State {
	s.instances = make(map[string]site.Instance, len(instances))
	for _, i := range instances {
		s.instances[i.Name] = i
	}
	executorSince := make(map[string]time.Duration, len(instances))
	since := s.now
	if s.listedAt == 0 {
		since = -minStay // instances of the first list may have been there for a long time
	}
	for _, i := range instances {
		executorSince[i.Executor] = since
		if before, ok := s.executorSince[i.Executor]; ok {
			executorSince[i.Executor] = before
		}
	}
	s.executorSince, s.listedAt = executorSince, requestedAt
	for name, op := range s.operations {
		i, ok := s.instances[name]
		if ok == (op.unlistedSince != 0) {
			op.unlistedSince = 0
			if !ok {
				op.unlistedSince = s.now
			}
			s = s.withOperation(name, op)
		}
		if op.stage == inProgress && op.hasEnded(i, s.now) {
			s = s.withoutOperation(name)
		}
	}
	return s
}

// hasEnded reports whether an operation in progress has ended, given the instance if it is listed.
func (op operation) hasEnded(i site.Instance, now time.Duration) bool {
	if op.unlistedSince != 0 {
		return now-op.unlistedSince > missingTimeout
	}
	returned := i.Executor != op.executorBefore || i.Executor == ""
	neverLeft := now-op.since > departureTimeout
	return i.State == site.InstanceUp && (returned && now-op.since > time.Second || neverLeft)
}

// vacateEffects requests that the executors of all instances with an operation be emptied, or kept empty. While a
// confirmation is overdue, only those are kept empty whose order may have been carried out.
func (s State) vacateEffects(d cluster.Directory) []Effect {
	pools := map[string][]string{}
	var out []Effect
	for _, name := range slices.Sorted(maps.Keys(s.operations)) {
		op := s.operations[name]
		i, ok := s.instances[name]
		if !ok || op.stage == inProgress || op.stage == vacating && s.confirmation.overdue {
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

// onVacateResult notes which executors are empty and orders the operations of their instances. Without a pool, Executors
// names instances on standby.
func onVacateResult(s State, m VacateResult) (State, []Effect) {
	s.now = max(s.now, m.Now)
	for _, name := range slices.Sorted(maps.Keys(s.operations)) {
		op := s.operations[name]
		i, ok := s.instances[name]
		key := i.Executor
		if m.Pool == "" {
			key = name
		}
		if ok && op.stage == vacating && slices.Contains(m.Executors, key) {
			op.emptyExecutor, op.emptyUntil = i.Executor, m.ClosedUntil
			s = s.withOperation(name, op)
		}
	}
	return s.sendOrders()
}

// allowed reports whether an order for the purpose may be sent now.
func (s State) allowed(p purpose) bool {
	switch p := p.(type) {
	case waveMaintenance:
		return s.unavailable(p.wave) < s.maxUnavailable[p.wave]
	case poolMove:
		return true
	default:
		panic(fmt.Sprintf("maintenance: purpose %T is not handled", p))
	}
}

// onOrderResult applies the result of an order. An order whose outcome is unknown is repeated, which is idempotent. An
// instance that does not exist or is not in the wave counts as done, so that the wave can be completed. An order that was
// not sent waits for the next confirmation.
func onOrderResult(s State, m OrderResult) (State, []Effect) {
	s.now = max(s.now, m.Now)
	op, ok := s.operations[m.Instance]
	if !ok || op.stage != ordered {
		return s, nil
	}
	attrs := []any{"instance", m.Instance, "purpose", fmt.Sprintf("%+v", op.purpose), "after", m.Now - op.since, "error", m.Err}
	wave, isWave := op.purpose.(waveMaintenance)
	switch {
	case m.Err == nil:
		op.stage, op.since = inProgress, m.Now
		s = s.withOperation(m.Instance, op)
		if isWave {
			s = s.withDone(wave.wave, m.Instance)
		}
		return s, []Effect{Note{Level: slog.LevelInfo, Event: "instance.away", Attrs: attrs}}
	case errors.Is(m.Err, ErrNotSent):
		op.stage, op.since = vacating, m.Now
		if op.inDoubt {
			op.stage = unanswered
		}
		return s.withOperation(m.Instance, op), []Effect{Note{Level: slog.LevelInfo, Event: "instance.unsent", Attrs: attrs}}
	case errors.Is(m.Err, port.ErrFenced):
		return s, []Effect{StepDown{Instance: m.Instance}}
	case errors.Is(m.Err, port.ErrNoInstance), errors.Is(m.Err, port.ErrNotInWave):
		s = s.withoutOperation(m.Instance)
		if isWave {
			s = s.withDone(wave.wave, m.Instance)
		}
		return s, []Effect{Note{Level: slog.LevelWarn, Event: "instance.rejected", Attrs: attrs}}
	case errors.Is(m.Err, port.ErrInstanceNotUp) && op.inDoubt: // the list may not show yet that it was carried out
		op.stage, op.since = inProgress, m.Now
		return s.withOperation(m.Instance, op), []Effect{Note{Level: slog.LevelInfo, Event: "instance.away", Attrs: attrs}}
	case errors.Is(m.Err, port.ErrRefused) && op.inDoubt: // repeated at the next Tick
		op.stage, op.since = unanswered, m.Now
		return s.withOperation(m.Instance, op), []Effect{Note{Level: slog.LevelInfo, Event: "instance.refused", Attrs: attrs}}
	case errors.Is(m.Err, port.ErrInstanceNotUp), errors.Is(m.Err, port.ErrRefused):
		return s.withoutOperation(m.Instance), []Effect{Note{Level: slog.LevelInfo, Event: "instance.refused", Attrs: attrs}}
	default:
		op.stage, op.since, op.inDoubt = unanswered, m.Now, true
		s, effects := s.withOperation(m.Instance, op).sendOrders()
		return s, append([]Effect{Note{Level: slog.LevelWarn, Event: "instance.unsure", Attrs: attrs}}, effects...)
	}
}
