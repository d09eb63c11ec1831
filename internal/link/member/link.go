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
	Address       string          `json:"address"` // for connections from other daemons
	Power         int             `json:"power"`   // CPU limit in millicores, 0 if unknown
	TTL           kernel.Duration `json:"ttl"`     // of the lease, and thereby how long a dead daemon keeps its duties
	RenewInterval kernel.Duration `json:"renew"`   // between renewals
	Timeout       kernel.Duration `json:"timeout"` // for the calls of one renewal
}

// Defaults of the settings. Four renewals in a row may fail before the lease expires.
var Defaults = Settings{
	TTL:           kernel.Duration(2200 * time.Millisecond),
	RenewInterval: kernel.Duration(500 * time.Millisecond),
	Timeout:       kernel.Duration(450 * time.Millisecond),
}

func init() {
	kernel.Register(Name, Defaults, build)
}

type link struct {
	host            *kernel.Host
	log             *slog.Logger
	settings        Settings
	self            cluster.Member
	lease           int64         // ID, 0 without a lease; used only by run
	registeredAt    time.Duration // used only by run
	registered      atomic.Bool
	leaseValidUntil atomic.Int64  // on the boot clock
	leaseEnded      chan struct{} // closed when the lease has been revoked, or revoking it has failed
	leaving         chan struct{} // closed when the daemon starts to drain
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	l := &link{
		host: h, log: h.Log.With("plugin", Name), settings: s,
		self:       cluster.Member{Name: h.Settings.Name, Address: s.Address, Power: s.Power, Zone: h.Settings.Zone, Start: time.Now().UnixMilli()},
		leaseEnded: make(chan struct{}), leaving: make(chan struct{}),
	}
	kernel.Provide[port.Membership](h, l)
	h.OnStop(kernel.PhaseDrain, func(ctx context.Context) error {
		close(l.leaving)
		select {
		case <-l.leaseEnded:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	return []kernel.Duty{{Name: "member.lease", Run: l.run}}, nil
}

// Self implements port.Membership.
func (l *link) Self() (cluster.Member, bool) { return l.self, l.registered.Load() }

// LeaseValidUntil implements port.Membership.
func (l *link) LeaseValidUntil() time.Duration { return time.Duration(l.leaseValidUntil.Load()) }

// run renews the lease until the daemon stops, and then revokes it so that others take over its duties at once.
func (l *link) run(ctx context.Context) error {
	store, ok := kernel.Use[port.Store](l.host)
	if !ok {
		return errors.New("no plug-in provides a store")
	}
	ticker := time.NewTicker(l.settings.RenewInterval.Value())
	defer ticker.Stop()
	for {
		l.renew(ctx, store)
		select {
		case <-ticker.C:
		case <-l.leaving:
			l.revokeLease(ctx, store)
			close(l.leaseEnded)
			<-ctx.Done()
			return ctx.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *link) revokeLease(ctx context.Context, store port.Store) {
	l.registered.Store(false)
	l.leaseValidUntil.Store(0)
	if l.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.Timeout.Value())
	defer cancel()
	if err := store.Revoke(ctx, l.lease); err != nil {
		l.log.Warn("revoking the lease failed", "event", "member.leave", "error", err)
		return
	}
	l.log.Info("lease revoked", "event", "member.leave", "lease", l.lease)
}

// renew renews the lease. If the lease has expired or the record is missing, it registers again under a new lease.
func (l *link) renew(ctx context.Context, store port.Store) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.Timeout.Value())
	defer cancel()
	sent := clock.SinceBoot()
	var err error
	if l.lease != 0 {
		err = store.Renew(ctx, l.lease)
		if errors.Is(err, port.ErrLeaseLost) {
			l.log.Warn("lease expired", "event", "member.lapsed", "lease", l.lease, "proved", l.LeaseValidUntil()-sent)
			l.lease = 0
			l.leaseValidUntil.Store(0)
		}
	}
	if l.lease != 0 && err == nil && l.recordMissing() {
		l.log.Warn("member record is missing", "event", "member.missing", "lease", l.lease)
		l.lease = 0
	}
	if l.lease == 0 {
		err = l.register(ctx, store)
	}
	if err != nil {
		l.log.Info("renewing the lease failed", "event", "member.late", "lease", l.lease, "proved", l.LeaseValidUntil()-sent, "error", err)
		return
	}
	l.leaseValidUntil.Store(int64(sent + l.settings.TTL.Value()))
}

// recordMissing reports whether the store has lost the record of this incarnation although its lease is renewed. A
// new record may take up to one TTL to appear in the directory.
func (l *link) recordMissing() bool {
	d, ok := kernel.Use[port.Directory](l.host)
	if !ok || clock.SinceBoot()-l.registeredAt < l.settings.TTL.Value() {
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
	l.lease, l.registeredAt = lease, clock.SinceBoot()
	l.registered.Store(true)
	l.log.Info("registered", "event", "member.registered", "lease", lease, "start", l.self.Start, "address", l.self.Address)
	return nil
}
