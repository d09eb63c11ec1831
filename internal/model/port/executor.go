package port

import (
	"context"
	"errors"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// Errors of an order that was refused or not sent, and therefore not carried out.
//
// After any other error the executor may have carried the order out, or may still do so seconds later.
var (
	ErrFenced           = errors.New("executor has seen a higher fencing token")
	ErrStaleRun         = errors.New("executor has ended that run or a later one")
	ErrExpired          = errors.New("order arrived after its expiry")
	ErrNoCapacity       = errors.New("executor has no room")
	ErrTicketRejected   = errors.New("executor does not accept the ticket")
	ErrWrongIncarnation = errors.New("another life of the executor answered")
	ErrUnhealthy        = errors.New("executor takes no orders now")
	ErrRejected         = errors.New("executor rejected the order as malformed")
	ErrNotConnected     = errors.New("no connection, the order was not sent")
)

// Start is an order to run a task.
type Start struct {
	Task         job.Task
	Run          uint64
	Spec         string
	Expires      int64 // on the executor's clock, in ms; an order that arrives later has no effect
	FencingToken uint64
	Checkpoint   string
	Ticket       string
}

// Stop is an order to end a run.
type Stop struct {
	Task         job.Task
	Run          uint64
	FencingToken uint64
}

// Throttle is an order to limit a run to a percentage of its full speed.
type Throttle struct {
	Task         job.Task
	Run          uint64
	FencingToken uint64
	Percent      int
}

// Heartbeat renews the lease of all runs on an executor and requests its report of active and ended runs.
type Heartbeat struct {
	FencingToken uint64
	Ack          uint64        // ended runs up to this number may be dropped from the report
	Expires      int64         // end of the lease on the executor's clock, in ms; 0 leaves it unchanged
	Wait         time.Duration // maximum delay of the answer while no run ends
}

// ActiveRun is a run that has not ended, as its executor reports it.
type ActiveRun struct {
	Task       job.Task
	Run        uint64
	Checkpoint string
	Percent    int     // reported progress; a long-running task is ready at 100
	Metric     float64 // over the last half second: tail latency in ms, or CPU usage for tasks without a latency target
}

// EndedRun is a run that has ended on an executor. Number counts the ended runs of an incarnation, starting at 1.
type EndedRun struct {
	Number     uint64
	Task       job.Task
	Run        uint64
	Outcome    job.Outcome
	Checkpoint string
}

// MaxListedEnds is the number of ended runs that an executor lists at a time, the oldest first.
const MaxListedEnds = 500

// ExecutorReport is an executor's answer to a heartbeat: its active runs, and the ended ones not acknowledged yet.
type ExecutorReport struct {
	Clock int64 // the executor's monotonic clock, in ms
	Born  int64 // start of this incarnation in Unix milliseconds; 0 if not reported
	Runs  []ActiveRun
	Ended []EndedRun
}

// IsPartial reports whether the executor may have ended runs that are not listed. A run that the report doesn't name may
// then have ended in any way.
func (r ExecutorReport) IsPartial() bool { return len(r.Ended) >= MaxListedEnds }

// ExecutorClient sends orders to one incarnation of an executor. It is safe for concurrent use.
type ExecutorClient interface {
	// Start, Stop and Throttle return the executor's clock in ms.
	Start(ctx context.Context, s Start) (clock int64, err error)
	Stop(ctx context.Context, s Stop) (clock int64, err error)
	Throttle(ctx context.Context, t Throttle) (clock int64, err error)
	Heartbeat(ctx context.Context, h Heartbeat) (ExecutorReport, error)
	// Reset closes the open connections, so that a connection that no longer answers is not reused.
	Reset()
	Close()
}

// ExecutorDialer opens clients of executors.
type ExecutorDialer interface {
	Open(e site.Executor) ExecutorClient
}

// Grant is the permission for an executor to run a step.
type Grant struct {
	Executor string
	Ticket   string
}

// Adviser selects the executors that may run the tasks of a step.
type Adviser interface {
	// Advise returns the grants for a subset of the given executors and the lifetime of their tickets.
	Advise(ctx context.Context, step job.Task, executors []string) ([]Grant, time.Duration, error)
}

// Errors of an order to an instance that the platform refused. The order had no effect.
var (
	ErrInstanceNotUp = errors.New("instance is not up")
	ErrNotInWave     = errors.New("instance is not of that wave")
	ErrNoInstance    = errors.New("no such instance, or the pool takes other instances")
)

// InstanceOrder holds the parameters that all orders to instances share: the instance, and the sender with its fencing
// token.
type InstanceOrder struct {
	Instance     string
	Holder       string
	FencingToken uint64
}

// Instances reads the platform's list of instances and sends orders to them.
type Instances interface {
	// List returns every instance.
	List(ctx context.Context) ([]site.Instance, error)
	// Move ends all runs on an instance and restarts it in the given pool.
	Move(ctx context.Context, o InstanceOrder, pool string) error
	// Maintain ends all runs on an instance and starts its maintenance for a wave.
	Maintain(ctx context.Context, o InstanceOrder, wave int64) error
}
