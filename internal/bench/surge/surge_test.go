package surge_test

import (
	"testing"

	"teaselloft/internal/bench/surge"

	qt "github.com/frankban/quicktest"
)

// Guards against an owner that ends fewer jobs in time the more are submitted, because all of them wait in its ring.
func TestGoodputStaysFlatPastPeak(t *testing.T) {
	c := qt.New(t)
	best := 0.0
	for _, rate := range surge.Rates {
		r := surge.Run(surge.Saturating(rate))
		t.Logf("%+v", r)
		best = max(best, r.InTime)
		c.Check(r.InTime >= 0.9*best, qt.IsTrue, qt.Commentf("%.0f of at least %.0f jobs a second in time, %.0f submitted", r.InTime, best, r.Offered))
	}
}
