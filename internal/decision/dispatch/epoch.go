package dispatch

import (
	"slices"
	"strings"
	"time"

	"teaselloft/internal/model/message"
)

// member is an entry instance as the owner sees it.
type member struct {
	name     string
	needed   bool // grants wait for its answer
	answered bool // to the latest Gather
	joined   bool // answered a Gather of this epoch, so that its static share is of this epoch
	up       bool
	gone     bool
	gathered uint64    // sequence of the latest Gather
	asked    time.Time // when the latest Gather was sent
	overdue  bool      // was asked again after its link broke
}

// reserves reports whether the member may be using its static share.
func (m member) reserves() bool {
	return !m.gone && (!m.up || !m.answered)
}

// blocks reports whether grants wait for the member; its old grants have ended once drained.
func (m member) blocks(drained bool) bool {
	return m.needed && !m.answered && !m.gone && (m.up || !drained)
}

func (s State) start(m Start) (State, []Effect) {
	s, effects := s.stop()
	s.self = m.Self
	s.epoch = m.Epoch
	s.phase = gathering
	s.started = s.now
	s.writes = 0
	s.claims = s.claims.WithStart(m.Claim, m.Older, s.now)
	s.revision = m.Revision
	s.shared = distinct(slices.Clone(m.Shared))
	s.current = distinct(slices.Clone(m.Current))
	s.absent = m.Absent
	needed := distinct(append(slices.Clone(m.Members), m.Self))
	for _, name := range distinct(append(s.sharers(), needed...)) {
		_, found := slices.BinarySearch(needed, name)
		s.members = append(s.members, member{name: name, needed: found, up: found})
	}
	for _, name := range needed {
		var e Effect
		s, e = s.gather(name)
		effects = append(effects, e)
	}
	return s.withReserved(), effects
}

func distinct(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

// gather asks a member for its grants; its answer is outstanding from now on.
func (s State) gather(name string) (State, Effect) {
	s = s.withSequence()
	m, _ := s.member(name)
	m.answered = false
	m.gathered = s.sequence
	m.asked = s.now
	return s.withMember(m), s.gatherFrame(m)
}

func (s State) gatherFrame(m member) Effect {
	return Reply{To: m.name, Frame: message.GatherGrants{Service: s.service.Name, Epoch: s.epoch, Sequence: m.gathered}}
}

// remind gathers again from members whose answer is overdue: a frame is lost with its link.
func (s State) remind() (State, []Effect) {
	if s.phase == idle {
		return s, nil
	}
	var effects []Effect
	for _, m := range s.members {
		if m.reminder(s.options).IsZero() || s.now.Before(m.reminder(s.options)) {
			continue
		}
		// An answer to the first Gather does not list grants given since, so its sequence stays.
		m.asked = s.now
		s = s.withMember(m)
		effects = append(effects, s.gatherFrame(m))
	}
	return s, effects
}

// reminder returns when the member is asked again, zero for never.
func (m member) reminder(o Options) time.Time {
	if m.asked.IsZero() || m.answered && !m.overdue || m.gone || !m.up {
		return time.Time{}
	}
	return m.asked.Add(o.Remind)
}

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

// withMember returns a copy in which the member of that name is m.
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

func (s State) prove(m Prove) State {
	if m.Until.After(s.until) {
		s.until = m.Until
	}
	return s
}

// stop ends the epoch and refuses what is queued.
func (s State) stop() (State, []Effect) {
	var effects []Effect
	it := s.queue.tickets.Iterator()
	for !it.Done() {
		_, t, _ := it.Next()
		effects = append(effects, s.deny(t.from, t.request.ID, refusal(message.ReasonNoOwner, 0)))
	}
	return s.withoutEpoch(), effects
}

// resign ends the epoch because another owner wrote the claim.
func (s State) resign() (State, []Effect) {
	epoch := s.epoch
	s, effects := s.stop()
	return s, append(effects, Resign{Epoch: epoch})
}

// holding takes over a member's grants in flight and frees those that never reached it.
func (s State) holding(m Holding) (State, []Effect) {
	if s.phase == idle {
		return s, nil
	}
	from, known := s.member(m.From)
	if !known || from.answered && !from.overdue {
		return s, nil
	}
	if m.Sequence != 0 && m.Sequence != from.gathered {
		return s, nil // grants given since the Gather that it answers are not in it
	}
	listed := make(map[message.ID]bool, len(m.Grants))
	for _, h := range m.Grants {
		if h.ID.Entry != m.From && s.refuted(h.ID) {
			continue
		}
		listed[h.ID] = true
		s = s.hold(h)
	}
	for _, g := range s.grants.Of(m.From, from.gathered) {
		if !listed[g.id] {
			s = s.withoutGrant(g)
		}
	}
	from.answered = true
	from.overdue = false
	from.joined = true
	from.up = true
	return s.withMember(from).withReserved(), nil
}

// reconcile gathers again from a member whose link broke, since releases may have been lost with it.
//
// Its own report cannot be taken for that: grants may be on their way to it.
func (s State) reconcile(m member) (State, []Effect) {
	s = s.withSequence()
	m.overdue = true
	m.gathered = s.sequence
	m.asked = s.now
	return s.withMember(m), []Effect{s.gatherFrame(m)}
}

// relinked gathers again, which makes the entry instance ask again for what it still waits for.
func (s State) relinked(m Relinked) (State, []Effect) {
	n, _ := s.member(m.Entry)
	if s.phase == idle || n.gone || !n.answered {
		return s, nil // a Gather without an answer is repeated anyway
	}
	return s.reconcile(n)
}

// refuted says whether a grant that another entry instance reported is not in use: the one that
// took the request has told its own grants, or asks again because it has not sent the request.
func (s State) refuted(id message.ID) bool {
	if _, asked := s.queue.tickets.Get(id); asked {
		return true
	}
	m, known := s.member(id.Entry)
	return known && m.needed && m.answered
}

// hold counts a grant in flight; the request is answered by it if it was asked again.
//
// It is released by the entry instance that took the request, which need not be
// the one that reported it.
func (s State) hold(h message.HeldGrant) State {
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
		from:     h.ID.Entry,
		target:   message.Executor{ID: h.Executor},
		deadline: s.now.Add(h.Left + s.options.Linger),
	}
	if h.Key != "" {
		g.hash = claimHash(h.Key)
		s = s.withHeldClaim(g)
	}
	return s.withGrant(g)
}

func (s State) reachable(m Reachable) (State, []Effect) {
	if s.phase == idle {
		return s, nil
	}
	n, known := s.member(m.Entry)
	if known && n.up == m.Up && !n.gone {
		return s, nil
	}
	n.up = m.Up
	n.gone = false
	s = s.withMember(n)
	if !known || !m.Up {
		return s.withReserved(), nil
	}
	s, e := s.gather(m.Entry)
	return s.withReserved(), []Effect{e}
}

func (s State) gone(m Gone) State {
	n, known := s.member(m.Entry)
	if s.phase == idle || !known {
		return s
	}
	n.gone = true
	n.up = false
	return s.withMember(n).withReserved()
}

// advance lets grants begin once the claim is written and no member is waited for.
func (s State) advance() State {
	if s.phase != gathering || !s.written {
		return s
	}
	drained := !s.now.Before(s.drained())
	for _, m := range s.members {
		if m.blocks(drained) {
			return s
		}
	}
	s.phase = active
	return s
}

// drained returns when every grant of earlier epochs has passed its deadline.
func (s State) drained() time.Time {
	return s.started.Add(s.options.Drain)
}

// sharers returns the members of earlier epochs that may use static shares.
func (s State) sharers() []string {
	names := slices.Clone(s.shared)
	for _, a := range s.absent {
		names = append(names, a.Entry)
	}
	return names
}

// dealt returns the members between which the slots were dealt when the member last learned its static share.
func (s State) dealt(m member) []string {
	if m.joined {
		return s.current
	}
	for _, a := range s.absent {
		if a.Entry == m.name {
			return a.Members
		}
	}
	return s.shared
}

// withReserved returns a copy in which the static shares of unreachable members are kept from grants.
func (s State) withReserved() State {
	reserved := map[string]int{}
	for _, m := range s.members {
		if !m.reserves() {
			continue
		}
		for id, n := range shareCounts(s.executors, s.service.Slots, s.dealt(m), m.name) {
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
	s.executors = merged(s.executors, m.Executors)
	return s.withUsed().withReserved()
}

// withUsed returns a copy that counts the slots in use anew, since a reported grant may name an executor that was unknown.
func (s State) withUsed() State {
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

// merged returns the new executors with the state of the old ones, and old ones that still have slots in use.
func merged(old []executor, candidates []Candidate) []executor {
	sum, known := 0.0, 0
	for _, c := range candidates {
		if i := slices.IndexFunc(old, func(e executor) bool { return e.target.ID == c.Executor.ID }); i >= 0 {
			sum += old[i].recent
			known++
		}
	}
	fresh := 0.0 // a new executor starts with the mean, so that it is not flooded
	if known > 0 {
		fresh = sum / float64(known)
	}
	var next []executor
	for _, c := range candidates {
		e := executor{recent: fresh}
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
