package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"teaselloft/internal/core/copymap"

	"github.com/cespare/xxhash/v2"

	"teaselloft/internal/model/record"
)

// MaxOwners bounds the entry instances of a site that own services, so that the
// links between owners and entry instances grow with their number, not its square.
const MaxOwners = 8

// retryAfter is the pause before a failed takeover is tried again.
const retryAfter = 200 * time.Millisecond

// joinTime is how long the members must not have changed before the owners' records name them;
// together they restart after a rolling replacement only once.
const joinTime = 2 * time.Second

// settleTime is how long the preferred owner must be a member before a service is handed over to it.
const settleTime = 10 * time.Second

// State is the immutable state of the ownership decision of one entry instance.
type State struct {
	self        string
	now         time.Time
	until       time.Time // the lease may have expired from here on
	incarnation string    // that the lease belongs to
	leaving     bool
	services    []string // sorted
	members     map[string]seen
	gone        map[string]bool
	joined      time.Time // when a member last came or went
	owners      map[string]owned
	held        map[string]uint64 // epoch by service, for current epochs
	attempts    map[string]attempt
}

type seen struct {
	member record.Member
	since  time.Time
}

type owned struct {
	owner    record.Owner
	revision int64
}

// attempt is a takeover or hand-over in progress; nothing else is tried for the service until it ends or retry passes.
type attempt struct {
	epoch  uint64
	phase  phase
	retry  time.Time
	shared []string // members of the owner record before the attempt
}

type phase int

const (
	verifying phase = iota
	writing
	waiting
)

// New returns the state of the entry instance with the given name.
func New(self string) State {
	return State{
		self:     self,
		members:  map[string]seen{},
		gone:     map[string]bool{},
		owners:   map[string]owned{},
		held:     map[string]uint64{},
		attempts: map[string]attempt{},
	}
}

// Owner returns the owner record of a service and whether there is one.
func (s State) Owner(service string) (record.Owner, bool) {
	o, ok := s.owners[service]
	return o.owner, ok
}

// Holds returns the epoch in which this entry instance owns the service at the time now, and whether it does.
func (s State) Holds(service string, now time.Time) (uint64, bool) {
	epoch, ok := s.held[service]
	return epoch, ok && now.Before(s.until)
}

// Until returns the end of the time for which ownership is proved.
func (s State) Until() time.Time {
	return s.until
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

// Idle says whether no takeover or hand-over is in progress.
func (s State) Idle() bool {
	return len(s.attempts) == 0
}

// Held returns the current epochs by service.
func (s State) Held() map[string]uint64 {
	return maps.Clone(s.held)
}

// WithMember returns a copy that knows a live member.
func (s State) WithMember(m record.Member) State {
	since := s.now
	if old, ok := s.members[m.Entry]; ok && old.member.Incarnation == m.Incarnation {
		since = old.since
	} else {
		s.joined = s.now
	}
	s.gone = copymap.Without(s.gone, m.Entry)
	s.members = copymap.With(s.members, m.Entry, seen{member: m, since: since})
	return s
}

// WithoutMember returns a copy without the member.
func (s State) WithoutMember(entry string) State {
	s.joined = s.now
	s.members = copymap.Without(s.members, entry)
	return s
}

// WithOwner returns a copy that knows an owner record.
func (s State) WithOwner(o record.Owner, revision int64) State {
	s.owners = copymap.With(s.owners, o.Service, owned{owner: o, revision: revision})
	return s
}

// WithHeld returns a copy that holds the service in an epoch.
func (s State) WithHeld(service string, epoch uint64) State {
	s.held = copymap.With(s.held, service, epoch)
	return s
}

// WithoutHeld returns a copy that does not hold the service.
func (s State) WithoutHeld(service string) State {
	s.held = copymap.Without(s.held, service)
	return s
}

// WithUntil returns a copy whose ownership is proved until t.
func (s State) WithUntil(t time.Time) State {
	s.until = t
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

// registered says whether the watch has shown the member record of the incarnation whose lease is proved. Others see
// an owner record that names another incarnation as one of a dead owner.
func (s State) registered() bool {
	m, ok := s.members[s.self]
	return ok && m.member.Incarnation == s.incarnation
}

// alive says whether the member record of the owner still exists as far as this entry instance has seen.
func (s State) alive(o record.Owner) bool {
	m, ok := s.members[o.Entry]
	return ok && m.member.Incarnation == o.Incarnation
}

// absent returns the members of the last and of earlier epochs that may still use their static shares.
func (s State) absent(last record.Owner) []record.AbsentMember {
	var absent []record.AbsentMember
	keep := func(a record.AbsentMember) {
		if _, live := s.members[a.Entry]; !live && !s.gone[a.Entry] {
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

// preferred returns the eligible member that is not leaving and has the highest rendezvous weight for the service.
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
