package platform

import "github.com/rcrowley/go-metrics"

// counters are the metrics of the plug-in.
type counters struct {
	undecodable  metrics.Counter // skipped values
	published    metrics.Counter // record changes
	endedWatches metrics.Counter
	fullReads    metrics.Counter // lists of all keys
	lostLeases   metrics.Counter
	failedCalls  metrics.Counter // store calls that returned an error
	conflicts    metrics.Counter // writes at an outdated revision
	unresolved   metrics.Counter // writes that were rejected or whose outcome stayed unknown
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("platform."+name, r)
	}
	return counters{
		undecodable:  counter("undecodable"),
		published:    counter("published"),
		endedWatches: counter("broken"),
		fullReads:    counter("reread"),
		lostLeases:   counter("lost"),
		failedCalls:  counter("failed"),
		conflicts:    counter("conflicts"),
		unresolved:   counter("unresolved"),
	}
}
