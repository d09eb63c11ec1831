package dispatch

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"time"

	"teaselloft/internal/model/message"

	"github.com/cespare/xxhash/v2"
)

// claimHash returns the hash under which claims hold an idempotency key: 96 bits of SHA-256.
func claimHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return base64.RawURLEncoding.EncodeToString(sum[:12])
}

// idHasher hashes request identifiers. Most identifiers differ only in their sequence.
type idHasher struct{}

func (idHasher) Hash(id message.ID) uint32 {
	h := (id.Sequence + 1) * 0x9e3779b97f4a7c15
	h ^= xxhash.Sum64String(id.Entry) + xxhash.Sum64String(id.Incarnation)
	return uint32(h ^ h>>32)
}

func (idHasher) Equal(a, b message.ID) bool {
	return a == b
}

// stringHasher hashes strings.
type stringHasher struct{}

func (stringHasher) Hash(s string) uint32 {
	h := xxhash.Sum64String(s)
	return uint32(h ^ h>>32)
}

func (stringHasher) Equal(a, b string) bool {
	return a == b
}

// deadlineKey orders deadlines; equal ones are ordered by sequence.
type deadlineKey struct {
	at       time.Time
	sequence uint64
}

type deadlineOrder struct{}

func (deadlineOrder) Compare(a, b deadlineKey) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.sequence, b.sequence))
}

type sequenceOrder struct{}

func (sequenceOrder) Compare(a, b uint64) int {
	return cmp.Compare(a, b)
}

// turn is the place of a caller in the order in which the callers of a lane are served.
type turn struct {
	start  time.Duration // work granted to the caller, on the scale of the lane's virtual time
	caller string
}

type turnOrder struct{}

func (turnOrder) Compare(a, b turn) int {
	return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.caller, b.caller))
}
