package interference

import (
	"math"
	"time"
)

// Belief is an estimated value with its variance, as in a Kalman filter that neglects covariances. It is immutable; the
// zero value is unknown.
type Belief struct {
	mean, variance float64
	count          int // observations, at most maxCount
	at             time.Duration
}

const maxCount = 1 << 16

// drift is how a true value changes while it isn't observed: its variance grows up to that of the prior, and its mean
// decays towards that of the prior, 0.
type drift struct {
	prior  float64 // variance of an unknown value
	growth float64 // of the variance in a second
	decay  time.Duration
}

// Drifts, in terms of logarithms of factors.
var (
	// The behaviour of an image changes within seconds, but a pair that is kept apart isn't observed any more. With these
	// values a pair is forgotten after about half a minute.
	pairDrift = drift{prior: 0.1, growth: 0.003, decay: 2 * time.Minute}
	// An executor is at most a few percent slower than others in general; a slow one stays so.
	slownessDrift = drift{prior: 0.05, growth: 0.0001, decay: 5 * time.Minute}
	// The load of a service, and with it the level of its tail latency, changes within seconds.
	serviceDrift = drift{prior: 1, growth: 0.02, decay: math.MaxInt64}
)

// after returns the belief at a later time.
func (b Belief) after(now time.Duration, d drift) Belief {
	if b.count == 0 {
		return Belief{variance: d.prior, at: now}
	}
	elapsed := max(0, now-b.at)
	b.at = now
	b.variance = min(d.prior, b.variance+d.growth*elapsed.Seconds())
	if d.decay != math.MaxInt64 {
		b.mean *= math.Exp(-elapsed.Seconds() / d.decay.Seconds())
	}
	return b
}

// updated returns the belief after an observation of a sum with a residual, in which the value has the given coefficient.
func (b Belief) updated(coefficient, residual, total float64) Belief {
	gain := b.variance * coefficient / total
	b.mean += gain * residual
	b.variance *= 1 - gain*coefficient
	b.count = min(b.count+1, maxCount)
	return b
}
