package executor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	"github.com/rcrowley/go-metrics"
)

// Timeouts, attempts and capacities of calls to an executor.
const (
	HeartbeatMargin   = 400 * time.Millisecond // added to the wait of a heartbeat; an executor that has not answered by then counts as silent
	orderTimeout      = 200 * time.Millisecond // of the first attempt; doubled for the second
	orderAttempts     = 2                      // before the outcome counts as unknown; orders are idempotent
	OrderTimeout      = orderTimeout + 2*orderTimeout
	orderCapacity     = 512 // queued orders
	heartbeatCapacity = 2
)

// Channel sends calls to one incarnation of an executor. Its rings hold pointers, because an owner has some hundred rings
// with room for hundreds of calls.
type Channel struct {
	client     port.ExecutorClient
	orders     *ring.Ring[*port.ExecutorCall]
	heartbeats *ring.Ring[*port.ExecutorCall]
	reply      func(port.ExecutorReply)
	context    context.Context // of the duties
	cancel     context.CancelFunc
	duties     sync.WaitGroup
}

// Open starts the duties of a channel. Each call gets one reply until the channel is closed.
func Open(ctx context.Context, dialer port.ExecutorDialer, e site.Executor, reply func(port.ExecutorReply)) *Channel {
	// The rings get registries of their own, because the rings of all executors have the same metric names.
	c := &Channel{
		client: dialer.Open(e), reply: reply,
		orders:     ring.New[*port.ExecutorCall]("executor.orders", orderCapacity, ring.Refuse, metrics.NewRegistry()),
		heartbeats: ring.New[*port.ExecutorCall]("executor.heartbeats", heartbeatCapacity, ring.Refuse, metrics.NewRegistry()),
	}
	c.context, c.cancel = context.WithCancel(ctx)
	c.duties.Go(func() { c.run(c.orders, c.sendOrder) })
	c.duties.Go(func() { c.run(c.heartbeats, c.sendHeartbeat) })
	return c
}

// Send queues a call. It returns ErrNotConnected if the queue is full; the call then gets no reply.
func (c *Channel) Send(call port.ExecutorCall) error {
	queue := c.orders
	if _, ok := call.Order.(port.Heartbeat); ok {
		queue = c.heartbeats
	}
	if err := queue.Push(c.context, &call); err != nil {
		return fmt.Errorf("%w: %w", port.ErrNotConnected, err)
	}
	return nil
}

// Close ends the duties without waiting for them and closes the connections.
func (c *Channel) Close() {
	c.cancel()
	c.client.Close()
}

// run sends queued calls one at a time.
func (c *Channel) run(queue *ring.Ring[*port.ExecutorCall], send func(port.ExecutorCall) (port.ExecutorReport, error)) {
	for {
		call, err := queue.Pull(c.context)
		if err != nil {
			return
		}
		report, err := send(*call)
		if c.context.Err() != nil {
			return
		}
		c.reply(port.ExecutorReply{Call: *call, Report: report, Err: err})
	}
}

// sendOrder sends an order, with a second attempt if the first gets no answer. A refusal of a later attempt leaves the
// outcome unknown, because an earlier one may have been carried out. ErrFenced is returned in any case, because the
// sender then steps down.
func (c *Channel) sendOrder(call port.ExecutorCall) (port.ExecutorReport, error) {
	inDoubt := call.InDoubt
	var err error
	for attempt := range orderAttempts {
		err = c.attempt(call.Order, orderTimeout<<attempt)
		switch {
		case err == nil, errors.Is(err, port.ErrFenced):
			return port.ExecutorReport{}, err
		case notExecuted(err):
			if inDoubt {
				return port.ExecutorReport{}, fmt.Errorf("%w: %w", port.ErrUnknownOutcome, err)
			}
			return port.ExecutorReport{}, err
		}
		inDoubt = true
		c.client.Reset()
	}
	return port.ExecutorReport{}, fmt.Errorf("%w: %w", port.ErrUnknownOutcome, err)
}

func (c *Channel) attempt(o port.Order, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(c.context, timeout)
	defer cancel()
	var err error
	switch o := o.(type) {
	case port.Start:
		_, err = c.client.Start(ctx, o)
	case port.Stop:
		_, err = c.client.Stop(ctx, o)
	case port.Throttle:
		_, err = c.client.Throttle(ctx, o)
	case port.Heartbeat:
		panic("executor: a heartbeat is not an order")
	default:
		panic(fmt.Sprintf("executor: order %T is not handled", o))
	}
	return err
}

// notExecuted reports whether an order was refused or never sent.
func notExecuted(err error) bool {
	for _, definite := range []error{
		port.ErrStaleRun, port.ErrExpired, port.ErrNoCapacity, port.ErrTicketRejected, port.ErrWrongIncarnation, port.ErrUnhealthy, port.ErrRejected, port.ErrNotConnected,
	} {
		if errors.Is(err, definite) {
			return true
		}
	}
	return false
}

// sendHeartbeat sends a heartbeat, which renews the lease of the executor's runs and returns its report.
func (c *Channel) sendHeartbeat(call port.ExecutorCall) (port.ExecutorReport, error) {
	h, ok := call.Order.(port.Heartbeat)
	if !ok {
		panic(fmt.Sprintf("executor: %T is not a heartbeat", call.Order))
	}
	if call.Reset {
		c.client.Reset()
	}
	if call.Delay > 0 {
		select {
		case <-c.context.Done():
			return port.ExecutorReport{}, c.context.Err()
		case <-time.After(call.Delay):
		}
	}
	ctx, cancel := context.WithTimeout(c.context, h.Wait+HeartbeatMargin)
	defer cancel()
	return c.client.Heartbeat(ctx, h)
}
