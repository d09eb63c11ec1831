package process_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"teaselloft/internal/proof/process"
)

// Guards against a way through the owner, or through another entry instance to the owner, that is no way at all,
// and prints what each costs over a direct connection.
func TestHops(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s, err := process.Start(ctx, process.Options{Entries: 2, Services: 1, Executors: 4, RunTime: 0, Bin: binaries(c), Dir: c.TempDir()})
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
	for _, way := range []struct {
		name  string
		entry int
	}{{"one", f.index}, {"two", 1 - f.index}} {
		h, err := process.Measure(ctx, s.EntryAddress(way.entry)+path, requests)
		c.Assert(err, qt.IsNil)
		c.Logf("hops=%s added=%v direct=%v latency.ratio=%.2f rate.ratio=%.2f", way.name,
			h.Median-direct.Median, direct.Median, float64(h.Median)/float64(direct.Median), h.Rate/direct.Rate)
	}
}
