package dispatch

import "time"

// Options are the parameters of the dispatch decisions.
type Options struct {
	LongCap      float64       // largest share of slots that long requests hold; 1 for no cap
	CapDecay     time.Duration // half-life of the short-request peak, beyond which long ones exceed LongCap; 0 for a fixed cap
	Reserve      float64       // share of the service's slots kept for urgent requests; 0 for none
	LongFactor   float64       // a kind is long if its 90th percentile exceeds this multiple of the service median
	Aging        time.Duration // wait after which a lower class gets one of AgingPeriod grants
	AgingPeriod  int           // grants
	Queue        int           // most queued requests of all callers
	CallerQueue  int           // most queued requests of one caller
	Failures     int           // consecutive failures after which an executor is ejected
	Ejection     time.Duration // duration of the first ejection; doubles up to EjectionMost
	EjectionMost time.Duration
	Drain        time.Duration // longest life of a grant, after which an unreachable member's grants have ended
	Remind       time.Duration // interval of Gather frames to a member that has not answered
	Linger       time.Duration // time that a grant outlives its request's deadline, since the executor may still run it
	Retention    time.Duration // how long claims are kept
	ClaimSize    int           // bytes of the claim value above which its entries move to a segment
	Backoff      time.Duration // pause between claim writes after the platform was unavailable
}

// Defaults returns the default options, which are based on the benchmarks in internal/bench/dispatch.
func Defaults() Options {
	return Options{
		LongCap:      5.0 / 8,
		CapDecay:     time.Second, // refuses half as many requests as a fixed cap; 5 s gave no gain
		Reserve:      1.0 / 8,
		LongFactor:   4,
		Aging:        2 * time.Second,
		AgingPeriod:  16,
		Queue:        4096,
		CallerQueue:  1024,
		Failures:     3,
		Ejection:     5 * time.Second,
		EjectionMost: time.Minute,
		Drain:        60 * time.Second, // the longest Request-Timeout plus Linger
		Remind:       250 * time.Millisecond,
		Linger:       30 * time.Second,
		Retention:    time.Hour,
		ClaimSize:    32 << 10,
		Backoff:      250 * time.Millisecond,
	}
}
