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
		stored, _ := p.instance(id)
		p.advance(stored)
	}
	for _, svc := range p.services {
		for _, id := range svc.ledger.Out {
			if _, recorded := p.state.instances.Get(id); recorded {
				continue
			}
			if stored, ok := p.instance(id); ok {
				p.advance(stored)
			}
		}
	}
}

func (p *pass) advance(stored Versioned[record.Instance]) {
	if !p.writable(stored.Record.Key()) || stored.Record.State != record.Serving && !managed(stored.Record) {
		return
	}
	switch stored.Record.State {
	case record.Serving:
		p.advanceServing(stored)
	case record.Draining:
		p.advanceDraining(stored)
	case record.Rebooting:
		p.advanceRebooting(stored)
	case record.Out:
		p.advanceOut(stored)
	default: // a state written by a newer version is left unchanged
	}
}

// advanceServing starts the drain of an instance that is reserved in every ledger of its pool, and cancels a
// reservation that is no longer needed.
func (p *pass) advanceServing(stored Versioned[record.Instance]) {
	r := stored.Record
	some, all := p.reservations(stored)
	if !some {
		return
	}
	wave, wanted := p.pendingWave[r.ID]
	switch {
	case !wanted && r.Target == "":
		p.write(r, stored.Revision) // the same value at a new revision makes delayed writes fail
	case all:
		p.startDrain(stored, wave)
	}
}

// startDrain writes that the instance drains.
func (p *pass) startDrain(stored Versioned[record.Instance], wave string) {
	r := stored.Record.WithState(record.Draining, p.state.now).WithWave(cmp.Or(wave, stored.Record.Wave), "")
	p.write(r, stored.Revision)
	p.note(notice(slog.LevelInfo, "instance.drain", "instance starts to drain", "instance", r.ID,
		"pool", r.Pool, "target", r.Target, "wave", wave))
}

// reservations returns whether any ledger of the pool lists the instance at its current revision, and whether all of
// them do in this planner's epoch.
func (p *pass) reservations(stored Versioned[record.Instance]) (some, all bool) {
	all = len(p.servicesByPool[stored.Record.Pool]) > 0
	for _, svc := range p.servicesByPool[stored.Record.Pool] {
		reservedAt, ok := svc.stored.Record.At[stored.Record.ID]
		match := ok && svc.hasEntry(stored.Record.ID) && reservedAt == stored.Revision
		some = some || match
		all = all && match && svc.stored.Record.Epoch == p.state.epoch
	}
	return some, all
}

// advanceDraining lets an instance without requests in flight reboot, and records a drain that exceeds its limit.
func (p *pass) advanceDraining(stored Versioned[record.Instance]) {
	r, now, limits := stored.Record, p.state.now, p.state.settings
	if r.Target == "" && p.cancelled(r.Wave) {
		p.undrain(stored, "wave cancelled")
		return
	}
	reported, known := p.state.inFlight.Get(r.ID)
	fresh := known && !reported.observedAt.Before(p.observeDrain(r).Add(limits.DrainGrace))
	if fresh && reported.count == 0 {
		p.write(r.WithState(record.Rebooting, now).WithWave(r.Wave, ""), stored.Revision)
		p.note(notice(slog.LevelInfo, "instance.reboot", "drained instance starts to reboot", "instance", r.ID, "wave", r.Wave))
		return
	}
	p.blocked[r.ID] = drainReason(reported, known, fresh)
	if now.Sub(r.Since) > limits.DrainTimeout && r.Reason == "" {
		reason := fmt.Sprintf("drain exceeds %s, waits for the operator", limits.DrainTimeout)
		p.write(r.WithWave(r.Wave, reason), stored.Revision)
		p.note(notice(slog.LevelWarn, "instance.stuck", "drain exceeds its limit and waits for the operator",
			"instance", r.ID, "wave", r.Wave, "inflight", reported.count))
	}
}

// observeDrain returns when this planner first observed the drain. It records the current time for a drain that it
// has not observed before.
func (p *pass) observeDrain(r record.Instance) time.Time {
	d, ok := p.state.drainStarts.Get(r.ID)
	if !ok || !d.since.Equal(r.Since) {
		d = drainStart{since: r.Since, observedAt: p.state.now}
		p.state.drainStarts = p.state.drainStarts.Set(r.ID, d)
	}
	return d.observedAt
}

func drainReason(reported inFlightCount, known, fresh bool) string {
	switch {
	case !known || reported.count < 0:
		return "requests in flight are unknown"
	case !fresh:
		return "the drain has just begun"
	default:
		return fmt.Sprintf("%d requests in flight", reported.count)
	}
}

// cancelled returns whether the wave is cancelled or unknown, so that its draining instances have to return to
// service.
func (p *pass) cancelled(wave string) bool {
	stored, ok := p.state.Wave(wave)
	return !ok || stored.Record.Phase == record.Cancelled
}

// undrain returns a draining instance to service and detaches it from its wave, which may select it again later.
func (p *pass) undrain(stored Versioned[record.Instance], reason string) {
	p.write(stored.Record.WithState(record.Serving, p.state.now).WithWave("", reason), stored.Revision)
	p.note(notice(slog.LevelInfo, "instance.undrain", "draining instance returns to service", "instance", stored.Record.ID,
		"wave", stored.Record.Wave, "reason", reason))
}

// advanceRebooting returns an instance to service once it has rebooted and is live, or takes it for failed after a
// timeout.
func (p *pass) advanceRebooting(stored Versioned[record.Instance]) {
	r, s := stored.Record, p.state
	absentAt, wasAbsent := s.absentAt.Get(r.ID)
	rebooted := wasAbsent && absentAt.After(r.Since)
	settled := s.listTime().Sub(r.Since) >= s.settings.RebootSettle
	if s.Live(r.ID) && (rebooted || settled) {
		p.returnToService(stored)
		return
	}
	p.blocked[r.ID] = "not yet live after its reboot"
	if s.now.Sub(r.Since) > s.settings.RebootTimeout && !s.Live(r.ID) {
		reason := fmt.Sprintf("not live %s after its reboot began", s.settings.RebootTimeout)
		p.write(r.WithState(record.Out, s.now).WithWave(r.Wave, reason), stored.Revision)
		p.note(notice(slog.LevelWarn, "instance.failed", "instance did not return from its reboot", "instance", r.ID,
			"wave", r.Wave, "reason", reason))
	}
}

// advanceOut returns a failed instance to service if it has become live.
func (p *pass) advanceOut(stored Versioned[record.Instance]) {
	if p.state.Live(stored.Record.ID) {
		p.returnToService(stored)
		return
	}
	p.blocked[stored.Record.ID] = stored.Record.Reason
}

// returnToService returns an instance to service, in its target pool if it moves.
func (p *pass) returnToService(stored Versioned[record.Instance]) {
	r := stored.Record.WithState(record.Serving, p.state.now).WithWave(stored.Record.Wave, "")
	if _, exists := p.state.fleet.Pool(r.Target); exists {
		r = r.WithPool(r.Target)
	}
	p.state.absentAt = p.state.absentAt.Delete(r.ID)
	p.state.inFlight = p.state.inFlight.Delete(r.ID)
	p.state.drainStarts = p.state.drainStarts.Delete(r.ID)
	p.write(r.WithTarget(""), stored.Revision)
	p.note(notice(slog.LevelInfo, "instance.return", "instance returns to service", "instance", r.ID, "pool", r.Pool,
		"wave", r.Wave))
}
