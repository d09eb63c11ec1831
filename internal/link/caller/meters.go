package caller

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the size of the sample that a latency histogram keeps.
const sampleSize = 1028

// meters are the link's metrics.
type meters struct {
	open     metrics.Counter
	answered metrics.Counter
	notRun   metrics.Counter
	unknown  metrics.Counter
	replayed metrics.Counter
	retried  metrics.Counter
	departed metrics.Counter // answers that could not be delivered to the caller
	lost     metrics.Counter // events that could not be delivered to the routing duty
	latency  metrics.Histogram
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("caller."+name, r) }
	return meters{
		open:     counter("open"),
		answered: counter("answered"),
		notRun:   counter("notrun"),
		unknown:  counter("unknown"),
		replayed: counter("replayed"),
		retried:  counter("retried"),
		departed: counter("departed"),
		lost:     counter("lost"),
		latency:  metrics.GetOrRegisterHistogram("caller.latency", r, metrics.NewUniformSample(sampleSize)),
	}
}

// recordLatency records the latency of an answered request in microseconds.
func (m meters) recordLatency(d time.Duration) {
	m.latency.Update(d.Microseconds())
}
