package schedule

import (
	"time"

	"teaselloft/internal/model/port"
)

// Policy holds the limits and times of the schedule.
type Policy struct {
	Lease       time.Duration // that a hold asks for what runs on an executor; at most the executor's own limit
	StartExpiry time.Duration // after which an order that an executor did not answer has no effect
	HoldWait    time.Duration // that a hold waits for an end: how soon a silent executor is noticed
	HoldPause   time.Duration // between holds that do not wait, while ends are not stored yet
	HoldBackoff time.Duration // between holds that fail
	CommitGap   time.Duration // between two writes, to stay within the store's rate with several owners
	Retention   time.Duration // of the outcome of a job that has ended
	Quarantine  time.Duration // for which an executor that fails tasks gets none
}

// Fixed figures.
const (
	clockDrift   = 0.98                    // an executor's clock may run 2% slow
	holdEach     = 12 * time.Millisecond   // of a hold's wait for each executor of the pool: keeps the calls of an owner below 100 a second
	holdLongest  = 1500 * time.Millisecond // of a hold's wait, so that a silent executor is noticed well before its lease ends
	proofMargin  = 100 * time.Millisecond
	runsPerEpoch = 10_000             // run numbers of an epoch, so that a new owner's runs are above all earlier ones
	maxSpace     = port.MaxTxnOps - 2 // entries of a commit beside the condition and the write of the owner's chain
)

// DefaultPolicy returns the policy for executors that take leases of at most most.
func DefaultPolicy(most time.Duration) Policy {
	return Policy{
		Lease:       min(most, 5*time.Second), // longer than a takeover, which takes about three seconds
		StartExpiry: 2500 * time.Millisecond,
		HoldWait:    700 * time.Millisecond,
		HoldPause:   150 * time.Millisecond,
		HoldBackoff: 200 * time.Millisecond,
		CommitGap:   20 * time.Millisecond,
		Retention:   200 * time.Second, // above the 120 s for which an outcome can be asked for
		Quarantine:  3 * time.Second,
	}
}
