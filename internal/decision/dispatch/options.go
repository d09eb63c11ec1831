package dispatch

import "time"

// Options are the parameters of the dispatch decisions.
type Options struct {
	LongCap          float64       // largest share of slots that long requests hold; 1 for no cap
	PeakHalfLife     time.Duration // half-life of the peak of short requests; long ones may use slots beyond; 0 for a fixed cap
	UrgentReserve    float64       // share of the service's slots kept for urgent requests; 0 for none
	LongFactor       float64       // a kind is long if its 90th percentile exceeds this multiple of the service median
	AgingDelay       time.Duration // wait after which a lower class gets one of AgingPeriod grants
	AgingPeriod      int           // grants
	QueueLimit       int           // most queued requests of all callers
	CallerQueueLimit int           // most queued requests of one caller
	FailureThreshold int           // consecutive failures after which an executor is ejected
	BaseEjection     time.Duration // duration of the first ejection; doubles up to MaxEjection
	MaxEjection      time.Duration
	DrainTimeout     time.Duration // longest life of a grant, after which an unreachable member's grants have ended
	GatherRetry      time.Duration // interval of GatherGrants frames to a member that has not answered
	GracePeriod      time.Duration // life of a grant after its request's deadline, since the executor may still run it
	Retention        time.Duration // how long claims are kept
	MaxClaimSize     int           // bytes of the claim value above which its entries move to a segment
	Backoff          time.Duration // pause between claim writes after the platform was unavailable
}

// Defaults returns the default options, which are based on the benchmarks in internal/bench/dispatch.
func Defaults() Options {
	return Options{
		LongCap:          5.0 / 8,
		PeakHalfLife:     time.Second, // refuses half as many requests as a fixed cap; 5 s gave no gain
		UrgentReserve:    1.0 / 8,
		LongFactor:       4,
		AgingDelay:       2 * time.Second,
		AgingPeriod:      16,
		QueueLimit:       4096,
		CallerQueueLimit: 1024,
		FailureThreshold: 3,
		BaseEjection:     5 * time.Second,
		MaxEjection:      time.Minute,
		DrainTimeout:     60 * time.Second, // the longest Request-Timeout plus GracePeriod
		GatherRetry:      250 * time.Millisecond,
		GracePeriod:      30 * time.Second,
		Retention:        time.Hour,
		MaxClaimSize:     32 << 10,
		Backoff:          250 * time.Millisecond,
	}
}
