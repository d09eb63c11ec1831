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

// onEpochCleared records that an epoch has no grants in flight.
func (t *step) onEpochCleared(f message.EpochCleared) {
	if f.Epoch <= t.clearedEpochs[f.Service] {
		return
	}
	t.clearedEpochs = copymap.With(t.clearedEpochs, f.Service, f.Epoch)
	t.updateStaticShares()
}

// staticShareAt returns the time after which this entry instance may use its static share of a service, zero for never.
//
// By then every owner that reaches the platform has seen the lease of this entry instance expire, and the grants of
// the last epoch have been released or have exceeded their maximum lifetime. The caller must also check that a
// keep-alive sent after the returned time has failed: the lease of a paused process expires although the platform may
// be available.
func (s State) staticShareAt(service string) time.Time {
	o, ok := s.ownership.Owner(service)
	if !ok || !slices.Contains(o.Members, s.self) || s.ownership.LeaseValidUntil().IsZero() {
		return time.Time{}
	}
	if s.forward.GatheredEpoch(service) != o.Epoch {
		return time.Time{} // the owner of the latest epoch has not gathered from this entry instance
	}
	at := s.ownership.LeaseValidUntil().Add(staticShareDelay)
	if s.clearedEpochs[service] < o.Epoch {
		at = at.Add(drainTimeout)
	}
	return at
}

// staticShareValidity is how long static shares may be used after a failed keep-alive was sent. It exceeds
// the timeout of a keep-alive plus the interval to the next one, so that the use continues during an outage.
const staticShareValidity = 4 * time.Second

// staticShareEnd returns when the use of static shares ends unless another keep-alive fails. A process that was paused
// must first see a keep-alive fail again.
func (s State) staticShareEnd() time.Time {
	return s.failedRenewalSent.Add(staticShareValidity)
}

// updateStaticShares starts or ends the use of the static share of each service.
func (t *step) updateStaticShares() {
	for _, v := range t.fleet.Services {
		at := t.staticShareAt(v.Name)
		allowed := !at.IsZero() && !t.failedRenewalSent.Before(at) && t.now.Before(t.staticShareEnd())
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

// staticSlots returns the slots of the available executors that are in the static share of this entry instance.
func (t *step) staticSlots(v fleet.Service) []forward.ExecutorSlots {
	o, _ := t.ownership.Owner(v.Name)
	candidates := t.executors(v)
	ids := make([]string, 0, len(candidates))
	for _, c := range candidates {
		ids = append(ids, c.Executor.ID)
	}
	counts := map[string]int{}
	for _, slot := range dispatch.StaticShare(ids, v.Slots, o.Members, t.self) {
		counts[slot.Executor]++
	}
	var slots []forward.ExecutorSlots
	for _, c := range candidates {
		if c.Available && counts[c.Executor.ID] > 0 {
			slots = append(slots, forward.ExecutorSlots{Executor: c.Executor, Count: counts[c.Executor.ID]})
		}
	}
	return slots
}
