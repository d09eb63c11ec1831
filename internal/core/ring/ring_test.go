package ring_test

import (
	"context"
	"testing"
	"time"

	"teaselloft/internal/core/ring"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// Guards against a full ring that drops an item without an error to the producer.
func TestRefuseReportsFullRing(t *testing.T) {
	c := qt.New(t)
	r := metrics.NewRegistry()
	g := ring.New[int]("test", 2, ring.Refuse, r)
	ctx := context.Background()
	c.Assert(g.Push(ctx, 1), qt.IsNil)
	c.Assert(g.Push(ctx, 2), qt.IsNil)
	c.Assert(g.Push(ctx, 3), qt.ErrorIs, ring.ErrFull)
	c.Assert(r.Get("ring.test.refused").(metrics.Counter).Count(), qt.Equals, int64(1))
	v, err := g.Pull(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(v, qt.Equals, 1)
}

// Guards against a producer that stays blocked after its context is done.
func TestBlockEndsWithContext(t *testing.T) {
	c := qt.New(t)
	g := ring.New[int]("test", 1, ring.Block, metrics.NewRegistry())
	c.Assert(g.Push(context.Background(), 1), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	c.Assert(g.Push(ctx, 2), qt.ErrorIs, context.DeadlineExceeded)
}
