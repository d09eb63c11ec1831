package schedule

import (
	"time"

	"teaselloft/internal/model/port"
)

// Policy holds the durations that govern leases, orders, commits and retries.
type Policy struct {
	Lease             time.Duration // lease of the runs that a heartbeat requests; at most the executor's own limit
	MaxLease          time.Duration // longest lease that executors accept
	StartExpiry       time.Duration // time after which a start order that has not arrived has no effect
	HeartbeatWait     time.Duration // minimum of heartbeatWait; bounds how soon a silent executor is detected
	HeartbeatInterval time.Duration // delay of the next heartbeat while reported ended runs are not stored yet
	HeartbeatBackoff  time.Duration // delay between heartbeats that fail
	IdleBackoff       time.Duration // the same for an executor without runs, which mostly has moved to another pool
	CommitInterval    time.Duration // minimum time between two commits, which keeps several owners within the store's rate limit
	Retention         time.Duration // how long the outcome of a job is kept
	Quarantine        time.Duration // time without new tasks for an executor that fails tasks
	LearnRunTimes     bool          // whether to expect the run times of earlier tasks of an image in place of the callers' estimates
	Interference      bool          // whether to learn which tasks slow each other down, and to keep them apart
}

// Limits of the time between two scheduling cycles, which look at all executors. Without a pause an owner that has caught
// up runs one after each message, and one that is behind spends most of its time on them.
const (
	minCycleInterval = 5 * time.Millisecond
	maxCycleInterval = 40 * time.Millisecond
	cycleShare       = 5 // cycles take at most a fifth of the owner's time, unless one takes longer than 8 ms
)

// NextCycle returns when the next cycle may begin after one that began at a time and took a while.
func NextCycle(began, took time.Duration) time.Duration {
	return began + min(max(cycleShare*took, minCycleInterval), maxCycleInterval)
}

// Fixed limits.
const (
	minClockRate             = 0.98                    // an executor's clock may run 2% slow
	heartbeatWaitPerExecutor = 12 * time.Millisecond   // per executor of the pool; keeps an owner below 100 calls a second
	maxHeartbeatWait         = 1500 * time.Millisecond // so that a silent executor is detected well before its lease ends
	leaseMargin              = 100 * time.Millisecond  // added to the latest expiry of a lease or a start order
	runsPerEpoch             = 10_000                  // run numbers reserved for an epoch; those of a new owner exceed all earlier ones
	maxCommitEntries         = port.MaxTxnOps - 3      // entries besides the conditions on the owner and the write fence, and its write
)

// DefaultPolicy returns the policy for executors that accept leases of at most maxLease.
func DefaultPolicy(maxLease time.Duration) Policy {
	return Policy{
		Lease:             min(maxLease, 5*time.Second), // longer than a takeover, which takes about 3 s
		MaxLease:          maxLease,
		StartExpiry:       2500 * time.Millisecond,
		HeartbeatWait:     700 * time.Millisecond,
		HeartbeatInterval: 150 * time.Millisecond,
		HeartbeatBackoff:  200 * time.Millisecond,
		IdleBackoff:       time.Second,
		CommitInterval:    20 * time.Millisecond,
		Retention:         200 * time.Second, // above the 120 s for which callers may query an outcome
		Quarantine:        3 * time.Second,
		LearnRunTimes:     true,
		Interference:      true,
	}
}
