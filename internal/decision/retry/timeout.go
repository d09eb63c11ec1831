package retry

import "time"

// Timeout is the time that an attempt at a call waits for its answer before the call is repeated. It follows the time that
// answers take, so that a slow peer isn't taken for one that does not answer. It is immutable.
type Timeout struct {
	shortest, longest time.Duration
	current           time.Duration
}

// answerMultiple covers the spread of the answer times of a loaded peer.
const answerMultiple = 3

// NewTimeout returns a timeout between two limits. It begins with the shorter one.
func NewTimeout(shortest, longest time.Duration) Timeout {
	return Timeout{shortest: shortest, longest: longest, current: shortest}
}

// Value returns the timeout of the next attempt.
func (t Timeout) Value() time.Duration { return t.current }

// WithExpiry returns a copy after an attempt of the given timeout got no answer.
func (t Timeout) WithExpiry(timeout time.Duration) Timeout {
	t.current = min(max(t.current, 2*timeout), t.longest)
	return t
}

// WithAnswer returns a copy after an attempt was answered.
func (t Timeout) WithAnswer(elapsed time.Duration) Timeout {
	t.current = min(max(answerMultiple*elapsed, t.shortest), t.longest)
	return t
}
