package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/cenkalti/backoff/v5"
)

const (
	initialRetryInterval = 50 * time.Millisecond
	maxRetryInterval     = 2 * time.Second
)

// Change is a configuration to store as the next version.
type Change struct {
	ID     string // random, the same for every attempt of a change
	Author string
	Time   time.Time
	Base   uint64 // version that the change is based on, 0 for the first
	Fleet  fleet.Fleet
}

// ApplyResult is the outcome of a change that is the current version, or that changed nothing.
type ApplyResult struct {
	Version        uint64 `json:"version"`
	Unchanged      bool   `json:"unchanged"`  // the current version has the same content
	AlreadyApplied bool   `json:"recognized"` // an earlier attempt took effect
	Snapshot       bool   `json:"snapshot"`   // stored as a snapshot instead of a delta
	Bytes          int    `json:"bytes"`      // written, including the head
	Instances      int    `json:"instances"`  // records created for new instances
}

// Apply stores a change as the next version and creates the records of its new instances; it retries until ctx ends.
//
// The error wraps a *StaleError if another change was applied first, or
// ErrTooLarge. After any other error the outcome is unknown: call Apply again
// with the same ID to find out.
func Apply(ctx context.Context, s Store, c Change) (ApplyResult, error) {
	var applied ApplyResult
	var current Assembly // reused by the next attempt
	err := retry(ctx, func() error {
		var err error
		applied, err = applyOnce(ctx, s, c, &current)
		return err
	})
	if err != nil {
		return ApplyResult{}, fmt.Errorf("apply change %s: %w", c.ID, err)
	}
	return applied, nil
}

// retry calls f with exponential backoff while the platform is unavailable or a compare-and-swap conflicts.
func retry(ctx context.Context, f func() error) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = initialRetryInterval, maxRetryInterval
	var last error
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		last = f()
		if last == nil || errors.Is(last, message.ErrUnavailable) || errors.Is(last, message.ErrConflict) {
			return struct{}{}, last
		}
		return struct{}{}, backoff.Permanent(last)
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(0))
	if err != nil && last != nil && !errors.Is(err, last) {
		return fmt.Errorf("%w: %w", err, last)
	}
	return err
}

// applyOnce tries to apply a change once; if its answer is lost, the next attempt detects that the change was applied.
func applyOnce(ctx context.Context, s Store, c Change, current *Assembly) (ApplyResult, error) {
	head, revision, err := ReadHead(ctx, s)
	if err != nil {
		return ApplyResult{}, err
	}
	if head.Version != c.Base {
		return confirmApplied(ctx, s, head, c)
	}
	*current, err = current.readCurrent(ctx, s, head)
	if err != nil {
		return ApplyResult{}, err
	}
	p, err := newWritePlan(head, *current, c)
	if err != nil {
		return ApplyResult{}, err
	}
	before := current.Fleet
	if p.result.Unchanged {
		// An earlier command may have ended before it created every instance record.
		before = fleet.Fleet{}
	} else if err := p.write(ctx, s, revision); err != nil {
		return ApplyResult{}, err
	}
	p.result.Instances, err = placeInstances(ctx, s, before, c)
	return p.result, err
}

// ReadHead returns the head and its revision, zero values if no configuration was applied yet.
func ReadHead(ctx context.Context, s Store) (record.ConfigHead, int64, error) {
	r, revision, err := s.Read(ctx, record.KeyConfigHead)
	if errors.Is(err, message.ErrNotFound) {
		return record.ConfigHead{}, 0, nil
	}
	if err != nil {
		return record.ConfigHead{}, 0, fmt.Errorf("read configuration head: %w", err)
	}
	head, ok := r.(record.ConfigHead)
	if !ok {
		return record.ConfigHead{}, 0, fmt.Errorf("%w: key %q holds %T", ErrCorrupt, record.KeyConfigHead, r)
	}
	return head, revision, nil
}

// readCurrent returns the current configuration, or the zero Assembly if there is none.
//
// A damaged configuration counts as none, so that the next change is stored as a snapshot and repairs it.
func (a Assembly) readCurrent(ctx context.Context, s Store, head record.ConfigHead) (Assembly, error) {
	if head.Version == 0 {
		return Assembly{}, nil
	}
	a, err := a.Assemble(ctx, s, head)
	if IsDamaged(err) {
		return Assembly{}, nil
	}
	return a, err
}

// confirmApplied reports success if the version after the change's base was made by an attempt of the same change.
func confirmApplied(ctx context.Context, s Store, head record.ConfigHead, c Change) (ApplyResult, error) {
	stale := &StaleError{Base: c.Base, Current: head.Version, Author: head.Author, Time: head.Time}
	if head.Version < c.Base {
		return ApplyResult{}, stale
	}
	found, err := findChain(ctx, s, head, c.Base+1)
	if errors.Is(err, ErrVersionNotFound) {
		return ApplyResult{}, stale
	}
	if err != nil {
		return ApplyResult{}, err
	}
	if _, change, _ := parseKey(found.last()); change != c.ID {
		return ApplyResult{}, stale
	}
	placed, err := placeInstances(ctx, s, fleet.Fleet{}, c)
	return ApplyResult{Version: c.Base + 1, AlreadyApplied: true, Instances: placed}, err
}
