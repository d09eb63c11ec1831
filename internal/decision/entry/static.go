package entry

import (
	"slices"
	"time"

	"teaselloft/internal/core/copymap"

	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/decision/forward"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
)

// onEpochCleared remembers that an epoch has no grants left.
func (t *step) onEpochCleared(f message.EpochCleared) {
	if f.Epoch <= t.clearedEpochs[f.Service] {
		return
	}
	t.clearedEpochs = copymap.With(t.clearedEpochs, f.Service, f.Epoch)
	t.updateStaticShares()
}

// staticShareAt returns when this entry instance may use its static share of a service, zero for never.
//
// By then its own lease has expired where every owner that still has the
// platform has seen it, and the last epoch's grants have come back. A keep-alive
// sent after that must have failed: a process that was paused has an expired
// lease too, but the platform may answer it.
func (s State) staticShareAt(service string) time.Time {
	o, ok := s.ownership.Owner(service)
	if !ok || !slices.Contains(o.Members, s.self) || s.ownership.Until().IsZero() {
		return time.Time{}
	}
	if s.forward.GatheredEpoch(service) != o.Epoch {
		return time.Time{} // not known to the owner of the latest epoch
	}
	at := s.ownership.Until().Add(staticShareDelay)
	if s.clearedEpochs[service] < o.Epoch {
		at = at.Add(drainTimeout)
	}
	return at
}

// staticShareLife is how long a failed keep-alive allows static shares: longer than the time limit
// of a call and the pause after it, so that an outage does not interrupt them.
const staticShareLife = 4 * time.Second

// staticShareEnd returns when static shares end unless another keep-alive fails; a process that was paused must try again.
func (s State) staticShareEnd() time.Time {
	return s.renewalFailedAt.Add(staticShareLife)
}

// updateStaticShares starts or ends the use of static shares.
func (t *step) updateStaticShares() {
	for _, v := range t.fleet.Services {
		at := t.staticShareAt(v.Name)
		allowed := !at.IsZero() && !t.renewalFailedAt.Before(at) && t.now.Before(t.staticShareEnd())
		if allowed == t.staticShares[v.Name] {
			continue
		}
		t.setStaticShare(v, allowed)
	}
}

func (t *step) setStaticShare(v fleet.Service, allowed bool) {
	m := forward.StaticShareChanged{Now: t.now, Service: v.Name}
	event := "static.end"
	if allowed {
		m.Slots = t.staticSlots(v)
		event = "static.start"
		t.staticShares = copymap.With(t.staticShares, v.Name, true)
	} else {
		t.staticShares = copymap.Without(t.staticShares, v.Name)
	}
	t.emit(Notice{Event: event, Service: v.Name})
	t.forwardStep(m)
}

// staticSlots returns this entry instance's part of the slots of the available executors.
func (t *step) staticSlots(v fleet.Service) []forward.ExecutorSlots {
	o, _ := t.ownership.Owner(v.Name)
	candidates := t.executors(v)
	ids := make([]string, 0, len(candidates))
	for _, c := range candidates {
		ids = append(ids, c.Executor.ID)
	}
	counts := map[string]int{}
	for _, share := range dispatch.StaticShare(ids, v.Slots, o.Members, t.self) {
		counts[share.Executor]++
	}
	var slots []forward.ExecutorSlots
	for _, c := range candidates {
		if c.Available && counts[c.Executor.ID] > 0 {
			slots = append(slots, forward.ExecutorSlots{Executor: c.Executor, Count: counts[c.Executor.ID]})
		}
	}
	return slots
}
