package forward

import (
	"time"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// RequestArrived brings a request with its corrected service name.
type RequestArrived struct {
	Now        time.Time
	Request    message.Request
	Correction string // value of the Teaselloft-Correction header
	Config     uint64 // configuration version of the correction
}

// GrantReceived brings a grant from an owner.
type GrantReceived struct {
	Now   time.Time
	From  string
	Grant message.Grant
}

// DenyReceived brings a refusal from an owner.
type DenyReceived struct {
	Now  time.Time
	Deny message.Deny
}

// SendFinished reports a send.
type SendFinished struct {
	Now    time.Time
	Result message.SendFinished
}

// RequestCanceled reports that the caller link gave a request up before it sent it.
type RequestCanceled struct {
	Now time.Time
	ID  message.ID
}

// OwnerChanged brings the owner record of a service; Reachable is false for an empty or dead owner.
type OwnerChanged struct {
	Now       time.Time
	Owner     record.Owner
	Reachable bool
}

// LinkChanged reports that the link to an entry instance came up or went down.
type LinkChanged struct {
	Now   time.Time
	Entry string
	Up    bool
}

// GatherReceived brings an owner's request for the grants in flight of a service.
type GatherReceived struct {
	Now    time.Time
	From   string
	Gather message.GatherGrants
	OtherGrants []message.HeldGrant // grants that earlier owners gave to requests of their own
}

// FetchReceived brings another entry instance's request for a stored answer.
type FetchReceived struct {
	Now   time.Time
	From  string
	Fetch message.FetchAnswer
}

// AnswerReceived brings the response to a Fetch.
type AnswerReceived struct {
	Now    time.Time
	Answer message.StoredAnswer
}

// StaticShareChanged allows this entry instance to use its static share of a service's slots
// while the platform is down, or ends that when Slots is empty.
type StaticShareChanged struct {
	Now     time.Time
	Service string
	Slots   []ExecutorSlots
}

// ExecutorSlots is one executor with the number of slots this entry instance may use on it.
type ExecutorSlots struct {
	Executor message.Executor
	Count    int
}

// Tick lets time pass.
type Tick struct{ Now time.Time }

func (RequestArrived) message()    {}
func (GrantReceived) message()   {}
func (DenyReceived) message()    {}
func (SendFinished) message()  {}
func (RequestCanceled) message() {}
func (OwnerChanged) message()     {}
func (LinkChanged) message()    {}
func (GatherReceived) message()  {}
func (FetchReceived) message()   {}
func (AnswerReceived) message()    {}
func (StaticShareChanged) message()    {}
func (Tick) message()      {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Verdict answers the caller link; the request is forgotten when Last is true.
type Verdict struct {
	ID      message.ID
	Verdict message.Verdict
	Last    bool
}

// SendFrame sends a frame to an entry instance, which may be this one.
type SendFrame struct {
	To    string
	Frame message.Frame
}

func (Verdict) effect() {}
func (SendFrame) effect()   {}
