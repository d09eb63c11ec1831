package pool

import (
	"context"
	"sync"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/claim"
	"teaselloft/internal/decision/retry"
)

// storeHealth follows whether the store carries out the writes of a duty, and how long its answers take.
type storeHealth struct {
	mutex    sync.Mutex
	failures claim.WriteFailures
	attempt  retry.Timeout
	due      *ring.Ring[struct{}] // filled when the duty is to be offered
}

func newStoreHealth(h *kernel.Host) *storeHealth {
	return &storeHealth{failures: claim.NewWriteFailures(clock.SinceBoot()), attempt: retry.NewTimeout(initialWriteTimeout, maxWriteTimeout), due: ring.New[struct{}]("pool.offer.due", 1, ring.Refuse, h.Metrics)}
}

// failed records a write that the store refused or did not answer.
func (s *storeHealth) failed(ctx context.Context, refused bool) {
	now := clock.SinceBoot()
	s.mutex.Lock()
	s.failures = s.failures.WithFailure(now, refused)
	due := s.failures.OfferDue(now)
	if due {
		s.failures = s.failures.WithOffer(now)
	}
	s.mutex.Unlock()
	if due {
		_ = s.due.Push(ctx, struct{}{}) // an offer is already pending in a full ring
	}
}

// answered records a write that the store has answered after a time.
func (s *storeHealth) answered(elapsed time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures, s.attempt = s.failures.WithSuccess(), s.attempt.WithAnswer(elapsed)
}

// expired records an attempt at a write that got no answer within its timeout.
func (s *storeHealth) expired(timeout time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.attempt = s.attempt.WithExpiry(timeout)
}

// timeout returns the timeout of the next attempt at a write.
func (s *storeHealth) timeout() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.attempt.Value()
}
