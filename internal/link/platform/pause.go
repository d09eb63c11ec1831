package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Bounds of the pauses after failures.
const (
	firstPause = 50 * time.Millisecond
	// longestPause bounds how long a duty goes on waiting after an outage ended.
	longestPause = time.Second
)

// newBackoff returns growing pauses with jitter, so that the entry instances do not call together after an outage.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstPause
	b.MaxInterval = longestPause
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
