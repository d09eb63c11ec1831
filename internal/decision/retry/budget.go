package retry

import (
	"time"

	"teaselloft/internal/model/message"
)

// Default settings of a budget.
const (
	DefaultRatio = 0.1 // retries per request
	DefaultBurst = 10  // maximum number of accumulated retries
)

// Budget is an immutable retry budget that limits retries to a fixed ratio of the requests.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64 // retries available
}

// New returns a budget that allows ratio retries per request and accumulates at most burst of them.
//
// It starts empty, so that the number of attempts never exceeds 1+ratio times the number of requests.
func New(ratio, burst float64) Budget {
	return Budget{ratio: ratio, burst: burst}
}

// WithRequest returns a copy with the ratio added for the first attempt of a request.
func (b Budget) WithRequest() Budget {
	b.tokens = min(b.burst, b.tokens+b.ratio)
	return b
}

// Attempt describes an attempt that has ended.
type Attempt struct {
	Now        time.Time
	Deadline   time.Time
	Idempotent bool
	Outcome    message.Outcome
}

// Decide reports whether to retry the request on another executor, and returns the budget after that.
//
// A non-idempotent request is retried only if its outcome is NotRun: no byte of it was sent.
func (b Budget) Decide(a Attempt) (Budget, bool) {
	safe := a.Outcome == message.NotRun || a.Outcome == message.Unknown && a.Idempotent
	if !safe || !a.Now.Before(a.Deadline) || b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
