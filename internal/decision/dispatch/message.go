package dispatch

import (
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Configure updates the settings and executors of the service; it may arrive at any time.
type Configure struct {
	Now       time.Time
	Service   fleet.Service
	Executors []Candidate
}

// Candidate is an executor of the service. An executor that is not Available gets no new grants.
type Candidate struct {
	Executor  message.Executor
	Available bool
}

// Start begins an epoch after the owner record was acquired. No request is granted before the claim is written and
// every member has answered GatherGrants.
//
// Self is gathered from like every member, because it may hold grants of the previous epoch.
// Members and Self count as reachable until ReachabilityChanged reports otherwise.
type Start struct {
	Now             time.Time
	Epoch           uint64
	Self            string
	Members         []string              // entry instances to gather from, besides Self
	PreviousMembers []string              // members of the previous owner record, with static shares of the previous epoch
	CurrentMembers  []string              // members of this epoch's owner record, with its static shares once they answered
	Absent          []record.AbsentMember // members with static shares of an earlier epoch
	Claim           record.Claim          // as read from the store, zero if there is none
	Revision        int64                 // of the claim key, 0 if there is none
	SegmentEntries  []record.ClaimEntry   // entries of the claim's segments
}

// ExtendOwnership extends the time until which the owner may grant.
type ExtendOwnership struct {
	Now   time.Time
	Until time.Time
}

// Stop ends the epoch. Queued requests are denied with ReasonNoOwner and grants are dropped from the state.
type Stop struct{ Now time.Time }

// GrantRequest queues a request of an entry instance.
//
// An entry instance asks for a grant only while no byte of the request was sent, and for
// an idempotent request also after a failed send. It may ask again with the same ID after
// a takeover or a broken link, once it has answered GatherGrants. Before that, a claimed key is
// refused as a duplicate, since an older grant may still arrive.
type GrantRequest struct {
	Now     time.Time
	From    string
	Request message.Request // its Deadline is on this owner's clock
	Exclude []string        // executors on which this request failed
}

// Release returns a grant to the owner.
type Release struct {
	Now     time.Time
	From    string
	Release message.Release
}

// Withdraw removes a queued request, or returns its grant unused if the two crossed on the way.
//
// The entry instance does not send a request that it has withdrawn.
type Withdraw struct {
	Now time.Time
	ID  message.ID
}

// HeldGrants is a member's report of its grants in flight.
type HeldGrants struct {
	Now      time.Time
	From     string
	Sequence uint64 // of the GatherGrants that it answers, 0 for the latest one
	Grants   []message.HeldGrant
}

// ReachabilityChanged reports whether frames from a member arrive. An unreachable member keeps its static share.
type ReachabilityChanged struct {
	Now   time.Time
	Entry string
	Up    bool
}

// LinkRestored reports that the link to an entry instance is up again. Frames may have been lost with the old link.
type LinkRestored struct {
	Now   time.Time
	Entry string
}

// MemberDead reports that a member is certainly dead. Its static share and expired grants are freed.
type MemberDead struct {
	Now   time.Time
	Entry string
}

// WriteResult reports the result of a Write effect.
type WriteResult struct {
	Now      time.Time
	Epoch    uint64 // of the Write
	Sequence uint64 // of the Write
	Revision int64  // of the written key, or of the value in Found
	Err      error  // nil, or wraps ErrConflict or ErrUnavailable
	// Found is the claim read after a conflict, or zero. If it has the epoch of the Write, the conflict is with an
	// earlier write of this owner, which took effect although its answer was lost, and the Write is repeated.
	Found record.Claim
}

// Tick advances the time, which ends requests and grants whose deadline has passed and repeats overdue messages.
type Tick struct{ Now time.Time }

func (Configure) message()           {}
func (Start) message()               {}
func (ExtendOwnership) message()     {}
func (Stop) message()                {}
func (GrantRequest) message()        {}
func (Release) message()             {}
func (Withdraw) message()            {}
func (HeldGrants) message()          {}
func (ReachabilityChanged) message() {}
func (LinkRestored) message()        {}
func (MemberDead) message()          {}
func (WriteResult) message()         {}
func (Tick) message()                {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// SendFrame sends a Grant, Deny or GatherGrants frame to an entry instance, which may be the owner itself.
type SendFrame struct {
	To    string
	Frame message.Frame
}

// Write requests a compare-and-swap of the claim or of one of its segments.
//
// Every Write except a deletion is answered by a WriteResult with its epoch and sequence.
// At most one such Write is in flight.
type Write struct {
	Record           record.Record // record.Claim or record.ClaimSegment
	ExpectedRevision int64         // revision that the record must have; a deletion with 0 applies to any revision
	Delete           bool
	Epoch            uint64
	Sequence         uint64
}

// Resign reports that another owner has written the claim, which ends this epoch.
type Resign struct{ Epoch uint64 }

func (SendFrame) effect() {}
func (Write) effect()     {}
func (Resign) effect()    {}
