package store

import (
	"context"
	"fmt"
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// Entry is one version of the history.
type Entry struct {
	Version  uint64    `json:"version"`
	Change   string    `json:"change"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Snapshot bool      `json:"snapshot"` // stored whole
	Bytes    int       `json:"bytes"`
}

// History returns at most limit versions, newest first.
func History(ctx context.Context, s Store, limit int) ([]Entry, error) {
	head, _, err := ReadHead(ctx, s)
	if err != nil || head.Version == 0 {
		return nil, err
	}
	var entries []Entry
	c := chainOf(head)
	for len(entries) < limit {
		for i := len(c.Deltas) - 1; i >= 0 && len(entries) < limit; i-- {
			var value delta
			e, err := readEntry(ctx, s, c.Deltas[i], &value, &value.stamp)
			if err != nil {
				return nil, err
			}
			entries = append(entries, e)
		}
		if len(entries) == limit {
			break
		}
		var value snapshot
		e, err := readEntry(ctx, s, c.Snapshot, &value, &value.stamp)
		if err != nil {
			return nil, err
		}
		e.Snapshot = true
		entries = append(entries, e)
		if value.Previous == nil {
			break
		}
		c = *value.Previous
	}
	return entries, nil
}

// readEntry fills value, which holds by, from a key.
func readEntry(ctx context.Context, s Store, key string, value any, by *stamp) (Entry, error) {
	text, _, err := s.ReadRaw(ctx, key)
	if err != nil {
		return Entry{}, fmt.Errorf("read %q: %w", key, err)
	}
	if err := decode(key, text, value); err != nil {
		return Entry{}, err
	}
	e := Entry{Version: by.Version, Change: by.Change, Author: by.Author, Time: by.Time, Bytes: len(text)}
	return e, by.verify(key)
}

// chainWith walks back from the head to the chain that ends with a version; its error may wrap ErrNoVersion.
func chainWith(ctx context.Context, s Store, head record.Head, version uint64) (chain, error) {
	c := chainOf(head)
	for {
		if found, ok := c.upTo(version); ok {
			return found, nil
		}
		if first, _, ok := parseKey(c.Snapshot); !ok || version >= first {
			return chain{}, fmt.Errorf("%w: version %d, the newest is %d", ErrNoVersion, version, head.Version)
		}
		var value snapshot
		if _, err := readEntry(ctx, s, c.Snapshot, &value, &value.stamp); err != nil {
			return chain{}, err
		}
		if value.Previous == nil {
			return chain{}, fmt.Errorf("%w: version %d, the oldest is %d", ErrNoVersion, version, value.Version)
		}
		c = *value.Previous
	}
}

// At returns the configuration of any version that the history holds.
func At(ctx context.Context, s Store, head record.Head, version uint64) (fleet.Fleet, error) {
	c, err := chainWith(ctx, s, head, version)
	if err != nil {
		return fleet.Fleet{}, err
	}
	a, err := Assembly{}.extend(ctx, s, c, version)
	return a.Fleet, err
}

// Rollback brings the content of version to into force as a new, higher version.
func Rollback(ctx context.Context, s Store, to uint64, c Change) (Applied, error) {
	err := retry(ctx, func() error {
		head, _, err := ReadHead(ctx, s)
		if err != nil {
			return err
		}
		c.Fleet, err = At(ctx, s, head, to)
		return err
	})
	if err != nil {
		return Applied{}, fmt.Errorf("roll back to version %d: %w", to, err)
	}
	return Apply(ctx, s, c)
}
