package store

import (
	"context"
	"fmt"
	"slices"
	"strings"
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
	Damaged  bool      `json:"damaged"`  // its value cannot be decoded
	Bytes    int       `json:"bytes"`
}

// History returns at most limit versions, newest first; a damaged snapshot ends it.
func History(ctx context.Context, s Store, limit int) ([]Entry, error) {
	head, _, err := ReadHead(ctx, s)
	if err != nil || head.Version == 0 {
		return nil, err
	}
	var entries []Entry
	for c := chainOf(head); ; {
		var previous *chain
		for _, key := range c.newestFirst() {
			if len(entries) >= limit {
				return entries, nil
			}
			var value snapshot
			e, err := readEntry(ctx, s, key, &value)
			if err != nil {
				return nil, err
			}
			entries = append(entries, e)
			previous = value.Previous
		}
		if previous == nil {
			return entries, nil
		}
		c = *previous
	}
}

// newestFirst returns the chain's keys, the snapshot last.
func (c chain) newestFirst() []string {
	names := append([]string{c.Snapshot}, c.Deltas...)
	slices.Reverse(names)
	return names
}

// readEntry fills value from a snapshot or delta; a value that cannot be decoded is no error.
func readEntry(ctx context.Context, s Store, key string, value *snapshot) (Entry, error) {
	version, change, _ := parseKey(key)
	e := Entry{Version: version, Change: change, Snapshot: strings.HasPrefix(key, prefixSnapshot)}
	text, _, err := s.ReadRaw(ctx, key)
	if err != nil && !Damaged(err) {
		return Entry{}, fmt.Errorf("read %q: %w", key, err)
	}
	e.Bytes = len(text)
	if !readable(key, text, value) {
		*value = snapshot{}
		e.Damaged = true
	}
	e.Author, e.Time = value.Author, value.Time
	return e, nil
}

// readable fills value from the text at key, which is empty when the key is lost.
func readable(key string, text []byte, value *snapshot) bool {
	return decode(key, text, value) == nil && value.verify(key) == nil
}

// chainWith walks back from the head to the chain that ends with a version; its error may wrap ErrNoVersion.
func chainWith(ctx context.Context, s Store, head record.ConfigHead, version uint64) (chain, error) {
	c := chainOf(head)
	for {
		if found, ok := c.upTo(version); ok {
			return found, nil
		}
		if first, _, ok := parseKey(c.Snapshot); !ok || version >= first {
			return chain{}, fmt.Errorf("%w: version %d, the newest is %d", ErrNoVersion, version, head.Version)
		}
		var value snapshot
		e, err := readEntry(ctx, s, c.Snapshot, &value)
		if err != nil {
			return chain{}, err
		}
		if value.Previous == nil {
			return chain{}, fmt.Errorf("%w: version %d, the oldest is %d", ErrNoVersion, version, e.Version)
		}
		c = *value.Previous
	}
}

// At returns the configuration of any version that the history holds.
func At(ctx context.Context, s Store, head record.ConfigHead, version uint64) (fleet.Fleet, error) {
	c, err := chainWith(ctx, s, head, version)
	if err != nil {
		return fleet.Fleet{}, err
	}
	a, err := Assembly{}.extend(ctx, s, c, version)
	if err != nil {
		return fleet.Fleet{}, err
	}
	return a.Fleet, nil
}

// Rollback brings the content of version to into force as a new, higher version.
func Rollback(ctx context.Context, s Store, to uint64, c Change) (Applied, error) {
	var old Assembly // kept between attempts
	err := retry(ctx, func() error {
		head, _, err := ReadHead(ctx, s)
		if err != nil {
			return err
		}
		at, err := chainWith(ctx, s, head, to)
		if err != nil {
			return err
		}
		old, err = old.extend(ctx, s, at, to)
		c.Fleet = old.Fleet
		return err
	})
	if err != nil {
		return Applied{}, fmt.Errorf("roll back to version %d: %w", to, err)
	}
	return Apply(ctx, s, c)
}
