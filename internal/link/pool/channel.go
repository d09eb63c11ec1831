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

// Times of the calls to an executor.
const (
	holdMargin   = 400 * time.Millisecond // beyond the wait of a hold, after which the executor is taken for silent
	orderTimeout = 200 * time.Millisecond // of the first attempt; the second one has twice as long
	orderTries   = 2                      // before an order counts as unsure; a repeated order has no further effect
)

// order is an order about a run, as the ordering duty of an executor sends it.
type order struct {
	kind schedule.OrderKind
	task job.Task
	run  uint64
	send func(ctx context.Context, w port.ExecutorClient) (int64, error)
}

func startOrder(e schedule.StartRun) order {
	return order{kind: schedule.OrderStart, task: e.Start.Task, run: e.Start.Run, send: func(ctx context.Context, w port.ExecutorClient) (int64, error) {
		return w.Start(ctx, e.Start)
	}}
}

func stopOrder(e schedule.StopRun) order {
	return order{kind: schedule.OrderStop, task: e.Stop.Task, run: e.Stop.Run, send: func(ctx context.Context, w port.ExecutorClient) (int64, error) {
		return w.Stop(ctx, e.Stop)
	}}
}

func paceOrder(e schedule.ThrottleRun) order {
	return order{kind: schedule.OrderThrottle, task: e.Throttle.Task, run: e.Throttle.Run, send: func(ctx context.Context, w port.ExecutorClient) (int64, error) {
		return w.Throttle(ctx, e.Throttle)
	}}
}

// channel is the connection to one life of an executor.
type channel struct {
	owner  *owner
	id     string
	worker port.ExecutorClient
	orders *ring.Ring[order]
	holds  *ring.Ring[schedule.SendHeartbeat]
	cancel context.CancelFunc
}

// connect opens the channel to an executor, in place of one to an earlier life.
func (o *owner) connect(ctx context.Context, duties *sync.WaitGroup, e site.Executor) {
	workers, ok := kernel.Use[port.ExecutorDialer](o.link.host)
	if !ok {
		o.link.log.Error("no plug-in reaches executors", "event", "pool.noworkers")
		return
	}
	o.disconnect(e.ID)
	c := &channel{
		owner: o, id: e.ID, worker: workers.Open(e),
		orders: ring.New[order]("pool.orders", orderCapacity, ring.Refuse, metrics.NewRegistry()),
		holds:  ring.New[schedule.SendHeartbeat]("pool.holds", 2, ring.Block, metrics.NewRegistry()),
	}
	ctx, c.cancel = context.WithCancel(ctx)
	o.channels[e.ID] = c
	duties.Go(func() { c.order(ctx) })
	duties.Go(func() { c.hold(ctx) })
}

func (o *owner) disconnect(id string) {
	if c, ok := o.channels[id]; ok {
		delete(o.channels, id)
		c.cancel()
		c.worker.Close()
	}
}

// order queues an order; one that finds no room was not sent.
func (o *owner) order(ctx context.Context, executor string, x order) {
	c, ok := o.channels[executor]
	if ok {
		if err := c.orders.Push(ctx, x); err == nil {
			return
		}
	}
	o.link.meters.refused.Inc(1)
	o.tell(ctx, schedule.OrderResult{Executor: executor, Kind: x.kind, Task: x.task, Run: x.run, Now: clock.SinceBoot(), Err: port.ErrNotConnected})
}

func (o *owner) hold(ctx context.Context, e schedule.SendHeartbeat) {
	c, ok := o.channels[e.Executor]
	if ok {
		if err := c.holds.Push(ctx, e); err == nil {
			return
		}
	}
	o.tell(ctx, schedule.HeartbeatResult{Executor: e.Executor, Sent: clock.SinceBoot(), Now: clock.SinceBoot(), Err: port.ErrNotConnected})
}

// order is the duty that sends orders, one after the other.
func (c *channel) order(ctx context.Context) {
	for {
		x, err := c.orders.Pull(ctx)
		if err != nil {
			return
		}
		began := clock.SinceBoot()
		err = c.send(ctx, x)
		if ctx.Err() != nil {
			return
		}
		c.owner.link.meters.order.Update((clock.SinceBoot() - began).Milliseconds())
		c.owner.tell(ctx, schedule.OrderResult{Executor: c.id, Kind: x.kind, Task: x.task, Run: x.run, Now: clock.SinceBoot(), Err: err})
	}
}

// send makes some attempts at an order; after one without an answer a refusal says nothing of it.
func (c *channel) send(ctx context.Context, x order) error {
	unsure := false
	var err error
	for try := range orderTries {
		call, cancel := context.WithTimeout(ctx, orderTimeout<<try)
		_, err = x.send(call, c.worker)
		cancel()
		switch {
		case err == nil, errors.Is(err, port.ErrFenced):
			return err
		case answeredOrder(err):
			if unsure {
				return fmt.Errorf("%w: %w", port.ErrUnknownOutcome, err)
			}
			return err
		}
		unsure = true
		c.worker.Reset()
	}
	return fmt.Errorf("%w: %w", port.ErrUnknownOutcome, err)
}

// answeredOrder reports whether an order was refused or never sent.
func answeredOrder(err error) bool {
	for _, definite := range []error{
		port.ErrStaleRun, port.ErrExpired, port.ErrNoCapacity, port.ErrTicketRejected, port.ErrWrongIncarnation, port.ErrUnhealthy, port.ErrRejected, port.ErrNotConnected,
	} {
		if errors.Is(err, definite) {
			return true
		}
	}
	return false
}

// hold is the duty that renews the lease of an executor's runs and reads what becomes of them.
func (c *channel) hold(ctx context.Context) {
	for {
		e, err := c.holds.Pull(ctx)
		if err != nil {
			return
		}
		if e.Reset {
			c.worker.Reset()
		}
		if e.Delay > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(e.Delay):
			}
		}
		sent := clock.SinceBoot()
		call, cancel := context.WithTimeout(ctx, e.Heartbeat.Wait+holdMargin)
		h, err := c.worker.Heartbeat(call, e.Heartbeat)
		cancel()
		if ctx.Err() != nil {
			return
		}
		c.owner.link.meters.hold.Update((clock.SinceBoot() - sent).Milliseconds())
		c.owner.tell(ctx, schedule.HeartbeatResult{Executor: e.Executor, Sent: sent, Now: clock.SinceBoot(), Report: h, Err: err})
	}
}
