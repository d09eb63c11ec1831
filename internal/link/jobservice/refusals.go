package jobservice

import (
	"cmp"
	"slices"
	"time"

	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	"github.com/benbjohnson/immutable"
)

// refusedAs is what refused requests are counted by.
type refusedAs struct {
	account string // empty if it is not known
	queue   string
	reason  port.RefusalReason
}

// refusedRequests is how many requests were refused, and when the last one was.
type refusedRequests struct {
	count int64
	last  time.Duration
}

// maxRefusals bounds the counters, because accounts and queues that no configuration has any more keep theirs. It covers
// 98 accounts on ten queues each.
const maxRefusals = 1000

// refusals counts the refused requests of a daemon since its start. It is immutable.
type refusals struct {
	counts *immutable.Map[refusedAs, refusedRequests]
}

// refusalHasher implements immutable.Hasher.
type refusalHasher struct{ text immutable.Hasher[string] }

// Hash implements immutable.Hasher.
func (h refusalHasher) Hash(r refusedAs) uint32 {
	return h.text.Hash(r.account)*31 + h.text.Hash(r.queue)*17 + h.text.Hash(string(r.reason))
}

// Equal implements immutable.Hasher.
func (h refusalHasher) Equal(a, b refusedAs) bool { return a == b }

func newRefusals() refusals {
	return refusals{counts: immutable.NewMap[refusedAs, refusedRequests](refusalHasher{text: immutable.NewHasher("")})}
}

// With returns a copy that counts another request. Beyond a number of counters, the one that has not changed for the longest
// time is dropped.
func (x refusals) With(r refusedAs, now time.Duration) refusals {
	n, ok := x.counts.Get(r)
	if !ok && x.counts.Len() >= maxRefusals {
		x.counts = x.counts.Delete(x.oldest())
	}
	x.counts = x.counts.Set(r, refusedRequests{count: n.count + 1, last: now})
	return x
}

func (x refusals) oldest() (oldest refusedAs) {
	last := time.Duration(-1)
	for i := x.counts.Iterator(); !i.Done(); {
		r, n, _ := i.Next()
		if last < 0 || n.last < last {
			oldest, last = r, n.last
		}
	}
	return oldest
}

// summary returns the counters, ordered by account, queue and reason.
func (x refusals) summary(now time.Duration) []port.Refusals {
	out := make([]port.Refusals, 0, x.counts.Len())
	for i := x.counts.Iterator(); !i.Done(); {
		r, n, _ := i.Next()
		out = append(out, port.Refusals{Account: r.account, Queue: r.queue, Reason: r.reason, Count: n.count, Age: now - n.last})
	}
	slices.SortFunc(out, func(a, b port.Refusals) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// maxRemovedKeys bounds the removed keys that a daemon remembers, at some 100 bytes each.
const maxRemovedKeys = 1000

// keyHistory holds the present keys and those that earlier configurations had, so that a refused request can be attributed
// to an account. Nothing is accepted because of it. It is immutable.
type keyHistory struct {
	config  *site.Config
	removed site.Keys
}

// With returns the history after a change of the configuration.
func (h keyHistory) With(config *site.Config) keyHistory {
	if h.config != nil {
		h.removed = h.config.Keys.Or(h.removed).Without(config.Keys, maxRemovedKeys)
	}
	h.config = config
	return h
}
