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

// Event delivers an event from the links of this daemon. Step returns verdicts as effects and ignores the reply ring of
// a message.RequestArrived.
type Event struct {
	Now   time.Time
	Event message.Event
}

// VerifyResult is the result of a Verify effect.
type VerifyResult struct {
	Now     time.Time
	Service string
	Epoch   uint64
	Alive   bool // the member record exists or could not be read
}

// ReadClaimResult is the result of a ReadClaim effect.
type ReadClaimResult struct {
	Now            time.Time
	Service        string
	Epoch          uint64
	Claim          record.Claim
	Revision       int64
	SegmentEntries []record.ClaimEntry
	Err            error
}

// WriteResult is the result of a Write effect. After a conflict Found is the record in the store.
type WriteResult struct {
	Now           time.Time
	Write         Write
	Revision      int64
	Err           error
	Found         record.Record
	FoundRevision int64
}

// Leave gives up all services before the process stops.
type Leave struct{ Now time.Time }

// Tick advances the time. It is due at NextWake.
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

// Verdict tells the caller link what to do with a request. Last is true if the request is no longer tracked.
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

// Write asks for a compare-and-swap of a record. The WriteResult contains the Write.
type Write struct {
	Record           record.Record
	ExpectedRevision int64 // revision that the record must have, 0 for none; a deletion with 0 applies to any revision
	Delete           bool
	Epoch            uint64
	Sequence         uint64
}

// Verify asks whether the member record of an incarnation of an entry instance still exists.
type Verify struct {
	Service     string
	Epoch       uint64
	Entry       string
	Incarnation string
}

// ReadClaim asks for the claim of a service and the claim's segments.
type ReadClaim struct {
	Service string
	Epoch   uint64
}

// Notice asks for a log line.
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
