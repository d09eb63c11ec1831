package port

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/quota"
)

// ErrNotOwner is returned by a daemon that does not own the pool.
// The call had no effect, or the caller can query its outcome by repeating it.
var ErrNotOwner = errors.New("this daemon does not own the pool")

// DirectoryTopic carries the new directory after each change.
var DirectoryTopic = kernel.Topic[cluster.Directory]{Name: "directory"}

// Directory gives access to the current directory and the state of the connection to the store.
type Directory interface {
	// Directory returns the current directory.
	Directory() cluster.Directory
	// LastContact returns the time of the store's last answer, on the boot clock.
	LastContact() time.Duration
	// Outage returns the start of the store's current outage, 0 if there is none, and the end of the last one.
	Outage() (start, end time.Duration)
	// Learn adds a record of an owner that another daemon has sent, which the store may not be able to show.
	Learn(ctx context.Context, o cluster.Owner)
	// ConfigConfirmed returns the latest time, on the boot clock, at which the configuration is known to have been the newest
	// one. If there is none, ok is false.
	ConfigConfirmed() (at time.Duration, ok bool)
}

// ConfirmedItem describes the configuration of a daemon.
type ConfirmedItem struct {
	Version int64         `cbor:"version"`
	Age     time.Duration `cbor:"age"`  // time since the configuration was confirmed to be the newest one
	Item    Item          `cbor:"item"` // without keys; empty if the version is not newer than that of the daemon that asks
}

// ConfigSource gives access to the item of the current configuration, for other daemons.
type ConfigSource interface {
	// ConfigItem returns the configuration for a daemon that has the given version, or ErrNoConfig if there is none that was
	// confirmed.
	ConfigItem(known int64) (ConfirmedItem, error)
}

// ConfigPeers asks other daemons for their configurations.
type ConfigPeers interface {
	// ConfigItem returns the configuration of the daemon at an address. The known version is that of this daemon, 0 for none.
	ConfigItem(ctx context.Context, address string, known int64) (ConfirmedItem, error)
}

// OwnerPeers asks other daemons for the owners of duties.
type OwnerPeers interface {
	// OwnersOf returns the records of owners with higher epochs than the given ones, by duty, that the daemon at an address
	// knows.
	OwnersOf(ctx context.Context, address string, epochs map[string]uint64) ([]cluster.Owner, error)
}

// Executors keeps the executors in the directory. They are followed only while a pool of this daemon needs them.
type Executors interface {
	// Follow reads the executors into the directory and keeps them current until Unfollow is called. The list is read
	// after the call began. Follow may be called several times; each successful call needs an Unfollow.
	Follow(ctx context.Context) error
	Unfollow()
}

// Membership describes the registration of this daemon.
type Membership interface {
	// Self returns the daemon's member record. Before a lease is granted, ok is false.
	Self() (m cluster.Member, ok bool)
	// LeaseValidUntil returns the time until which the daemon's lease is certain to be valid, on the boot clock.
	LeaseValidUntil() time.Duration
}

// PoolOwner is the owner of a pool, either in this process or in another one.
type PoolOwner interface {
	// Submit returns nil once the job is stored. It is idempotent. The version is that of the configuration by which the
	// caller has chosen the pool.
	Submit(ctx context.Context, s job.Submission, version int64) error
	// Relinquish is called before another pool accepts a job whose path a configuration of the given version has moved away
	// from this pool. It returns nil if this pool has accepted the job, and ErrNoJob if it has not and no longer will for a
	// caller with an older configuration.
	Relinquish(ctx context.Context, s job.Submission, version int64) error
	// State returns the state of a job, or ErrNoJob for one of another account than the caller's.
	State(ctx context.Context, id job.ID, account string) (job.State, error)
	// Cancel returns nil once the cancellation is stored, or ErrNoJob for a job of another account than the caller's.
	Cancel(ctx context.Context, id job.ID, account string) error
	// Pending returns the number of accepted jobs of a queue that have not started.
	Pending(ctx context.Context, queue string) (int, error)
	// Vacate asks the owner to move all runs away from the executors and to start none on them for the given duration.
	// It returns the executors that are empty already.
	Vacate(ctx context.Context, executors []string, duration time.Duration) ([]string, error)
	// Load returns the load of the pool.
	Load(ctx context.Context) (Load, error)
	// Quota passes on the parts of the accounts' quotas that the pool may use, by account, and returns what the accounts use
	// with these in force.
	Quota(ctx context.Context, limits map[string]quota.Limit) (quota.Report, error)
}

// Load is the load of a pool as its owner reports it.
type Load struct {
	Backlog   int64                   `cbor:"backlog"` // millicores of ready tasks that can still meet their objective
	Late      int64                   `cbor:"late"`    // millicores of ready tasks that no longer can
	Executors map[string]ExecutorLoad `cbor:"executors"`
}

// ErrLoad is returned for a load with an amount that no pool can have.
var ErrLoad = errors.New("invalid load")

// Validate checks a load that another process has sent, so that sums over all pools cannot overflow.
func (l Load) Validate() error {
	valid := func(n int64) bool { return n >= 0 && n <= job.MaxResource*job.MaxTasks }
	if !valid(l.Backlog) || !valid(l.Late) {
		return fmt.Errorf("%w: backlog %d, late %d", ErrLoad, l.Backlog, l.Late)
	}
	for id, e := range l.Executors {
		if !valid(e.CPU) || e.Runs < 0 || e.LongRunning < 0 {
			return fmt.Errorf("%w: executor %.40q: %+v", ErrLoad, id, e)
		}
	}
	return nil
}

// ExecutorLoad is the load of an executor.
type ExecutorLoad struct {
	CPU         int64 `cbor:"cpu"` // millicores
	Runs        int   `cbor:"runs"`
	LongRunning int   `cbor:"lasting"` // number of long-running runs
	Usable      bool  `cbor:"usable"`  // tasks may be started on it
}

// Owners looks up the pools that this process owns.
type Owners interface {
	// Local returns the owner of a pool if it is in this process.
	Local(pool string) (PoolOwner, bool)
}

// Successor takes duties over from owners whose writes the store does not carry out.
type Successor interface {
	// TakeOver takes a duty over from the owner of the given epoch and returns the record of the new owner. It returns
	// ErrUnavailable if this daemon can't.
	TakeOver(ctx context.Context, duty string, epoch uint64) (cluster.Owner, error)
}

// Peers connects to the pools that other processes own.
type Peers interface {
	// Remote returns a client of an owner in another process.
	Remote(o cluster.Owner) PoolOwner
	// Offer asks another process to take over a duty, as Successor.TakeOver does.
	Offer(ctx context.Context, to cluster.Member, duty string, epoch uint64) (cluster.Owner, error)
}
