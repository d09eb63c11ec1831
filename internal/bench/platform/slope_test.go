package platform_test

import (
	"context"
	"testing"
	"time"

	"teaselloft/internal/bench/platform"

	qt "github.com/frankban/quicktest"
)

// Guards against a slope that includes the fixed part of the load.
func TestSlope(t *testing.T) {
	c := qt.New(t)
	loads := []platform.Load{{Entries: 1, Calls: 8}, {Entries: 2, Calls: 11}, {Entries: 4, Calls: 17}}
	c.Assert(platform.Slope(loads, func(l platform.Load) float64 { return l.Calls }), qt.Equals, 3.0)
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
