package store

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"teaselloft/internal/model/record"
)

const (
	prefixSnapshot = record.PrefixConfig + "snapshot/"
	prefixDelta    = record.PrefixConfig + "delta/"

	// maxDeltas bounds the merge patches that a reader applies to a snapshot.
	maxDeltas = 50
	// maxValue is the platform's limit for a value, in bytes.
	maxValue = 1 << 20
)

// chain names a snapshot and the deltas that follow it.
type chain struct {
	Snapshot string   `json:"snapshot"`
	Deltas   []string `json:"deltas"`
}

// stamp says which change made a version.
type stamp struct {
	Version uint64    `json:"version"`
	Change  string    `json:"change"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
}

// snapshot is the value of a key config/snapshot/V-ID.
type snapshot struct {
	stamp
	Previous *chain          `json:"previous,omitempty"` // of the version before
	Document json.RawMessage `json:"document"`
}

// delta is the value of a key config/delta/V-ID; its patch makes version V from V-1.
type delta struct {
	stamp
	Patch json.RawMessage `json:"patch"`
}

func chainOf(h record.ConfigHead) chain {
	return chain{Snapshot: h.Snapshot, Deltas: h.Deltas}
}

// last returns the key of the chain's newest version.
func (c chain) last() string {
	if len(c.Deltas) > 0 {
		return c.Deltas[len(c.Deltas)-1]
	}
	return c.Snapshot
}

// upTo returns the part of the chain that makes a version, and false when the version is not in it.
func (c chain) upTo(version uint64) (chain, bool) {
	first, _, ok := parseKey(c.Snapshot)
	if !ok || version < first || version > first+uint64(len(c.Deltas)) {
		return chain{}, false
	}
	return chain{Snapshot: c.Snapshot, Deltas: c.Deltas[:version-first]}, true
}

func snapshotKey(version uint64, change string) string {
	return fmt.Sprintf("%s%d-%s", prefixSnapshot, version, change)
}

func deltaKey(version uint64, change string) string {
	return fmt.Sprintf("%s%d-%s", prefixDelta, version, change)
}

// parseKey returns the version and the change id in a key.
func parseKey(key string) (version uint64, change string, ok bool) {
	name, ok := strings.CutPrefix(key, prefixSnapshot)
	if !ok {
		name, ok = strings.CutPrefix(key, prefixDelta)
	}
	number, change, found := strings.Cut(name, "-")
	version, err := strconv.ParseUint(number, 10, 64)
	return version, change, ok && found && err == nil
}

// decode fills value from the text at key; its error wraps ErrCorrupt.
func decode(key string, text []byte, value any) error {
	if err := json.Unmarshal(text, value); err != nil {
		return fmt.Errorf("%w: key %q: %w", ErrCorrupt, key, err)
	}
	return nil
}

// verify checks that a value belongs to its key.
func (s stamp) verify(key string) error {
	version, change, ok := parseKey(key)
	if !ok || version != s.Version || change != s.Change {
		return fmt.Errorf("%w: key %q holds version %d of change %q", ErrCorrupt, key, s.Version, s.Change)
	}
	return nil
}
