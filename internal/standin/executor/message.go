package executor

import "time"

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// RequestArrived reports that a request arrived.
type RequestArrived struct {
	ID     uint64 // assigned by the caller of Step
	Key    string // idempotency key, may be empty
	Run    time.Duration
	HasRun bool // Run overrides the executor's default run time
}

// RunFinished reports that the run time of a request has elapsed.
type RunFinished struct{ ID uint64 }

// ConnOpened reports that a connection was opened.
type ConnOpened struct{}

// ConnClosed reports that a connection was closed.
type ConnClosed struct{}

// SetRun sets the default run time, for requests that do not specify one.
type SetRun struct{ Run time.Duration }

// SetLeaving sets or clears the leaving mark; the executor serves requests in either case.
type SetLeaving struct{ Leaving bool }

// SetMode sets the failure mode.
type SetMode struct{ Mode Mode }

// Freeze defers starts and answers of requests for the duration For.
type Freeze struct {
	Now time.Time
	For time.Duration
}

// Reboot aborts all requests and refuses connections for the duration For.
type Reboot struct {
	Now time.Time
	For time.Duration
}

// Tick advances the time, which may end a freeze or a reboot.
type Tick struct{ Now time.Time }

func (RequestArrived) message() {}
func (RunFinished) message()    {}
func (ConnOpened) message()     {}
func (ConnClosed) message()     {}
func (SetRun) message()         {}
func (SetLeaving) message()     {}
func (SetMode) message()        {}
func (Freeze) message()         {}
func (Reboot) message()         {}
func (Tick) message()           {}

// Mode is the failure mode of an executor.
type Mode string

// Failure modes. Requests are executed in every mode except ModeRefuse.
const (
	ModeNone   Mode = "none"
	ModeClose  Mode = "close"  // close the connection without an answer
	ModeHalf   Mode = "half"   // close the connection after half of the answer
	ModeError  Mode = "error"  // answer with status 500
	ModeRefuse Mode = "refuse" // refuse connections
)

// Valid reports whether m is a known mode.
func (m Mode) Valid() bool {
	return m == ModeNone || m == ModeClose || m == ModeHalf || m == ModeError || m == ModeRefuse
}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Start runs a request; RunFinished follows after its run time.
type Start struct {
	ID  uint64
	Run time.Duration
}

// Reply answers a request.
type Reply struct {
	ID    uint64
	Shape Shape
}

// Reject closes the connection that was just opened because it exceeds the limit.
type Reject struct{}

// Listen resumes accepting connections.
type Listen struct{}

// Refuse stops accepting connections; CloseConns closes the open ones as well.
type Refuse struct{ CloseConns bool }

func (Start) effect()  {}
func (Reply) effect()  {}
func (Reject) effect() {}
func (Listen) effect() {}
func (Refuse) effect() {}

// Shape is the form of an answer.
type Shape int

// Forms of an answer.
const (
	Whole   Shape = iota
	Half          // the first half of its bytes
	Nothing       // connection closed without an answer
	Failure       // status 500
)
