package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/cenkalti/backoff/v5"
	jsonpatch "github.com/evanphx/json-patch/v5"
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
	err := retry(ctx, func() error {
		var err error
		applied, err = attempt(ctx, s, c)
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
func attempt(ctx context.Context, s Store, c Change) (Applied, error) {
	head, revision, err := ReadHead(ctx, s)
	if err != nil {
		return Applied{}, err
	}
	if head.Version != c.Base {
		return recognize(ctx, s, head, c)
	}
	now, err := current(ctx, s, head)
	if err != nil {
		return Applied{}, err
	}
	p, err := plan(head, now, c)
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
func ReadHead(ctx context.Context, s Store) (record.Head, int64, error) {
	r, revision, err := s.Read(ctx, record.KeyHead)
	if errors.Is(err, message.ErrNotFound) {
		return record.Head{}, 0, nil
	}
	if err != nil {
		return record.Head{}, 0, fmt.Errorf("read configuration head: %w", err)
	}
	head, ok := r.(record.Head)
	if !ok {
		return record.Head{}, 0, fmt.Errorf("%w: key %q holds %T", ErrCorrupt, record.KeyHead, r)
	}
	return head, revision, nil
}

// current returns the configuration in force, the zero Assembly when there is none.
func current(ctx context.Context, s Store, head record.Head) (Assembly, error) {
	if head.Version == 0 {
		return Assembly{}, nil
	}
	return Assembly{}.Assemble(ctx, s, head)
}

// recognize reports success when the version after the change's base is the change itself.
func recognize(ctx context.Context, s Store, head record.Head, c Change) (Applied, error) {
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

// planned is a value to write and the head that brings it into force.
type planned struct {
	key     string
	value   []byte
	head    record.Head
	applied Applied
}

// plan returns the writes of a change; it prefers a delta and takes a snapshot after maxDeltas of them.
func plan(head record.Head, now Assembly, c Change) (planned, error) {
	text, err := json.Marshal(newDocument(c.Fleet))
	if err != nil {
		return planned{}, fmt.Errorf("encode configuration: %w", err)
	}
	if now.key != "" && jsonpatch.Equal(now.document, text) {
		return planned{applied: Applied{Version: head.Version, Unchanged: true}}, nil
	}
	by := stamp{Version: head.Version + 1, Change: c.ID, Author: c.Author, Time: c.Time}
	p := planned{head: record.Head{Version: by.Version, Change: c.ID, Author: c.Author, Time: c.Time}}
	p.applied = Applied{Version: by.Version}
	patch, whole := now.patchOf(head, text)
	if whole {
		err = p.snapshot(head, by, text)
	} else {
		err = p.delta(head, by, patch)
	}
	if err == nil && len(p.value) > maxValue {
		err = fmt.Errorf("%w: %d bytes, the limit is %d", ErrTooLarge, len(p.value), maxValue)
	}
	p.applied.Bytes = len(p.value)
	return p, err
}

// patchOf returns the patch to a document, or true when it must be written whole.
func (a Assembly) patchOf(head record.Head, text []byte) (json.RawMessage, bool) {
	if a.key == "" || len(head.Deltas) >= maxDeltas {
		return nil, true
	}
	patch, ok := a.patch(text)
	return patch, !ok || len(patch) >= len(text)
}

func (p *planned) snapshot(head record.Head, by stamp, text []byte) error {
	value := snapshot{stamp: by, Document: text}
	if head.Version > 0 {
		previous := chainOf(head)
		value.Previous = &previous
	}
	p.key = snapshotKey(by.Version, by.Change)
	p.head.Snapshot = p.key
	p.applied.Snapshot = true
	var err error
	p.value, err = json.Marshal(value)
	return err
}

func (p *planned) delta(head record.Head, by stamp, patch json.RawMessage) error {
	p.key = deltaKey(by.Version, by.Change)
	p.head.Snapshot = head.Snapshot
	p.head.Deltas = append(append([]string{}, head.Deltas...), p.key)
	var err error
	p.value, err = json.Marshal(delta{stamp: by, Patch: patch})
	return err
}

// write stores the value before the head that names it.
func (p *planned) write(ctx context.Context, s Store, revision int64) error {
	if err := s.WriteRaw(ctx, p.key, p.value); err != nil {
		return fmt.Errorf("write %q: %w", p.key, err)
	}
	text, err := json.Marshal(p.head)
	if err != nil {
		return fmt.Errorf("encode configuration head: %w", err)
	}
	if _, err := s.Swap(ctx, message.Write{Record: p.head, Expected: revision}); err != nil {
		return fmt.Errorf("write configuration head: %w", err)
	}
	p.applied.Bytes += len(text)
	return nil
}
