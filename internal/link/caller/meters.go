package caller

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of latencies that a histogram keeps.
const sampleSize = 1028

// meters are the link's metrics.
type meters struct {
	open     metrics.Counter
	answered metrics.Counter
	notRun   metrics.Counter
	unknown  metrics.Counter
	replayed metrics.Counter
	retried  metrics.Counter
	departed metrics.Counter
	lost     metrics.Counter // events that the routing duty did not take
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

// took records the time of an answered request, in microseconds.
func (m meters) took(d time.Duration) {
	m.latency.Update(d.Microseconds())
}
