package lease

import "time"

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Start requests the first lease, for the given incarnation.
type Start struct{ Incarnation string }

// TimerFired reports that the timer set by the last ScheduleRenewal or Backoff has fired.
type TimerFired struct{}

// Granted reports a new lease; Sent is when the grant request was sent.
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

// Lost reports that a lease no longer exists; Incarnation is the fresh one to continue under.
type Lost struct {
	ID          int64
	Incarnation string
}

// RequestFailed reports that a request got no answer: a keep-alive of the lease ID, or a grant request if ID is 0.
type RequestFailed struct {
	ID   int64
	Sent time.Time
}

// Stop requests that the lease be revoked; a lease that is granted only afterwards is revoked at once.
type Stop struct{}

// Revoked reports that the lease was revoked, or that revoking it failed.
type Revoked struct{}

func (Start) message()         {}
func (TimerFired) message()    {}
func (Granted) message()       {}
func (Renewed) message()       {}
func (Registered) message()    {}
func (Lost) message()          {}
func (RequestFailed) message() {}
func (Stop) message()          {}
func (Revoked) message()       {}

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

// PublishValidity publishes that the lease of an incarnation was valid at Sent, when the answered keep-alive was sent.
type PublishValidity struct {
	Incarnation string
	Sent        time.Time
	TTL         time.Duration
}

// ScheduleRenewal sets the timer to the interval between keep-alives.
type ScheduleRenewal struct{}

// Backoff sets the timer to a delay that grows with each failure.
type Backoff struct{}

// Revoke revokes a lease.
type Revoke struct{ ID int64 }

// Done reports that nothing is left to do after Stop.
type Done struct{}

func (Grant) effect()           {}
func (Renew) effect()           {}
func (Register) effect()        {}
func (PublishValidity) effect() {}
func (ScheduleRenewal) effect() {}
func (Backoff) effect()         {}
func (Revoke) effect()          {}
func (Done) effect()            {}
