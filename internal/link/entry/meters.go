package entry

import (
	"maps"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// meters holds the plug-in's metrics.
type meters struct {
	sent, received, bytes               metrics.Counter
	lost                                metrics.Counter // frames that were not sent and events that did not reach the routing duty
	partitioned                         metrics.Counter // frames dropped by simulated partitions
	malformed, oversized, unknown       metrics.Counter
	refused, dials, dialsFailed, broken metrics.Counter
	unauthorized                        metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("entry."+name, r) }
	return meters{
		sent:         counter("sent"),
		received:     counter("received"),
		bytes:        counter("bytes"),
		lost:         counter("lost"),
		partitioned:  counter("cut"),
		malformed:    counter("malformed"),
		oversized:    counter("oversized"),
		unknown:      counter("unknown"),
		refused:      counter("refused"),
		dials:        counter("dials"),
		dialsFailed:  counter("dials.failed"),
		broken:       counter("broken"),
		unauthorized: counter("unauthorized"),
	}
}

// list returns the open links in order of entry instance and direction.
func (t *linkTable) list() []LinkInfo {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := make([]LinkInfo, 0, len(t.open))
	for _, key := range slices.Sorted(maps.Keys(t.open)) {
		all = append(all, t.open[key])
	}
	return all
}
