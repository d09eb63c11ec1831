package process_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"teaselloft/internal/proof/process"
)

// Guards against requests that fail on the path through the owner or through another entry instance that forwards to the
// owner. Logs the latency and throughput of each path relative to a direct connection.
func TestHops(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s, err := process.Start(ctx, process.Options{Entries: 2, Services: 1, Executors: 4, RunTime: 0, Bin: binaryDir(c), Dir: c.TempDir()})
	if s != nil {
		c.Cleanup(s.Close)
	}
	c.Assert(err, qt.IsNil)
	f := &fixture{System: s, c: c, must: func(err error) { c.Assert(err, qt.IsNil) }}
	f.findOwner()
	path := "/" + process.ServiceName(0) + "/work"
	requests := 320
	if *full {
		requests = 3200
	}
	direct, err := process.Measure(ctx, s.ExecutorAddress(0)+path, requests)
	c.Assert(err, qt.IsNil)
	for _, route := range []struct {
		name  string
		entry int
	}{{"one", f.ownerIndex}, {"two", 1 - f.ownerIndex}} {
		h, err := process.Measure(ctx, s.EntryAddress(route.entry)+path, requests)
		c.Assert(err, qt.IsNil)
		c.Logf("hops=%s added=%v direct=%v latency.ratio=%.2f rate.ratio=%.2f", route.name,
			h.Median-direct.Median, direct.Median, float64(h.Median)/float64(direct.Median), h.Rate/direct.Rate)
	}
}
