package dispatch

import (
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/benbjohnson/immutable"
)

// phase says whether the owner may grant.
type phase int

const (
	idle      phase = iota // no epoch
	gathering              // the claim is not written or a member has not answered
	active
)

// State is the decision's state of one service. It is immutable: Step returns a new one.
type State struct {
	options Options
	service fleet.Service
	now     time.Time // of the latest message

	self    string
	epoch   uint64
	phase   phase
	started time.Time
	until   time.Time // of the proof of ownership
	members []member
	shared  []string // of the previous owner record
	current []string // of this epoch's owner record
	absent  []record.AbsentMember

	executors []executor
	queue     queue
	grants    grants
	known     knowledge
	sequence  uint64    // of tickets, grants and gathers
	peak      float64   // of the slots that short work used, decaying
	longCap   float64   // share of slots that long work may hold now
	peakAt    time.Time // when peak was computed
	aged      int       // grants since the last one to a lower class that had waited long

	claims   claims
	revision int64
	writing  writing
	waiting  *immutable.List[message.ID] // tickets for the next claim write
	written  bool                        // the claim of this epoch is in the store
	repeat   bool                        // the store differs from claims
	retryAt  time.Time                   // no write before it
	writes   uint64                      // sequence of the latest write of the epoch
}

// writing is the write in flight.
type writing struct {
	active  bool
	claim   record.Claim        // zero when a segment is written
	fresh   []record.ClaimEntry // of the claim, not certainly in the store before
	segment segment
	tickets *immutable.List[message.ID]
	dropped []segment
}

// New returns the state of a service that nobody owns; Configure brings its executors.
func New(service string, o Options) State {
	return State{
		options: o,
		service: fleet.Service{Name: service},
		queue:   newQueue(),
		grants:  newGrants(),
		known:   newKnowledge(),
		claims:  newClaims(),
		waiting: immutable.NewList[message.ID](),
	}
}

func (s State) withNow(t time.Time) State {
	if t.After(s.now) {
		s.now = t
	}
	return s
}

func (s State) withSequence() State {
	s.sequence++
	return s
}

// withoutEpoch returns a copy that owns nothing and has forgotten its grants; it keeps what it learned.
func (s State) withoutEpoch() State {
	s.phase = idle
	s.members = nil
	s.shared = nil
	s.current = nil
	s.absent = nil
	s.queue = newQueue()
	s.grants = newGrants()
	s.claims = newClaims()
	s.writing = writing{}
	s.waiting = immutable.NewList[message.ID]()
	s.written = false
	s.repeat = false
	s.retryAt = time.Time{}
	s.executors = cleared(s.executors)
	return s
}

// cleared returns copies of the executors with no slot in use.
func cleared(executors []executor) []executor {
	next := make([]executor, 0, len(executors))
	for _, e := range executors {
		e.used, e.long, e.reserved = 0, 0, 0
		next = append(next, e)
	}
	return next
}
