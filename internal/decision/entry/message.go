package entry

import (
	"time"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Event brings an event of the process; a reply ring in it is ignored.
type Event struct {
	Now   time.Time
	Event message.Event
}

// Verified answers a Verify effect.
type Verified struct {
	Now     time.Time
	Service string
	Epoch   uint64
	Alive   bool // the member record exists, or could not be read
}

// Claimed answers a ReadClaim effect.
type Claimed struct {
	Now      time.Time
	Service  string
	Epoch    uint64
	Claim    record.Claim
	Revision int64
	Older    []record.ClaimEntry
	Err      error
}

// Written answers a Write effect; Found is the record in the store after a conflict.
type Written struct {
	Now      time.Time
	Write    Write
	Revision int64
	Err      error
	Found    record.Record
	FoundRev int64
}

// Leave gives up every service before a stop.
type Leave struct{ Now time.Time }

// Wake lets time pass.
type Wake struct{ Now time.Time }

func (Event) message()    {}
func (Verified) message() {}
func (Claimed) message()  {}
func (Written) message()  {}
func (Leave) message()    {}
func (Wake) message()     {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Verdict answers the caller link; Last ends the request.
type Verdict struct {
	ID      message.ID
	Verdict message.Verdict
	Last    bool
}

// Frame sends a frame to another entry instance.
type Frame struct {
	To    string
	Frame message.Frame
}

// Write asks for a compare-and-swap; Epoch and Sequence return in Written.
type Write struct {
	Record   record.Record
	Expected int64
	Delete   bool
	Epoch    uint64
	Sequence uint64
}

// Verify asks whether the member record of an incarnation still exists.
type Verify struct {
	Service     string
	Epoch       uint64
	Entry       string
	Incarnation string
}

// ReadClaim asks for the claim of a service and its segments.
type ReadClaim struct {
	Service string
	Epoch   uint64
}

// Notice is an event worth a log line.
type Notice struct {
	Event   string
	Service string
	Epoch   uint64
	Detail  string
}

func (Verdict) effect()   {}
func (Frame) effect()     {}
func (Write) effect()     {}
func (Verify) effect()    {}
func (ReadClaim) effect() {}
func (Notice) effect()    {}
