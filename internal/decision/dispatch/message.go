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

// Configure brings the service's settings and its executors; it may come at any time.
type Configure struct {
	Now       time.Time
	Service   fleet.Service
	Executors []Candidate
}

// Candidate is an executor of the service; one that is not Available gets no new grant.
type Candidate struct {
	Executor  message.Executor
	Available bool
}

// Start begins an epoch after the owner record was won; grants wait until the claim is written and every member answered.
//
// Self is gathered like every member, because it may hold grants of the previous epoch.
// Members and Self are taken to be reachable until Reachable says otherwise.
type Start struct {
	Now      time.Time
	Epoch    uint64
	Self     string
	Members  []string              // entry instances to gather from, without Self
	Shared   []string              // members of the previous owner record, whose static shares are of the previous epoch
	Current  []string              // members of this epoch's owner record, whose static shares are of this epoch once they answered
	Absent   []record.AbsentMember // members whose static shares are of an earlier epoch
	Claim    record.Claim          // as read from the store, zero when there is none
	Revision int64                 // of the claim key, 0 when there is none
	Older    []record.ClaimEntry   // entries of the claim's segments
}

// Prove extends the time until which the owner may grant.
type Prove struct {
	Now   time.Time
	Until time.Time
}

// Stop ends the epoch; queued requests are denied with ReasonNoOwner and grants are forgotten.
type Stop struct{ Now time.Time }

// Ask queues a request of an entry instance.
//
// An entry instance asks with an ID only while no byte of the request was sent,
// and for an idempotent request also after a failed send. It may ask again with
// the same ID after a takeover or a broken link, once it has answered Gather:
// before, a claimed key is refused as a duplicate, since an older grant may arrive.
type Ask struct {
	Now     time.Time
	From    string
	Request message.Request // its Deadline is by this owner's clock
	Exclude []string        // executors that failed this request
}

// Release returns a grant.
type Release struct {
	Now     time.Time
	From    string
	Release message.Release
}

// Withdraw removes a queued request, or returns its grant unused if it crossed the withdrawal.
//
// Its entry instance does not send the request after it withdrew it.
type Withdraw struct {
	Now time.Time
	ID  message.ID
}

// Holding brings a member's grants in flight.
type Holding struct {
	Now      time.Time
	From     string
	Sequence uint64 // of the Gather that it answers, 0 for the latest
	Grants   []message.HeldGrant
}

// Reachable says whether frames from a member arrive; an unreachable member keeps its static share.
type Reachable struct {
	Now   time.Time
	Entry string
	Up    bool
}

// Relinked says that the link to an entry instance is up again; frames may have been lost with the old one.
type Relinked struct {
	Now   time.Time
	Entry string
}

// Gone says that a member is certainly dead; its static share and expired grants are freed.
type Gone struct {
	Now   time.Time
	Entry string
}

// Written reports the end of a Write effect.
type Written struct {
	Now      time.Time
	Epoch    uint64 // of the Write
	Sequence uint64 // of the Write
	Revision int64  // of the written key; with Found, of the value that was read
	Err      error  // nil, or wraps ErrConflict or ErrUnavailable
	// Found is the claim read after a conflict, or zero. If it is of this epoch,
	// an earlier write whose answer was lost took effect and the write is repeated.
	Found record.Claim
}

// Tick lets time pass: deadlines, expired grants and early refusals.
type Tick struct{ Now time.Time }

func (Configure) message() {}
func (Start) message()     {}
func (Prove) message()     {}
func (Stop) message()      {}
func (Ask) message()       {}
func (Release) message()   {}
func (Withdraw) message()  {}
func (Holding) message()   {}
func (Reachable) message() {}
func (Relinked) message()  {}
func (Gone) message()      {}
func (Written) message()   {}
func (Tick) message()      {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Reply sends a Grant, Deny or Gather frame to an entry instance, which may be the owner itself.
type Reply struct {
	To    string
	Frame message.Frame
}

// Write asks for a compare-and-swap of the claim or of one of its segments.
//
// Every Write but a deletion is answered by Written with its epoch and sequence.
// At most one is in flight.
type Write struct {
	Record   record.Record // record.Claim or record.ClaimSegment
	Expected int64         // a deletion with 0 applies to any revision
	Delete   bool
	Epoch    uint64
	Sequence uint64
}

// Resign says that the claim was written by another owner: this epoch is over.
type Resign struct{ Epoch uint64 }

func (Reply) effect()  {}
func (Write) effect()  {}
func (Resign) effect() {}
