package platform

import "github.com/rcrowley/go-metrics"

// counters are the link's metrics.
type counters struct {
	undecodable metrics.Counter // values that were skipped
	published   metrics.Counter // changes
	broken      metrics.Counter // watches that ended
	reread      metrics.Counter // reads of all keys
	lost        metrics.Counter // leases
	failed      metrics.Counter // calls without an answer
	conflicts   metrics.Counter // writes
	unresolved  metrics.Counter // writes
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("platform."+name, r)
	}
	return counters{
		undecodable: counter("undecodable"),
		published:   counter("published"),
		broken:      counter("broken"),
		reread:      counter("reread"),
		lost:        counter("lost"),
		failed:      counter("failed"),
		conflicts:   counter("conflicts"),
		unresolved:  counter("unresolved"),
	}
}
