package dispatch

import "time"

// Options are the settings of a dispatch decision.
type Options struct {
	LongCap      float64       // largest share of slots that long work holds; 1 for no cap
	CapDecay     time.Duration // half-life of the peak of short work, beyond which long work gets more than LongCap; 0 for a fixed cap
	Reserve      float64       // share of the service's slots kept for urgent work; 0 for none
	LongFactor   float64       // a kind is long when its 90th percentile exceeds this many service medians
	Aging        time.Duration // wait after which a lower class gets one grant in AgingPeriod
	AgingPeriod  int           // grants
	Queue        int           // queued requests of all callers
	CallerQueue  int           // queued requests of one caller
	Failures     int           // consecutive failures that eject an executor
	Ejection     time.Duration // first ejection; doubles up to EjectionMost
	EjectionMost time.Duration
	Drain        time.Duration // longest life of a grant, after which an unreachable member's grants have ended
	Remind       time.Duration // after which a member that has not told its grants is asked again
	Linger       time.Duration // how long a grant outlives its request's deadline, while the executor may still run it
	Retention    time.Duration // how long claims are kept
	ClaimSize    int           // bytes of a claim value, above which its entries move to a segment
	Backoff      time.Duration // pause of claim writes after an unavailable platform
}

// Defaults returns the settings that the measurements in internal/bench/dispatch support.
func Defaults() Options {
	return Options{
		LongCap:      5.0 / 8,
		CapDecay:     time.Second, // refuses half as much as a fixed cap; with 5 s nothing was gained
		Reserve:      1.0 / 8,
		LongFactor:   4,
		Aging:        2 * time.Second,
		AgingPeriod:  16,
		Queue:        4096,
		CallerQueue:  1024,
		Failures:     3,
		Ejection:     5 * time.Second,
		EjectionMost: time.Minute,
		Drain:        60 * time.Second, // the longest Request-Timeout and Linger
		Remind:       250 * time.Millisecond,
		Linger:       30 * time.Second,
		Retention:    time.Hour,
		ClaimSize:    32 << 10,
		Backoff:      250 * time.Millisecond,
	}
}
