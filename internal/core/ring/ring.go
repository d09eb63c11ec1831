package ring

import (
	"context"
	"errors"
	"fmt"

	"github.com/rcrowley/go-metrics"
)

// ErrFull is wrapped by the error of Push on a full ring with the Refuse policy.
var ErrFull = errors.New("ring is full")

// Policy determines what Push does on a full ring.
type Policy int

const (
	// Block makes Push wait until there is room or its context is done.
	Block Policy = iota
	// Refuse makes Push return ErrFull immediately.
	Refuse
)

// Ring is a bounded FIFO queue between duties, safe for concurrent use.
type Ring[T any] struct {
	name    string
	policy  Policy
	items   chan T
	refused metrics.Counter
}

// New returns a ring for capacity items; it registers the metrics ring.NAME.depth and ring.NAME.refused with r.
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

// NewReply returns a ring of one item for the reply to a single message; it registers no metrics.
func NewReply[T any]() *Ring[T] {
	return &Ring[T]{name: "reply", policy: Refuse, items: make(chan T, 1), refused: metrics.NilCounter{}}
}

// Push appends v. On a full ring it waits with the Block policy, and returns an error that wraps ErrFull with Refuse.
//
// The context ends only the wait, with an error that wraps its cause: while there is room, v is appended even after
// the context is done.
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

// PushWait appends v, waiting for room under any policy until the context is done; its error wraps the context's cause.
//
// It is for messages that must not be refused, such as the completion of work in flight.
func (g *Ring[T]) PushWait(ctx context.Context, v T) error {
	select {
	case g.items <- v:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("push to ring %q: %w", g.name, context.Cause(ctx))
	}
}

// Pull removes and returns the oldest item, waiting until there is one or the context is done.
func (g *Ring[T]) Pull(ctx context.Context) (T, error) {
	select {
	case v := <-g.items:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, fmt.Errorf("pull from ring %q: %w", g.name, context.Cause(ctx))
	}
}

// Items returns the receive channel, for a duty that selects over a ring and a timer.
func (g *Ring[T]) Items() <-chan T {
	return g.items
}

// Len returns the number of queued items.
func (g *Ring[T]) Len() int {
	return len(g.items)
}
