package ring

import (
	"context"
	"errors"
	"fmt"

	"github.com/rcrowley/go-metrics"
)

// ErrFull is returned by Push on a full ring with the Refuse policy.
var ErrFull = errors.New("ring is full")

// Policy says what Push does on a full ring.
type Policy int

const (
	// Block makes Push wait until there is room or its context ends.
	Block Policy = iota
	// Refuse makes Push return ErrFull at once.
	Refuse
)

// Ring is a bounded first-in, first-out queue between duties.
type Ring[T any] struct {
	name    string
	policy  Policy
	items   chan T
	refused metrics.Counter
}

// New returns a ring of capacity items that reports ring.NAME.depth and ring.NAME.refused to r.
func New[T any](name string, capacity int, policy Policy, r metrics.Registry) *Ring[T] {
	g := &Ring[T]{
		name:    name,
		policy:  policy,
		items:   make(chan T, capacity),
		refused: metrics.GetOrRegisterCounter("ring."+name+".refused", r),
	}
	depth := func() int64 { return int64(len(g.items)) }
	r.GetOrRegister("ring."+name+".depth", func() metrics.Gauge {
		return metrics.NewFunctionalGauge(depth)
	})
	return g
}

// Reply returns an unnamed ring of one item for the answer to one message; it reports no metrics.
func Reply[T any]() *Ring[T] {
	return &Ring[T]{name: "reply", policy: Refuse, items: make(chan T, 1), refused: metrics.NilCounter{}}
}

// Push appends v; it returns ErrFull on a full ring with the Refuse policy, or the context's error.
func (g *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case g.items <- v:
		return nil
	default:
	}
	if g.policy == Refuse {
		g.refused.Inc(1)
		return fmt.Errorf("push to ring %q: %w", g.name, ErrFull)
	}
	return g.PushWait(ctx, v)
}

// PushWait appends v, waiting for room or the end of the context under any policy.
//
// It is for messages that must not be refused, such as the end of work in flight.
func (g *Ring[T]) PushWait(ctx context.Context, v T) error {
	select {
	case g.items <- v:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("push to ring %q: %w", g.name, context.Cause(ctx))
	}
}

// Pull removes the oldest item, waiting until there is one or the context ends.
func (g *Ring[T]) Pull(ctx context.Context) (T, error) {
	select {
	case v := <-g.items:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, fmt.Errorf("pull from ring %q: %w", g.name, context.Cause(ctx))
	}
}

// Items returns the receiving side, for a duty that waits on a ring and a timer together.
func (g *Ring[T]) Items() <-chan T {
	return g.items
}

// Len returns the number of waiting items.
func (g *Ring[T]) Len() int {
	return len(g.items)
}
