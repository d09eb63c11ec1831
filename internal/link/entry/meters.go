package entry

import (
	"maps"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// meters are the plug-in's metrics.
type meters struct {
	sent, received, bytes          metrics.Counter
	lost                           metrics.Counter // frames and events that were not delivered
	cut                            metrics.Counter // frames dropped by a failure test
	malformed, oversized, unknown  metrics.Counter
	refused, dials, failed, broken metrics.Counter
	unauthorized                   metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("entry."+name, r) }
	return meters{
		sent:         counter("sent"),
		received:     counter("received"),
		bytes:        counter("bytes"),
		lost:         counter("lost"),
		cut:          counter("cut"),
		malformed:    counter("malformed"),
		oversized:    counter("oversized"),
		unknown:      counter("unknown"),
		refused:      counter("refused"),
		dials:        counter("dials"),
		failed:       counter("dials.failed"),
		broken:       counter("broken"),
		unauthorized: counter("unauthorized"),
	}
}

func (s *sessions) list() []Session {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]Session, 0, len(s.open))
	for _, key := range slices.Sorted(maps.Keys(s.open)) {
		all = append(all, s.open[key])
	}
	return all
}
