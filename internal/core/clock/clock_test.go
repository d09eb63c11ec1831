package clock_test

import (
	"testing"
	"time"

	"teaselloft/internal/core/clock"

	qt "github.com/frankban/quicktest"
)

// Guards against a clock that does not advance between two reads.
func TestBootAdvances(t *testing.T) {
	c := qt.New(t)
	before := clock.Boot()
	time.Sleep(2 * time.Millisecond)
	c.Assert(clock.Boot()-before >= 2*time.Millisecond, qt.IsTrue)
}
