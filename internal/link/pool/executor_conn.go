package pool

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/relay"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
	"teaselloft/internal/protocol/executor"
)

// Durations of the routes to executors.
const (
	suspicion      = 5 * time.Second // time for which a relay that was lost is not used again
	directPeriod   = 8 * time.Second // time for which the owner itself calls an executor that was silent over a relay
	assignInterval = time.Second     // between two assignments while nothing requires one at once
)

// executorConn is the way to one incarnation of an executor: a channel of this daemon or a relay. It is used only by the
// owner's run, except for unanswered.
type executorConn struct {
	info        site.Executor
	relay       string            // name of the assigned relay, "" if there is none
	direct      *executor.Channel // nil unless this daemon has called the executor itself
	directUntil time.Duration     // the relay is not used before
	unanswered  atomic.Int64      // calls over the direct channel without a reply
}

// relayConn is a channel to a relay that is assigned to executors.
type relayConn struct {
	channel port.RelayChannel
	address string
}

// connect adds the way to an executor and ends the one to an earlier incarnation.
func (o *poolOwner) connect(e site.Executor) {
	o.disconnect(e.ID)
	o.conns[e.ID] = &executorConn{info: e}
	o.assignDue = true
}

func (o *poolOwner) disconnect(id string) {
	c, ok := o.conns[id]
	if !ok {
		return
	}
	delete(o.conns, id)
	c.closeDirect()
	if r, ok := o.relays[c.relay]; ok {
		r.channel.Forget(id)
	}
}

func (c *executorConn) closeDirect() {
	if c.direct != nil {
		c.direct.Close()
		c.direct = nil
	}
}

// call sends a call to an executor, over its relay if it has one. Without a connection the call fails with
// ErrNotConnected.
func (o *poolOwner) call(ctx context.Context, id string, call port.ExecutorCall) {
	c, ok := o.conns[id]
	if !ok {
		call.Executor.ID = id
		o.handleReply(ctx, port.ExecutorReply{Call: call, Err: port.ErrNotConnected})
		return
	}
	call.Executor = c.info
	if call.Reset && c.relay != "" {
		c.directUntil = clock.SinceBoot() + directPeriod // the path from the relay may be cut
	}
	if r, ok := o.relays[c.relay]; ok && clock.SinceBoot() >= c.directUntil {
		r.channel.Send(call)
		return
	}
	o.callDirectly(ctx, c, call)
}

func (o *poolOwner) callDirectly(ctx context.Context, c *executorConn, call port.ExecutorCall) {
	if c.direct == nil {
		dialer, ok := kernel.Use[port.ExecutorDialer](o.link.host)
		if !ok {
			o.link.log.Error("no plug-in provides an executor dialer", "event", "pool.noworkers")
			o.handleReply(ctx, port.ExecutorReply{Call: call, Err: port.ErrNotConnected})
			return
		}
		c.direct = executor.Open(ctx, dialer, c.info, func(r port.ExecutorReply) {
			o.handleReply(ctx, r)
			c.unanswered.Add(-1)
		})
	}
	c.unanswered.Add(1)
	if err := c.direct.Send(call); err != nil {
		c.unanswered.Add(-1)
		o.link.meters.refusedOrders.Inc(1)
		o.handleReply(ctx, port.ExecutorReply{Call: call, Err: err})
	}
}

// handleReply queues the result of a call. A call whose relay was lost is queued for another attempt.
func (o *poolOwner) handleReply(ctx context.Context, r port.ExecutorReply) {
	if errors.Is(r.Err, port.ErrRelayLost) {
		if err := o.lostCalls.Push(ctx, &r.Call); err != nil {
			// The ring is full. Its reader may be the caller, so a goroutine waits for room.
			go func() { _ = o.lostCalls.PushWait(ctx, &r.Call) }() // fails only when the owner is stopped
		}
		return
	}
	now := clock.SinceBoot()
	result := schedule.OrderResult{Executor: r.Call.Executor.ID, Now: now, Err: r.Err}
	switch order := r.Call.Order.(type) {
	case port.Heartbeat:
		o.link.meters.heartbeat.Update((now - r.Call.Sent).Milliseconds())
		o.enqueue(ctx, schedule.HeartbeatResult{
			Executor: r.Call.Executor.ID, FencingToken: order.FencingToken, Sent: r.Call.Sent, Now: now, Report: r.Report, Err: r.Err,
		})
		return
	case port.Start:
		result.Kind, result.Task, result.Run, result.FencingToken = schedule.OrderStart, order.Task, order.Run, order.FencingToken
	case port.Stop:
		result.Kind, result.Task, result.Run, result.FencingToken = schedule.OrderStop, order.Task, order.Run, order.FencingToken
	case port.Throttle:
		result.Kind, result.Task, result.Run, result.FencingToken = schedule.OrderThrottle, order.Task, order.Run, order.FencingToken
	default:
		panic("pool: unhandled order")
	}
	o.link.meters.order.Update((now - r.Call.Sent).Milliseconds())
	o.enqueue(ctx, result)
}

// retryLost sends a call whose relay was lost to the executor itself. The relay may have sent it before.
func (o *poolOwner) retryLost(ctx context.Context, call port.ExecutorCall) {
	o.assignDue = true
	c, ok := o.conns[call.Executor.ID]
	if !ok || c.info.Address != call.Executor.Address || c.info.Born != call.Executor.Born {
		return // the call was for an earlier incarnation
	}
	o.callDirectly(ctx, c, call.WithDoubt())
}

// assign gives each executor its relay, without those that were lost.
func (o *poolOwner) assign(ctx context.Context) {
	o.assignDue = false
	now := clock.SinceBoot()
	for name, r := range o.relays {
		select {
		case <-r.channel.Failed():
			o.suspected[name] = now + suspicion
			delete(o.relays, name)
		default:
		}
	}
	relays, hasRelays := kernel.Use[port.Relays](o.link.host)
	directory, hasDirectory := kernel.Use[port.Directory](o.link.host)
	if !hasRelays || !hasDirectory {
		return
	}
	d := directory.Directory()
	assigned := relay.Assign(o.relayInput(d, now))
	for id, c := range o.conns {
		c.relay = assigned[id]
		if _, ok := o.relays[c.relay]; !ok && c.relay != "" {
			address := d.Members[c.relay].Address
			o.relays[c.relay] = &relayConn{address: address, channel: relays.Connect(ctx, address, func(r port.ExecutorReply) { o.handleReply(ctx, r) })}
		}
		if c.relay != "" && now >= c.directUntil && c.unanswered.Load() == 0 {
			c.closeDirect()
		}
	}
}

// relayInput returns the facts for an assignment.
func (o *poolOwner) relayInput(d cluster.Directory, now time.Duration) relay.Input {
	in := relay.Input{
		Pool: o.duty, Self: o.self.Name, Members: d.Members, Busy: map[string]bool{}, Suspected: map[string]bool{},
		Current: make(map[string]string, len(o.conns)),
	}
	for id, c := range o.conns {
		in.Executors = append(in.Executors, c.info)
		in.Current[id] = c.relay
	}
	for _, owner := range d.Owners {
		in.Busy[owner.Name] = true
	}
	for name, until := range o.suspected {
		if now < until {
			in.Suspected[name] = true
		} else {
			delete(o.suspected, name)
		}
	}
	return in
}
