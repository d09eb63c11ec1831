package member

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// Name is the plug-in's name in the settings.
const Name = "member"

// Settings of the plug-in.
type Settings struct {
	Address string          `json:"address"` // at which other daemons reach this one
	Power   int             `json:"power"`   // thousandths of a core that this daemon may use, 0 when unknown
	TTL     kernel.Duration `json:"ttl"`     // of the lease: how long a dead owner keeps its duties
	RenewInterval   kernel.Duration `json:"renew"`   // between renewals
	Timeout kernel.Duration `json:"timeout"` // of a call
}

// Defaults of the settings. Four renewals may fail before the lease ends.
var Defaults = Settings{
	TTL:     kernel.Duration(2200 * time.Millisecond),
	RenewInterval:   kernel.Duration(500 * time.Millisecond),
	Timeout: kernel.Duration(450 * time.Millisecond),
}

func init() {
	kernel.Register(Name, Defaults, build)
}

type link struct {
	host       *kernel.Host
	log        *slog.Logger
	settings   Settings
	self       cluster.Member
	lease      int64         // of the duty alone
	registered time.Duration // of the duty alone
	granted    atomic.Bool
	proved     atomic.Int64
	ended      chan struct{}
	leave      chan struct{}
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	l := &link{
		host: h, log: h.Log.With("plugin", Name), settings: s,
		self:  cluster.Member{Name: h.Settings.Name, Address: s.Address, Power: s.Power, Zone: h.Settings.Zone, Start: time.Now().UnixMilli()},
		ended: make(chan struct{}), leave: make(chan struct{}),
	}
	kernel.Provide[port.Membership](h, l)
	h.OnStop(kernel.PhaseDrain, func(ctx context.Context) error {
		close(l.leave)
		select {
		case <-l.ended:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	return []kernel.Duty{{Name: "member.lease", Run: l.run}}, nil
}

// Self implements port.Membership.
func (l *link) Self() (cluster.Member, bool) { return l.self, l.granted.Load() }

// LeaseValidUntil implements port.Membership.
func (l *link) LeaseValidUntil() time.Duration { return time.Duration(l.proved.Load()) }

// run renews the lease until the daemon stops, then ends it so that others take its duties over at once.
func (l *link) run(ctx context.Context) error {
	store, ok := kernel.Use[port.Store](l.host)
	if !ok {
		return errors.New("no plug-in provides a store")
	}
	pause := time.NewTicker(l.settings.RenewInterval.Value())
	defer pause.Stop()
	for {
		l.renew(ctx, store)
		select {
		case <-pause.C:
		case <-l.leave:
			l.end(ctx, store)
			close(l.ended)
			<-ctx.Done()
			return ctx.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *link) end(ctx context.Context, store port.Store) {
	l.granted.Store(false)
	l.proved.Store(0)
	if l.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.Timeout.Value())
	defer cancel()
	if err := store.Revoke(ctx, l.lease); err != nil {
		l.log.Warn("lease was not ended", "event", "member.leave", "error", err)
		return
	}
	l.log.Info("lease is ended", "event", "member.leave", "lease", l.lease)
}

// renew keeps the lease, or gets a new one for the same record.
func (l *link) renew(ctx context.Context, store port.Store) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.Timeout.Value())
	defer cancel()
	sent := clock.SinceBoot()
	var err error
	if l.lease != 0 {
		err = store.Renew(ctx, l.lease)
		if errors.Is(err, port.ErrLeaseLost) {
			l.log.Warn("lease has ended", "event", "member.lapsed", "lease", l.lease, "proved", l.LeaseValidUntil()-sent)
			l.lease = 0
			l.proved.Store(0)
		}
	}
	if l.lease != 0 && err == nil && l.missing() {
		l.log.Warn("record is missing", "event", "member.missing", "lease", l.lease)
		l.lease = 0
	}
	if l.lease == 0 {
		err = l.register(ctx, store)
	}
	if err != nil {
		l.log.Info("lease was not renewed", "event", "member.late", "lease", l.lease, "proved", l.LeaseValidUntil()-sent, "error", err)
		return
	}
	l.proved.Store(int64(sent + l.settings.TTL.Value()))
}

// missing reports whether the store has lost the record although the lease is renewed.
func (l *link) missing() bool {
	d, ok := kernel.Use[port.Directory](l.host)
	if !ok || clock.SinceBoot()-l.registered < l.settings.TTL.Value() {
		return false
	}
	m, ok := d.Directory().Members[l.self.Name]
	return d.Directory().Listed && (!ok || m.Start != l.self.Start)
}

func (l *link) register(ctx context.Context, store port.Store) error {
	lease, err := store.Grant(ctx, l.settings.TTL.Value())
	if err != nil {
		return err
	}
	_, err = store.Apply(ctx, port.Txn{Writes: []port.Write{{
		Key: cluster.PrefixMember + l.self.Name, Value: job.Encode(l.self), Lease: lease,
	}}})
	if err != nil {
		return err
	}
	l.lease, l.registered = lease, clock.SinceBoot()
	l.granted.Store(true)
	l.log.Info("registered", "event", "member.registered", "lease", lease, "start", l.self.Start, "address", l.self.Address)
	return nil
}
