package pool

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
	"teaselloft/internal/model/tenure"
)

// tenancy is a duty that this process has, under an epoch of its own.
type tenancy struct {
	duty     string
	epoch    uint64
	revision int64 // of the chain record
	self     tenure.Member
	store    port.Store
}

// takeOver writes a new epoch of a duty, which ends all writes of the former owner.
func (l *link) takeOver(ctx context.Context, duty string, self tenure.Member) (tenancy, error) {
	store, ok := kernel.Use[port.Store](l.host)
	if !ok {
		return tenancy{}, errors.New("no plug-in provides a store")
	}
	chain, revision, err := readChain(ctx, store, duty)
	if err != nil {
		return tenancy{}, err
	}
	epoch := chain.Epoch + 1
	next := tenure.Chain{Epoch: epoch, Name: self.Name, Start: self.Start}
	record := tenure.Owner{Duty: duty, Name: self.Name, Start: self.Start, Address: self.Address, Epoch: epoch}
	revision, err = store.Apply(ctx, port.Change{
		Conditions: []port.Condition{{Key: tenure.PrefixChain + duty, Revision: revision}},
		Writes: []port.Write{
			{Key: tenure.PrefixChain + duty, Value: job.Encode(next)},
			{Key: tenure.PrefixOwner + duty, Value: job.Encode(record)},
		},
	})
	if err != nil {
		// A write whose answer is lost may still take effect; the next attempt then starts from its epoch.
		return tenancy{}, fmt.Errorf("write epoch %d: %w", epoch, err)
	}
	return tenancy{duty: duty, epoch: epoch, revision: revision, self: self, store: store}, nil
}

// takePool takes a pool over and reads what its former owner has stored.
func (l *link) takePool(call, ctx context.Context, pool string, self tenure.Member, directory port.Directory) (tenant, error) {
	t, err := l.takeOver(call, pool, self)
	if err != nil {
		return nil, err
	}
	stored, err := readJobs(call, t.store, pool)
	if err != nil {
		return nil, err
	}
	executors, err := l.listed(call, t.store, pool)
	if err != nil {
		return nil, err
	}
	now := clock.Boot()
	d := directory.Directory()
	s := schedule.New(pool, t.epoch, schedule.DefaultPolicy(l.settings.Lease.Value()), now, time.Now().UnixMilli())
	_, gone := d.Of(pool, now)
	state, effects := schedule.Recover(s, d.Config, stored, append(executors, gone...))
	return newOwner(ctx, l, t, state, effects), nil
}

// listed reads the executors of a pool; the directory may lack one on which the former owner has just started tasks.
func (l *link) listed(ctx context.Context, store port.Store, pool string) ([]site.Executor, error) {
	announcements, ok := kernel.Use[port.Announcements](l.host)
	if !ok {
		return nil, errors.New("no plug-in decodes the platform's announcements")
	}
	items, _, err := store.List(ctx, announcements.Executors())
	if err != nil {
		return nil, fmt.Errorf("read executors: %w", err)
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

func readChain(ctx context.Context, store port.Store, pool string) (tenure.Chain, int64, error) {
	item, err := store.Get(ctx, tenure.PrefixChain+pool)
	if errors.Is(err, port.ErrNotFound) {
		return tenure.Chain{}, 0, nil
	}
	if err != nil {
		return tenure.Chain{}, 0, fmt.Errorf("read chain of writes: %w", err)
	}
	chain, err := job.Decode[tenure.Chain](item.Value)
	return chain, item.Revision, err
}

// readJobs reads the stored jobs of a pool; a record that cannot be read fails the takeover rather than losing a job.
func readJobs(ctx context.Context, store port.Store, pool string) ([]schedule.Stored, error) {
	jobs, _, err := store.List(ctx, job.PrefixJob+pool+"/")
	if err != nil {
		return nil, fmt.Errorf("read jobs: %w", err)
	}
	marks, _, err := store.List(ctx, job.PrefixProgress+pool+"/")
	if err != nil {
		return nil, fmt.Errorf("read progress: %w", err)
	}
	progress := map[string]job.Progress{}
	for _, i := range marks {
		p, err := job.Decode[job.Progress](i.Value)
		if err != nil {
			return nil, fmt.Errorf("item %q: %w", i.Key, err)
		}
		progress[strings.TrimPrefix(i.Key, job.PrefixProgress+pool+"/")] = p
	}
	stored := make([]schedule.Stored, 0, len(jobs))
	for _, i := range jobs {
		id := strings.TrimPrefix(i.Key, job.PrefixJob+pool+"/")
		r, err := job.Decode[job.Record](i.Value)
		if err != nil {
			return nil, fmt.Errorf("item %q: %w", i.Key, err)
		}
		stored = append(stored, schedule.Stored{ID: job.ID(id), Record: r, Progress: progress[id]})
	}
	return stored, nil
}
