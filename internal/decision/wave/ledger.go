package wave

import (
	"log/slog"
	"slices"

	"teaselloft/internal/model/record"
)

// releaseEntries removes the ledger entries of instances that serve again at a later revision and of those no
// longer declared.
func (p *pass) releaseEntries() {
	for _, svc := range p.services {
		if !p.writable(svc.ledger.Key()) {
			continue
		}
		for _, id := range slices.Clone(svc.ledger.Out) {
			if !p.releasable(svc, id) {
				continue
			}
			svc.ledger = svc.ledger.WithoutInstance(id)
			svc.changed = true
			p.countReleased(svc, id)
		}
	}
}

// releasable returns whether the ledger entry of the instance may be removed.
func (p *pass) releasable(svc *service, id string) bool {
	if _, ok := p.state.declared[id]; !ok {
		return true
	}
	stored, _ := p.instance(id)
	return stored.Record.State == record.Serving && stored.Revision > svc.ledger.At[id]
}

// countReleased counts the instance of a removed ledger entry if it serves.
func (p *pass) countReleased(svc *service, id string) {
	stored, ok := p.instance(id)
	if ok && stored.Record.State == record.Serving && stored.Record.Pool == svc.config.Pool && p.state.Live(id) {
		svc.addServing(p.state.place(id), 1)
	}
}

// restoreHeadroom returns reserved and draining instances of a service to service if unplanned failures have used up
// its headroom, and starts the service's cooldown.
func (p *pass) restoreHeadroom() {
	if p.state.live == nil {
		return // before the first instance list no instance counts as serving, which is not a failure
	}
	for _, svc := range p.services {
		missing := -svc.headroom()
		if missing <= 0 {
			continue
		}
		until := p.state.now.Add(p.state.settings.Cooldown)
		p.state.cooldowns = p.state.cooldowns.Set(svc.config.Name, until)
		for _, stored := range p.recallable(svc) {
			if missing == 0 {
				break
			}
			missing--
			if stored.Record.State == record.Draining {
				p.undrain(stored, "unplanned failures consumed the headroom of service "+svc.config.Name)
				continue
			}
			// The new revision makes a delayed drain fail and lets the entry be removed.
			p.write(stored.Record, stored.Revision)
			p.note(notice(slog.LevelInfo, "instance.release", "reservation cancelled", "instance", stored.Record.ID,
				"service", svc.config.Name))
		}
	}
}

// recallable returns the instances in the service's ledger that have not begun to reboot, reserved ones before
// draining ones.
func (p *pass) recallable(svc *service) []Versioned[record.Instance] {
	var reserved, draining []Versioned[record.Instance]
	for _, id := range svc.ledger.Out {
		stored, ok := p.instance(id)
		if !ok || stored.Record.Pool != svc.config.Pool || !p.writable(stored.Record.Key()) || !p.state.Live(id) {
			continue
		}
		switch stored.Record.State {
		case record.Serving:
			reserved = append(reserved, stored)
		case record.Draining:
			draining = append(draining, stored)
		case record.Rebooting, record.Out:
		}
	}
	return append(reserved, draining...)
}

// flushLedgers writes each changed ledger once. It also rewrites ledgers of an older epoch, so that writes of the
// previous planner fail.
func (p *pass) flushLedgers() {
	for _, svc := range p.services {
		fence := svc.ledger.Epoch < p.state.epoch && len(svc.ledger.Out) > 0
		if !svc.changed && !fence {
			continue
		}
		p.write(svc.ledger.WithEpoch(p.state.epoch), svc.stored.Revision)
	}
}
