package platform

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/lease"
	"teaselloft/internal/model/message"

	"github.com/cenkalti/backoff/v5"
)

// leaseCall is a message from another goroutine; done is filled when the lease has ended.
type leaseCall struct {
	message lease.Message
	done    *ring.Ring[struct{}]
}

// The rings between the lease duty, the duties that call the store for it, and the member duty.
var (
	leasePort  = kernel.Port[leaseCall]{Name: "platform.lease", Capacity: 16, Policy: ring.Block}
	callPort   = kernel.Port[lease.Effect]{Name: "platform.call", Capacity: 8, Policy: ring.Block}
	memberPort = kernel.Port[memberCall]{Name: "platform.member", Capacity: 64, Policy: ring.Block}
)

// leaseDuty decides on the entry instance's lease; it never waits for the store.
type leaseDuty struct {
	host   *kernel.Host
	store  *Store
	log    *slog.Logger
	calls  *ring.Ring[leaseCall]
	out    *ring.Ring[lease.Effect]
	member *ring.Ring[memberCall]
	first  string // incarnation
	renew  time.Duration

	state  lease.State
	timer  *time.Timer
	pauses *backoff.ExponentialBackOff
	done   *ring.Ring[struct{}]
}

func newLeaseDuty(h *kernel.Host, store *Store, self *identity, s Settings) *leaseDuty {
	return &leaseDuty{
		host:   h,
		store:  store,
		log:    h.Log,
		calls:  kernel.Open(h, leasePort),
		out:    kernel.Open(h, callPort),
		member: kernel.Open(h, memberPort),
		first:  self.Self().Incarnation,
		renew:  ms(s.RenewInterval),
		pauses: newBackoff(),
	}
}

// stop revokes the lease and waits until that has been tried.
func (d *leaseDuty) stop(ctx context.Context) error {
	done := ring.NewReply[struct{}]()
	if err := d.calls.Push(ctx, leaseCall{message: lease.Stop{}, done: done}); err != nil {
		return err
	}
	_, err := done.Pull(ctx)
	return err
}

// run steps one message after the other until ctx ends.
func (d *leaseDuty) run(ctx context.Context) error {
	d.timer = time.NewTimer(d.renew)
	defer d.timer.Stop()
	if err := d.step(ctx, lease.Start{Incarnation: d.first}); err != nil {
		return err
	}
	for {
		var err error
		select {
		case c := <-d.calls.Items():
			err = d.receive(ctx, c)
		case <-d.timer.C:
			err = d.step(ctx, lease.TimerFired{})
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// receive notes what a message means for pauses, logs and writes before it is stepped.
func (d *leaseDuty) receive(ctx context.Context, c leaseCall) error {
	switch m := c.message.(type) {
	case lease.Granted:
		d.pauses.Reset()
		d.log.Info("lease granted", "event", "lease.granted", "incarnation", d.state.Incarnation(), "ttl", m.TTL)
	case lease.Renewed:
		d.pauses.Reset()
	case lease.Lost:
		if m.ID == d.state.ID() {
			d.store.lease.Store(0)
			d.store.counters.lost.Inc(1)
			d.log.Warn("lease lost", "event", "lease.lost", "incarnation", d.state.Incarnation())
		}
	case lease.Stop:
		d.done = c.done
	case lease.RequestFailed:
		if err := kernel.Publish(ctx, d.host, message.RenewalFailedTopic, message.RenewalFailed{Sent: m.Sent}); err != nil {
			d.log.Warn("failure not delivered", "event", "lease.undelivered", "error", err)
		}
	case lease.Start, lease.TimerFired, lease.Registered, lease.Revoked:
	default:
		panic(fmt.Sprintf("platform: unknown message %T", m))
	}
	return d.step(ctx, c.message)
}

func (d *leaseDuty) step(ctx context.Context, m lease.Message) error {
	state, effects := lease.Step(d.state, m)
	d.state = state
	for _, e := range effects {
		if err := d.do(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// do carries out an effect.
func (d *leaseDuty) do(ctx context.Context, e lease.Effect) error {
	switch e := e.(type) {
	case lease.Grant, lease.Renew:
		return d.out.Push(ctx, e)
	case lease.Revoke:
		d.store.lease.Store(0)
		return d.out.Push(ctx, e)
	case lease.Register:
		d.store.lease.Store(e.ID)
		return d.member.Push(ctx, bind{lease: e.ID, incarnation: e.Incarnation})
	case lease.PublishValidity:
		d.publish(ctx, e)
	case lease.ScheduleRenewal:
		d.timer.Reset(d.renew)
	case lease.Backoff:
		d.timer.Reset(d.pauses.NextBackOff())
	case lease.Done:
		return d.done.Push(ctx, struct{}{})
	default:
		panic(fmt.Sprintf("platform: unknown effect %T", e))
	}
	return nil
}

// publish hands the proof on; a subscriber that cannot take it keeps the earlier proof, which ends sooner.
func (d *leaseDuty) publish(ctx context.Context, p lease.PublishValidity) {
	m := message.LeaseRenewed{Incarnation: p.Incarnation, Sent: p.Sent, TTL: p.TTL}
	if err := kernel.Publish(ctx, d.host, message.LeaseRenewedTopic, m); err != nil {
		d.log.Warn("renewal not delivered", "event", "lease.undelivered", "error", err)
	}
}
