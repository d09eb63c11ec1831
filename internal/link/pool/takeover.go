package pool

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/tenure"
)

// takeOver writes a new epoch, which ends all writes of the former owner, and reads what it has stored.
func (l *link) takeOver(call, ctx context.Context, pool string, self tenure.Member, directory port.Directory) (*owner, error) {
	store, ok := kernelStore(l.host)
	if !ok {
		return nil, errors.New("no plug-in provides a store")
	}
	chain, revision, err := readChain(call, store, pool)
	if err != nil {
		return nil, err
	}
	epoch := chain.Epoch + 1
	next := tenure.Chain{Epoch: epoch, Name: self.Name, Start: self.Start}
	record := tenure.Owner{Duty: pool, Name: self.Name, Start: self.Start, Address: self.Address, Epoch: epoch}
	revision, err = store.Apply(call, port.Change{
		Conditions: []port.Condition{{Key: tenure.PrefixChain + pool, Revision: revision}},
		Writes: []port.Write{
			{Key: tenure.PrefixChain + pool, Value: job.Encode(next)},
			{Key: tenure.PrefixOwner + pool, Value: job.Encode(record)},
		},
	})
	if err != nil {
		// A write whose answer is lost may still take effect; the next attempt then starts from its epoch.
		return nil, fmt.Errorf("write epoch %d: %w", epoch, err)
	}
	stored, err := readJobs(call, store, pool)
	if err != nil {
		return nil, err
	}
	now := clock.Boot()
	d := directory.Directory()
	s := schedule.New(pool, epoch, schedule.DefaultPolicy(l.settings.Lease.Value()), now, time.Now().UnixMilli())
	listed, gone := d.Of(pool, now)
	state, effects := schedule.Recover(s, d.Config, stored, append(listed, gone...))
	return newOwner(ctx, l, store, state, effects, revision, self), nil
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
