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

	// maxDeltas bounds the merge patches between two snapshots, which a reader has to fetch and apply.
	maxDeltas = 50
	// maxValueSize is the platform's limit for the size of a value, in bytes.
	maxValueSize = 1 << 20
)

// deltaChain names a snapshot and the deltas that follow it.
type deltaChain struct {
	Snapshot string   `json:"snapshot"`
	Deltas   []string `json:"deltas"`
}

// metadata identifies a version and the change that made it.
type metadata struct {
	Version uint64    `json:"version"`
	Change  string    `json:"change"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
}

// snapshot is the value of a key config/snapshot/VERSION-CHANGE.
type snapshot struct {
	metadata
	Previous *deltaChain     `json:"previous,omitempty"` // chain that ends at the preceding version
	Document json.RawMessage `json:"document"`
}

// delta is the value of a key config/delta/VERSION-CHANGE; its patch applies to the preceding version.
type delta struct {
	metadata
	Patch json.RawMessage `json:"patch"`
}

func chainOf(h record.ConfigHead) deltaChain {
	return deltaChain{Snapshot: h.Snapshot, Deltas: h.Deltas}
}

// last returns the key of the chain's newest version.
func (c deltaChain) last() string {
	if len(c.Deltas) > 0 {
		return c.Deltas[len(c.Deltas)-1]
	}
	return c.Snapshot
}

// upTo returns the part of the chain that ends at version, or false if the chain does not contain it.
func (c deltaChain) upTo(version uint64) (deltaChain, bool) {
	first, _, ok := parseKey(c.Snapshot)
	if !ok || version < first || version > first+uint64(len(c.Deltas)) {
		return deltaChain{}, false
	}
	return deltaChain{Snapshot: c.Snapshot, Deltas: c.Deltas[:version-first]}, true
}

func snapshotKey(version uint64, change string) string {
	return fmt.Sprintf("%s%d-%s", prefixSnapshot, version, change)
}

func deltaKey(version uint64, change string) string {
	return fmt.Sprintf("%s%d-%s", prefixDelta, version, change)
}

// parseKey returns the version and the change ID that a key names.
func parseKey(key string) (version uint64, change string, ok bool) {
	name, ok := strings.CutPrefix(key, prefixSnapshot)
	if !ok {
		name, ok = strings.CutPrefix(key, prefixDelta)
	}
	number, change, found := strings.Cut(name, "-")
	version, err := strconv.ParseUint(number, 10, 64)
	return version, change, ok && found && err == nil
}

// decode decodes the text at key into value; the error wraps ErrCorrupt.
func decode(key string, text []byte, value any) error {
	if err := json.Unmarshal(text, value); err != nil {
		return fmt.Errorf("%w: key %q: %w", ErrCorrupt, key, err)
	}
	return nil
}

// verify checks that the version and change of a value match its key.
func (s metadata) verify(key string) error {
	version, change, ok := parseKey(key)
	if !ok || version != s.Version || change != s.Change {
		return fmt.Errorf("%w: key %q holds version %d of change %q", ErrCorrupt, key, s.Version, s.Change)
	}
	return nil
}
