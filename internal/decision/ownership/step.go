package ownership

import (
	"fmt"
	"slices"
	"time"

	"teaselloft/internal/core/copymap"
	"teaselloft/internal/model/record"
)

// Step returns the state after a message and the effects to carry out.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case ServicesChanged:
		s = s.withNow(m.Now)
		s.services = slices.Sorted(slices.Values(m.Names))
		return s.advance(nil)
	case RecordChanged:
		return s.withNow(m.Now).onRecordChanged(m)
	case LeaseRenewed:
		return s.withNow(m.Now).onLeaseRenewed(m)
	case VerifyResult:
		return s.withNow(m.Now).onVerifyResult(m)
	case WriteResult:
		return s.withNow(m.Now).onWriteResult(m)
	case Resign:
		return s.withNow(m.Now).onResign(m)
	case MemberDead:
		s = s.withNow(m.Now)
		s.dead = copymap.With(s.dead, m.Entry, true)
		return s, nil
	case Leave:
		s = s.withNow(m.Now)
		s.leaving = true
		return s.advance(nil)
	case Tick:
		return s.withNow(m.Now).advance(nil)
	default:
		panic(fmt.Sprintf("ownership: unknown message %T", m))
	}
}

// NextWake returns when Tick is due, zero for never.
func (s State) NextWake() time.Time {
	var wake time.Time
	consider := func(t time.Time) {
		if t.After(s.now) && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	if len(s.epochs) > 0 {
		consider(s.leaseValidUntil)
	}
	for _, a := range s.attempts {
		consider(a.retry)
	}
	for service := range s.epochs {
		if s.outdated(service) {
			consider(s.membersChanged.Add(memberSettleTime))
		}
		if m, ok := s.members[s.preferred(service)]; ok && m.member.Entry != s.self {
			consider(m.since.Add(handOverDelay))
		}
	}
	return wake
}

func (s State) withNow(now time.Time) State {
	s.now = now
	return s
}

// onRecordChanged applies a changed record and then starts the attempts that it calls for.
func (s State) onRecordChanged(m RecordChanged) (State, []Effect) {
	var effects []Effect
	switch r := m.Change.Record.(type) {
	case record.Member:
		if m.Change.Deleted {
			s = s.WithoutMember(r.Entry)
		} else {
			s = s.WithMember(r)
		}
	case record.Owner:
		if m.Change.Deleted || m.Change.Revision <= s.owners[r.Service].revision {
			break
		}
		s = s.WithOwner(r, m.Change.Revision)
		effects = append(effects, OwnerChanged{Service: r.Service, Owner: r})
		s, effects = s.onOwnerRecord(r, effects)
	case record.Claim, record.ClaimSegment, record.Instance, record.Ledger, record.ConfigHead, record.Wave:
		return s, nil
	}
	return s.advance(effects)
}

// onOwnerRecord begins or ends an epoch of this entry instance according to an owner record.
func (s State) onOwnerRecord(o record.Owner, effects []Effect) (State, []Effect) {
	if epoch, ok := s.epochs[o.Service]; ok && (o.Entry != s.self || o.Epoch != epoch) {
		s = s.WithoutEpoch(o.Service)
		effects = append(effects, Lost{Service: o.Service, Epoch: epoch})
	}
	a, ok := s.attempts[o.Service]
	if ok && a.phase == writing && s.isOwnRecord(o) && o.Epoch == a.epoch {
		return s.beginEpoch(o, effects)
	}
	if ok && o.Epoch >= a.epoch {
		s = s.withoutAttempt(o.Service)
	}
	return s, effects
}

// isOwnRecord reports whether a record names this entry instance in its present incarnation. A record of an earlier
// incarnation, whose write was carried out late, is taken over by other entry instances.
func (s State) isOwnRecord(o record.Owner) bool {
	return o.Entry == s.self && o.Incarnation == s.incarnation
}

// beginEpoch begins the epoch of a record if the lease is still valid and this entry instance is not leaving.
func (s State) beginEpoch(o record.Owner, effects []Effect) (State, []Effect) {
	a := s.attempts[o.Service]
	s = s.withoutAttempt(o.Service)
	if !s.now.Before(s.leaseValidUntil) || s.leaving {
		return s, effects
	}
	s = s.WithEpoch(o.Service, o.Epoch)
	return s, append(effects,
		Won{Service: o.Service, Epoch: o.Epoch, PreviousMembers: a.previousMembers, CurrentMembers: o.Members, Absent: o.Absent},
		ValidityExtended{Until: s.leaseValidUntil})
}

// onLeaseRenewed extends the lease validity. If the lease had expired or belonged to an earlier incarnation, the epochs
// that relied on it end first.
func (s State) onLeaseRenewed(m LeaseRenewed) (State, []Effect) {
	if m.Incarnation != s.incarnation {
		s = s.WithLeaseValidUntil(time.Time{})
		s.incarnation = m.Incarnation
		s.attempts = map[string]attempt{}
	}
	s, effects := s.endExpiredEpochs(nil)
	if m.Until.After(s.leaseValidUntil) {
		s = s.WithLeaseValidUntil(m.Until)
		if len(s.epochs) > 0 {
			effects = append(effects, ValidityExtended{Until: s.leaseValidUntil})
		}
	}
	return s.advance(effects)
}

// endExpiredEpochs ends every epoch once the lease may have expired. The services must be taken over again with a higher
// epoch.
//
// An epoch whose record is being written is abandoned as well: the result of the write may arrive after another entry
// instance has seen the lease expire and this one has a new lease.
func (s State) endExpiredEpochs(effects []Effect) (State, []Effect) {
	if s.now.Before(s.leaseValidUntil) {
		return s, effects
	}
	for service, a := range s.attempts {
		if a.phase == writing {
			s = s.withoutAttempt(service)
		}
	}
	for _, service := range s.services {
		if epoch, ok := s.epochs[service]; ok {
			s = s.WithoutEpoch(service)
			effects = append(effects, Lost{Service: service, Epoch: epoch})
		}
	}
	return s, effects
}

func (s State) onResign(m Resign) (State, []Effect) {
	var effects []Effect
	if s.epochs[m.Service] == m.Epoch {
		s = s.WithoutEpoch(m.Service)
		effects = append(effects, Lost{Service: m.Service, Epoch: m.Epoch})
	}
	return s.advance(effects)
}

// onVerifyResult takes the service over if its last owner is certainly dead, and otherwise backs off.
func (s State) onVerifyResult(m VerifyResult) (State, []Effect) {
	a, ok := s.attempts[m.Service]
	if !ok || a.phase != verifying || a.epoch != m.Epoch+1 {
		return s, nil
	}
	if m.Alive || !s.registered() {
		a.phase = backingOff
		a.retry = s.now.Add(retryDelay)
		return s.withAttempt(m.Service, a), nil
	}
	return s.writeOwner(m.Service, a.epoch, s.self)
}

// writeOwner requests the write of the owner record of the given epoch. An empty entry leaves the service without an
// owner, so that its preferred owner takes it over.
func (s State) writeOwner(service string, epoch uint64, entry string) (State, []Effect) {
	last := s.owners[service]
	next := record.Owner{Service: service, Entry: entry, Epoch: epoch, Members: s.Members(), Absent: s.absent(last.owner)}
	if entry != "" {
		next.Incarnation = s.members[entry].member.Incarnation
	}
	s = s.withAttempt(service, attempt{epoch: epoch, phase: writing, previousMembers: last.owner.Members})
	return s, []Effect{Write{Owner: next, ExpectedRevision: last.revision}}
}

// onWriteResult backs off after a failed write and ends the attempt of a successful one, unless the watch has shown the
// record before the response.
func (s State) onWriteResult(m WriteResult) (State, []Effect) {
	service := m.Owner.Service
	a, ok := s.attempts[service]
	if !ok || a.epoch != m.Owner.Epoch || a.phase != writing || m.Owner.Entry != "" && !s.isOwnRecord(m.Owner) {
		return s, nil
	}
	if m.Err != nil {
		a.phase = backingOff
		a.retry = s.now.Add(retryDelay)
		return s.withAttempt(service, a), nil
	}
	if m.Owner.Entry == "" {
		return s.withoutAttempt(service), nil
	}
	return s.beginEpoch(m.Owner, nil)
}

// advance ends epochs that are no longer valid and starts at most one attempt for each service.
func (s State) advance(effects []Effect) (State, []Effect) {
	s, effects = s.endExpiredEpochs(effects)
	if !s.registered() || !s.now.Before(s.leaseValidUntil) {
		return s, effects
	}
	for _, service := range s.services {
		var more []Effect
		s, more = s.reconcile(service)
		effects = append(effects, more...)
	}
	return s, effects
}

// reconcile starts a takeover of a service without a live owner, hands a service over to its preferred owner, or
// replaces a record that names this entry instance although it no longer owns the service.
func (s State) reconcile(service string) (State, []Effect) {
	if a, ok := s.attempts[service]; ok && (a.phase != backingOff || s.now.Before(a.retry)) {
		return s, nil
	}
	s = s.withoutAttempt(service)
	if epoch, ok := s.epochs[service]; ok {
		return s.reconcileOwned(service, epoch)
	}
	last, exists := s.owners[service]
	shouldOwn := !s.leaving && s.preferred(service) == s.self
	if exists && last.owner.Entry == s.self && s.ownerAlive(last.owner) {
		// The record names the incarnation of this process, which is alive, so only this process may replace the record.
		next := ""
		if shouldOwn {
			next = s.self
		}
		return s.writeOwner(service, last.owner.Epoch+1, next)
	}
	switch {
	case !shouldOwn:
		return s, nil
	case !exists, last.owner.Entry == "":
		return s.writeOwner(service, last.owner.Epoch+1, s.self)
	case s.ownerAlive(last.owner):
		return s, nil
	}
	s = s.withAttempt(service, attempt{epoch: last.owner.Epoch + 1, phase: verifying})
	return s, []Effect{Verify{
		Service:     service,
		Epoch:       last.owner.Epoch,
		Entry:       last.owner.Entry,
		Incarnation: last.owner.Incarnation,
	}}
}

// reconcileOwned gives an owned service up when leaving or when its preferred owner has been a member long enough, and
// requests a new epoch when the members differ from those in the record.
func (s State) reconcileOwned(service string, epoch uint64) (State, []Effect) {
	if s.owners[service].owner.Epoch != epoch {
		return s, nil // the watch has not shown the record of this epoch yet, whose revision the next write needs
	}
	preferred := s.preferred(service)
	handOver := preferred != "" && preferred != s.self && s.now.Sub(s.members[preferred].since) >= handOverDelay
	switch {
	case s.leaving || handOver:
		return s.endEpoch(service, epoch, "")
	case s.outdated(service) && s.now.Sub(s.membersChanged) >= memberSettleTime:
		return s.endEpoch(service, epoch, s.self)
	}
	return s, nil
}

// outdated reports whether the members differ from those in the owner record of a service.
func (s State) outdated(service string) bool {
	return !slices.Equal(s.owners[service].owner.Members, s.Members())
}

// endEpoch ends an epoch and requests the write of the record of the next one. An empty next leaves the service without
// an owner.
func (s State) endEpoch(service string, epoch uint64, next string) (State, []Effect) {
	s = s.WithoutEpoch(service)
	s, effects := s.writeOwner(service, epoch+1, next)
	return s, append([]Effect{Lost{Service: service, Epoch: epoch}}, effects...)
}
