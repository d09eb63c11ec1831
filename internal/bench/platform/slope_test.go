package platform_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"teaselloft/internal/bench/platform"

	qt "github.com/frankban/quicktest"
)

// Guards against a slope that includes the fixed part of the load.
func TestSlope(t *testing.T) {
	c := qt.New(t)
	points := []platform.Point{{Entries: 1, Value: 8}, {Entries: 2, Value: 11}, {Entries: 4, Value: 17}}
	c.Assert(platform.Slope(points), qt.Equals, 3.0)
}

// Guards against entry instances that call the platform more often when there are more of them.
func TestRest(t *testing.T) {
	c := qt.New(t)
	load, err := platform.Rest(context.Background(), 4, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(load.Watching, qt.Equals, 4)
	// Three calls a second each, and one more of each at the edges of the window.
	c.Assert(load.Calls > 0 && load.Calls < 4*5, qt.IsTrue, qt.Commentf("%v", load))
}

// Guards against a change that is not in force everywhere, or that every entry instance reads whole.
func TestChange(t *testing.T) {
	c := qt.New(t)
	points := []platform.Point{{Entries: 1}, {Entries: 3}}
	var group sync.WaitGroup
	for i := range points {
		group.Go(func() {
			cost, err := platform.Change(context.Background(), points[i].Entries, 2)
			c.Check(err, qt.IsNil)
			points[i].Value = cost.Bytes
		})
	}
	group.Wait()
	// The configuration has about 200 KB, which the command reads and the entry instances must not.
	c.Assert(platform.Slope(points) < 50_000, qt.IsTrue, qt.Commentf("%v", points))
}
