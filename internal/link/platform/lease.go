package platform

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/lease"
	"teaselloft/internal/model/message"
	"teaselloft/internal/protocol/etcd"

	"github.com/cenkalti/backoff/v5"
)

// leaseCall is a message from another goroutine; done is filled when the lease has ended.
type leaseCall struct {
	message lease.Message
	done    *ring.Ring[struct{}]
}

// The rings between the lease duty and the member duty.
var (
	leasePort  = kernel.Port[leaseCall]{Name: "platform.lease", Capacity: 16, Policy: ring.Block}
	memberPort = kernel.Port[memberCall]{Name: "platform.member", Capacity: 64, Policy: ring.Block}
)

// leaseDuty keeps the entry instance's lease alive.
type leaseDuty struct {
	host   *kernel.Host
	store  *Store
	log    *slog.Logger
	calls  *ring.Ring[leaseCall]
	member *ring.Ring[memberCall]
	first  string // incarnation
	ttl    time.Duration
	renew  time.Duration

	state  lease.State
	queue  []lease.Effect
	sent   time.Time // of the last call
	pauses *backoff.ExponentialBackOff
	done   *ring.Ring[struct{}]
}

func newLeaseDuty(h *kernel.Host, store *Store, self *identity, s Settings) *leaseDuty {
	return &leaseDuty{
		host:   h,
		store:  store,
		log:    h.Log,
		calls:  kernel.Open(h, leasePort),
		member: kernel.Open(h, memberPort),
		first:  self.Self().Incarnation,
		ttl:    ms(s.TTL),
		renew:  ms(s.Renew),
		pauses: newBackoff(),
	}
}

// stop revokes the lease and waits until that has been tried.
func (d *leaseDuty) stop(ctx context.Context) error {
	done := ring.Reply[struct{}]()
	if err := d.calls.Push(ctx, leaseCall{message: lease.Stop{}, done: done}); err != nil {
		return err
	}
	_, err := done.Pull(ctx)
	return err
}

// run carries out one effect after the other until ctx ends.
func (d *leaseDuty) run(ctx context.Context) error {
	d.step(lease.Begin{Incarnation: d.first})
	for {
		if len(d.queue) == 0 {
			c, err := d.calls.Pull(ctx)
			if err != nil {
				return ctx.Err()
			}
			d.receive(c)
			continue
		}
		e := d.queue[0]
		d.queue = d.queue[1:]
		if err := d.do(ctx, e); err != nil {
			return err
		}
	}
}

func (d *leaseDuty) step(m lease.Message) {
	state, effects := lease.Step(d.state, m)
	d.state = state
	d.queue = append(d.queue, effects...)
}

// receive steps a message of another goroutine; a stop overtakes everything that is still to be done.
func (d *leaseDuty) receive(c leaseCall) {
	if _, ok := c.message.(lease.Stop); ok {
		d.queue = nil
		d.done = c.done
	}
	d.step(c.message)
}

// do carries out an effect.
func (d *leaseDuty) do(ctx context.Context, e lease.Effect) error {
	switch e := e.(type) {
	case lease.Grant:
		d.grant(ctx)
	case lease.Renew:
		return d.wait(ctx, time.Until(d.sent.Add(d.renew)), func() { d.keepAlive(ctx, e.ID) })
	case lease.Register:
		d.store.lease.Store(e.ID)
		return d.member.Push(ctx, memberCall(bind{lease: e.ID, incarnation: e.Incarnation}))
	case lease.Publish:
		d.publish(ctx, e)
	case lease.Pause:
		return d.wait(ctx, d.pauses.NextBackOff(), nil)
	case lease.Revoke:
		d.revoke(ctx, e.ID)
	case lease.Finish:
		return d.done.Push(ctx, struct{}{})
	default:
		panic(fmt.Sprintf("platform: unknown effect %T", e))
	}
	return nil
}

// wait receives calls for a time and then goes on with next, unless a call changed what is to be done.
func (d *leaseDuty) wait(ctx context.Context, length time.Duration, next func()) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if next != nil {
				next()
			}
			return nil
		case c := <-d.calls.Items():
			d.receive(c)
			if d.done != nil {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *leaseDuty) grant(ctx context.Context) {
	d.sent = time.Now()
	id, ttl, err := d.store.client.Grant(ctx, d.ttl)
	if err != nil {
		d.fail(err)
		return
	}
	d.pauses.Reset()
	d.log.Info("lease granted", "event", "lease.granted", "incarnation", d.state.Incarnation(), "ttl", ttl)
	d.step(lease.Granted{ID: id, Sent: d.sent, TTL: ttl})
}

func (d *leaseDuty) keepAlive(ctx context.Context, id int64) {
	d.sent = time.Now()
	ttl, err := d.store.client.KeepAlive(ctx, id)
	switch {
	case err == nil:
		d.pauses.Reset()
		d.step(lease.Renewed{Sent: d.sent, TTL: ttl})
	case errors.Is(err, etcd.ErrLease):
		d.store.lease.Store(0)
		d.store.counters.lost.Inc(1)
		d.log.Warn("lease lost", "event", "lease.lost", "incarnation", d.state.Incarnation())
		d.step(lease.Gone{Incarnation: rand.Text()})
	default:
		d.fail(err)
	}
}

func (d *leaseDuty) fail(err error) {
	d.store.counters.failed.Inc(1)
	d.log.Debug("lease call failed", "event", "lease.failed", "error", err)
	d.step(lease.Failed{})
}

// publish hands the proof on; a subscriber that cannot take it keeps the earlier proof, which ends sooner.
func (d *leaseDuty) publish(ctx context.Context, p lease.Publish) {
	m := message.Renewed{Incarnation: p.Incarnation, Sent: p.Sent, TTL: p.TTL}
	if err := kernel.Publish(ctx, d.host, message.RenewedTopic, m); err != nil {
		d.log.Warn("renewal not delivered", "event", "lease.undelivered", "error", err)
	}
}

func (d *leaseDuty) revoke(ctx context.Context, id int64) {
	d.store.lease.Store(0)
	if err := d.store.client.Revoke(ctx, id); err != nil {
		d.log.Warn("lease not revoked", "event", "lease.kept", "error", err)
	}
	d.step(lease.Revoked{})
}
