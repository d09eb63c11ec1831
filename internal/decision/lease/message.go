package lease

import "time"

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Begin starts with a first incarnation.
type Begin struct{ Incarnation string }

// Due says that the last Wait or Pause has passed.
type Due struct{}

// Granted brings a new lease.
type Granted struct {
	ID   int64
	Sent time.Time
	TTL  time.Duration
}

// Renewed says that a keep-alive was answered.
type Renewed struct {
	ID   int64
	Sent time.Time
	TTL  time.Duration
}

// Registered says that the member key is bound to a lease.
type Registered struct{ ID int64 }

// Gone says that a lease does not exist any more; the incarnation is a fresh one.
type Gone struct {
	ID          int64
	Incarnation string
}

// Failed says that a keep-alive, or for ID 0 a grant, got no answer.
type Failed struct {
	ID   int64
	Sent time.Time
}

// Stop ends the lease.
type Stop struct{}

// Revoked says that the lease was revoked, or cannot be.
type Revoked struct{}

func (Begin) message()      {}
func (Due) message()        {}
func (Granted) message()    {}
func (Renewed) message()    {}
func (Registered) message() {}
func (Gone) message()       {}
func (Failed) message()     {}
func (Stop) message()       {}
func (Revoked) message()    {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Grant asks for a lease.
type Grant struct{}

// Renew sends a keep-alive; its answer may come after that of a later one.
type Renew struct{ ID int64 }

// Register binds the member key of an incarnation to a lease.
type Register struct {
	ID          int64
	Incarnation string
}

// Publish proves that the lease of an incarnation existed when a keep-alive was sent.
type Publish struct {
	Incarnation string
	Sent        time.Time
	TTL         time.Duration
}

// Wait asks for Due after the interval between keep-alives.
type Wait struct{}

// Pause asks for Due after a time that is longer after each failure.
type Pause struct{}

// Revoke ends a lease.
type Revoke struct{ ID int64 }

// Finish says that nothing is left to do.
type Finish struct{}

func (Grant) effect()    {}
func (Renew) effect()    {}
func (Register) effect() {}
func (Publish) effect()  {}
func (Wait) effect()     {}
func (Pause) effect()    {}
func (Revoke) effect()   {}
func (Finish) effect()   {}
