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

// memberCall is what changes the member record.
//
//sumtype:decl
type memberCall interface{ memberCall() }

// bind asks for the member key under a lease.
type bind struct {
	lease       int64
	incarnation string
}

// configured says which configuration version is in force.
type configured struct {
	version uint64
	since   time.Time
}

// leaving says that the entry instance stops and takes over no service.
type leaving struct{}

func (leaving) memberCall()    {}
func (bind) memberCall()       {}
func (configured) memberCall() {}

// memberDuty keeps the entry instance's member key up to date.
type memberDuty struct {
	store  *Store
	log    *slog.Logger
	self   *identity
	calls  *ring.Ring[memberCall]
	lease  *ring.Ring[leaseCall]
	pauses *backoff.ExponentialBackOff

	bound    int64 // lease
	revision int64 // of the member key, -1 when it must be read
	dirty    bool  // the key differs from the record
}

func newMemberDuty(h *kernel.Host, store *Store, self *identity) *memberDuty {
	d := &memberDuty{
		store:    store,
		log:      h.Log,
		self:     self,
		calls:    kernel.Open(h, memberPort),
		lease:    kernel.Open(h, leasePort),
		pauses:   newBackoff(),
		revision: unknown,
	}
	kernel.Subscribe(h, message.ConfigTopic, func(ctx context.Context, c message.ConfigChanged) error {
		return d.calls.Push(ctx, configured{version: c.Fleet.Version, since: time.Now()})
	})
	h.OnStop(kernel.PhaseNotReady, func(ctx context.Context) error { return d.calls.Push(ctx, leaving{}) })
	return d
}

// unknown is the revision of a key that must be read before a write.
const unknown = -1

// run writes the key after each change, in one write for changes that arrived together.
func (d *memberDuty) run(ctx context.Context) error {
	for {
		c, err := d.calls.Pull(ctx)
		if err != nil {
			return ctx.Err()
		}
		d.receive(c)
		for d.dirty && d.bound != 0 {
			if err := d.write(ctx); err != nil {
				return err
			}
		}
	}
}

func (d *memberDuty) receive(c memberCall) {
	m := d.self.Self()
	switch c := c.(type) {
	case bind:
		m.Incarnation = c.incarnation
		d.bound = c.lease
		d.revision = unknown
	case configured:
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

// write tries once to bring the key up to date, and pauses after a failure.
func (d *memberDuty) write(ctx context.Context) error {
	for len(d.calls.Items()) > 0 {
		d.receive(<-d.calls.Items())
	}
	err := d.attempt(ctx, d.self.Self())
	if err == nil {
		d.pauses.Reset()
		d.dirty = false
		return d.lease.Push(ctx, leaseCall{message: lease.Registered{ID: d.bound}})
	}
	d.revision = unknown
	d.log.Warn("member key not written", "event", "member.failed", "error", err)
	return sleep(ctx, d.pauses.NextBackOff())
}

func (d *memberDuty) attempt(ctx context.Context, m record.Member) error {
	if d.revision == unknown {
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
