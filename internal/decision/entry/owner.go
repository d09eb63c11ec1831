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

// onOwnershipWon starts an epoch by reading the claim of the service. The planner's duty has no claim and no dispatch.
func (t *step) onOwnershipWon(w ownership.Won) {
	t.emit(Notice{Event: "owner.won", Service: w.Service, Epoch: w.Epoch})
	if w.Service == message.PlannerService {
		return
	}
	t.awaitingClaim = copymap.With(t.awaitingClaim, w.Service,
		epoch{number: w.Epoch, previousMembers: w.PreviousMembers, currentMembers: w.CurrentMembers, absent: w.Absent})
	t.emit(ReadClaim{Service: w.Service, Epoch: w.Epoch})
}

// onClaimRead starts the dispatch of a service that is still owned, or resigns if the claim could not be read.
func (t *step) onClaimRead(m ReadClaimResult) {
	e, ok := t.awaitingClaim[m.Service]
	ownedEpoch, owned := t.ownership.Owns(m.Service, t.now)
	if !ok || e.number != m.Epoch || !owned || ownedEpoch != m.Epoch {
		return
	}
	if m.Err != nil {
		t.awaitingClaim = copymap.Without(t.awaitingClaim, m.Service)
		t.emit(Notice{Event: "claim.unread", Service: m.Service, Epoch: m.Epoch, Detail: m.Err.Error()})
		t.ownershipStep(ownership.Resign{Now: t.now, Service: m.Service, Epoch: m.Epoch})
		return
	}
	t.awaitingClaim = copymap.Without(t.awaitingClaim, m.Service)
	t.dispatch = copymap.With(t.dispatch, m.Service, dispatch.New(m.Service, dispatch.Defaults()))
	t.configureDispatch(m.Service)
	t.dispatchStep(m.Service, dispatch.Start{
		Now:             t.now,
		Epoch:           m.Epoch,
		Self:            t.self,
		Members:         t.ownership.Members(),
		PreviousMembers: e.previousMembers,
		CurrentMembers:  e.currentMembers,
		Absent:          e.absent,
		Claim:           m.Claim,
		Revision:        m.Revision,
		SegmentEntries:  m.SegmentEntries,
	})
	t.dispatchStep(m.Service, dispatch.ExtendOwnership{Now: t.now, Until: t.ownership.LeaseValidUntil()})
	t.reportDeadToDispatch(m.Service)
	// Repeat this entry instance's own grant requests, which were denied before the claim was read.
	if o, ok := t.ownership.Owner(m.Service); ok {
		t.updateOwner(o)
	}
}

// onOwnershipLost ends an epoch. Its grants in flight are tracked until they are released or can no longer run.
func (t *step) onOwnershipLost(l ownership.Lost) {
	t.emit(Notice{Event: "owner.lost", Service: l.Service, Epoch: l.Epoch})
	t.awaitingClaim = copymap.Without(t.awaitingClaim, l.Service)
	d, ok := t.dispatch[l.Service]
	if !ok {
		return
	}
	t.endedEpochs = copymap.With(t.endedEpochs, l.Service, epoch{number: l.Epoch, grants: t.outstandingGrants(l.Service, d)})
	t.dispatchStep(l.Service, dispatch.Stop{Now: t.now})
	t.dispatch = copymap.Without(t.dispatch, l.Service)
	t.updateEndedEpochs()
}

// outstandingGrants returns the grants in flight of an ending epoch and of earlier ones.
func (t *step) outstandingGrants(service string, d dispatch.State) map[message.ID]trackedGrant {
	grants := maps.Clone(t.endedEpochs[service].grants)
	if grants == nil {
		grants = map[message.ID]trackedGrant{}
	}
	for _, h := range d.HeldGrants(t.now) {
		grants[h.ID] = trackedGrant{service: service, grant: h, deadline: t.now.Add(h.Left)}
	}
	return grants
}

// updateOwner tells the forwarding decision the owner of a service and whether it is reachable.
func (t *step) updateOwner(o record.Owner) {
	reachable := o.Entry != ""
	if m, ok := t.ownership.Member(o.Entry); ok {
		reachable = reachable && m.Incarnation == o.Incarnation
	}
	t.forwardStep(forward.OwnerChanged{Now: t.now, Owner: o, Reachable: reachable})
}

// onLinkChanged reports a link change to the forwarding decision. After a new link came up, the owner at either end
// gathers the grants of the other end again, since frames may have been lost with the old link.
func (t *step) onLinkChanged(l message.LinkChanged) {
	t.forwardStep(forward.LinkChanged{Now: t.now, Entry: l.Entry, Up: l.Up})
	if !l.Up {
		return
	}
	for service := range t.dispatch {
		t.dispatchStep(service, dispatch.LinkRestored{Now: t.now, Entry: l.Entry})
	}
	for _, service := range t.fleet.Names() {
		o, ok := t.ownership.Owner(service)
		if ok && o.Entry == l.Entry && t.forward.GatheredEpoch(service) == o.Epoch {
			t.sendFrame(l.Entry, message.Resync{Service: service, Epoch: o.Epoch})
		}
	}
}

// onRecordChanged passes a change of a record to the decisions that depend on it.
func (t *step) onRecordChanged(c message.RecordChanged) {
	switch r := c.Record.(type) {
	case record.Member:
		t.ownershipStep(ownership.RecordChanged{Now: t.now, Change: c})
		t.onMemberChanged(r, c.Deleted)
	case record.Owner:
		t.ownershipStep(ownership.RecordChanged{Now: t.now, Change: c})
	case record.Instance:
		t.onInstanceChanged(r, c.Deleted)
	case record.Claim, record.ClaimSegment, record.Ledger, record.ConfigHead, record.Wave:
	default:
		panic(fmt.Sprintf("entry: unknown record %T", r))
	}
}

// onMemberChanged tells the other decisions whether a member is reachable or dead.
func (t *step) onMemberChanged(m record.Member, deleted bool) {
	if deleted {
		t.reportDeadToOwnership()
	}
	for service := range t.dispatch {
		t.dispatchStep(service, dispatch.ReachabilityChanged{Now: t.now, Entry: m.Entry, Up: !deleted})
		t.reportDeadToDispatch(service)
	}
	for _, service := range t.fleet.Names() {
		if o, ok := t.ownership.Owner(service); ok && o.Entry == m.Entry {
			t.updateOwner(o)
		}
	}
}

// reportDeadToDispatch tells the dispatch decision of a service which members are dead, so that their static shares
// are freed.
func (t *step) reportDeadToDispatch(service string) {
	for _, entry := range t.shareHolders(service) {
		if t.dead(entry) {
			t.dispatchStep(service, dispatch.MemberDead{Now: t.now, Entry: entry})
		}
	}
}

// shareHolders returns the entry instances that may use a static share of a service: the members and the absent members
// in its owner record.
func (s State) shareHolders(service string) []string {
	o, _ := s.ownership.Owner(service)
	names := slices.Clone(o.Members)
	for _, a := range o.Absent {
		names = append(names, a.Entry)
	}
	return names
}

// dead reports whether an entry instance is neither in the member records nor in the instance list. It is false for all
// before the first instance list.
func (s State) dead(entry string) bool {
	if _, live := s.ownership.Member(entry); live || s.listings == nil {
		return false
	}
	_, listed := s.listings[entry]
	return !listed
}

// updateEndedEpochs drops the grants whose deadline and grace period have passed and tells the members which epochs
// have no grants left.
func (t *step) updateEndedEpochs() {
	for service, e := range t.endedEpochs {
		for id, g := range e.grants {
			if !t.now.Before(g.deadline.Add(gracePeriod)) {
				e.grants = copymap.Without(e.grants, id)
			}
		}
		t.endedEpochs = copymap.With(t.endedEpochs, service, e)
		if len(e.grants) > 0 {
			continue
		}
		t.endedEpochs = copymap.Without(t.endedEpochs, service)
		f := message.EpochCleared{Service: service, Epoch: e.number}
		o, _ := t.ownership.Owner(service)
		for _, entry := range o.Members {
			t.sendFrame(entry, f)
		}
	}
}
