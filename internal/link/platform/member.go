package platform

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/lease"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/cenkalti/backoff/v5"
)

// memberCall is a message to the member duty that changes the member record.
//
//sumtype:decl
type memberCall interface{ memberCall() }

// bindMember requests that the member key is written with a lease.
type bindMember struct {
	lease       int64
	incarnation string
}

// configChanged reports the configuration version in effect.
type configChanged struct {
	version uint64
	since   time.Time
}

// leaving reports that the entry instance is stopping and takes over no further service.
type leaving struct{}

func (leaving) memberCall()       {}
func (bindMember) memberCall()    {}
func (configChanged) memberCall() {}

// memberDuty keeps the member key of the entry instance up to date.
type memberDuty struct {
	store      *Store
	log        *slog.Logger
	self       *identity
	calls      *ring.Ring[memberCall]
	leaseCalls *ring.Ring[leaseCall]
	backoff    *backoff.ExponentialBackOff

	boundLease int64 // 0 for none
	revision   int64 // of the member key, or unknownRevision
	dirty      bool  // the key must be written
}

func newMemberDuty(h *kernel.Host, store *Store, self *identity) *memberDuty {
	d := &memberDuty{
		store:      store,
		log:        h.Log,
		self:       self,
		calls:      kernel.Open(h, memberPort),
		leaseCalls: kernel.Open(h, leasePort),
		backoff:    newBackoff(),
		revision:   unknownRevision,
	}
	kernel.Subscribe(h, message.ConfigTopic, func(ctx context.Context, c message.ConfigChanged) error {
		return d.calls.Push(ctx, configChanged{version: c.Fleet.Version, since: time.Now()})
	})
	h.OnStop(kernel.PhaseNotReady, func(ctx context.Context) error { return d.calls.Push(ctx, leaving{}) })
	return d
}

// unknownRevision is the revision of a key that must be read before a write.
const unknownRevision = -1

// run writes the key after each change. Changes that are already queued share one write.
func (d *memberDuty) run(ctx context.Context) error {
	for {
		c, err := d.calls.Pull(ctx)
		if err != nil {
			return ctx.Err()
		}
		d.handleCall(c)
		for d.dirty && d.boundLease != 0 {
			if err := d.write(ctx); err != nil {
				return err
			}
		}
	}
}

func (d *memberDuty) handleCall(c memberCall) {
	m := d.self.Self()
	switch c := c.(type) {
	case bindMember:
		m.Incarnation = c.incarnation
		d.boundLease = c.lease
		d.revision = unknownRevision
	case configChanged:
		if c.version <= m.Config {
			return
		}
		m = m.WithConfig(c.version, c.since)
	case leaving:
		m.Leaving = true
	default:
		panic(fmt.Sprintf("platform: unknown member call %T", c))
	}
	d.dirty = true
	d.self.member.Store(&m)
}

// write tries once to write the key, and waits for the backoff after a failure.
func (d *memberDuty) write(ctx context.Context) error {
	for len(d.calls.Items()) > 0 {
		d.handleCall(<-d.calls.Items())
	}
	err := d.attempt(ctx, d.self.Self())
	if err == nil {
		d.backoff.Reset()
		d.dirty = false
		return d.leaseCalls.Push(ctx, leaseCall{message: lease.Registered{ID: d.boundLease}})
	}
	d.revision = unknownRevision
	d.log.Warn("failed to write member key", "event", "member.failed", "error", err)
	return sleep(ctx, d.backoff.NextBackOff())
}

func (d *memberDuty) attempt(ctx context.Context, m record.Member) error {
	if d.revision == unknownRevision {
		_, revision, err := d.store.ReadRaw(ctx, m.Key())
		if err != nil && !errors.Is(err, message.ErrNotFound) {
			return err
		}
		d.revision = revision
	}
	revision, err := d.store.CompareAndSwap(ctx, message.Write{Record: m, Expected: d.revision, Leased: true})
	d.revision = revision
	return err
}
