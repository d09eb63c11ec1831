package port

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// Errors that JobService returns. Their texts are part of the answers to callers.
var (
	ErrNoConfig       = errors.New("no configuration yet")
	ErrNoRoute        = errors.New("no such queue")
	ErrNoJob          = errors.New("no such job")
	ErrIDConflict     = errors.New("the id belongs to another job")
	ErrNotAccepted    = errors.New("job was not accepted and does not run")
	ErrUnknownOutcome = errors.New("outcome is unknown, the call may have taken effect")
	ErrUnavailable    = errors.New("state of the job cannot be read now")
	ErrUnauthorized   = errors.New("the request has no valid key")
	ErrStaleConfig    = errors.New("keys cannot be verified now")
)

// ErrOverloaded is an ErrNotAccepted of a pool with more jobs than its owner can start. The job can no longer end in time
// after the shortest delay that a caller can be told.
var ErrOverloaded = fmt.Errorf("%w: its pool has more jobs than it can start", ErrNotAccepted)

// Delays that refused callers are told to wait before they retry.
const (
	MinRetryAfter      = time.Second // the shortest one that the header can hold
	overloadRetryAfter = 2 * time.Second
)

// RetryAfter returns the delay that a caller is told who is refused with an error.
func RetryAfter(err error) time.Duration {
	if errors.Is(err, ErrOverloaded) {
		return overloadRetryAfter
	}
	return MinRetryAfter
}

// JobService serves the callers' requests about jobs, independently of their protocol.
type JobService interface {
	// Route returns the queue of a request and the rest of the path after its prefix, or ErrNoConfig or ErrNoRoute.
	Route(host, path string) (site.Queue, string, error)
	// Authenticate returns the client account of a key, or "" if the queue needs none. It returns ErrUnauthorized for an
	// unknown or missing key, and ErrStaleConfig while this daemon may not know that a key was removed.
	Authenticate(q site.Queue, key string) (account string, err error)
	// Submit returns nil once the job is stored. The job belongs to the account of the submission.
	Submit(ctx context.Context, q site.Queue, s job.Submission) error
	// State returns the state of a job, or ErrNoJob. A job of another account than the given one is unknown.
	State(ctx context.Context, q site.Queue, id job.ID, account string) (job.State, error)
	// Cancel returns nil once the cancellation is stored, or ErrNoJob, also for a job of another account.
	Cancel(ctx context.Context, q site.Queue, id job.ID, account string) error
	// Pending returns the number of accepted jobs of the queue that have not started.
	Pending(ctx context.Context, q site.Queue) (int, error)
	// Ready reports whether requests can be served.
	Ready() bool
}

// SiteCodec converts between the platform's public items in the store and the types of package site.
type SiteCodec interface {
	// OperatorPrefix returns the key prefix of the operators' items.
	OperatorPrefix() string
	// ExecutorPrefix returns the key prefix of the executors' reports.
	ExecutorPrefix() string
	// Config decodes a configuration. If the item is not a configuration, ok is false. A configuration that is returned
	// together with an error lacks the invalid entries that the error names.
	Config(i Item) (c *site.Config, ok bool, err error)
	// WithoutKeys returns a copy of a configuration item with digests in place of the keys, which Config decodes, too.
	WithoutKeys(i Item) (Item, error)
	// Wave decodes a maintenance wave. If the item is not a wave, ok is false.
	Wave(i Item) (w site.Wave, ok bool, err error)
	// Executor decodes an executor's report of itself.
	Executor(i Item) (site.Executor, error)
	// WaveStatus returns the write that reports the progress of a wave to the operators.
	WaveStatus(number int64, completed bool) Write
}
