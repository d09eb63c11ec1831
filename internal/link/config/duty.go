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

// errNoStore means that no configured plug-in provides the platform's key-value store.
var errNoStore = errors.New("no plug-in provides the platform's key-value store")

// duty applies new configuration versions.
type duty struct {
	host    *kernel.Host
	log     *slog.Logger
	heads   *ring.Ring[record.ConfigHead]
	offers  *ring.Ring[message.ConfigChanged]
	status  *status
	backoff *backoff.ExponentialBackOff

	wanted    record.ConfigHead // newest head seen, zero if it is in effect
	assembly  store.Assembly    // of the last attempt
	published uint64            // highest version that a subscriber may have received
	damaged   uint64            // last version that could not be decoded

	adopted     metrics.Counter
	undecodable metrics.Counter
	failed      metrics.Counter
	version     metrics.Gauge
}

func newDuty(h *kernel.Host, s Settings) *duty {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = ms(s.RetryInterval), ms(s.MaxRetryInterval)
	return &duty{
		host: h, log: h.Log,
		heads:       kernel.Open(h, headPort),
		offers:      kernel.Open(h, message.ConfigPort),
		status:      newStatus(),
		backoff:     retry,
		adopted:     metrics.GetOrRegisterCounter("config.adopted", h.Metrics),
		undecodable: metrics.GetOrRegisterCounter("config.undecodable", h.Metrics),
		failed:      metrics.GetOrRegisterCounter("config.failed", h.Metrics),
		version:     metrics.GetOrRegisterGauge("config.version", h.Metrics),
	}
}

// run handles heads, offered configurations and retries until ctx ends.
func (d *duty) run(ctx context.Context) error {
	s, ok := kernel.Use[message.Store](d.host)
	if !ok {
		return errNoStore
	}
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case head := <-d.heads.Items():
			d.handleHead(head)
		case offer := <-d.offers.Items():
			d.handleOffer(ctx, offer.Fleet)
		case <-retry:
		}
		retry = d.catchUp(ctx, s)
	}
}

// handleHead keeps the newest of the queued heads, so that a burst of changes is assembled once.
func (d *duty) handleHead(head record.ConfigHead) {
	for {
		if head.Version > max(d.wanted.Version, d.activeVersion()) {
			d.wanted = head
		} else if head.Version < d.activeVersion() {
			d.log.Warn("config head names an older version than the one in effect", "event", "config.older",
				"version", head.Version, "inforce", d.activeVersion())
		}
		select {
		case head = <-d.heads.Items():
		default:
			d.setReport(d.status.load().withWanted(d.wanted.Version))
			return
		}
	}
}

func (d *duty) activeVersion() uint64 {
	version, _ := d.status.ActiveVersion()
	return version
}

// catchUp applies the wanted version. It returns a channel that fires when a failed attempt is to be retried, else nil.
func (d *duty) catchUp(ctx context.Context, s store.Store) <-chan time.Time {
	if d.wanted.Version <= d.activeVersion() {
		d.wanted = record.ConfigHead{}
		d.backoff.Reset()
		return nil
	}
	assembly, err := d.assembly.Assemble(ctx, s, d.wanted)
	d.assembly = assembly
	if err == nil {
		err = d.publish(ctx, assembly.Fleet)
	}
	if err == nil {
		d.wanted = record.ConfigHead{}
		d.backoff.Reset()
		return nil
	}
	if store.Damaged(err) {
		d.countDamaged(err)
		d.fallBack(ctx)
		d.setReport(d.status.load().withError(err))
		return time.After(d.backoff.MaxInterval)
	}
	d.setReport(d.status.load().withError(err))
	d.failed.Inc(1)
	delay := d.backoff.NextBackOff()
	d.log.Warn("failed to apply configuration, retrying", "event", "config.retry",
		"version", d.wanted.Version, "pause", delay, "error", err)
	return time.After(delay)
}

// countDamaged counts and logs a version that cannot be decoded, once per version.
func (d *duty) countDamaged(err error) {
	if d.damaged == d.wanted.Version {
		return
	}
	d.damaged = d.wanted.Version
	d.undecodable.Inc(1)
	d.log.Error("configuration version cannot be decoded, keeping the last good one", "event", "config.undecodable",
		"version", d.wanted.Version, "inforce", d.activeVersion(), "error", err)
}

// fallBack applies the newest version before a damaged one.
//
// Without it, an entry instance that starts while the latest value is damaged would have no configuration and refuse
// all requests.
func (d *duty) fallBack(ctx context.Context) {
	reached, ok := d.assembly.Reached(d.activeVersion())
	if !ok {
		return
	}
	if err := d.publish(ctx, reached.Fleet); err != nil {
		d.log.Warn("failed to publish the version before the damaged one", "event", "config.fallback",
			"version", reached.Fleet.Version, "error", err)
	}
}

// handleOffer applies a configuration that another entry instance offers while the platform does not answer.
func (d *duty) handleOffer(ctx context.Context, f fleet.Fleet) {
	if err := d.publish(ctx, f); err != nil {
		d.log.Warn("failed to publish offered configuration", "event", "config.offer", "version", f.Version, "error", err)
	}
}

// publish applies a configuration unless the same or a newer version is in effect or a newer one was published.
//
// A version that reached only some of the subscribers is published again, so these receive it twice.
func (d *duty) publish(ctx context.Context, f fleet.Fleet) error {
	if f.Version <= d.activeVersion() || f.Version < d.published {
		return nil
	}
	d.published = f.Version
	if err := kernel.Publish(ctx, d.host, message.ConfigTopic, message.ConfigChanged{Fleet: f}); err != nil {
		return err
	}
	d.adopted.Inc(1)
	d.version.Update(int64(f.Version))
	d.setReport(d.status.load().withFleet(f, time.Now()))
	d.log.Info("configuration in effect", "event", "config.adopted", "version", f.Version)
	return nil
}

func (d *duty) setReport(r report) {
	d.status.latest.Store(&r)
}
