package config

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"

	"github.com/cenkalti/backoff/v5"
	"github.com/rcrowley/go-metrics"
)

// errNoStore means that the settings name no plug-in that provides the platform's store.
var errNoStore = errors.New("no plug-in provides the platform's key-value store")

// duty brings new configuration versions into force.
type duty struct {
	host   *kernel.Host
	log    *slog.Logger
	heads  *ring.Ring[record.ConfigHead]
	offers *ring.Ring[message.ConfigChanged]
	status *status
	pauses *backoff.ExponentialBackOff

	wanted    record.ConfigHead // newest head seen, zero when there is nothing to do
	assembly  store.Assembly    // latest one from the platform
	published uint64            // highest version that any subscriber may have seen
	damaged   uint64            // latest version that could not be decoded

	adopted     metrics.Counter
	undecodable metrics.Counter
	failed      metrics.Counter
	version     metrics.Gauge
}

func newDuty(h *kernel.Host, s Settings) *duty {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = ms(s.Retry), ms(s.MaxRetry)
	return &duty{
		host: h, log: h.Log,
		heads:       kernel.Open(h, headPort),
		offers:      kernel.Open(h, message.ConfigPort),
		status:      newStatus(),
		pauses:      pauses,
		adopted:     metrics.GetOrRegisterCounter("config.adopted", h.Metrics),
		undecodable: metrics.GetOrRegisterCounter("config.undecodable", h.Metrics),
		failed:      metrics.GetOrRegisterCounter("config.failed", h.Metrics),
		version:     metrics.GetOrRegisterGauge("config.version", h.Metrics),
	}
}

// run waits for heads, offers and the end of a pause until ctx ends.
func (d *duty) run(ctx context.Context) error {
	s, ok := kernel.Use[message.Store](d.host)
	if !ok {
		return errNoStore
	}
	var pause <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case head := <-d.heads.Items():
			d.want(head)
		case offer := <-d.offers.Items():
			d.offer(ctx, offer.Fleet)
		case <-pause:
		}
		pause = d.catchUp(ctx, s)
	}
}

// want keeps the newest of the waiting heads, so that a burst of changes is assembled once.
func (d *duty) want(head record.ConfigHead) {
	for {
		if head.Version > max(d.wanted.Version, d.inForce()) {
			d.wanted = head
		} else if head.Version < d.inForce() {
			d.log.Warn("head names an older version", "event", "config.older", "version", head.Version, "inforce", d.inForce())
		}
		select {
		case head = <-d.heads.Items():
		default:
			d.report(d.status.load().withWanted(d.wanted.Version))
			return
		}
	}
}

func (d *duty) inForce() uint64 {
	version, _ := d.status.ActiveVersion()
	return version
}

// catchUp brings the wanted version into force; it returns when to try again after a failure, else nil.
func (d *duty) catchUp(ctx context.Context, s store.Store) <-chan time.Time {
	if d.wanted.Version <= d.inForce() {
		d.wanted = record.ConfigHead{}
		d.pauses.Reset()
		return nil
	}
	assembly, err := d.assembly.Assemble(ctx, s, d.wanted)
	d.assembly = assembly
	if err == nil {
		err = d.publish(ctx, assembly.Fleet)
	}
	if err == nil {
		d.wanted = record.ConfigHead{}
		d.pauses.Reset()
		return nil
	}
	if store.IsDamaged(err) {
		d.keep(err)
		d.fallBack(ctx)
		d.report(d.status.load().withError(err))
		return time.After(d.pauses.MaxInterval)
	}
	d.report(d.status.load().withError(err))
	d.failed.Inc(1)
	pause := d.pauses.NextBackOff()
	d.log.Warn("configuration not read", "event", "config.retry", "version", d.wanted.Version, "pause", pause, "error", err)
	return time.After(pause)
}

// keep counts and logs a version that cannot be decoded, once; the last good one stays in force.
func (d *duty) keep(err error) {
	if d.damaged == d.wanted.Version {
		return
	}
	d.damaged = d.wanted.Version
	d.undecodable.Inc(1)
	d.log.Error("configuration kept", "event", "config.undecodable", "version", d.wanted.Version, "inforce", d.inForce(), "error", err)
}

// fallBack brings the newest version before a damaged one into force.
//
// Without it, every entry instance that starts while the latest value is damaged
// would have no configuration and refuse all requests.
func (d *duty) fallBack(ctx context.Context) {
	reached, ok := d.assembly.Partial(d.inForce())
	if !ok {
		return
	}
	if err := d.publish(ctx, reached.Fleet); err != nil {
		d.log.Warn("earlier version not published", "event", "config.fallback", "version", reached.Fleet.Version, "error", err)
	}
}

// offer takes a configuration from another entry instance, for the time in which the platform does not answer.
func (d *duty) offer(ctx context.Context, f fleet.Fleet) {
	if err := d.publish(ctx, f); err != nil {
		d.log.Warn("offer not taken", "event", "config.offer", "version", f.Version, "error", err)
	}
}

// publish brings a fleet into force unless the same or a newer version was published.
//
// A version that only some subscribers got is published again; they see it twice.
func (d *duty) publish(ctx context.Context, f fleet.Fleet) error {
	if f.Version <= d.inForce() || f.Version < d.published {
		return nil
	}
	d.published = f.Version
	if err := kernel.Publish(ctx, d.host, message.ConfigTopic, message.ConfigChanged{Fleet: f}); err != nil {
		return err
	}
	d.adopted.Inc(1)
	d.version.Update(int64(f.Version))
	d.report(d.status.load().withFleet(f, time.Now()))
	d.log.Info("configuration in force", "event", "config.adopted", "version", f.Version)
	return nil
}

func (d *duty) report(r report) {
	d.status.latest.Store(&r)
}
