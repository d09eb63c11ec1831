package entry

import (
	"fmt"
	"maps"
	"slices"

	"teaselloft/internal/core/copymap"

	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/decision/forward"
	"teaselloft/internal/decision/ownership"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// won starts an epoch by reading the service's claims; the planner has none.
func (t *step) won(w ownership.Won) {
	t.emit(Notice{Event: "owner.won", Service: w.Service, Epoch: w.Epoch})
	if w.Service == message.PlannerService {
		return
	}
	t.starting = copymap.With(t.starting, w.Service, epoch{number: w.Epoch, shared: w.PreviousMembers, current: w.CurrentMembers, absent: w.Absent})
	t.emit(ReadClaim{Service: w.Service, Epoch: w.Epoch})
}

// claimRead starts the dispatch of a service that is still owned.
func (t *step) claimRead(m Claimed) {
	e, ok := t.starting[m.Service]
	held, owned := t.member.Owns(m.Service, t.now)
	if !ok || e.number != m.Epoch || !owned || held != m.Epoch {
		return
	}
	if m.Err != nil {
		t.starting = copymap.Without(t.starting, m.Service)
		t.emit(Notice{Event: "claim.unread", Service: m.Service, Epoch: m.Epoch, Detail: m.Err.Error()})
		t.memberStep(ownership.Resign{Now: t.now, Service: m.Service, Epoch: m.Epoch})
		return
	}
	t.starting = copymap.Without(t.starting, m.Service)
	t.dispatch = copymap.With(t.dispatch, m.Service, dispatch.New(m.Service, dispatch.Defaults()))
	t.configureDispatch(m.Service)
	t.dispatchStep(m.Service, dispatch.Start{
		Now:             t.now,
		Epoch:           m.Epoch,
		Self:            t.self,
		Members:         t.member.Members(),
		PreviousMembers: e.shared,
		CurrentMembers:  e.current,
		Absent:          e.absent,
		Claim:           m.Claim,
		Revision:        m.Revision,
		SegmentEntries:  m.Older,
	})
	t.dispatchStep(m.Service, dispatch.ExtendOwnership{Now: t.now, Until: t.member.LeaseValidUntil()})
	t.goneMembers(m.Service)
	// Requests that were asked before the claims were read got no answer but a denial.
	if o, ok := t.member.Owner(m.Service); ok {
		t.owned(o)
	}
}

// lost ends an epoch; its grants in flight are watched until they have come back.
func (t *step) lost(l ownership.Lost) {
	t.emit(Notice{Event: "owner.lost", Service: l.Service, Epoch: l.Epoch})
	t.starting = copymap.Without(t.starting, l.Service)
	d, ok := t.dispatch[l.Service]
	if !ok {
		return
	}
	t.clearing = copymap.With(t.clearing, l.Service, epoch{number: l.Epoch, grants: t.outstanding(l.Service, d)})
	t.dispatchStep(l.Service, dispatch.Stop{Now: t.now})
	t.dispatch = copymap.Without(t.dispatch, l.Service)
	t.updateClearing()
}

// outstanding returns the grants of an ending epoch and those of earlier ones that have not come back.
func (t *step) outstanding(service string, d dispatch.State) map[message.ID]backup {
	grants := maps.Clone(t.clearing[service].grants)
	if grants == nil {
		grants = map[message.ID]backup{}
	}
	for _, h := range d.Held(t.now) {
		grants[h.ID] = backup{service: service, grant: h, deadline: t.now.Add(h.Left)}
	}
	return grants
}

// owned tells the forwarding decision whom to ask.
func (t *step) owned(o record.Owner) {
	reachable := o.Entry != ""
	if m, ok := t.member.Member(o.Entry); ok {
		reachable = reachable && m.Incarnation == o.Incarnation
	}
	t.forwardStep(forward.Owner{Now: t.now, Owner: o, Reachable: reachable})
}

// linked asks again what was asked over a broken link, and makes both ends of a new one
// compare their grants, since frames may have been lost with the old one.
func (t *step) linked(l message.LinkChanged) {
	t.forwardStep(forward.Linked{Now: t.now, Entry: l.Entry, Up: l.Up})
	if !l.Up {
		return
	}
	for service := range t.dispatch {
		t.dispatchStep(service, dispatch.LinkRestored{Now: t.now, Entry: l.Entry})
	}
	for _, service := range t.fleet.Names() {
		o, ok := t.member.Owner(service)
		if ok && o.Entry == l.Entry && t.forward.Floor(service) == o.Epoch {
			t.frame(l.Entry, message.Resync{Service: service, Epoch: o.Epoch})
		}
	}
}

// changed hands a change of the store to the decisions that it concerns.
func (t *step) changed(c message.RecordChanged) {
	switch r := c.Record.(type) {
	case record.Member:
		t.memberStep(ownership.RecordChanged{Now: t.now, Change: c})
		t.memberChanged(r, c.Deleted)
	case record.Owner:
		t.memberStep(ownership.RecordChanged{Now: t.now, Change: c})
	case record.Instance:
		t.instanceChanged(r, c.Deleted)
	case record.Claim, record.ClaimSegment, record.Ledger, record.ConfigHead, record.Wave:
	default:
		panic(fmt.Sprintf("entry: unknown record %T", r))
	}
}

// memberChanged tells the dispatch decisions who can be using a static share.
func (t *step) memberChanged(m record.Member, deleted bool) {
	if deleted {
		t.noteGone()
	}
	for service := range t.dispatch {
		t.dispatchStep(service, dispatch.ReachabilityChanged{Now: t.now, Entry: m.Entry, Up: !deleted})
		t.goneMembers(service)
	}
	for _, service := range t.fleet.Names() {
		if o, ok := t.member.Owner(service); ok && o.Entry == m.Entry {
			t.owned(o)
		}
	}
}

// goneMembers frees the static shares of members that neither the store nor the instance list shows.
func (t *step) goneMembers(service string) {
	for _, entry := range t.sharers(service) {
		if t.gone(entry) {
			t.dispatchStep(service, dispatch.MemberDead{Now: t.now, Entry: entry})
		}
	}
}

// sharers returns the members of a service's owner record and those of earlier ones that it still names.
func (s State) sharers(service string) []string {
	o, _ := s.member.Owner(service)
	names := slices.Clone(o.Members)
	for _, a := range o.Absent {
		names = append(names, a.Entry)
	}
	return names
}

// gone says whether neither the store nor the instance list shows an entry instance.
func (s State) gone(entry string) bool {
	if _, live := s.member.Member(entry); live || s.listed == nil {
		return false
	}
	_, listed := s.listed[entry]
	return !listed
}

// updateClearing drops grants past their deadline and announces epochs without grants.
func (t *step) updateClearing() {
	for service, e := range t.clearing {
		for id, b := range e.grants {
			if !t.now.Before(b.deadline.Add(linger)) {
				e.grants = copymap.Without(e.grants, id)
			}
		}
		t.clearing = copymap.With(t.clearing, service, e)
		if len(e.grants) > 0 {
			continue
		}
		t.clearing = copymap.Without(t.clearing, service)
		f := message.EpochCleared{Service: service, Epoch: e.number}
		o, _ := t.member.Owner(service)
		for _, entry := range o.Members {
			t.frame(entry, f)
		}
	}
}
