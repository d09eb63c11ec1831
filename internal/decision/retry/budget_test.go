package retry_test

import (
	"testing"
	"time"

	"teaselloft/internal/decision/retry"
	"teaselloft/internal/model/message"

	"pgregory.net/rapid"
)

// Guards against more retries than the budget allows, in any order of requests and failures.
func TestAttemptsStayWithinBudget(t *testing.T) {
	now := time.Unix(0, 0)
	rapid.Check(t, func(t *rapid.T) {
		b := retry.New(retry.DefaultRatio, retry.DefaultBurst)
		requests, retries := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b = b.WithRequest()
				requests++
				continue
			}
			var retried bool
			b, retried = b.Decide(retry.Attempt{Now: now, Deadline: now.Add(1), Idempotent: true, Outcome: message.Unknown})
			if retried {
				retries++
			}
		}
		if float64(retries) > retry.DefaultRatio*float64(requests)+1e-9 {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

// Guards against a retry that may run a non-idempotent request twice and against retries after the deadline.
func TestUnsafeRetriesAreRefused(t *testing.T) {
	now := time.Unix(0, 0)
	budget := retry.New(1, 1).WithRequest() // allows one retry
	for _, test := range []struct {
		name    string
		attempt retry.Attempt
		retried bool
	}{
		{"idempotent, unknown", retry.Attempt{Now: now, Deadline: now.Add(1), Idempotent: true, Outcome: message.Unknown}, true},
		{"not idempotent, unknown", retry.Attempt{Now: now, Deadline: now.Add(1), Outcome: message.Unknown}, false},
		{"not idempotent, not run", retry.Attempt{Now: now, Deadline: now.Add(1), Outcome: message.NotRun}, true},
		{"answered", retry.Attempt{Now: now, Deadline: now.Add(1), Idempotent: true, Outcome: message.Answered}, false},
		{"past the deadline", retry.Attempt{Now: now, Deadline: now, Idempotent: true, Outcome: message.NotRun}, false},
	} {
		if _, retried := budget.Decide(test.attempt); retried != test.retried {
			t.Errorf("%s: retried %v", test.name, retried)
		}
	}
}
