package entry

import (
	"time"

	"teaselloft/internal/core/copymap"

	"teaselloft/internal/decision/forward"
	"teaselloft/internal/model/message"
)

// trackedGrant is a grant in flight that this entry instance tracks for the next owner: a backup copy of a grant that an
// owner gave to its own request, or a grant that this entry instance gave in an epoch that has ended.
//
// No other entry instance knows the grants that an owner gave to itself, and the executors still run their requests
// after the owner has died. Without the backup copies the next owner would use the slots twice.
type trackedGrant struct {
	service  string
	epoch    uint64 // of a backup copy; not set for a grant of an ended epoch
	grant    message.HeldGrant
	deadline time.Time
}

// sendBackup sends a copy of a grant to the backup target if this entry instance gave the grant to itself.
func (t *step) sendBackup(g message.Grant) {
	h, service, owner, ok := t.forward.GrantInFlight(g.ID, t.now)
	if !ok || owner != t.self {
		return
	}
	if to := t.backupTarget(service); to != "" {
		t.sendFrame(to, message.BackupGrant{Service: service, Epoch: g.Epoch, Grant: h})
	}
}

// dropBackup tells the backup target to drop the copy of a grant, because the grant is released.
func (t *step) dropBackup(id message.ID) {
	_, service, owner, ok := t.forward.GrantInFlight(id, t.now)
	if !ok || owner != t.self {
		return
	}
	if to := t.backupTarget(service); to != "" {
		t.sendFrame(to, message.DropBackup{Service: service, ID: id})
	}
}

// backupTarget returns the member that keeps the copies of this entry instance's grants: the next live member in the
// owner record of the service, or empty if there is none.
func (s State) backupTarget(service string) string {
	o, _ := s.ownership.Owner(service)
	first := ""
	for _, entry := range o.Members {
		if _, live := s.ownership.Member(entry); !live || entry == s.self {
			continue
		}
		if entry > s.self {
			return entry
		}
		if first == "" {
			first = entry
		}
	}
	return first
}

// storeBackup stores a copy of a grant and drops the copies past their deadline.
func (t *step) storeBackup(b message.BackupGrant) {
	kept := make(map[message.ID]trackedGrant, len(t.backups)+1)
	for id, old := range t.backups {
		if t.now.Before(old.deadline.Add(gracePeriod)) {
			kept[id] = old
		}
	}
	kept[b.Grant.ID] = trackedGrant{service: b.Service, epoch: b.Epoch, grant: b.Grant, deadline: t.now.Add(b.Grant.Left)}
	t.backups = kept
}

// onGather reports the grants in flight to an owner, with the backup copies of earlier owners' grants and the grants
// that this entry instance gave as an earlier owner. It ends the use of the static share, since the service has an
// owner again.
func (t *step) onGather(from string, g message.GatherGrants) {
	t.staticShares = copymap.Without(t.staticShares, g.Service)
	t.forwardStep(forward.GatherReceived{Now: t.now, From: from, Gather: g, OtherGrants: t.otherGrants(g)})
}

// otherGrants returns the grants of earlier owners for requests of other entry instances: the backup copies and the
// grants of ended epochs.
func (t *step) otherGrants(g message.GatherGrants) []message.HeldGrant {
	var grants []message.HeldGrant
	for _, b := range t.backups {
		if b.service == g.Service && b.epoch < g.Epoch {
			grants = append(grants, b.heldGrant(t.now))
		}
	}
	for _, ended := range t.endedEpochs[g.Service].grants {
		if ended.grant.ID.Entry != t.self {
			grants = append(grants, ended.heldGrant(t.now))
		}
	}
	return grants
}

// heldGrant returns the grant with the time left until its deadline, which is negative after it.
func (g trackedGrant) heldGrant(now time.Time) message.HeldGrant {
	h := g.grant
	h.Left = g.deadline.Sub(now)
	return h
}
