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
	firstRetry = 50 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// Change is a configuration to bring into force.
type Change struct {
	ID     string // random; the same for every attempt of one change
	Author string
	Time   time.Time
	Base   uint64 // version that the change was made from, 0 for the first
	Fleet  fleet.Fleet
}

// Applied reports a change that is in force, or that changed nothing.
type Applied struct {
	Version    uint64 `json:"version"`
	Unchanged  bool   `json:"unchanged"`  // the version in force has the same content
	Recognized bool   `json:"recognized"` // an earlier attempt had taken effect
	Snapshot   bool   `json:"snapshot"`   // written whole
	Bytes      int    `json:"bytes"`      // written, with the head
	Instances  int    `json:"instances"`  // placed for the first time
}

// Apply brings a change into force and places its new instances; it retries until ctx ends.
//
// Its error wraps a *StaleError when another change came first, or ErrTooLarge.
// After any other error the change may be in force; Apply with the same ID tells.
func Apply(ctx context.Context, s Store, c Change) (Applied, error) {
	var applied Applied
	var now Assembly // kept between attempts
	err := retry(ctx, func() error {
		var err error
		applied, err = attempt(ctx, s, c, &now)
		return err
	})
	if err != nil {
		return Applied{}, fmt.Errorf("apply change %s: %w", c.ID, err)
	}
	return applied, nil
}

// retry repeats f while the platform is unavailable or a write lost a race.
func retry(ctx context.Context, f func() error) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstRetry, maxRetry
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

// attempt applies a change once; a lost answer is recognized by the next attempt.
func attempt(ctx context.Context, s Store, c Change, now *Assembly) (Applied, error) {
	head, revision, err := ReadHead(ctx, s)
	if err != nil {
		return Applied{}, err
	}
	if head.Version != c.Base {
		return recognize(ctx, s, head, c)
	}
	*now, err = now.current(ctx, s, head)
	if err != nil {
		return Applied{}, err
	}
	p, err := plan(head, *now, c)
	if err != nil {
		return Applied{}, err
	}
	before := now.Fleet
	if p.applied.Unchanged {
		// An earlier command may have ended before it placed every instance.
		before = fleet.Fleet{}
	} else if err := p.write(ctx, s, revision); err != nil {
		return Applied{}, err
	}
	p.applied.Instances, err = place(ctx, s, before, c)
	return p.applied, err
}

// ReadHead returns the head and its revision, zero ones when there is none yet.
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

// current returns the configuration in force, the zero Assembly when there is none.
//
// A damaged one counts as none, so that the next change repairs it with a snapshot.
func (a Assembly) current(ctx context.Context, s Store, head record.ConfigHead) (Assembly, error) {
	if head.Version == 0 {
		return Assembly{}, nil
	}
	a, err := a.Assemble(ctx, s, head)
	if Damaged(err) {
		return Assembly{}, nil
	}
	return a, err
}

// recognize reports success when the version after the change's base is the change itself.
func recognize(ctx context.Context, s Store, head record.ConfigHead, c Change) (Applied, error) {
	stale := &StaleError{Base: c.Base, Current: head.Version, Author: head.Author, Time: head.Time}
	if head.Version < c.Base {
		return Applied{}, stale
	}
	at, err := chainWith(ctx, s, head, c.Base+1)
	if errors.Is(err, ErrNoVersion) {
		return Applied{}, stale
	}
	if err != nil {
		return Applied{}, err
	}
	if _, change, _ := parseKey(at.last()); change != c.ID {
		return Applied{}, stale
	}
	placed, err := place(ctx, s, fleet.Fleet{}, c)
	return Applied{Version: c.Base + 1, Recognized: true, Instances: placed}, err
}
