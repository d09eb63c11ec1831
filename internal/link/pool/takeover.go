package pool

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/quota"
)

// ownership is the ownership of a duty by this process, under an epoch.
type ownership struct {
	duty        string
	epoch       uint64
	self        cluster.Member
	store       port.Store
	confirmedAt time.Duration // when the write of the epoch was sent
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

// writeNewEpoch takes a duty over by writing a new epoch, which fences off all writes of the former owner. It returns a
// writer for each lane.
func (l *link) writeNewEpoch(ctx context.Context, duty string, self cluster.Member, knownEpoch uint64) (ownership, []writer, error) {
	store, ok := kernel.Use[port.Store](l.host)
	if !ok {
		return ownership{}, nil, errors.New("no plug-in provides a store")
	}
	fence, revision, err := l.readWriteFence(ctx, store, duty, knownEpoch)
	if err != nil {
		return ownership{}, nil, err
	}
	if fence.Epoch != knownEpoch {
		return ownership{}, nil, fmt.Errorf("%w: store has epoch %d written by %s, directory has epoch %d", errStaleDirectory, fence.Epoch, fence.Name, knownEpoch)
	}
	epoch := fence.Epoch + 1
	next := cluster.WriteFence{Epoch: epoch, Name: self.Name, Start: self.Start}
	record := cluster.Owner{Duty: duty, Name: self.Name, Start: self.Start, Address: self.Address, Epoch: epoch}
	w := writer{store: store, key: cluster.WriteFenceKey(duty, 0), revision: revision, fence: fence, ownerKey: cluster.PrefixOwner + duty, health: newStoreHealth(l.host)}
	c := schedule.Commit{Writes: []port.Write{{Key: w.ownerKey, Value: job.Encode(record)}}}
	for lane := 1; lane < schedule.Lanes; lane++ {
		c.Writes = append(c.Writes, port.Write{Key: cluster.WriteFenceKey(duty, lane), Value: job.Encode(next)})
	}
	sent := clock.SinceBoot()
	if err := w.applyWithFence(ctx, next, c, l.log, func() {}); err != nil {
		// The write may still take effect. The record then names this daemon, which claims the duty again.
		return ownership{}, nil, fmt.Errorf("write epoch %d: %w", epoch, err)
	}
	w.health = newStoreHealth(l.host) // without the failures of the takeover
	w.ownerRevision = w.revision      // all keys of a transaction get its revision
	writers := make([]writer, schedule.Lanes)
	for lane := range writers {
		writers[lane] = w
		writers[lane].key = cluster.WriteFenceKey(duty, lane)
	}
	return ownership{duty: duty, epoch: epoch, self: self, store: store, confirmedAt: sent}, writers, nil
}

// takeOverPool takes a pool over and reads the records of its former owner. The takeover is bounded by takeoverCtx, and
// the duty runs until ctx ends.
func (l *link) takeOverPool(takeoverCtx, ctx context.Context, pool string, self cluster.Member, directory port.Directory) (dutyRunner, error) {
	former := directory.Directory().Owners[pool]
	own, writers, err := l.writeNewEpoch(takeoverCtx, pool, self, former.Epoch)
	if err != nil {
		return nil, err
	}
	followed, ok := kernel.Use[port.Executors](l.host)
	if !ok {
		return nil, errors.New("no plug-in provides the executors")
	}
	var reads sync.WaitGroup
	var jobItems, progressItems []port.Item
	var stored schedule.Stored
	var errs [5]error
	reads.Go(func() { jobItems, errs[0] = list(takeoverCtx, own.store, job.PrefixJob+pool+"/") })
	reads.Go(func() { progressItems, errs[1] = list(takeoverCtx, own.store, job.PrefixProgress+pool+"/") })
	reads.Go(func() { stored.Used, stored.UsedLost, errs[2] = l.readUsed(takeoverCtx, own.store, pool) })
	// The list is read after the epoch was written, because an earlier one may lack an executor on which the former owner
	// has just started tasks.
	reads.Go(func() {
		_, errs[3] = readWithRetry(takeoverCtx, func(ctx context.Context) (struct{}, error) { return struct{}{}, followed.Follow(ctx) })
	})
	reads.Go(func() { stored.Limits, errs[4] = l.readLimits(takeoverCtx, own.store, pool) }) // after the epoch, see the lender
	reads.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		if errs[3] == nil {
			followed.Unfollow()
		}
		return nil, err
	}
	stored.Jobs, stored.Unreadable = l.decodeJobs(pool, jobItems, progressItems)
	now := clock.SinceBoot()
	d := directory.Directory()
	stored.Listed = d.PoolExecutors(pool)
	isWriter := stored.Used.Epoch == former.Epoch // of the record of the used executors
	stored.FormerEnded = isWriter && former.Name == self.Name
	stored.FormerExited = isWriter && (former.Name == self.Name && former.Start != self.Start || d.HasRestarted(former))
	s := schedule.New(pool, own.epoch, l.settings.policy(), now, time.Now().UnixMilli()).WithConfirmation(own.confirmedAt)
	state, effects := schedule.Recover(s, d.Config, stored)
	o := newPoolOwner(ctx, l, own, writers, state, effects)
	o.release = followed.Unfollow
	if isWriter && !stored.FormerEnded && !stored.FormerExited {
		o.former = &former
	}
	return o, nil
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

// readUsed reads which executors the former owner used. Another writer may have damaged the record, so an invalid one is
// reported as lost.
func (l *link) readUsed(ctx context.Context, store port.Store, pool string) (used cluster.Used, lost bool, err error) {
	item, err := readWithRetry(ctx, func(ctx context.Context) (port.Item, error) { return store.Get(ctx, cluster.PrefixUsed+pool) })
	if errors.Is(err, port.ErrNotFound) {
		return cluster.Used{}, false, nil
	}
	if err != nil {
		return cluster.Used{}, false, fmt.Errorf("read used executors: %w", err)
	}
	used, err = job.Decode[cluster.Used](item.Value)
	if err != nil {
		l.logUnreadable(item, err)
		return cluster.Used{}, true, nil
	}
	return used, false, nil
}

// readQuotas reads the division of the quotas by account, and names the accounts whose record is invalid.
func (l *link) readQuotas(ctx context.Context, store port.Store) (records map[string]quota.Record, invalid []string, err error) {
	items, err := list(ctx, store, quota.Prefix)
	if err != nil {
		return nil, nil, err
	}
	records = make(map[string]quota.Record, len(items))
	for _, item := range items {
		account := strings.TrimPrefix(item.Key, quota.Prefix)
		r, err := job.Decode[quota.Record](item.Value)
		if err == nil {
			err = r.Validate()
		}
		if err != nil {
			l.logUnreadable(item, err)
			invalid = append(invalid, account)
			continue
		}
		records[account] = r
	}
	return records, invalid, nil
}

// readLimits reads the parts of the accounts' quotas that a pool may use.
func (l *link) readLimits(ctx context.Context, store port.Store, pool string) (map[string]quota.Limit, error) {
	records, invalid, err := l.readQuotas(ctx, store)
	if err != nil {
		return nil, err
	}
	limits := make(map[string]quota.Limit, len(records))
	for account, r := range records {
		if limit, ok := r.For(pool); ok {
			limits[account] = limit
		}
	}
	for _, account := range invalid {
		limits[account] = quota.Nothing() // other pools may use all of the maximum
	}
	return limits, nil
}

// logUnreadable logs a record of this project that cannot be decoded.
func (l *link) logUnreadable(item port.Item, err error) {
	l.meters.unreadable.Inc(1)
	l.log.Error("invalid record in the store", "event", "record.unreadable", "key", item.Key, "revision", item.Revision, "error", err)
}

// readWriteFence returns the write fence of a duty and its revision. Both are zero if the duty has never had an owner. If
// the item is invalid, the fence has the epoch of the owner's record, which is written together with it.
func (l *link) readWriteFence(ctx context.Context, store port.Store, duty string, knownEpoch uint64) (cluster.WriteFence, int64, error) {
	item, err := readWithRetry(ctx, func(ctx context.Context) (port.Item, error) { return store.Get(ctx, cluster.WriteFenceKey(duty, 0)) })
	if errors.Is(err, port.ErrNotFound) {
		return cluster.WriteFence{}, 0, nil
	}
	if err != nil {
		return cluster.WriteFence{}, 0, fmt.Errorf("read write fence: %w", err)
	}
	fence, err := job.Decode[cluster.WriteFence](item.Value)
	if err != nil {
		l.logUnreadable(item, err)
		fence = cluster.WriteFence{Epoch: knownEpoch}
	}
	return fence, item.Revision, nil
}

// decodeJobs returns the stored jobs of a pool, and those with an invalid record.
func (l *link) decodeJobs(pool string, jobItems, progressItems []port.Item) (jobs []schedule.StoredJob, unreadable []schedule.UnreadableJob) {
	invalid := map[job.ID]schedule.UnreadableJob{}
	progress := map[string]job.Progress{}
	for _, item := range progressItems {
		id := strings.TrimPrefix(item.Key, job.PrefixProgress+pool+"/")
		p, err := job.Decode[job.Progress](item.Value)
		if err != nil {
			l.logUnreadable(item, err)
			invalid[job.ID(id)] = schedule.UnreadableJob{ID: job.ID(id)}
			continue
		}
		progress[id] = p
	}
	jobs = make([]schedule.StoredJob, 0, len(jobItems))
	for _, item := range jobItems {
		id := job.ID(strings.TrimPrefix(item.Key, job.PrefixJob+pool+"/"))
		r, err := job.Decode[job.Record](item.Value)
		if err == nil {
			err = r.Validate(id)
		}
		switch _, withoutProgress := invalid[id]; {
		case err != nil:
			l.logUnreadable(item, err)
			invalid[id] = schedule.UnreadableJob{ID: id}
		case withoutProgress:
			invalid[id] = schedule.UnreadableJob{ID: id, Account: r.ClientAccount(), AccountKnown: true}
		default:
			jobs = append(jobs, schedule.StoredJob{ID: id, Record: r, Progress: progress[string(id)]})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(invalid)) {
		unreadable = append(unreadable, invalid[id])
	}
	return jobs, unreadable
}
