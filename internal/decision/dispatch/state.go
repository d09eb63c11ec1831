package dispatch

import (
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/benbjohnson/immutable"
)

// phase is the state of the ownership of a service.
type phase int

const (
	idle      phase = iota // no epoch
	gathering              // no grants yet: the claim is not written or a member has not answered
	active                 // requests are granted
)

// State is the immutable dispatch state of one service. Step returns a new one.
type State struct {
	options Options
	service fleet.Service
	now     time.Time // time of the latest message

	self            string
	epoch           uint64
	phase           phase
	started         time.Time // start of the epoch
	ownedUntil      time.Time // time until which the ownership is known to be valid
	members         []member
	previousMembers []string // members of the previous owner record
	currentMembers  []string // members of this epoch's owner record
	absent          []record.AbsentMember

	executors       []executor
	queue           queue
	grants          grants
	runTimes        runTimes
	sequence        uint64    // latest sequence of tickets, grants and gathers
	shortPeak       float64   // decaying peak of the slots in use by short requests
	longCap         float64   // current share of slots that long requests may hold
	shortPeakAt     time.Time // when shortPeak was computed
	grantsSinceAged int       // grants since aging last gave a lower class its turn

	claims        claims
	claimRevision int64
	pendingWrite  pendingWrite
	unclaimed     *immutable.List[message.ID] // requests whose claims the next write stores
	claimWritten  bool                        // the claim of this epoch is stored
	dirty         bool                        // the stored claims are out of date
	writeRetryAt  time.Time                   // earliest time of the next write
	writeSequence uint64                      // sequence of the latest write in the epoch
}

// pendingWrite is the write in flight.
type pendingWrite struct {
	active   bool
	claim    record.Claim                // zero if a segment is written
	unstored []record.ClaimEntry         // entries of the claim that may not have been stored before
	segment  segment                     // segment to write; zero if the claim is written
	tickets  *immutable.List[message.ID] // requests that wait for their claims to be stored by this write
	dropped  []segment                   // expired segments to delete after the write
}

// New returns the state of a service without an owner and without executors, which Configure adds.
func New(service string, o Options) State {
	return State{
		options:   o,
		service:   fleet.Service{Name: service},
		queue:     newQueue(),
		grants:    newGrants(),
		runTimes:  newRunTimes(),
		claims:    newClaims(),
		unclaimed: immutable.NewList[message.ID](),
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

// withoutEpoch returns a copy without an epoch and its grants and claims; the learned run times stay.
func (s State) withoutEpoch() State {
	s.phase = idle
	s.members = nil
	s.previousMembers = nil
	s.currentMembers = nil
	s.absent = nil
	s.queue = newQueue()
	s.grants = newGrants()
	s.claims = newClaims()
	s.pendingWrite = pendingWrite{}
	s.unclaimed = immutable.NewList[message.ID]()
	s.claimWritten = false
	s.dirty = false
	s.writeRetryAt = time.Time{}
	s.executors = clearExecutors(s.executors)
	return s
}

// clearExecutors returns copies of the executors with no slot in use.
func clearExecutors(executors []executor) []executor {
	next := make([]executor, 0, len(executors))
	for _, e := range executors {
		e.used, e.long, e.reserved = 0, 0, 0
		next = append(next, e)
	}
	return next
}
