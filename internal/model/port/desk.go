package port

import (
	"context"
	"errors"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// Errors of the jobs' front desk.
var (
	ErrNoConfig    = errors.New("no configuration yet")
	ErrNoRoute     = errors.New("no such queue")
	ErrNoJob       = errors.New("no such job")
	ErrOtherJob    = errors.New("the id belongs to another job")
	ErrNotAccepted = errors.New("job was not accepted and does not run")
	ErrUnsure      = errors.New("outcome is unknown, the call may have taken effect")
	ErrUnavailable = errors.New("state of the job cannot be read now")
)

// RetryAfter is when a refused caller had better come back.
const RetryAfter = time.Second

// Desk takes the callers' requests about jobs, whatever protocol they arrive by.
type Desk interface {
	// Route returns the queue of a request and what follows its prefix, or ErrNoConfig or ErrNoRoute.
	Route(host, path string) (site.Queue, string, error)
	// Submit returns nil once the job is stored.
	Submit(ctx context.Context, q site.Queue, s job.Submission) error
	// State returns a job's state or ErrNoJob.
	State(ctx context.Context, q site.Queue, id job.ID) (job.State, error)
	// Cancel returns nil once the cancellation is stored, or ErrNoJob.
	Cancel(ctx context.Context, q site.Queue, id job.ID) error
	// Pending returns how many accepted jobs of the queue have not begun.
	Pending(ctx context.Context, q site.Queue) (int, error)
	// Ready reports whether requests can be served.
	Ready() bool
}

// Announcements decodes what the platform keeps in the store for everyone to read.
type Announcements interface {
	// Operator returns the prefix of the operators' items, Config its item with the configuration.
	Operator() string
	Executors() string
	// Config decodes a configuration; ok is false for an item that is none.
	Config(i Item) (c *site.Config, ok bool, err error)
	// Wave decodes a maintenance wave; ok is false for an item that is none.
	Wave(i Item) (w site.Wave, ok bool, err error)
	// Executor decodes an executor's report of itself.
	Executor(i Item) (site.Executor, error)
	// WaveStatus returns the item by which the operators learn of a wave's progress.
	WaveStatus(number int64, completed bool) Write
}
