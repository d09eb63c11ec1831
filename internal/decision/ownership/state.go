package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"teaselloft/internal/core/copymap"

	"github.com/cespare/xxhash/v2"

	"teaselloft/internal/model/record"
)

// MaxOwners bounds the entry instances of a site that own services, so that the number of links between owners
// and entry instances grows linearly with the number of entry instances and not with its square.
const MaxOwners = 8

// retryDelay is the delay before a failed takeover is tried again.
const retryDelay = 200 * time.Millisecond

// memberSettleTime is how long the members must be unchanged before the owner records are updated to name them. During
// a rolling replacement, in which several members come and go, the epochs are then restarted only once.
const memberSettleTime = 2 * time.Second

// handOverDelay is how long the preferred owner must have been a member before a service is handed over to it.
const handOverDelay = 10 * time.Second

// State holds what one entry instance knows of members, owners and its own epochs. It is immutable.
type State struct {
	self            string
	now             time.Time
	leaseValidUntil time.Time // the lease may have expired from this time on
	incarnation     string    // to which the lease belongs
	leaving         bool
	services        []string // sorted
	members         map[string]knownMember
	dead            map[string]bool // members that are certainly dead
	membersChanged  time.Time       // when a member was last added or removed
	owners          map[string]knownOwner
	epochs          map[string]uint64 // current epochs by service
	attempts        map[string]attempt
}

type knownMember struct {
	member record.Member
	since  time.Time
}

type knownOwner struct {
	owner    record.Owner
	revision int64
}

// attempt is a takeover or hand-over in progress. No other attempt starts for the service before this one ends or, after a
// failure, before its retry time.
type attempt struct {
	epoch           uint64 // epoch that begins if the attempt succeeds
	phase           phase
	retry           time.Time // when another attempt may start, in the phase backingOff
	previousMembers []string  // members of the owner record before the attempt
}

type phase int

const (
	verifying phase = iota
	writing
	backingOff
)

// New returns the state of the entry instance with the given name.
func New(self string) State {
	return State{
		self:     self,
		members:  map[string]knownMember{},
		dead:     map[string]bool{},
		owners:   map[string]knownOwner{},
		epochs:   map[string]uint64{},
		attempts: map[string]attempt{},
	}
}

// Owner returns the owner record of a service and whether there is one.
func (s State) Owner(service string) (record.Owner, bool) {
	o, ok := s.owners[service]
	return o.owner, ok
}

// Owns returns the epoch in which this entry instance owns the service at the given time, and whether it does.
func (s State) Owns(service string, now time.Time) (uint64, bool) {
	epoch, ok := s.epochs[service]
	return epoch, ok && now.Before(s.leaseValidUntil)
}

// LeaseValidUntil returns the time from which the lease may have expired, and with it all ownership.
func (s State) LeaseValidUntil() time.Time {
	return s.leaseValidUntil
}

// Member returns a live member and whether there is one.
func (s State) Member(entry string) (record.Member, bool) {
	m, ok := s.members[entry]
	return m.member, ok
}

// Members returns the sorted names of all live members.
func (s State) Members() []string {
	return slices.Sorted(maps.Keys(s.members))
}

// Idle reports whether no takeover or hand-over is in progress.
func (s State) Idle() bool {
	return len(s.attempts) == 0
}

// OwnedEpochs returns the current epochs by service.
func (s State) OwnedEpochs() map[string]uint64 {
	return maps.Clone(s.epochs)
}

// WithMember returns a copy with a live member.
func (s State) WithMember(m record.Member) State {
	since := s.now
	if old, ok := s.members[m.Entry]; ok && old.member.Incarnation == m.Incarnation {
		since = old.since
	} else {
		s.membersChanged = s.now
	}
	s.dead = copymap.Without(s.dead, m.Entry)
	s.members = copymap.With(s.members, m.Entry, knownMember{member: m, since: since})
	return s
}

// WithoutMember returns a copy without the member.
func (s State) WithoutMember(entry string) State {
	s.membersChanged = s.now
	s.members = copymap.Without(s.members, entry)
	return s
}

// WithOwner returns a copy with an owner record and its revision.
func (s State) WithOwner(o record.Owner, revision int64) State {
	s.owners = copymap.With(s.owners, o.Service, knownOwner{owner: o, revision: revision})
	return s
}

// WithEpoch returns a copy in which this entry instance owns the service in an epoch.
func (s State) WithEpoch(service string, epoch uint64) State {
	s.epochs = copymap.With(s.epochs, service, epoch)
	return s
}

// WithoutEpoch returns a copy in which this entry instance does not own the service.
func (s State) WithoutEpoch(service string) State {
	s.epochs = copymap.Without(s.epochs, service)
	return s
}

// WithLeaseValidUntil returns a copy whose lease is known to be valid until t.
func (s State) WithLeaseValidUntil(t time.Time) State {
	s.leaseValidUntil = t
	return s
}

func (s State) withAttempt(service string, a attempt) State {
	s.attempts = copymap.With(s.attempts, service, a)
	return s
}

func (s State) withoutAttempt(service string) State {
	s.attempts = copymap.Without(s.attempts, service)
	return s
}

// registered reports whether the watch has shown the member record of the incarnation to which the lease belongs. Other
// entry instances treat an owner record that names any other incarnation as one of a dead owner.
func (s State) registered() bool {
	m, ok := s.members[s.self]
	return ok && m.member.Incarnation == s.incarnation
}

// ownerAlive reports whether the member record of the owner still exists, as far as the watch has shown.
func (s State) ownerAlive(o record.Owner) bool {
	m, ok := s.members[o.Entry]
	return ok && m.member.Incarnation == o.Incarnation
}

// absent returns the members of the last and of earlier epochs that are neither live nor certainly dead and so may
// still use their static shares of the service's slots.
func (s State) absent(last record.Owner) []record.AbsentMember {
	var absent []record.AbsentMember
	keep := func(a record.AbsentMember) {
		if _, live := s.members[a.Entry]; !live && !s.dead[a.Entry] {
			absent = append(absent, a)
		}
	}
	for _, a := range last.Absent {
		keep(a)
	}
	for _, entry := range last.Members {
		keep(record.AbsentMember{Entry: entry, Members: last.Members})
	}
	return absent
}

// preferred returns the member with the highest rendezvous weight for the service among the first MaxOwners members, by
// name, that are not leaving. It returns "" if there is none.
func (s State) preferred(service string) string {
	names := s.Members()
	names = slices.DeleteFunc(names, func(entry string) bool { return s.members[entry].member.Leaving })
	if len(names) > MaxOwners {
		names = names[:MaxOwners]
	}
	if len(names) == 0 {
		return ""
	}
	return slices.MaxFunc(names, func(a, b string) int {
		return cmp.Compare(weight(service, a), weight(service, b))
	})
}

func weight(service, entry string) uint64 {
	return xxhash.Sum64String(service + "\x00" + entry)
}
