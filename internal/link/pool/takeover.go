package pool

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// ownership is the ownership of a duty by this process, under an epoch.
type ownership struct {
	duty  string
	epoch uint64
	self  cluster.Member
	store port.Store
}

// Timeouts of the reads of a takeover. They are short, so that a dead connection fails one attempt and not the whole
// takeover.
const (
	initialReadTimeout = 500 * time.Millisecond // of the first attempt; doubled for each further one
	maxReadTimeout     = 1500 * time.Millisecond
)

// errStaleDirectory is returned if another daemon has taken over a duty that has no live owner in the directory.
var errStaleDirectory = errors.New("directory is behind the store")

// readWithRetry repeats a read that times out until ctx ends.
func readWithRetry[T any](ctx context.Context, call func(ctx context.Context) (T, error)) (T, error) {
	for timeout := initialReadTimeout; ; timeout = min(2*timeout, maxReadTimeout) {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		v, err := call(attempt)
		timedOut := attempt.Err() != nil
		cancel()
		if !timedOut || ctx.Err() != nil {
			return v, err
		}
	}
}

// writeNewEpoch takes a duty over by writing a new epoch, which fences off all writes of the former owner.
func (l *link) writeNewEpoch(ctx context.Context, duty string, self cluster.Member, knownEpoch uint64) (ownership, writer, error) {
	store, ok := kernel.Use[port.Store](l.host)
	if !ok {
		return ownership{}, writer{}, errors.New("no plug-in provides a store")
	}
	fence, revision, err := readWriteFence(ctx, store, duty)
	if err != nil {
		return ownership{}, writer{}, err
	}
	if fence.Epoch != knownEpoch {
		return ownership{}, writer{}, fmt.Errorf("%w: store has epoch %d written by %s, directory has epoch %d", errStaleDirectory, fence.Epoch, fence.Name, knownEpoch)
	}
	epoch := fence.Epoch + 1
	next := cluster.WriteFence{Epoch: epoch, Name: self.Name, Start: self.Start}
	record := cluster.Owner{Duty: duty, Name: self.Name, Start: self.Start, Address: self.Address, Epoch: epoch}
	w := writer{store: store, key: cluster.PrefixWriteFence + duty, revision: revision, fence: fence}
	c := schedule.Commit{Writes: []port.Write{{Key: cluster.PrefixOwner + duty, Value: job.Encode(record)}}}
	if err := w.applyWithFence(ctx, next, c, l.log, func() {}); err != nil {
		// The write may still take effect. The record then names this daemon, which claims the duty again.
		return ownership{}, writer{}, fmt.Errorf("write epoch %d: %w", epoch, err)
	}
	return ownership{duty: duty, epoch: epoch, self: self, store: store}, w, nil
}

// takeOverPool takes a pool over and reads the records of its former owner. The takeover is bounded by takeoverCtx, and
// the duty runs until ctx ends.
func (l *link) takeOverPool(takeoverCtx, ctx context.Context, pool string, self cluster.Member, directory port.Directory) (dutyRunner, error) {
	own, w, err := l.writeNewEpoch(takeoverCtx, pool, self, directory.Directory().Owners[pool].Epoch)
	if err != nil {
		return nil, err
	}
	var reads sync.WaitGroup
	var jobItems, progressItems []port.Item
	var executors []site.Executor
	var errs [3]error
	reads.Go(func() { jobItems, errs[0] = list(takeoverCtx, own.store, job.PrefixJob+pool+"/") })
	reads.Go(func() { progressItems, errs[1] = list(takeoverCtx, own.store, job.PrefixProgress+pool+"/") })
	reads.Go(func() { executors, errs[2] = l.listExecutors(takeoverCtx, own.store, pool) })
	reads.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	stored, err := decodeJobs(pool, jobItems, progressItems)
	if err != nil {
		return nil, err
	}
	now := clock.SinceBoot()
	d := directory.Directory()
	s := schedule.New(pool, own.epoch, schedule.DefaultPolicy(l.settings.MaxLease.Value()), now, time.Now().UnixMilli())
	_, removed := d.PoolExecutors(pool, now) // may still run tasks for the former owner
	state, effects := schedule.Recover(s, d.Config, stored, append(executors, removed...))
	return newPoolOwner(ctx, l, own, w, state, effects), nil
}

// list reads the items under a key prefix.
func list(ctx context.Context, store port.Store, prefix string) ([]port.Item, error) {
	items, err := readWithRetry(ctx, func(ctx context.Context) ([]port.Item, error) {
		items, _, err := store.List(ctx, prefix)
		return items, err
	})
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", prefix, err)
	}
	return items, nil
}

// listExecutors reads the executors of a pool from the store, because the directory may lack one on which the former
// owner has just started tasks.
func (l *link) listExecutors(ctx context.Context, store port.Store, pool string) ([]site.Executor, error) {
	codec, ok := kernel.Use[port.SiteCodec](l.host)
	if !ok {
		return nil, errors.New("no plug-in provides a site codec")
	}
	items, err := list(ctx, store, codec.ExecutorPrefix())
	if err != nil {
		return nil, err
	}
	var executors []site.Executor
	for _, item := range items {
		// An invalid report is skipped here. The directory plug-in logs it.
		if e, err := codec.Executor(item); err == nil && e.Pool == pool {
			executors = append(executors, e)
		}
	}
	return executors, nil
}

// readWriteFence returns the write fence of a duty and its revision. Both are zero if the duty has never had an owner.
func readWriteFence(ctx context.Context, store port.Store, duty string) (cluster.WriteFence, int64, error) {
	item, err := readWithRetry(ctx, func(ctx context.Context) (port.Item, error) { return store.Get(ctx, cluster.PrefixWriteFence+duty) })
	if errors.Is(err, port.ErrNotFound) {
		return cluster.WriteFence{}, 0, nil
	}
	if err != nil {
		return cluster.WriteFence{}, 0, fmt.Errorf("read write fence: %w", err)
	}
	fence, err := job.Decode[cluster.WriteFence](item.Value)
	return fence, item.Revision, err
}

// decodeJobs returns the stored jobs of a pool. An invalid record fails the takeover, so that no job is lost.
func decodeJobs(pool string, jobItems, progressItems []port.Item) ([]schedule.StoredJob, error) {
	progress := map[string]job.Progress{}
	for _, item := range progressItems {
		p, err := job.Decode[job.Progress](item.Value)
		if err != nil {
			return nil, fmt.Errorf("decode item %q: %w", item.Key, err)
		}
		progress[strings.TrimPrefix(item.Key, job.PrefixProgress+pool+"/")] = p
	}
	stored := make([]schedule.StoredJob, 0, len(jobItems))
	for _, item := range jobItems {
		id := strings.TrimPrefix(item.Key, job.PrefixJob+pool+"/")
		r, err := job.Decode[job.Record](item.Value)
		if err != nil {
			return nil, fmt.Errorf("decode item %q: %w", item.Key, err)
		}
		stored = append(stored, schedule.StoredJob{ID: job.ID(id), Record: r, Progress: progress[id]})
	}
	return stored, nil
}
