package retry

import (
	"time"

	"teaselloft/internal/model/message"
)

// Defaults of a budget.
const (
	DefaultShare = 0.1 // retries for each request
	DefaultBurst = 10  // retries saved up at most
)

// Budget allows retries in a fixed share of the requests. It is immutable.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// New returns a budget that allows share retries for each request and saves up at most burst of them.
//
// It starts empty, so that the attempts never exceed 1+share times the requests.
func New(share, burst float64) Budget {
	return Budget{share: share, burst: burst}
}

// WithRequest returns a copy that has counted a first attempt.
func (b Budget) WithRequest() Budget {
	b.tokens = min(b.burst, b.tokens+b.share)
	return b
}

// Attempt is a send that failed.
type Attempt struct {
	Now        time.Time
	Deadline   time.Time
	Idempotent bool
	Outcome    message.Outcome
}

// Decide returns whether to ask for another executor, and the budget after it.
//
// A non-idempotent request is sent again only when no byte of it was written.
func (b Budget) Decide(a Attempt) (Budget, bool) {
	safe := a.Outcome == message.NotRun || a.Outcome == message.Unknown && a.Idempotent
	if !safe || !a.Now.Before(a.Deadline) || b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
