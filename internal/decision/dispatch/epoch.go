package dispatch

import (
	"slices"
	"strings"
	"time"

	"teaselloft/internal/model/message"
)

// member is the owner's view of an entry instance.
type member struct {
	name           string
	needed         bool // no request is granted before the member has answered GatherGrants
	answered       bool // the member has answered GatherGrants in this epoch, and since it last became reachable
	joined         bool // the member has answered GatherGrants in this epoch, so its static share is that of this epoch
	up             bool // frames from the member arrive
	dead           bool
	gatherSequence uint64    // sequence of the latest GatherGrants
	gatherSentAt   time.Time // when the latest GatherGrants was sent
	regathering    bool      // GatherGrants was sent again after the link broke and has not been answered
}

// mayUseShare reports whether the member may be using its static share.
func (m member) mayUseShare() bool {
	return !m.dead && (!m.up || !m.answered)
}

// blocksGrants reports whether granting waits for the member's answer. It does not wait for an unreachable member once
// drained is true, since every grant of earlier epochs has ended by then.
func (m member) blocksGrants(drained bool) bool {
	return m.needed && !m.answered && !m.dead && (m.up || !drained)
}

func (s State) startEpoch(m Start) (State, []Effect) {
	s, effects := s.endEpoch()
	s.self = m.Self
	s.epoch = m.Epoch
	s.phase = gathering
	s.started = s.now
	s.writeSequence = 0
	s.claims = s.claims.WithLoaded(m.Claim, m.SegmentEntries, s.now)
	s.claimRevision = m.Revision
	s.previousMembers = sortedUnique(slices.Clone(m.PreviousMembers))
	s.currentMembers = sortedUnique(slices.Clone(m.CurrentMembers))
	s.absent = m.Absent
	needed := sortedUnique(append(slices.Clone(m.Members), m.Self))
	for _, name := range sortedUnique(append(s.previousSharers(), needed...)) {
		_, found := slices.BinarySearch(needed, name)
		s.members = append(s.members, member{name: name, needed: found, up: found})
	}
	for _, name := range needed {
		var e Effect
		s, e = s.gather(name)
		effects = append(effects, e)
	}
	return s.withReservedShares(), effects
}

func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

// gather asks a member for its grants and marks it as unanswered.
func (s State) gather(name string) (State, Effect) {
	s = s.withSequence()
	m, _ := s.member(name)
	m.answered = false
	m.gatherSequence = s.sequence
	m.gatherSentAt = s.now
	return s.withMember(m), s.gatherEffect(m)
}

func (s State) gatherEffect(m member) Effect {
	return SendFrame{To: m.name, Frame: message.GatherGrants{Service: s.service.Name, Epoch: s.epoch, Sequence: m.gatherSequence}}
}

// repeatGathers sends GatherGrants again to members whose answer is overdue, since frames are lost when a link breaks.
func (s State) repeatGathers() (State, []Effect) {
	if s.phase == idle {
		return s, nil
	}
	var effects []Effect
	for _, m := range s.members {
		if m.gatherRetryAt(s.options).IsZero() || s.now.Before(m.gatherRetryAt(s.options)) {
			continue
		}
		// The sequence stays that of the first GatherGrants, whose answer does not list grants given since.
		m.gatherSentAt = s.now
		s = s.withMember(m)
		effects = append(effects, s.gatherEffect(m))
	}
	return s, effects
}

// gatherRetryAt returns when GatherGrants is sent to the member again, or the zero time if it is not.
func (m member) gatherRetryAt(o Options) time.Time {
	if m.gatherSentAt.IsZero() || m.answered && !m.regathering || m.dead || !m.up {
		return time.Time{}
	}
	return m.gatherSentAt.Add(o.GatherRetry)
}

// member returns the member with the given name and whether it is known. An unknown one counts as reachable and
// answered.
func (s State) member(name string) (member, bool) {
	i, found := s.memberIndex(name)
	if !found {
		return member{name: name, answered: true, up: true}, false
	}
	return s.members[i], true
}

func (s State) memberIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(s.members, name, func(m member, name string) int {
		return strings.Compare(m.name, name)
	})
}

// withMember returns a copy with m added, replacing the member of that name.
func (s State) withMember(m member) State {
	s.members = slices.Clone(s.members)
	i, found := s.memberIndex(m.name)
	if found {
		s.members[i] = m
	} else {
		s.members = slices.Insert(s.members, i, m)
	}
	return s
}

func (s State) extendOwnership(m ExtendOwnership) State {
	if m.Until.After(s.ownedUntil) {
		s.ownedUntil = m.Until
	}
	return s
}

// endEpoch ends the epoch and denies all queued requests.
func (s State) endEpoch() (State, []Effect) {
	var effects []Effect
	it := s.queue.tickets.Iterator()
	for !it.Done() {
		_, t, _ := it.Next()
		effects = append(effects, s.deny(t.entry, t.request.ID, newRefusal(message.ReasonNoOwner, 0)))
	}
	return s.withoutEpoch(), effects
}

// resign ends the epoch because another owner has written the claim.
func (s State) resign() (State, []Effect) {
	epoch := s.epoch
	s, effects := s.endEpoch()
	return s, append(effects, Resign{Epoch: epoch})
}

// onHeldGrants adds the grants in flight that a member reports. It frees the member's grants that the report does not
// list, because their frames were lost or their releases were.
func (s State) onHeldGrants(m HeldGrants) (State, []Effect) {
	if s.phase == idle {
		return s, nil
	}
	from, known := s.member(m.From)
	if !known || from.answered && !from.regathering {
		return s, nil
	}
	if m.Sequence != 0 && m.Sequence != from.gatherSequence {
		return s, nil // the report lacks the grants given since the GatherGrants that it answers
	}
	listed := make(map[message.ID]bool, len(m.Grants))
	for _, h := range m.Grants {
		if h.ID.Entry != m.From && s.reportOutdated(h.ID) {
			continue
		}
		listed[h.ID] = true
		s = s.addHeldGrant(h)
	}
	for _, g := range s.grants.OfMember(m.From, from.gatherSequence) {
		if !listed[g.id] {
			s = s.withoutGrant(g)
		}
	}
	from.answered = true
	from.regathering = false
	from.joined = true
	from.up = true
	return s.withMember(from).withReservedShares(), nil
}

// regather sends GatherGrants again to a member whose link broke, since releases may have been lost. Unlike after
// gather, the member still counts as answered, so granting continues.
//
// A report that the member sends by itself is not enough, since grants may be on their way to it.
func (s State) regather(m member) (State, []Effect) {
	s = s.withSequence()
	m.regathering = true
	m.gatherSequence = s.sequence
	m.gatherSentAt = s.now
	return s.withMember(m), []Effect{s.gatherEffect(m)}
}

// onLinkRestored sends GatherGrants again, upon which the entry instance repeats the requests that it still waits for.
func (s State) onLinkRestored(m LinkRestored) (State, []Effect) {
	peer, _ := s.member(m.Entry)
	if s.phase == idle || peer.dead || !peer.answered {
		return s, nil // an unanswered GatherGrants is repeated anyway
	}
	return s.regather(peer)
}

// reportOutdated reports whether a grant that another entry instance reported is no longer in use: the entry instance
// that received the request has reported its own grants, or has repeated the request because it was not sent.
func (s State) reportOutdated(id message.ID) bool {
	if _, queued := s.queue.tickets.Get(id); queued {
		return true
	}
	m, known := s.member(id.Entry)
	return known && m.needed && m.answered
}

// addHeldGrant adds a reported grant in flight. It answers the request if that was repeated and is queued.
//
// The grant is released by the entry instance that received the request, which need not be
// the one that reported the grant.
func (s State) addHeldGrant(h message.HeldGrant) State {
	if _, ok := s.grants.byID.Get(h.ID); ok {
		return s
	}
	if t, ok := s.queue.tickets.Get(h.ID); ok {
		s.queue = s.queue.Without(t)
	}
	s = s.withSequence()
	g := grant{
		sequence: s.sequence,
		id:       h.ID,
		entry:    h.ID.Entry,
		target:   message.Executor{ID: h.Executor},
		deadline: s.now.Add(h.Left + s.options.GracePeriod),
	}
	if h.Key != "" {
		g.hash = claimHash(h.Key)
		s = s.withHeldClaim(g)
	}
	return s.withGrant(g)
}

func (s State) onReachabilityChanged(m ReachabilityChanged) (State, []Effect) {
	if s.phase == idle {
		return s, nil
	}
	peer, known := s.member(m.Entry)
	if known && peer.up == m.Up && !peer.dead {
		return s, nil
	}
	peer.up = m.Up
	peer.dead = false
	s = s.withMember(peer)
	if !known || !m.Up {
		return s.withReservedShares(), nil
	}
	s, e := s.gather(m.Entry)
	return s.withReservedShares(), []Effect{e}
}

func (s State) onMemberDead(m MemberDead) State {
	peer, known := s.member(m.Entry)
	if s.phase == idle || !known {
		return s
	}
	peer.dead = true
	peer.up = false
	return s.withMember(peer).withReservedShares()
}

// activateIfReady lets granting begin once the claim is written and no member is awaited.
func (s State) activateIfReady() State {
	if s.phase != gathering || !s.claimWritten {
		return s
	}
	drained := !s.now.Before(s.drainedAt())
	for _, m := range s.members {
		if m.blocksGrants(drained) {
			return s
		}
	}
	s.phase = active
	return s
}

// drainedAt returns when every grant of earlier epochs has ended.
func (s State) drainedAt() time.Time {
	return s.started.Add(s.options.DrainTimeout)
}

// previousSharers returns the members of earlier epochs that may be using static shares.
func (s State) previousSharers() []string {
	names := slices.Clone(s.previousMembers)
	for _, a := range s.absent {
		names = append(names, a.Entry)
	}
	return names
}

// shareMembers returns the members among which the slots were divided when m last learned its static share.
func (s State) shareMembers(m member) []string {
	if m.joined {
		return s.currentMembers
	}
	for _, a := range s.absent {
		if a.Entry == m.name {
			return a.Members
		}
	}
	return s.previousMembers
}

// withReservedShares returns a copy in which the static shares of the members that may be using them are reserved.
func (s State) withReservedShares() State {
	reserved := map[string]int{}
	for _, m := range s.members {
		if !m.mayUseShare() {
			continue
		}
		for id, n := range shareCounts(s.executors, s.service.Slots, s.shareMembers(m), m.name) {
			reserved[id] += n
		}
	}
	s.executors = slices.Clone(s.executors)
	for i, e := range s.executors {
		s.executors[i].reserved = reserved[e.target.ID]
	}
	return s
}

func (s State) configure(m Configure) State {
	name := s.service.Name
	s.service = m.Service
	s.service.Name = name
	s.executors = mergeExecutors(s.executors, m.Executors)
	return s.withRecountedSlots().withReservedShares()
}

// withRecountedSlots returns a copy with the slots in use recounted, since a reported grant may name an executor that
// was unknown until now.
func (s State) withRecountedSlots() State {
	for i := range s.executors {
		s.executors[i].used, s.executors[i].long = 0, 0
	}
	it := s.grants.byID.Iterator()
	for !it.Done() {
		_, g, _ := it.Next()
		if i := s.executorIndex(g.target.ID); i >= 0 {
			s.executors[i] = s.executors[i].WithGrant(g.size)
		}
	}
	return s
}

// mergeExecutors returns the new executors with the state of the old ones, and the old executors that still have slots
// in use.
func mergeExecutors(old []executor, candidates []Candidate) []executor {
	sum, known := 0.0, 0
	for _, c := range candidates {
		if i := slices.IndexFunc(old, func(e executor) bool { return e.target.ID == c.Executor.ID }); i >= 0 {
			sum += old[i].recentShare
			known++
		}
	}
	initial := 0.0 // a new executor starts with the mean share, so that it does not get a burst of grants
	if known > 0 {
		initial = sum / float64(known)
	}
	var next []executor
	for _, c := range candidates {
		e := executor{recentShare: initial}
		if i := slices.IndexFunc(old, func(e executor) bool { return e.target.ID == c.Executor.ID }); i >= 0 {
			e = old[i]
		}
		e.target, e.available = c.Executor, c.Available
		next = append(next, e)
	}
	for _, e := range old {
		if e.used > 0 && !slices.ContainsFunc(next, func(n executor) bool { return n.target.ID == e.target.ID }) {
			e.available = false
			next = append(next, e)
		}
	}
	slices.SortFunc(next, func(a, b executor) int { return strings.Compare(a.target.ID, b.target.ID) })
	return next
}
