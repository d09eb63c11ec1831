package lease

import "time"

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Begin requests the first lease, for the given incarnation.
type Begin struct{ Incarnation string }

// Due reports that the timer set by the last Wait or Pause has fired.
type Due struct{}

// Granted reports a new lease.
type Granted struct {
	ID   int64
	Sent time.Time
	TTL  time.Duration
}

// Renewed reports that a keep-alive was answered; Sent is when the keep-alive was sent.
type Renewed struct {
	ID   int64
	Sent time.Time
	TTL  time.Duration
}

// Registered reports that the member key is bound to a lease.
type Registered struct{ ID int64 }

// Gone reports that a lease no longer exists; Incarnation is the fresh one to continue under.
type Gone struct {
	ID          int64
	Incarnation string
}

// Failed reports that a keep-alive got no answer, or a grant request if ID is 0.
type Failed struct {
	ID   int64
	Sent time.Time
}

// Stop revokes the lease; a lease that is granted only afterwards is revoked at once.
type Stop struct{}

// Revoked reports that the lease was revoked, or that revoking it failed.
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

// Grant requests a lease from the store.
type Grant struct{}

// Renew sends a keep-alive. Answers may arrive out of order.
type Renew struct{ ID int64 }

// Register binds the member key of an incarnation to a lease.
type Register struct {
	ID          int64
	Incarnation string
}

// Publish publishes the proof that the lease of an incarnation existed when a keep-alive was sent.
type Publish struct {
	Incarnation string
	Sent        time.Time
	TTL         time.Duration
}

// Wait sets the timer to the interval between keep-alives.
type Wait struct{}

// Pause sets the timer to a delay that grows with each failure.
type Pause struct{}

// Revoke revokes a lease.
type Revoke struct{ ID int64 }

// Finish signals that nothing is left to do after Stop.
type Finish struct{}

func (Grant) effect()    {}
func (Renew) effect()    {}
func (Register) effect() {}
func (Publish) effect()  {}
func (Wait) effect()     {}
func (Pause) effect()    {}
func (Revoke) effect()   {}
func (Finish) effect()   {}
