package port

import (
	"context"
	"errors"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/tenure"
)

// ErrNotOwner is returned by a daemon that does not have the duty; nothing was done, or the outcome can be asked for again.
var ErrNotOwner = errors.New("this daemon does not own the pool")

// Changed is published after each change of the directory.
var Changed = kernel.Topic[tenure.Directory]{Name: "directory"}

// Directory reads the newest directory.
type Directory interface {
	Directory() tenure.Directory
	// Contact returns when the store last answered, on the boot clock.
	Contact() time.Duration
	// Lost returns since when the store does not answer, 0 while it does, and when it last came back.
	Lost() (since, back time.Duration)
}

// Membership says under which identity this daemon is known.
type Membership interface {
	// Self returns the daemon's record; ok is false until its lease was granted.
	Self() (m tenure.Member, ok bool)
	// Proved returns until when the daemon's lease holds for certain, on the boot clock.
	Proved() time.Duration
}

// Jobs is the owner of a pool, in this process or in another.
type Jobs interface {
	// Submit returns nil once the job is stored; it may be repeated.
	Submit(ctx context.Context, s job.Submission) error
	State(ctx context.Context, id job.ID) (job.State, error)
	Cancel(ctx context.Context, id job.ID) error
	Pending(ctx context.Context, queue string) (int, error)
	// Vacate asks to empty executors and returns those on which nothing runs or will be started for that time.
	Vacate(ctx context.Context, executors []string, length time.Duration) ([]string, error)
	Load(ctx context.Context) (Load, error)
}

// Load is what a pool's owner says of its executors.
type Load struct {
	Backlog   int64                   `cbor:"backlog"` // thousandths of a core that ready tasks ask for which can still end in time
	Late      int64                   `cbor:"late"`    // the same of those that cannot
	Executors map[string]ExecutorLoad `cbor:"executors"`
}

// ExecutorLoad is what runs on an executor.
type ExecutorLoad struct {
	CPU     int64 `cbor:"cpu"` // thousandths of a core
	Runs    int   `cbor:"runs"`
	Lasting int   `cbor:"lasting"` // runs that last
	Usable  bool  `cbor:"usable"`  // tasks may be started on it
}

// Owners finds the pools that this process owns.
type Owners interface {
	Local(pool string) (Jobs, bool)
}

// Peers reaches the pools that other processes own.
type Peers interface {
	Remote(o tenure.Owner) Jobs
}
