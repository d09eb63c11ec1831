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

// tenancy is a duty that this process has, under an epoch of its own.
type tenancy struct {
	duty  string
	epoch uint64
	self  cluster.Member
	store port.Store
}

// Times of the reads of a takeover. A connection that went silent costs one attempt, not the whole takeover.
const (
	readTimeout = 500 * time.Millisecond // of the first attempt; each further one has twice as long
	readLongest = 1500 * time.Millisecond
)

// errBehind is returned when another daemon has taken a duty that the directory still shows as free.
var errBehind = errors.New("directory is behind the store")

// read repeats a read until it is answered or the takeover's time is over.
func read[T any](ctx context.Context, call func(ctx context.Context) (T, error)) (T, error) {
	for timeout := readTimeout; ; timeout = min(2*timeout, readLongest) {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		v, err := call(attempt)
		late := attempt.Err() != nil
		cancel()
		if !late || ctx.Err() != nil {
			return v, err
		}
	}
}

// takeOver writes a new epoch of a duty, which ends all writes of the former owner.
func (l *link) takeOver(ctx context.Context, duty string, self cluster.Member, known uint64) (tenancy, writer, error) {
	store, ok := kernel.Use[port.Store](l.host)
	if !ok {
		return tenancy{}, writer{}, errors.New("no plug-in provides a store")
	}
	chain, revision, err := readChain(ctx, store, duty)
	if err != nil {
		return tenancy{}, writer{}, err
	}
	if chain.Epoch != known {
		return tenancy{}, writer{}, fmt.Errorf("%w: epoch %d of %s, not %d", errBehind, chain.Epoch, chain.Name, known)
	}
	epoch := chain.Epoch + 1
	next := cluster.WriteFence{Epoch: epoch, Name: self.Name, Start: self.Start}
	record := cluster.Owner{Duty: duty, Name: self.Name, Start: self.Start, Address: self.Address, Epoch: epoch}
	w := writer{store: store, key: cluster.PrefixWriteFence + duty, revision: revision, chain: chain}
	c := schedule.Commit{Writes: []port.Write{{Key: cluster.PrefixOwner + duty, Value: job.Encode(record)}}}
	if err := w.put(ctx, next, c, l.log, func() {}); err != nil {
		// It may still take effect; the record then names this daemon, which claims the duty again.
		return tenancy{}, writer{}, fmt.Errorf("write epoch %d: %w", epoch, err)
	}
	return tenancy{duty: duty, epoch: epoch, self: self, store: store}, w, nil
}

// takePool takes a pool over and reads what its former owner has stored.
func (l *link) takePool(call, ctx context.Context, pool string, self cluster.Member, directory port.Directory) (tenant, error) {
	t, w, err := l.takeOver(call, pool, self, directory.Directory().Owners[pool].Epoch)
	if err != nil {
		return nil, err
	}
	var reads sync.WaitGroup
	var jobs, marks []port.Item
	var executors []site.Executor
	var failed [3]error
	reads.Go(func() { jobs, failed[0] = list(call, t.store, job.PrefixJob+pool+"/") })
	reads.Go(func() { marks, failed[1] = list(call, t.store, job.PrefixProgress+pool+"/") })
	reads.Go(func() { executors, failed[2] = l.listed(call, t.store, pool) })
	reads.Wait()
	if err := errors.Join(failed[:]...); err != nil {
		return nil, err
	}
	stored, err := decodeJobs(pool, jobs, marks)
	if err != nil {
		return nil, err
	}
	now := clock.SinceBoot()
	d := directory.Directory()
	s := schedule.New(pool, t.epoch, schedule.DefaultPolicy(l.settings.Lease.Value()), now, time.Now().UnixMilli())
	_, gone := d.PoolExecutors(pool, now)
	state, effects := schedule.Recover(s, d.Config, stored, append(executors, gone...))
	return newOwner(ctx, l, t, w, state, effects), nil
}

// list reads the items under a prefix.
func list(ctx context.Context, store port.Store, prefix string) ([]port.Item, error) {
	items, err := read(ctx, func(ctx context.Context) ([]port.Item, error) {
		items, _, err := store.List(ctx, prefix)
		return items, err
	})
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", prefix, err)
	}
	return items, nil
}

// listed reads the executors of a pool; the directory may lack one on which the former owner has just started tasks.
func (l *link) listed(ctx context.Context, store port.Store, pool string) ([]site.Executor, error) {
	announcements, ok := kernel.Use[port.SiteCodec](l.host)
	if !ok {
		return nil, errors.New("no plug-in decodes the platform's announcements")
	}
	items, err := list(ctx, store, announcements.ExecutorPrefix())
	if err != nil {
		return nil, err
	}
	var executors []site.Executor
	for _, i := range items {
		// An entry that cannot be read names no executor; the directory logs it.
		if e, err := announcements.Executor(i); err == nil && e.Pool == pool {
			executors = append(executors, e)
		}
	}
	return executors, nil
}

func readChain(ctx context.Context, store port.Store, duty string) (cluster.WriteFence, int64, error) {
	item, err := read(ctx, func(ctx context.Context) (port.Item, error) { return store.Get(ctx, cluster.PrefixWriteFence+duty) })
	if errors.Is(err, port.ErrNotFound) {
		return cluster.WriteFence{}, 0, nil
	}
	if err != nil {
		return cluster.WriteFence{}, 0, fmt.Errorf("read chain of writes: %w", err)
	}
	chain, err := job.Decode[cluster.WriteFence](item.Value)
	return chain, item.Revision, err
}

// decodeJobs returns the stored jobs of a pool; a record that cannot be read fails the takeover rather than losing a job.
func decodeJobs(pool string, jobs, marks []port.Item) ([]schedule.StoredJob, error) {
	progress := map[string]job.Progress{}
	for _, i := range marks {
		p, err := job.Decode[job.Progress](i.Value)
		if err != nil {
			return nil, fmt.Errorf("item %q: %w", i.Key, err)
		}
		progress[strings.TrimPrefix(i.Key, job.PrefixProgress+pool+"/")] = p
	}
	stored := make([]schedule.StoredJob, 0, len(jobs))
	for _, i := range jobs {
		id := strings.TrimPrefix(i.Key, job.PrefixJob+pool+"/")
		r, err := job.Decode[job.Record](i.Value)
		if err != nil {
			return nil, fmt.Errorf("item %q: %w", i.Key, err)
		}
		stored = append(stored, schedule.StoredJob{ID: job.ID(id), Record: r, Progress: progress[id]})
	}
	return stored, nil
}
