package wave

import (
	"log/slog"
	"slices"

	"teaselloft/internal/model/record"
)

// releaseEntries removes the ledger entries of instances that serve again at a later revision and of those no
// longer declared.
func (p *pass) releaseEntries() {
	for _, v := range p.services {
		if !p.writable(v.ledger.Key()) {
			continue
		}
		for _, id := range slices.Clone(v.ledger.Out) {
			if !p.releasable(v, id) {
				continue
			}
			v.ledger = v.ledger.WithoutInstance(id)
			v.changed = true
			p.countReleased(v, id)
		}
	}
}

// releasable returns whether the ledger entry of the instance may be removed.
func (p *pass) releasable(v *service, id string) bool {
	if _, ok := p.state.declared[id]; !ok {
		return true
	}
	k, _ := p.instance(id)
	return k.Record.State == record.Serving && k.Revision > v.ledger.At[id]
}

// countReleased counts the instance of a removed ledger entry if it serves.
func (p *pass) countReleased(v *service, id string) {
	k, ok := p.instance(id)
	if ok && k.Record.State == record.Serving && k.Record.Pool == v.config.Pool && p.state.Live(id) {
		v.addServing(p.state.place(id), 1)
	}
}

// restoreHeadroom returns reserved and draining instances of a service to service if unplanned failures have used up
// its headroom, and starts the service's cooldown.
func (p *pass) restoreHeadroom() {
	if p.state.live == nil {
		return // before the first instance list no instance counts as serving, which is not a failure
	}
	for _, v := range p.services {
		missing := -v.headroom()
		if missing <= 0 {
			continue
		}
		until := p.state.now.Add(p.state.settings.Cooldown)
		p.state.cooldowns = p.state.cooldowns.Set(v.config.Name, until)
		for _, k := range p.recallable(v) {
			if missing == 0 {
				break
			}
			missing--
			if k.Record.State == record.Draining {
				p.undrain(k, "unplanned failures consumed the headroom of service "+v.config.Name)
				continue
			}
			p.write(k.Record, k.Revision) // the new revision makes a delayed drain fail and lets the entry be removed
			p.note(notice(slog.LevelInfo, "instance.release", "reservation cancelled", "instance", k.Record.ID,
				"service", v.config.Name))
		}
	}
}

// recallable returns the instances in the service's ledger that have not begun to reboot, reserved ones before
// draining ones.
func (p *pass) recallable(v *service) []Versioned[record.Instance] {
	var reserved, draining []Versioned[record.Instance]
	for _, id := range v.ledger.Out {
		k, ok := p.instance(id)
		if !ok || k.Record.Pool != v.config.Pool || !p.writable(k.Record.Key()) || !p.state.Live(id) {
			continue
		}
		switch k.Record.State {
		case record.Serving:
			reserved = append(reserved, k)
		case record.Draining:
			draining = append(draining, k)
		case record.Rebooting, record.Out:
		}
	}
	return append(reserved, draining...)
}

// flushLedgers writes each changed ledger once. It also rewrites ledgers of an older epoch, so that writes of the
// previous planner fail.
func (p *pass) flushLedgers() {
	for _, v := range p.services {
		fence := v.ledger.Epoch < p.state.epoch && len(v.ledger.Out) > 0
		if !v.changed && !fence {
			continue
		}
		p.write(v.ledger.WithEpoch(p.state.epoch), v.stored.Revision)
	}
}
