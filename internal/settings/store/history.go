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

// HistoryEntry describes one version of the configuration.
type HistoryEntry struct {
	Version  uint64    `json:"version"`
	Change   string    `json:"change"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Snapshot bool      `json:"snapshot"` // stored as a snapshot instead of a delta
	Damaged  bool      `json:"damaged"`  // the value is lost or cannot be decoded
	Bytes    int       `json:"bytes"`
}

// History returns at most limit versions, newest first; it ends at a damaged snapshot, which links to the older ones.
func History(ctx context.Context, s Store, limit int) ([]HistoryEntry, error) {
	head, _, err := ReadHead(ctx, s)
	if err != nil || head.Version == 0 {
		return nil, err
	}
	var entries []HistoryEntry
	for c := chainOf(head); ; {
		var previous *deltaChain
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

// newestFirst returns the chain's keys from the last delta back to the snapshot.
func (c deltaChain) newestFirst() []string {
	keys := append([]string{c.Snapshot}, c.Deltas...)
	slices.Reverse(keys)
	return keys
}

// readEntry reads a snapshot or delta into value; a lost or damaged value is marked as such and is no error.
func readEntry(ctx context.Context, s Store, key string, value *snapshot) (HistoryEntry, error) {
	version, change, _ := parseKey(key)
	e := HistoryEntry{Version: version, Change: change, Snapshot: strings.HasPrefix(key, prefixSnapshot)}
	text, _, err := s.ReadRaw(ctx, key)
	if err != nil && !IsDamaged(err) {
		return HistoryEntry{}, fmt.Errorf("read %q: %w", key, err)
	}
	e.Bytes = len(text)
	if !decodeEntry(key, text, value) {
		*value = snapshot{}
		e.Damaged = true
	}
	e.Author, e.Time = value.Author, value.Time
	return e, nil
}

// decodeEntry decodes the text at key into value and reports whether it is valid; the text is empty if the key is lost.
func decodeEntry(key string, text []byte, value *snapshot) bool {
	return decode(key, text, value) == nil && value.verify(key) == nil
}

// findChain walks back from the head to the chain that ends at version; the error wraps ErrVersionNotFound if there is none.
func findChain(ctx context.Context, s Store, head record.ConfigHead, version uint64) (deltaChain, error) {
	c := chainOf(head)
	for {
		if found, ok := c.upTo(version); ok {
			return found, nil
		}
		if oldest, _, ok := parseKey(c.Snapshot); !ok || version >= oldest {
			return deltaChain{}, fmt.Errorf("%w: version %d, the newest is %d", ErrVersionNotFound, version, head.Version)
		}
		var value snapshot
		e, err := readEntry(ctx, s, c.Snapshot, &value)
		if err != nil {
			return deltaChain{}, err
		}
		if value.Previous == nil {
			return deltaChain{}, fmt.Errorf("%w: version %d, the oldest is %d", ErrVersionNotFound, version, e.Version)
		}
		c = *value.Previous
	}
}

// ReadVersion returns the configuration of a version; the error wraps ErrVersionNotFound if the history does not hold it.
func ReadVersion(ctx context.Context, s Store, head record.ConfigHead, version uint64) (fleet.Fleet, error) {
	c, err := findChain(ctx, s, head, version)
	if err != nil {
		return fleet.Fleet{}, err
	}
	a, err := Assembly{}.extend(ctx, s, c, version)
	if err != nil {
		return fleet.Fleet{}, err
	}
	return a.Fleet, nil
}

// Rollback applies the content of version to as a new, higher version.
func Rollback(ctx context.Context, s Store, to uint64, c Change) (ApplyResult, error) {
	var old Assembly // reused by the next attempt
	err := retry(ctx, func() error {
		head, _, err := ReadHead(ctx, s)
		if err != nil {
			return err
		}
		target, err := findChain(ctx, s, head, to)
		if err != nil {
			return err
		}
		old, err = old.extend(ctx, s, target, to)
		c.Fleet = old.Fleet
		return err
	})
	if err != nil {
		return ApplyResult{}, fmt.Errorf("roll back to version %d: %w", to, err)
	}
	return Apply(ctx, s, c)
}
