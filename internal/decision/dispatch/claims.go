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

// claim is one claimed key.
type claim struct {
	record.ClaimEntry
	position uint64 // in the claim value, 0 when it is in a segment or not written
	stored   bool   // certainly in the store, under Request
	unused   bool   // certainly did not run and has no grant
	ended    bool   // ran, or may have run, under Request
}

// segment is a set of claims that is not rewritten.
type segment struct {
	keys     []string // of the store; several for the segments of earlier epochs
	revision int64    // 0 when unknown
	newest   time.Time
	hashes   []string
}

// claims holds the claimed keys and their place in the store.
type claims struct {
	byHash   *immutable.Map[string, claim]
	current  *immutable.SortedMap[uint64, string] // hashes of the claim value by position
	size     int                                  // bytes of the claim value, estimated
	position uint64
	segments []segment
}

func newClaims() claims {
	return claims{
		byHash:  immutable.NewMap[string, claim](stringHasher{}),
		current: immutable.NewSortedMap[uint64, string](sequenceOrder{}),
	}
}

// claimOverhead is the size of an entry's JSON apart from its strings.
const claimOverhead = 64

func claimSize(c record.ClaimEntry) int {
	return len(c.Hash) + len(c.Entry) + len(c.Request) + claimOverhead
}

// Get returns the claim of a key.
func (c claims) Get(hash string) (claim, bool) {
	return c.byHash.Get(hash)
}

// With returns a copy with the claim in the claim value, in place of an older claim of the key.
func (c claims) With(n claim) claims {
	c = c.Without(n.Hash)
	c.position++
	n.position = c.position
	c.size += claimSize(n.ClaimEntry)
	c.byHash = c.byHash.Set(n.Hash, n)
	c.current = c.current.Set(n.position, n.Hash)
	return c
}

// Without returns a copy without the key.
func (c claims) Without(hash string) claims {
	old, ok := c.byHash.Get(hash)
	if !ok {
		return c
	}
	c.byHash = c.byHash.Delete(hash)
	if old.position > 0 {
		c.current = c.current.Delete(old.position)
		c.size -= claimSize(old.ClaimEntry)
	}
	return c
}

// WithChanged returns a copy in which the key's claim is changed in place.
func (c claims) WithChanged(n claim) claims {
	c.byHash = c.byHash.Set(n.Hash, n)
	return c
}

// WithStart returns the claims as read from the store at the start of an epoch.
func (c claims) WithStart(value record.Claim, older []record.ClaimEntry, now time.Time) claims {
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

// value is the content of the claim value and what of it the store does not certainly hold.
type value struct {
	entries []record.ClaimEntry
	fresh   []record.ClaimEntry
}

// WithValue returns a copy without unused and expired claims of the claim value, and that value.
func (c claims) WithValue(oldest time.Time) (claims, value) {
	v := value{entries: make([]record.ClaimEntry, 0, c.current.Len())}
	it := c.current.Iterator()
	for !it.Done() {
		_, hash, _ := it.Next()
		n, _ := c.byHash.Get(hash)
		switch {
		case n.unused || n.Time < oldest.UnixMilli():
			c = c.Without(hash)
			continue
		case !n.stored:
			v.fresh = append(v.fresh, n.ClaimEntry)
		}
		v.entries = append(v.entries, n.ClaimEntry)
	}
	return c, v
}

// WithoutSegments returns a copy without the segments whose claims are all expired, and those segments.
func (c claims) WithoutSegments(oldest time.Time) (claims, []segment) {
	var kept, dropped []segment
	for _, g := range c.segments {
		if !g.newest.Before(oldest) {
			kept = append(kept, g)
			continue
		}
		dropped = append(dropped, g)
		for _, hash := range g.hashes {
			if n, ok := c.byHash.Get(hash); ok && n.position == 0 {
				c.byHash = c.byHash.Delete(hash)
			}
		}
	}
	c.segments = kept
	return c, dropped
}

// WithSegment returns a copy in which the given claims have moved to a written segment.
func (c claims) WithSegment(g segment) claims {
	for _, hash := range g.hashes {
		n, ok := c.byHash.Get(hash)
		if !ok || n.position == 0 {
			continue
		}
		c.current = c.current.Delete(n.position)
		c.size -= claimSize(n.ClaimEntry)
		n.position = 0
		c.byHash = c.byHash.Set(hash, n)
	}
	c.segments = append(slices.Clone(c.segments), g)
	return c
}

// Keys returns the store keys of all segments.
func (c claims) Keys() []string {
	var keys []string
	for _, g := range c.segments {
		keys = append(keys, g.keys...)
	}
	return keys
}

// claimed returns the record for a request that is about to claim its key.
func claimed(t ticket, now time.Time) record.ClaimEntry {
	return record.ClaimEntry{Hash: t.hash, Entry: t.from, Request: t.request.ID.String(), Time: now.UnixMilli()}
}

// holds reports whether the claim names the request.
func (n claim) holds(id message.ID) bool {
	return n.Request == id.String()
}

// segmentOf returns the segment with the given key of the store.
func segmentOf(service, key string) (record.ClaimSegment, bool) {
	_, text, found := strings.Cut(key, record.PrefixClaim+service+"/")
	if !found {
		return record.ClaimSegment{}, false
	}
	number, err := strconv.ParseUint(text, 10, 64)
	return record.ClaimSegment{Service: service, Number: number}, err == nil
}
