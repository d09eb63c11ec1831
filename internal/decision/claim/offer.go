package claim

import (
	"time"

	"teaselloft/internal/model/cluster"
)

// Times after which an owner whose writes the store does not carry out offers its duty to other daemons. Without an offer
// they wait for the end of its lease, which takes 2 s.
const (
	// refusedTimeout covers a short excess of the store's rate limit.
	refusedTimeout = 150 * time.Millisecond
	// unansweredTimeout covers a lost answer, after which the write is repeated.
	unansweredTimeout = 500 * time.Millisecond
	// minOfferInterval is the time between the first two offers. It doubles with each one, since in an outage for all daemons
	// none can take a duty over.
	minOfferInterval = 400 * time.Millisecond
	maxOfferInterval = 3200 * time.Millisecond
	// offerTenure is how long an owner keeps a duty at least. Otherwise daemons would hand it to each other while the store
	// carries out takeovers but not the writes that follow, and each takeover reads all records of the duty.
	offerTenure = maxOfferInterval
	// minFailures is the number of writes in succession that must have failed.
	minFailures = 2
	// maxSuccessors is the number of daemons that one offer asks. The store may refuse a third of them.
	maxSuccessors = 4
)

// WriteFailures counts the writes of a duty in succession that the store has not carried out. It is immutable.
type WriteFailures struct {
	since     time.Duration // first of them
	count     int
	refused   bool          // the store has answered the last one
	offers    int           // offers since the last success
	offeredAt time.Duration // last offer, 0 if there was none
	ownedAt   time.Duration // when the duty was taken over
}

// NewWriteFailures returns the count of an owner that has just taken a duty over.
func NewWriteFailures(now time.Duration) WriteFailures { return WriteFailures{ownedAt: now} }

// WithFailure returns a copy after a write that the store refused or did not answer.
func (f WriteFailures) WithFailure(now time.Duration, refused bool) WriteFailures {
	if f.count == 0 {
		f.since = now
	}
	f.count++
	f.refused = refused
	return f
}

// WithSuccess returns a copy after a write that the store has answered.
func (f WriteFailures) WithSuccess() WriteFailures {
	return WriteFailures{offeredAt: f.offeredAt, ownedAt: f.ownedAt}
}

// WithOffer returns a copy after the duty was offered.
func (f WriteFailures) WithOffer(now time.Duration) WriteFailures {
	f.offers++
	f.offeredAt = now
	return f
}

// offerInterval returns the time between the last offer and the next one.
func (f WriteFailures) offerInterval() time.Duration {
	interval := minOfferInterval
	for n := 1; n < f.offers && interval < maxOfferInterval; n++ {
		interval *= 2
	}
	return interval
}

// OfferDue reports whether the duty should be offered to other daemons.
func (f WriteFailures) OfferDue(now time.Duration) bool {
	timeout := unansweredTimeout
	if f.refused {
		timeout = refusedTimeout
	}
	return f.count >= minFailures && now-f.since >= timeout && now-f.ownedAt >= offerTenure && (f.offeredAt == 0 || now-f.offeredAt >= f.offerInterval())
}

// Successors returns the daemons to which a duty is offered, in the order in which they would claim it.
func Successors(d cluster.Directory, self, duty string) []cluster.Member {
	load := map[string]int{}
	for _, o := range d.Owners {
		if o.Duty != duty {
			load[o.Name]++
		}
	}
	var out []cluster.Member
	for _, name := range candidates(d, duty, load) {
		if name != self && len(out) < maxSuccessors {
			out = append(out, d.Members[name])
		}
	}
	return out
}
