package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Bounds of the backoff after failures.
const (
	minBackoff = 50 * time.Millisecond
	// maxBackoff also bounds how long a duty keeps waiting after an outage has ended.
	maxBackoff = time.Second
)

// newBackoff returns an exponential backoff with jitter, so that the entry instances do not all call at the same time
// after an outage.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	b.RandomizationFactor = backoff.DefaultRandomizationFactor
	b.Reset()
	return b
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
