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

// VerifyResult answers a Verify effect.
type VerifyResult struct {
	Now     time.Time
	Service string
	Epoch   uint64
	Alive   bool // the member record exists, or could not be read
}

// ReadClaimResult answers a ReadClaim effect.
type ReadClaimResult struct {
	Now            time.Time
	Service        string
	Epoch          uint64
	Claim          record.Claim
	Revision       int64
	SegmentEntries []record.ClaimEntry
	Err            error
}

// WriteResult answers a Write effect; Found is the record in the store after a conflict.
type WriteResult struct {
	Now           time.Time
	Write         Write
	Revision      int64
	Err           error
	Found         record.Record
	FoundRevision int64
}

// Leave gives up every service before a stop.
type Leave struct{ Now time.Time }

// Tick lets time pass.
type Tick struct{ Now time.Time }

func (Event) message()           {}
func (VerifyResult) message()    {}
func (ReadClaimResult) message() {}
func (WriteResult) message()     {}
func (Leave) message()           {}
func (Tick) message()            {}

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

// SendFrame sends a frame to another entry instance.
type SendFrame struct {
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
func (SendFrame) effect() {}
func (Write) effect()     {}
func (Verify) effect()    {}
func (ReadClaim) effect() {}
func (Notice) effect()    {}
