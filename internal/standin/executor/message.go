package executor

import "time"

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Arrive brings a request.
type Arrive struct {
	ID  uint64 // chosen by the caller
	Key string // idempotency key, may be empty
	Run time.Duration
	Set bool // Run replaces the executor's own run time
}

// Finish says that the run time of a request has passed.
type Finish struct{ ID uint64 }

// Connect brings a connection.
type Connect struct{}

// Disconnect says that a connection was closed.
type Disconnect struct{}

// SetRun sets the run time of requests that bring none.
type SetRun struct{ Run time.Duration }

// SetLeaving marks the executor as leaving or as back; it serves requests in either case.
type SetLeaving struct{ Leaving bool }

// SetMode sets how the executor fails.
type SetMode struct{ Mode Mode }

// Freeze makes the executor neither start nor answer requests for a time.
type Freeze struct {
	Now time.Time
	For time.Duration
}

// Reboot ends all requests and refuses connections for a time.
type Reboot struct {
	Now time.Time
	For time.Duration
}

// Tick lets time pass, which ends a freeze or a reboot.
type Tick struct{ Now time.Time }

func (Arrive) message()     {}
func (Finish) message()     {}
func (Connect) message()    {}
func (Disconnect) message() {}
func (SetRun) message()     {}
func (SetLeaving) message() {}
func (SetMode) message()    {}
func (Freeze) message()     {}
func (Reboot) message()     {}
func (Tick) message()       {}

// Mode is how an executor fails.
type Mode string

// The modes; a request is executed in all of them but ModeRefuse.
const (
	ModeNone   Mode = "none"
	ModeClose  Mode = "close"  // close the connection without an answer
	ModeHalf   Mode = "half"   // close the connection after half of the answer
	ModeError  Mode = "error"  // answer with status 500
	ModeRefuse Mode = "refuse" // refuse connections
)

// Valid says whether the mode exists.
func (m Mode) Valid() bool {
	return m == ModeNone || m == ModeClose || m == ModeHalf || m == ModeError || m == ModeRefuse
}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Start runs a request; Finish follows after its run time.
type Start struct {
	ID  uint64
	Run time.Duration
}

// Reply answers a request.
type Reply struct {
	ID    uint64
	Shape Shape
}

// Reject closes the connection that was just brought, as there are too many.
type Reject struct{}

// Listen accepts connections again.
type Listen struct{}

// Refuse stops accepting connections; Cut closes the open ones as well.
type Refuse struct{ Cut bool }

func (Start) effect()  {}
func (Reply) effect()  {}
func (Reject) effect() {}
func (Listen) effect() {}
func (Refuse) effect() {}

// Shape is the form of an answer.
type Shape int

// The forms of an answer.
const (
	Whole   Shape = iota
	Half          // the first half of its bytes
	Nothing       // a closed connection
	Failure       // status 500
)
