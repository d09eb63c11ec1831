package member

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
	case Services:
		s = s.at(m.Now)
		s.services = slices.Sorted(slices.Values(m.Names))
		return s.advance(nil)
	case Changed:
		return s.at(m.Now).changed(m)
	case Renewed:
		return s.at(m.Now).renewed(m)
	case Verified:
		return s.at(m.Now).verified(m)
	case Written:
		return s.at(m.Now).written(m)
	case Resign:
		return s.at(m.Now).resign(m)
	case Gone:
		s = s.at(m.Now)
		s.gone = copymap.With(s.gone, m.Entry, true)
		return s, nil
	case Leave:
		s = s.at(m.Now)
		s.leaving = true
		return s.advance(nil)
	case Tick:
		return s.at(m.Now).advance(nil)
	default:
		panic(fmt.Sprintf("member: unknown message %T", m))
	}
}

// NextWake returns when Tick is due, zero for never.
func (s State) NextWake() time.Time {
	var wake time.Time
	sooner := func(t time.Time) {
		if t.After(s.now) && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	if len(s.held) > 0 {
		sooner(s.until)
	}
	for _, a := range s.attempts {
		sooner(a.retry)
	}
	for service := range s.held {
		if s.outdated(service) {
			sooner(s.joined.Add(joinTime))
		}
		if m, ok := s.members[s.preferred(service)]; ok && m.member.Entry != s.self {
			sooner(m.since.Add(settleTime))
		}
	}
	return wake
}

func (s State) at(now time.Time) State {
	s.now = now
	return s
}

// changed takes over what a record says and looks for services without an owner.
func (s State) changed(m Changed) (State, []Effect) {
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
		effects = append(effects, Owned{Service: r.Service, Owner: r})
		s, effects = s.ownerSeen(r, effects)
	case record.Claim, record.ClaimSegment, record.Instance, record.Ledger, record.ConfigHead, record.Wave:
		return s, nil
	}
	return s.advance(effects)
}

// ownerSeen starts or ends an epoch of this entry instance that an owner record shows.
func (s State) ownerSeen(o record.Owner, effects []Effect) (State, []Effect) {
	if epoch, ok := s.held[o.Service]; ok && (o.Entry != s.self || o.Epoch != epoch) {
		s = s.WithoutHeld(o.Service)
		effects = append(effects, Lost{Service: o.Service, Epoch: epoch})
	}
	a, ok := s.attempts[o.Service]
	if ok && a.phase == writing && s.wrote(o) && o.Epoch == a.epoch {
		return s.won(o, effects)
	}
	if ok && o.Epoch >= a.epoch {
		s = s.withoutAttempt(o.Service)
	}
	return s, effects
}

// wrote says whether a record names this entry instance in its present incarnation. A record of an earlier one, whose
// write was carried out late, is taken over by others.
func (s State) wrote(o record.Owner) bool {
	return o.Entry == s.self && o.Incarnation == s.incarnation
}

// won begins the epoch of a record if ownership can still be proved.
func (s State) won(o record.Owner, effects []Effect) (State, []Effect) {
	a := s.attempts[o.Service]
	s = s.withoutAttempt(o.Service)
	if !s.now.Before(s.until) || s.leaving {
		return s, effects
	}
	s = s.WithHeld(o.Service, o.Epoch)
	return s, append(effects, Won{Service: o.Service, Epoch: o.Epoch, Shared: a.shared, Current: o.Members, Absent: o.Absent}, Proved{Until: s.until})
}

// renewed extends the proof; a proof that had lapsed, or that belonged to an earlier incarnation, first ends the
// epochs that relied on it.
func (s State) renewed(m Renewed) (State, []Effect) {
	if m.Incarnation != s.incarnation {
		s = s.WithUntil(time.Time{})
		s.incarnation = m.Incarnation
		s.attempts = map[string]attempt{}
	}
	s, effects := s.lapse(nil)
	if m.Until.After(s.until) {
		s = s.WithUntil(m.Until)
		if len(s.held) > 0 {
			effects = append(effects, Proved{Until: s.until})
		}
	}
	return s.advance(effects)
}

// lapse ends every epoch once the proof is over; the services must be taken over again with a higher epoch.
//
// An epoch whose record is being written does not begin any more: its answer may arrive after another owner has
// seen the lease expire and this entry instance has a new one.
func (s State) lapse(effects []Effect) (State, []Effect) {
	if s.now.Before(s.until) {
		return s, effects
	}
	for service, a := range s.attempts {
		if a.phase == writing {
			s = s.withoutAttempt(service)
		}
	}
	for _, service := range s.services {
		if epoch, ok := s.held[service]; ok {
			s = s.WithoutHeld(service)
			effects = append(effects, Lost{Service: service, Epoch: epoch})
		}
	}
	return s, effects
}

func (s State) resign(m Resign) (State, []Effect) {
	var effects []Effect
	if s.held[m.Service] == m.Epoch {
		s = s.WithoutHeld(m.Service)
		effects = append(effects, Lost{Service: m.Service, Epoch: m.Epoch})
	}
	return s.advance(effects)
}

// verified writes the owner record if the last owner is certainly dead.
func (s State) verified(m Verified) (State, []Effect) {
	a, ok := s.attempts[m.Service]
	if !ok || a.phase != verifying || a.epoch != m.Epoch+1 {
		return s, nil
	}
	if m.Alive || !s.registered() {
		a.phase = waiting
		a.retry = s.now.Add(retryAfter)
		return s.withAttempt(m.Service, a), nil
	}
	return s.write(m.Service, a.epoch, s.self)
}

// write asks for the owner record of the given epoch; an empty entry leaves the service without an owner.
func (s State) write(service string, epoch uint64, entry string) (State, []Effect) {
	last := s.owners[service]
	next := record.Owner{Service: service, Entry: entry, Epoch: epoch, Members: s.Members(), Absent: s.absent(last.owner)}
	if entry != "" {
		next.Incarnation = s.members[entry].member.Incarnation
	}
	s = s.withAttempt(service, attempt{epoch: epoch, phase: writing, shared: last.owner.Members})
	return s, []Effect{Write{Owner: next, Expected: last.revision}}
}

// written ends an attempt whose write failed; a successful one ends when the watch shows the record,
// or here when the response comes first.
func (s State) written(m Written) (State, []Effect) {
	service := m.Owner.Service
	a, ok := s.attempts[service]
	if !ok || a.epoch != m.Owner.Epoch || a.phase != writing || m.Owner.Entry != "" && !s.wrote(m.Owner) {
		return s, nil
	}
	if m.Err != nil {
		a.phase = waiting
		a.retry = s.now.Add(retryAfter)
		return s.withAttempt(service, a), nil
	}
	if m.Owner.Entry == "" {
		return s.withoutAttempt(service), nil
	}
	return s.won(m.Owner, nil)
}

// advance ends lapsed epochs and starts at most one attempt for each service.
func (s State) advance(effects []Effect) (State, []Effect) {
	s, effects = s.lapse(effects)
	if !s.registered() || !s.now.Before(s.until) {
		return s, effects
	}
	for _, service := range s.services {
		var more []Effect
		s, more = s.consider(service)
		effects = append(effects, more...)
	}
	return s, effects
}

// consider starts a takeover of a service without a live owner, hands one over to its preferred owner, or gives a
// record up that names this entry instance although it no longer holds the service.
func (s State) consider(service string) (State, []Effect) {
	if a, ok := s.attempts[service]; ok && (a.phase != waiting || s.now.Before(a.retry)) {
		return s, nil
	}
	s = s.withoutAttempt(service)
	if epoch, ok := s.held[service]; ok {
		return s.review(service, epoch)
	}
	last, exists := s.owners[service]
	mine := !s.leaving && s.preferred(service) == s.self
	if exists && last.owner.Entry == s.self && s.alive(last.owner) {
		// Only this process can hold the record's incarnation, and it no longer does: the others wait for its word.
		next := ""
		if mine {
			next = s.self
		}
		return s.write(service, last.owner.Epoch+1, next)
	}
	switch {
	case !mine:
		return s, nil
	case !exists, last.owner.Entry == "":
		return s.write(service, last.owner.Epoch+1, s.self)
	case s.alive(last.owner):
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

// review gives a held service up when leaving or when its preferred owner has been a member for a while,
// and begins a new epoch when the record names other members than there are.
func (s State) review(service string, epoch uint64) (State, []Effect) {
	if s.owners[service].owner.Epoch != epoch {
		return s, nil // the watch has not shown this epoch's record, which the next one is written over
	}
	to := s.preferred(service)
	settled := to != "" && to != s.self && s.now.Sub(s.members[to].since) >= settleTime
	switch {
	case s.leaving || settled:
		return s.end(service, epoch, "")
	case s.outdated(service) && s.now.Sub(s.joined) >= joinTime:
		return s.end(service, epoch, s.self)
	}
	return s, nil
}

// outdated says whether a service's owner record names other members than there are.
func (s State) outdated(service string) bool {
	return !slices.Equal(s.owners[service].owner.Members, s.Members())
}

// end ends an epoch and writes the record of the next one.
func (s State) end(service string, epoch uint64, next string) (State, []Effect) {
	s = s.WithoutHeld(service)
	s, effects := s.write(service, epoch+1, next)
	return s, append([]Effect{Lost{Service: service, Epoch: epoch}}, effects...)
}
