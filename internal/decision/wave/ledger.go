package wave

import (
	"log/slog"
	"slices"

	"teaselloft/internal/model/record"
)

// releaseEntries removes the instances that serve again, which their revision shows, and those no longer declared.
func (p *pass) releaseEntries() {
	for _, v := range p.services {
		if !p.idle(v.ledger.Key()) {
			continue
		}
		for _, id := range slices.Clone(v.ledger.Out) {
			if !p.finished(v, id) {
				continue
			}
			v.ledger = v.ledger.WithoutInstance(id)
			v.changed = true
			p.recount(v, id)
		}
	}
}

// finished returns whether a ledger entry covers nothing any more.
func (p *pass) finished(v *service, id string) bool {
	if _, ok := p.state.declared[id]; !ok {
		return true
	}
	k, _ := p.instance(id)
	return k.Record.State == record.Serving && k.Revision > v.ledger.At[id]
}

// recount counts an instance that leaves the ledger as serving.
func (p *pass) recount(v *service, id string) {
	k, ok := p.instance(id)
	if ok && k.Record.State == record.Serving && k.Record.Pool == v.config.Pool && p.state.Live(id) {
		v.add(p.state.place(id), 1)
	}
}

// backOff returns draining instances of a service whose headroom unplanned failures have consumed.
func (p *pass) backOff() {
	if p.state.live == nil {
		return // before the first instance list nothing counts as serving, which is no failure
	}
	for _, v := range p.services {
		missing := -v.headroom()
		if missing <= 0 {
			continue
		}
		until := p.state.now.Add(p.state.settings.Hold)
		p.state.held = p.state.held.Set(v.config.Name, until)
		for _, k := range p.recoverable(v) {
			if missing == 0 {
				break
			}
			missing--
			if k.Record.State == record.Draining {
				p.undrain(k, "unplanned failures consumed the headroom of service "+v.config.Name)
				continue
			}
			p.write(k.Record, k.Revision) // fences the drain; the entry leaves the ledger at the new revision
			p.note(notice(slog.LevelInfo, "instance.release", "reservation given up", "instance", k.Record.ID,
				"service", v.config.Name))
		}
	}
}

// recoverable returns the service's entries that have not left for their reboot, reserved ones first.
func (p *pass) recoverable(v *service) []Kept[record.Instance] {
	var reserved, draining []Kept[record.Instance]
	for _, id := range v.ledger.Out {
		k, ok := p.instance(id)
		if !ok || k.Record.Pool != v.config.Pool || !p.idle(k.Record.Key()) || !p.state.Live(id) {
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

// flushLedgers writes each changed ledger once, and those of an older epoch so that its planner's writes fail.
func (p *pass) flushLedgers() {
	for _, v := range p.services {
		fence := v.ledger.Epoch < p.state.epoch && len(v.ledger.Out) > 0
		if !v.changed && !fence {
			continue
		}
		p.write(v.ledger.WithEpoch(p.state.epoch), v.kept.Revision)
	}
}
