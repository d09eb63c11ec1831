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

// Arrive brings a request with its corrected service name.
type Arrive struct {
	Now        time.Time
	Request    message.Request
	Correction string // value of the Teaselloft-Correction header
	Config     uint64 // configuration version of the correction
}

// Granted brings a grant from an owner.
type Granted struct {
	Now   time.Time
	From  string
	Grant message.Grant
}

// Denied brings a refusal from an owner.
type Denied struct {
	Now  time.Time
	Deny message.Deny
}

// Finished reports a send.
type Finished struct {
	Now    time.Time
	Finish message.SendFinished
}

// Abandoned reports that the caller link gave a request up before it sent it.
type Abandoned struct {
	Now time.Time
	ID  message.ID
}

// Owner brings the owner record of a service; Reachable is false for an empty or dead owner.
type Owner struct {
	Now       time.Time
	Owner     record.Owner
	Reachable bool
}

// Linked reports that the link to an entry instance came up or went down.
type Linked struct {
	Now   time.Time
	Entry string
	Up    bool
}

// Gathered brings an owner's request for the grants in flight of a service.
type Gathered struct {
	Now    time.Time
	From   string
	Gather message.GatherGrants
	Others []message.HeldGrant // grants that earlier owners gave to requests of their own
}

// Fetched brings another entry instance's request for a stored answer.
type Fetched struct {
	Now   time.Time
	From  string
	Fetch message.FetchAnswer
}

// Stored brings the response to a Fetch.
type Stored struct {
	Now    time.Time
	Stored message.StoredAnswer
}

// Static allows this entry instance to use its static share of a service's slots
// while the platform is down, or ends that when Slots is empty.
type Static struct {
	Now     time.Time
	Service string
	Slots   []Slot
}

// Slot is one executor with the number of slots this entry instance may use on it.
type Slot struct {
	Executor message.Executor
	Count    int
}

// Tick lets time pass.
type Tick struct{ Now time.Time }

func (Arrive) message()    {}
func (Granted) message()   {}
func (Denied) message()    {}
func (Finished) message()  {}
func (Abandoned) message() {}
func (Owner) message()     {}
func (Linked) message()    {}
func (Gathered) message()  {}
func (Fetched) message()   {}
func (Stored) message()    {}
func (Static) message()    {}
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

// Frame sends a frame to an entry instance, which may be this one.
type Frame struct {
	To    string
	Frame message.Frame
}

func (Verdict) effect() {}
func (Frame) effect()   {}
