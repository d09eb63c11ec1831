package wave

import (
	"cmp"
	"fmt"
	"log/slog"
	"time"

	"teaselloft/internal/model/record"
)

// advanceInstances advances the state of each instance that has a record or a ledger entry.
func (p *pass) advanceInstances() {
	for itr := p.state.instances.Iterator(); !itr.Done(); {
		id, _, _ := itr.Next()
		k, _ := p.instance(id)
		p.advance(k)
	}
	for _, v := range p.services {
		for _, id := range v.ledger.Out {
			if _, recorded := p.state.instances.Get(id); recorded {
				continue
			}
			if k, ok := p.instance(id); ok {
				p.advance(k)
			}
		}
	}
}

func (p *pass) advance(k Versioned[record.Instance]) {
	if !p.writable(k.Record.Key()) || k.Record.State != record.Serving && !managed(k.Record) {
		return
	}
	switch k.Record.State {
	case record.Serving:
		p.advanceServing(k)
	case record.Draining:
		p.advanceDraining(k)
	case record.Rebooting:
		p.advanceRebooting(k)
	case record.Out:
		p.advanceOut(k)
	default: // a state written by a newer version is left unchanged
	}
}

// advanceServing starts the drain of an instance that is reserved in every ledger of its pool, and cancels a
// reservation that is no longer needed.
func (p *pass) advanceServing(k Versioned[record.Instance]) {
	r := k.Record
	some, all := p.reservations(k)
	if !some {
		return
	}
	wave, wanted := p.pendingWave[r.ID]
	switch {
	case !wanted && r.Target == "":
		p.write(r, k.Revision) // the same value at a new revision makes delayed writes fail
	case all:
		p.startDrain(k, wave)
	}
}

// startDrain writes that the instance drains.
func (p *pass) startDrain(k Versioned[record.Instance], wave string) {
	r := k.Record.WithState(record.Draining, p.state.now).WithWave(cmp.Or(wave, k.Record.Wave), "")
	p.write(r, k.Revision)
	p.note(notice(slog.LevelInfo, "instance.drain", "instance starts to drain", "instance", r.ID,
		"pool", r.Pool, "target", r.Target, "wave", wave))
}

// reservations returns whether any ledger of the pool lists the instance at its current revision, and whether all of
// them do in this planner's epoch.
func (p *pass) reservations(k Versioned[record.Instance]) (some, all bool) {
	all = len(p.byPool[k.Record.Pool]) > 0
	for _, v := range p.byPool[k.Record.Pool] {
		at, ok := v.stored.Record.At[k.Record.ID]
		match := ok && v.hasEntry(k.Record.ID) && at == k.Revision
		some = some || match
		all = all && match && v.stored.Record.Epoch == p.state.epoch
	}
	return some, all
}

// advanceDraining lets an instance without requests in flight reboot, and records a drain that exceeds its limit.
func (p *pass) advanceDraining(k Versioned[record.Instance]) {
	r, now, limits := k.Record, p.state.now, p.state.settings
	if r.Target == "" && p.cancelled(r.Wave) {
		p.undrain(k, "wave cancelled")
		return
	}
	seen, known := p.state.inFlight.Get(r.ID)
	fresh := known && !seen.observedAt.Before(p.drainObservedAt(r).Add(limits.DrainGrace))
	if fresh && seen.count == 0 {
		p.write(r.WithState(record.Rebooting, now).WithWave(r.Wave, ""), k.Revision)
		p.note(notice(slog.LevelInfo, "instance.reboot", "drained instance starts to reboot", "instance", r.ID, "wave", r.Wave))
		return
	}
	p.blocked[r.ID] = drainReason(seen, known, fresh)
	if now.Sub(r.Since) > limits.DrainTimeout && r.Reason == "" {
		reason := fmt.Sprintf("drain exceeds %s, waits for the operator", limits.DrainTimeout)
		p.write(r.WithWave(r.Wave, reason), k.Revision)
		p.note(notice(slog.LevelWarn, "instance.stuck", "drain exceeds its limit and waits for the operator",
			"instance", r.ID, "wave", r.Wave, "inflight", seen.count))
	}
}

// drainObservedAt returns when this planner first saw the drain in effect, which is now for a drain that it has not
// seen before.
func (p *pass) drainObservedAt(r record.Instance) time.Time {
	d, ok := p.state.drainStarts.Get(r.ID)
	if !ok || !d.since.Equal(r.Since) {
		d = drainStart{since: r.Since, observedAt: p.state.now}
		p.state.drainStarts = p.state.drainStarts.Set(r.ID, d)
	}
	return d.observedAt
}

func drainReason(seen inFlightCount, known, fresh bool) string {
	switch {
	case !known || seen.count < 0:
		return "requests in flight are unknown"
	case !fresh:
		return "the drain has just begun"
	default:
		return fmt.Sprintf("%d requests in flight", seen.count)
	}
}

// cancelled returns whether the wave is cancelled or unknown, so that its draining instances have to return to
// service.
func (p *pass) cancelled(wave string) bool {
	k, ok := p.state.Wave(wave)
	return !ok || k.Record.Phase == record.Cancelled
}

// undrain returns a draining instance to service and detaches it from its wave, which may select it again later.
func (p *pass) undrain(k Versioned[record.Instance], reason string) {
	p.write(k.Record.WithState(record.Serving, p.state.now).WithWave("", reason), k.Revision)
	p.note(notice(slog.LevelInfo, "instance.undrain", "draining instance returns to service", "instance", k.Record.ID,
		"wave", k.Record.Wave, "reason", reason))
}

// advanceRebooting returns an instance to service once it has rebooted and is live, or takes it for failed after a
// timeout.
func (p *pass) advanceRebooting(k Versioned[record.Instance]) {
	r, s := k.Record, p.state
	gone, absent := s.absentAt.Get(r.ID)
	rebooted := absent && gone.After(r.Since)
	settled := s.listTime().Sub(r.Since) >= s.settings.RebootSettle
	if s.Live(r.ID) && (rebooted || settled) {
		p.returnToService(k)
		return
	}
	p.blocked[r.ID] = "not yet live after its reboot"
	if s.now.Sub(r.Since) > s.settings.RebootTimeout && !s.Live(r.ID) {
		reason := fmt.Sprintf("not live %s after its reboot began", s.settings.RebootTimeout)
		p.write(r.WithState(record.Out, s.now).WithWave(r.Wave, reason), k.Revision)
		p.note(notice(slog.LevelWarn, "instance.failed", "instance did not return from its reboot", "instance", r.ID,
			"wave", r.Wave, "reason", reason))
	}
}

// advanceOut returns a failed instance to service if it has become live.
func (p *pass) advanceOut(k Versioned[record.Instance]) {
	if p.state.Live(k.Record.ID) {
		p.returnToService(k)
		return
	}
	p.blocked[k.Record.ID] = k.Record.Reason
}

// returnToService returns an instance to service, in its target pool if it moves.
func (p *pass) returnToService(k Versioned[record.Instance]) {
	r := k.Record.WithState(record.Serving, p.state.now).WithWave(k.Record.Wave, "")
	if _, exists := p.state.fleet.Pool(r.Target); exists {
		r = r.WithPool(r.Target)
	}
	p.state.absentAt = p.state.absentAt.Delete(r.ID)
	p.state.inFlight = p.state.inFlight.Delete(r.ID)
	p.state.drainStarts = p.state.drainStarts.Delete(r.ID)
	p.write(r.WithTarget(""), k.Revision)
	p.note(notice(slog.LevelInfo, "instance.return", "instance returns to service", "instance", r.ID, "pool", r.Pool,
		"wave", r.Wave))
}
