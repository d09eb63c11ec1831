package pool

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	"github.com/rcrowley/go-metrics"
)

// Timeouts and attempts of calls to an executor.
const (
	heartbeatMargin = 400 * time.Millisecond // added to the wait of a heartbeat; an executor that has not answered by then counts as silent
	orderTimeout    = 200 * time.Millisecond // of the first attempt; doubled for the second
	orderAttempts   = 2                      // before the outcome counts as unknown; orders are idempotent
)

// order is an order to start, stop or throttle a run.
type order struct {
	kind schedule.OrderKind
	task job.Task
	run  uint64
	send func(ctx context.Context, c port.ExecutorClient) (int64, error) // returns the executor's clock in ms
}

func startOrder(e schedule.StartRun) order {
	return order{kind: schedule.OrderStart, task: e.Start.Task, run: e.Start.Run, send: func(ctx context.Context, c port.ExecutorClient) (int64, error) {
		return c.Start(ctx, e.Start)
	}}
}

func stopOrder(e schedule.StopRun) order {
	return order{kind: schedule.OrderStop, task: e.Stop.Task, run: e.Stop.Run, send: func(ctx context.Context, c port.ExecutorClient) (int64, error) {
		return c.Stop(ctx, e.Stop)
	}}
}

func throttleOrder(e schedule.ThrottleRun) order {
	return order{kind: schedule.OrderThrottle, task: e.Throttle.Task, run: e.Throttle.Run, send: func(ctx context.Context, c port.ExecutorClient) (int64, error) {
		return c.Throttle(ctx, e.Throttle)
	}}
}

// executorConn is the connection to one incarnation of an executor.
type executorConn struct {
	owner      *poolOwner
	id         string
	client     port.ExecutorClient
	orders     *ring.Ring[order]
	heartbeats *ring.Ring[schedule.SendHeartbeat]
	cancel     context.CancelFunc
}

// connect opens a connection to an executor and closes the one to an earlier incarnation.
func (o *poolOwner) connect(ctx context.Context, wg *sync.WaitGroup, e site.Executor) {
	dialer, ok := kernel.Use[port.ExecutorDialer](o.link.host)
	if !ok {
		o.link.log.Error("no plug-in provides an executor dialer", "event", "pool.noworkers")
		return
	}
	o.disconnect(e.ID)
	// The rings get registries of their own, because the rings of all executors have the same metric names.
	c := &executorConn{
		owner: o, id: e.ID, client: dialer.Open(e),
		orders:     ring.New[order]("pool.orders", orderCapacity, ring.Refuse, metrics.NewRegistry()),
		heartbeats: ring.New[schedule.SendHeartbeat]("pool.holds", 2, ring.Block, metrics.NewRegistry()),
	}
	ctx, c.cancel = context.WithCancel(ctx)
	o.conns[e.ID] = c
	wg.Go(func() { c.orderLoop(ctx) })
	wg.Go(func() { c.heartbeatLoop(ctx) })
}

func (o *poolOwner) disconnect(id string) {
	if c, ok := o.conns[id]; ok {
		delete(o.conns, id)
		c.cancel()
		c.client.Close()
	}
}

// queueOrder queues an order. Without a connection, or if the queue is full, the order is not sent and fails with
// ErrNotConnected.
func (o *poolOwner) queueOrder(ctx context.Context, executor string, x order) {
	c, ok := o.conns[executor]
	if ok {
		if err := c.orders.Push(ctx, x); err == nil {
			return
		}
	}
	o.link.meters.refusedOrders.Inc(1)
	o.enqueue(ctx, schedule.OrderResult{Executor: executor, Kind: x.kind, Task: x.task, Run: x.run, Now: clock.SinceBoot(), Err: port.ErrNotConnected})
}

// queueHeartbeat queues a heartbeat. Without a connection it fails with ErrNotConnected.
func (o *poolOwner) queueHeartbeat(ctx context.Context, e schedule.SendHeartbeat) {
	c, ok := o.conns[e.Executor]
	if ok {
		if err := c.heartbeats.Push(ctx, e); err == nil {
			return
		}
	}
	o.enqueue(ctx, schedule.HeartbeatResult{Executor: e.Executor, Sent: clock.SinceBoot(), Now: clock.SinceBoot(), Err: port.ErrNotConnected})
}

// orderLoop sends queued orders one at a time.
func (c *executorConn) orderLoop(ctx context.Context) {
	for {
		x, err := c.orders.Pull(ctx)
		if err != nil {
			return
		}
		start := clock.SinceBoot()
		err = c.send(ctx, x)
		if ctx.Err() != nil {
			return
		}
		c.owner.link.meters.order.Update((clock.SinceBoot() - start).Milliseconds())
		c.owner.enqueue(ctx, schedule.OrderResult{Executor: c.id, Kind: x.kind, Task: x.task, Run: x.run, Now: clock.SinceBoot(), Err: err})
	}
}

// send sends an order, with a second attempt if the first gets no answer. A refusal of the second attempt leaves the
// outcome unknown, because the first one may have been carried out. ErrFenced is returned in any case, because this
// daemon then steps down.
func (c *executorConn) send(ctx context.Context, x order) error {
	inDoubt := false
	var err error
	for attempt := range orderAttempts {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout<<attempt)
		_, err = x.send(callCtx, c.client)
		cancel()
		switch {
		case err == nil, errors.Is(err, port.ErrFenced):
			return err
		case notExecuted(err):
			if inDoubt {
				return fmt.Errorf("%w: %w", port.ErrUnknownOutcome, err)
			}
			return err
		}
		inDoubt = true
		c.client.Reset()
	}
	return fmt.Errorf("%w: %w", port.ErrUnknownOutcome, err)
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

// heartbeatLoop sends queued heartbeats, which renew the lease of the executor's runs and return its report.
func (c *executorConn) heartbeatLoop(ctx context.Context) {
	for {
		e, err := c.heartbeats.Pull(ctx)
		if err != nil {
			return
		}
		if e.Reset {
			c.client.Reset()
		}
		if e.Delay > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(e.Delay):
			}
		}
		sent := clock.SinceBoot()
		callCtx, cancel := context.WithTimeout(ctx, e.Heartbeat.Wait+heartbeatMargin)
		report, err := c.client.Heartbeat(callCtx, e.Heartbeat)
		cancel()
		if ctx.Err() != nil {
			return
		}
		c.owner.link.meters.heartbeat.Update((clock.SinceBoot() - sent).Milliseconds())
		c.owner.enqueue(ctx, schedule.HeartbeatResult{Executor: e.Executor, Sent: sent, Now: clock.SinceBoot(), Report: report, Err: err})
	}
}
