package dispatch

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/benbjohnson/immutable"
)

// claim is the claim of one idempotency key by a request.
type claim struct {
	record.ClaimEntry
	position uint64 // order in the claim value, 0 if the claim is in a segment
	stored   bool   // the store is known to hold this claim
	unused   bool   // Request has no grant and certainly did not run
	ended    bool   // the grant of Request has ended, and Request ran or may have run
}

// segment is an immutable set of stored claims. All segments that an owner finds in the store when its epoch starts are
// held as one segment with several keys.
type segment struct {
	keys     []string  // in the store
	revision int64     // of the key; 0 if unknown
	newest   time.Time // upper bound of the claim times
	hashes   []string
}

// claims holds the claims of all keys, and for each claim whether it is in the claim value or in a segment.
type claims struct {
	byHash   *immutable.Map[string, claim]
	inValue  *immutable.SortedMap[uint64, string] // hashes of the keys in the claim value, by position
	size     int                                  // estimated bytes of the claim value
	position uint64                               // latest position assigned
	segments []segment
}

func newClaims() claims {
	return claims{
		byHash:  immutable.NewMap[string, claim](stringHasher{}),
		inValue: immutable.NewSortedMap[uint64, string](sequenceOrder{}),
	}
}

// claimOverhead is the size in bytes of a claim's JSON without its strings.
const claimOverhead = 64

func claimSize(c record.ClaimEntry) int {
	return len(c.Hash) + len(c.Entry) + len(c.Request) + claimOverhead
}

// Get returns the claim of a key.
func (c claims) Get(hash string) (claim, bool) {
	return c.byHash.Get(hash)
}

// With returns a copy with the claim added to the claim value, replacing an older claim of the key.
func (c claims) With(added claim) claims {
	c = c.Without(added.Hash)
	c.position++
	added.position = c.position
	c.size += claimSize(added.ClaimEntry)
	c.byHash = c.byHash.Set(added.Hash, added)
	c.inValue = c.inValue.Set(added.position, added.Hash)
	return c
}

// Without returns a copy without the claim of the key.
func (c claims) Without(hash string) claims {
	old, ok := c.byHash.Get(hash)
	if !ok {
		return c
	}
	c.byHash = c.byHash.Delete(hash)
	if old.position > 0 {
		c.inValue = c.inValue.Delete(old.position)
		c.size -= claimSize(old.ClaimEntry)
	}
	return c
}

// WithChanged returns a copy with the key's claim replaced; its position stays.
func (c claims) WithChanged(changed claim) claims {
	c.byHash = c.byHash.Set(changed.Hash, changed)
	return c
}

// WithLoaded returns the claims read from the store at the start of an epoch.
func (c claims) WithLoaded(value record.Claim, older []record.ClaimEntry, now time.Time) claims {
	c = newClaims()
	for _, e := range value.Entries {
		c = c.With(claim{ClaimEntry: e, stored: true})
	}
	inherited := segment{keys: slices.Clone(value.Segments), newest: now}
	for _, e := range older {
		if _, ok := c.byHash.Get(e.Hash); ok {
			continue
		}
		c.byHash = c.byHash.Set(e.Hash, claim{ClaimEntry: e, stored: true})
		inherited.hashes = append(inherited.hashes, e.Hash)
	}
	if len(inherited.keys) > 0 {
		c.segments = []segment{inherited}
	}
	return c
}

// claimValue is the content of the claim value to write; unstored lists the entries that may not be in the store yet.
type claimValue struct {
	entries  []record.ClaimEntry
	unstored []record.ClaimEntry
}

// WithPruned returns a copy without unused and expired claims in the claim value, and the value to write.
func (c claims) WithPruned(oldest time.Time) (claims, claimValue) {
	v := claimValue{entries: make([]record.ClaimEntry, 0, c.inValue.Len())}
	it := c.inValue.Iterator()
	for !it.Done() {
		_, hash, _ := it.Next()
		cl, _ := c.byHash.Get(hash)
		switch {
		case cl.unused || cl.Time < oldest.UnixMilli():
			c = c.Without(hash)
			continue
		case !cl.stored:
			v.unstored = append(v.unstored, cl.ClaimEntry)
		}
		v.entries = append(v.entries, cl.ClaimEntry)
	}
	return c, v
}

// WithoutExpiredSegments returns a copy without the segments whose claims have all expired, and those segments.
func (c claims) WithoutExpiredSegments(oldest time.Time) (claims, []segment) {
	var kept, dropped []segment
	for _, seg := range c.segments {
		if !seg.newest.Before(oldest) {
			kept = append(kept, seg)
			continue
		}
		dropped = append(dropped, seg)
		for _, hash := range seg.hashes {
			if cl, ok := c.byHash.Get(hash); ok && cl.position == 0 {
				c.byHash = c.byHash.Delete(hash)
			}
		}
	}
	c.segments = kept
	return c, dropped
}

// WithSegment returns a copy with a new segment, to which its claims have moved from the claim value.
func (c claims) WithSegment(seg segment) claims {
	for _, hash := range seg.hashes {
		cl, ok := c.byHash.Get(hash)
		if !ok || cl.position == 0 {
			continue
		}
		c.inValue = c.inValue.Delete(cl.position)
		c.size -= claimSize(cl.ClaimEntry)
		cl.position = 0
		c.byHash = c.byHash.Set(hash, cl)
	}
	c.segments = append(slices.Clone(c.segments), seg)
	return c
}

// SegmentKeys returns the store keys of all segments.
func (c claims) SegmentKeys() []string {
	var keys []string
	for _, seg := range c.segments {
		keys = append(keys, seg.keys...)
	}
	return keys
}

// newClaimEntry returns the claim of a request that is about to claim its key.
func newClaimEntry(t ticket, now time.Time) record.ClaimEntry {
	return record.ClaimEntry{Hash: t.hash, Entry: t.entry, Request: t.request.ID.String(), Time: now.UnixMilli()}
}

// belongsTo reports whether the key is claimed by the request.
func (c claim) belongsTo(id message.ID) bool {
	return c.Request == id.String()
}

// parseSegmentKey returns the segment with the given key in the store, without its entries.
func parseSegmentKey(service, key string) (record.ClaimSegment, bool) {
	_, text, found := strings.Cut(key, record.PrefixClaim+service+"/")
	if !found {
		return record.ClaimSegment{}, false
	}
	number, err := strconv.ParseUint(text, 10, 64)
	return record.ClaimSegment{Service: service, Number: number}, err == nil
}
