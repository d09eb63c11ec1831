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

// leaseCall is a message to the lease duty. With lease.Stop, done receives a value after the lease has been given up.
type leaseCall struct {
	message lease.Message
	done    *ring.Ring[struct{}]
}

// The input rings of the lease duty, of the call duties and of the member duty.
var (
	leasePort  = kernel.Port[leaseCall]{Name: "platform.lease", Capacity: 16, Policy: ring.Block}
	callPort   = kernel.Port[lease.Effect]{Name: "platform.call", Capacity: 8, Policy: ring.Block}
	memberPort = kernel.Port[memberCall]{Name: "platform.member", Capacity: 64, Policy: ring.Block}
)

// leaseDuty keeps the lease of the entry instance. It never waits for the store.
type leaseDuty struct {
	host               *kernel.Host
	store              *Store
	log                *slog.Logger
	calls              *ring.Ring[leaseCall]
	storeCalls         *ring.Ring[lease.Effect]
	member             *ring.Ring[memberCall]
	initialIncarnation string
	renewInterval      time.Duration

	state   lease.State
	timer   *time.Timer
	backoff *backoff.ExponentialBackOff
	done    *ring.Ring[struct{}]
}

func newLeaseDuty(h *kernel.Host, store *Store, self *identity, s Settings) *leaseDuty {
	return &leaseDuty{
		host:               h,
		store:              store,
		log:                h.Log,
		calls:              kernel.Open(h, leasePort),
		storeCalls:         kernel.Open(h, callPort),
		member:             kernel.Open(h, memberPort),
		initialIncarnation: self.Self().Incarnation,
		renewInterval:      ms(s.RenewInterval),
		backoff:            newBackoff(),
	}
}

// stop requests the revocation of the lease and waits until it has been tried.
func (d *leaseDuty) stop(ctx context.Context) error {
	done := ring.NewReply[struct{}]()
	if err := d.calls.Push(ctx, leaseCall{message: lease.Stop{}, done: done}); err != nil {
		return err
	}
	_, err := done.Pull(ctx)
	return err
}

// run handles messages and the renewal timer until ctx ends.
func (d *leaseDuty) run(ctx context.Context) error {
	d.timer = time.NewTimer(d.renewInterval)
	defer d.timer.Stop()
	if err := d.step(ctx, lease.Start{Incarnation: d.initialIncarnation}); err != nil {
		return err
	}
	for {
		var err error
		select {
		case c := <-d.calls.Items():
			err = d.handleCall(ctx, c)
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

// handleCall updates the backoff, the log and the lease of the store for a message, then applies the message.
func (d *leaseDuty) handleCall(ctx context.Context, c leaseCall) error {
	switch m := c.message.(type) {
	case lease.Granted:
		d.backoff.Reset()
		d.log.Info("lease granted", "event", "lease.granted", "incarnation", d.state.Incarnation(), "ttl", m.TTL)
	case lease.Renewed:
		d.backoff.Reset()
	case lease.Lost:
		if m.ID == d.state.ID() {
			d.store.lease.Store(0)
			d.store.counters.lostLeases.Inc(1)
			d.log.Warn("lease lost", "event", "lease.lost", "incarnation", d.state.Incarnation())
		}
	case lease.Stop:
		d.done = c.done
	case lease.RequestFailed:
		if err := kernel.Publish(ctx, d.host, message.RenewalFailedTopic, message.RenewalFailed{Sent: m.Sent}); err != nil {
			d.log.Warn("failed to publish renewal failure", "event", "lease.undelivered", "error", err)
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
		if err := d.runEffect(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

func (d *leaseDuty) runEffect(ctx context.Context, e lease.Effect) error {
	switch e := e.(type) {
	case lease.Grant, lease.Renew:
		return d.storeCalls.Push(ctx, e)
	case lease.Revoke:
		d.store.lease.Store(0)
		return d.storeCalls.Push(ctx, e)
	case lease.Register:
		d.store.lease.Store(e.ID)
		return d.member.Push(ctx, bindMember{lease: e.ID, incarnation: e.Incarnation})
	case lease.PublishValidity:
		d.publish(ctx, e)
	case lease.ScheduleRenewal:
		d.timer.Reset(d.renewInterval)
	case lease.Backoff:
		d.timer.Reset(d.backoff.NextBackOff())
	case lease.Done:
		return d.done.Push(ctx, struct{}{})
	default:
		panic(fmt.Sprintf("platform: unknown effect %T", e))
	}
	return nil
}

// publish publishes how long the lease is known to be valid. A subscriber that cannot take it keeps the earlier
// validity, which ends sooner.
func (d *leaseDuty) publish(ctx context.Context, p lease.PublishValidity) {
	m := message.LeaseRenewed{Incarnation: p.Incarnation, Sent: p.Sent, TTL: p.TTL}
	if err := kernel.Publish(ctx, d.host, message.LeaseRenewedTopic, m); err != nil {
		d.log.Warn("failed to publish lease renewal", "event", "lease.undelivered", "error", err)
	}
}
