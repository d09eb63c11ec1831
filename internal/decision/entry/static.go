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

// noteCleared remembers that an epoch has no grants left.
func (t *step) noteCleared(f message.EpochCleared) {
	if f.Epoch <= t.cleared[f.Service] {
		return
	}
	t.cleared = copymap.With(t.cleared, f.Service, f.Epoch)
	t.updateStatic()
}

// staticAt returns when this entry instance may use its static share of a service, zero for never.
//
// By then its own lease has expired where every owner that still has the
// platform has seen it, and the last epoch's grants have come back. A keep-alive
// sent after that must have failed: a process that was paused has an expired
// lease too, but the platform may answer it.
func (s State) staticAt(service string) time.Time {
	o, ok := s.member.Owner(service)
	if !ok || !slices.Contains(o.Members, s.self) || s.member.LeaseValidUntil().IsZero() {
		return time.Time{}
	}
	if s.forward.Floor(service) != o.Epoch {
		return time.Time{} // not known to the owner of the latest epoch
	}
	at := s.member.LeaseValidUntil().Add(staticDelay)
	if s.cleared[service] < o.Epoch {
		at = at.Add(drainLimit)
	}
	return at
}

// staticLife is how long a failed keep-alive allows static shares: longer than the time limit
// of a call and the pause after it, so that an outage does not interrupt them.
const staticLife = 4 * time.Second

// staticEnd returns when static shares end unless another keep-alive fails; a process that was paused must try again.
func (s State) staticEnd() time.Time {
	return s.unanswered.Add(staticLife)
}

// updateStatic starts or ends the use of static shares.
func (t *step) updateStatic() {
	for _, v := range t.fleet.Services {
		at := t.staticAt(v.Name)
		allowed := !at.IsZero() && !t.unanswered.Before(at) && t.now.Before(t.staticEnd())
		if allowed == t.static[v.Name] {
			continue
		}
		t.setStatic(v, allowed)
	}
}

func (t *step) setStatic(v fleet.Service, allowed bool) {
	m := forward.Static{Now: t.now, Service: v.Name}
	event := "static.end"
	if allowed {
		m.Slots = t.staticSlots(v)
		event = "static.start"
		t.static = copymap.With(t.static, v.Name, true)
	} else {
		t.static = copymap.Without(t.static, v.Name)
	}
	t.emit(Notice{Event: event, Service: v.Name})
	t.forwardStep(m)
}

// staticSlots returns this entry instance's part of the slots of the available executors.
func (t *step) staticSlots(v fleet.Service) []forward.Slot {
	o, _ := t.member.Owner(v.Name)
	candidates := t.executors(v)
	ids := make([]string, 0, len(candidates))
	for _, c := range candidates {
		ids = append(ids, c.Executor.ID)
	}
	counts := map[string]int{}
	for _, share := range dispatch.StaticShare(ids, v.Slots, o.Members, t.self) {
		counts[share.Executor]++
	}
	var slots []forward.Slot
	for _, c := range candidates {
		if c.Available && counts[c.Executor.ID] > 0 {
			slots = append(slots, forward.Slot{Executor: c.Executor, Count: counts[c.Executor.ID]})
		}
	}
	return slots
}
