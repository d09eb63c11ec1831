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

// RequestArrived delivers a request whose service name was resolved.
type RequestArrived struct {
	Now        time.Time
	Request    message.Request
	Correction string // value of the Teaselloft-Correction header
	Config     uint64 // version of the configuration that the name was resolved with
}

// GrantReceived delivers a grant from an owner.
type GrantReceived struct {
	Now   time.Time
	From  string
	Grant message.Grant
}

// DenyReceived delivers a refusal from an owner.
type DenyReceived struct {
	Now  time.Time
	Deny message.Deny
}

// SendFinished reports the end of an attempt to send a request.
type SendFinished struct {
	Now    time.Time
	Result message.SendFinished
}

// RequestCanceled reports that the caller of a request disconnected before the request was sent.
type RequestCanceled struct {
	Now time.Time
	ID  message.ID
}

// OwnerChanged delivers the owner record of a service. Reachable is false if there is no owner or the owner is dead.
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

// GatherReceived delivers an owner's request for the grants in flight of a service.
type GatherReceived struct {
	Now         time.Time
	From        string
	Gather      message.GatherGrants
	OtherGrants []message.HeldGrant // of earlier owners, for requests of other entry instances
}

// FetchReceived delivers the request of another entry instance for a stored answer.
type FetchReceived struct {
	Now   time.Time
	From  string
	Fetch message.FetchAnswer
}

// AnswerReceived delivers the response to a FetchAnswer frame.
type AnswerReceived struct {
	Now    time.Time
	Answer message.StoredAnswer
}

// StaticShareChanged sets the slots of a service that this entry instance may use without a grant while the
// platform is down. With no Slots it ends their use.
type StaticShareChanged struct {
	Now     time.Time
	Service string
	Slots   []ExecutorSlots
}

// ExecutorSlots is the number of slots that this entry instance may use on an executor.
type ExecutorSlots struct {
	Executor message.Executor
	Count    int
}

// Tick advances the time. It is due at NextWake.
type Tick struct{ Now time.Time }

func (RequestArrived) message()     {}
func (GrantReceived) message()      {}
func (DenyReceived) message()       {}
func (SendFinished) message()       {}
func (RequestCanceled) message()    {}
func (OwnerChanged) message()       {}
func (LinkChanged) message()        {}
func (GatherReceived) message()     {}
func (FetchReceived) message()      {}
func (AnswerReceived) message()     {}
func (StaticShareChanged) message() {}
func (Tick) message()               {}

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

// SendFrame sends a frame to an entry instance, which may be this one.
type SendFrame struct {
	To    string
	Frame message.Frame
}

func (Verdict) effect()   {}
func (SendFrame) effect() {}
