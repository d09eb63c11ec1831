package clock_test

import (
	"testing"
	"time"

	"teaselloft/internal/core/clock"

	qt "github.com/frankban/quicktest"
)

// Guards against a clock that does not advance between two reads.
func TestSinceBootAdvances(t *testing.T) {
	c := qt.New(t)
	before := clock.SinceBoot()
	time.Sleep(2 * time.Millisecond)
	c.Assert(clock.SinceBoot()-before >= 2*time.Millisecond, qt.IsTrue)
}
