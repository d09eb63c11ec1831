package port

import (
	"context"
	"errors"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// Errors of an executor that refuses an order; it has not carried the order out.
//
// Any other error leaves open whether the order is carried out, now or seconds later.
var (
	ErrFenced    = errors.New("executor has seen a higher fencing token")
	ErrOldRun    = errors.New("executor has ended that run or a later one")
	ErrExpired   = errors.New("order arrived after its expiry")
	ErrNoRoom    = errors.New("executor has no room")
	ErrTicket    = errors.New("executor does not accept the ticket")
	ErrOtherLife = errors.New("another life of the executor answered")
	ErrUnhealthy = errors.New("executor takes no orders now")
	ErrRejected  = errors.New("executor rejected the order as malformed")
	ErrNoContact = errors.New("no connection, the order was not sent")
)

// Start is an order to run a task.
type Start struct {
	Task       job.Task
	Run        uint64
	Spec       string
	Expires    int64 // on the executor's clock, in ms; after it the order has no effect
	Fence      uint64
	Checkpoint string
	Ticket     string
}

// Stop is an order to end a run.
type Stop struct {
	Task  job.Task
	Run   uint64
	Fence uint64
}

// Pace is an order to let a run work at a share of its speed.
type Pace struct {
	Task    job.Task
	Run     uint64
	Fence   uint64
	Percent int
}

// Hold renews the lease of everything on an executor and asks what runs and what has ended.
type Hold struct {
	Fence   uint64
	Ack     uint64 // ends up to this number may be forgotten
	Expires int64  // on the executor's clock, in ms; 0 leaves the lease as it is
	Wait    time.Duration
}

// ActiveRun is a run on an executor.
type ActiveRun struct {
	Task       job.Task
	Run        uint64
	Checkpoint string
	Percent    int
	Figure     float64 // of the last half second: the tail in ms for a serving task, else the CPU in use
}

// EndedRun is a run that an executor has ended; Number counts the ends of one life from 1.
type EndedRun struct {
	Number     uint64
	Task       job.Task
	Run        uint64
	How        job.End
	Checkpoint string
}

// Holding is what an executor says of itself.
type Holding struct {
	Clock int64 // ms, of the executor's own steady clock
	Born  int64 // Unix milliseconds of the start of this life; 0 when the executor does not say
	Runs  []ActiveRun
	Ends  []EndedRun
}

// Worker is the order channel to one life of an executor. Its calls may run side by side.
type Worker interface {
	Start(ctx context.Context, s Start) (clock int64, err error)
	Stop(ctx context.Context, s Stop) (clock int64, err error)
	Pace(ctx context.Context, p Pace) (clock int64, err error)
	Hold(ctx context.Context, h Hold) (Holding, error)
	// Reset drops the open connections, for one that went silent.
	Reset()
	Close()
}

// Workers opens order channels to executors.
type Workers interface {
	Open(e site.Executor) Worker
}

// Grant allows an executor to run a step.
type Grant struct {
	Executor string
	Ticket   string
}

// Adviser says which executors may run the tasks of a step.
type Adviser interface {
	// Advise returns the grants among the executors named and how long their tickets are valid.
	Advise(ctx context.Context, step job.Task, executors []string) ([]Grant, time.Duration, error)
}

// Errors of the instance list's orders; the order has no effect.
var (
	ErrInstanceBusy = errors.New("instance is not up")
	ErrWave         = errors.New("instance is not of that wave")
	ErrNoInstance   = errors.New("no such instance, or the pool takes other instances")
)

// Order addresses an instance under the fencing token of its holder.
type Order struct {
	Instance string
	Holder   string
	Fence    uint64
}

// Instances is the platform's list of instances and the orders that it takes.
type Instances interface {
	// List returns every instance.
	List(ctx context.Context) ([]site.Instance, error)
	// Move ends what runs on an instance and starts a new life of it in a pool.
	Move(ctx context.Context, o Order, pool string) error
	// Maintain ends what runs on an instance and has its upkeep for a wave done.
	Maintain(ctx context.Context, o Order, wave int64) error
}
