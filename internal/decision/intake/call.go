package intake

import (
	"errors"
	"fmt"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// Call is a call that waits for the answer of the owner of a pool.
//
//sumtype:decl
type Call interface{ call() }

type (
	// Submission is the submission of a job. The owner may have begun to handle it.
	Submission struct {
		Job   job.ID
		Begun bool
	}
	// Cancellation is the cancellation of a job. The owner may have begun to handle it.
	Cancellation struct{ Begun bool }
	// OtherCall is a call of which the owner doesn't record whether it has begun to handle it.
	OtherCall struct{}
)

func (Submission) call()   {}
func (Cancellation) call() {}
func (OtherCall) call()    {}

// Begin returns a copy of a call after the owner has begun to handle it.
func Begin(c Call) Call {
	switch c := c.(type) {
	case Submission:
		c.Begun = true
		return c
	case Cancellation:
		c.Begun = true
		return c
	case OtherCall:
		return c
	default:
		panic(fmt.Sprintf("intake: unknown call %T", c))
	}
}

// Withdrawn returns the error of a call that is withdrawn because its caller no longer waits. The owner doesn't handle it
// any more unless it has begun to. The job of a submission is known if the owner has accepted it, or may accept it from
// another submission; the caller then must not be told that it doesn't run.
func Withdrawn(c Call, known bool) error {
	switch c := c.(type) {
	case Submission:
		if !c.Begun && !known {
			return port.ErrNotAccepted
		}
	case Cancellation:
		if !c.Begun {
			return port.ErrUnavailable
		}
	case OtherCall:
	default:
		panic(fmt.Sprintf("intake: unknown call %T", c))
	}
	return port.ErrUnknownOutcome
}

// Stopped returns the error of a call that waits when the owner stops, after which it handles none. Only the next owner can
// tell whether a call that was begun has taken effect.
func Stopped(c Call, known bool) error {
	if errors.Is(Withdrawn(c, known), port.ErrUnknownOutcome) {
		return port.ErrUnknownOutcome
	}
	return port.ErrNotOwner
}
