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
	"teaselloft/internal/protocol/etcd"
)

// callDuties is the number of duties that call the store for the lease duty. It allows the keep-alives in flight and a
// grant at the same time.
const callDuties = 5

// callDuty calls the store for the lease duty, so that a slow answer delays neither decisions nor other keep-alives.
type callDuty struct {
	store   *Store
	log     *slog.Logger
	ttl     time.Duration
	calls   *ring.Ring[lease.Effect]
	results *ring.Ring[leaseCall]
}

func newCallDuty(h *kernel.Host, store *Store, s Settings) *callDuty {
	return &callDuty{
		store:   store,
		log:     h.Log,
		ttl:     ms(s.TTL),
		calls:   kernel.Open(h, callPort),
		results: kernel.Open(h, leasePort),
	}
}

// run makes the requested calls one after the other until ctx ends.
func (d *callDuty) run(ctx context.Context) error {
	for {
		e, err := d.calls.Pull(ctx)
		if err != nil {
			return ctx.Err()
		}
		if err := d.results.Push(ctx, leaseCall{message: d.call(ctx, e)}); err != nil {
			return ctx.Err()
		}
	}
}

func (d *callDuty) call(ctx context.Context, e lease.Effect) lease.Message {
	switch e := e.(type) {
	case lease.Grant:
		return d.grant(ctx)
	case lease.Renew:
		return d.renew(ctx, e.ID)
	case lease.Revoke:
		return d.revoke(ctx, e.ID)
	case lease.Register, lease.PublishValidity, lease.ScheduleRenewal, lease.Backoff, lease.Done:
		panic(fmt.Sprintf("platform: effect %T is not a store call", e))
	default:
		panic(fmt.Sprintf("platform: unknown effect %T", e))
	}
}

func (d *callDuty) grant(ctx context.Context) lease.Message {
	sent := time.Now()
	id, ttl, err := d.store.client.Grant(ctx, d.ttl)
	if err != nil {
		return d.requestFailed(0, sent, err)
	}
	return lease.Granted{ID: id, Sent: sent, TTL: ttl}
}

func (d *callDuty) renew(ctx context.Context, id int64) lease.Message {
	sent := time.Now()
	ttl, err := d.store.client.KeepAlive(ctx, id)
	switch {
	case err == nil:
		return lease.Renewed{ID: id, Sent: sent, TTL: ttl}
	case errors.Is(err, etcd.ErrLeaseNotFound):
		return lease.Lost{ID: id, Incarnation: rand.Text()}
	default:
		return d.requestFailed(id, sent, err)
	}
}

func (d *callDuty) revoke(ctx context.Context, id int64) lease.Message {
	if err := d.store.client.Revoke(ctx, id); err != nil {
		d.log.Warn("failed to revoke lease", "event", "lease.kept", "error", err)
	}
	return lease.Revoked{}
}

func (d *callDuty) requestFailed(id int64, sent time.Time, err error) lease.Message {
	d.store.counters.failedCalls.Inc(1)
	d.log.Debug("lease call failed", "event", "lease.failed", "error", err)
	return lease.RequestFailed{ID: id, Sent: sent}
}
