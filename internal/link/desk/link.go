package desk

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
	"teaselloft/internal/model/site"

	"github.com/rcrowley/go-metrics"
)

// Name is the plug-in's name in the settings.
const Name = "desk"

// Settings of the plug-in.
type Settings struct {
	AttemptTimeout   kernel.Duration `json:"try"`   // of one attempt to reach an owner, which may have gone silent
	RetryInterval kernel.Duration `json:"pause"` // before another attempt
	NoOwnerTimeout  kernel.Duration `json:"give"`  // after which a request without an owner is refused
	UnknownOutcomeTimeout kernel.Duration `json:"doubt"` // after which a request of unknown outcome is answered so
}

// Defaults of the settings.
var Defaults = Settings{
	AttemptTimeout:   kernel.Duration(700 * time.Millisecond),
	RetryInterval: kernel.Duration(40 * time.Millisecond),
	NoOwnerTimeout:  kernel.Duration(150 * time.Millisecond),
	UnknownOutcomeTimeout: kernel.Duration(700 * time.Millisecond),
}

func init() {
	kernel.Register(Name, Defaults, build)
}

type desk struct {
	host     *kernel.Host
	log      *slog.Logger
	settings Settings
	leaving  atomic.Bool
	meters   meters
}

type meters struct {
	accepted, refused, unsure metrics.Counter
	accept                    metrics.Histogram
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	const reservoir, alpha = 1028, 0.015 // the library's customary size and decay
	d := &desk{host: h, log: h.Log.With("plugin", Name), settings: s, meters: meters{
		accepted: metrics.GetOrRegisterCounter("desk.accepted", h.Metrics),
		refused:  metrics.GetOrRegisterCounter("desk.refused", h.Metrics),
		unsure:   metrics.GetOrRegisterCounter("desk.unsure", h.Metrics),
		accept:   metrics.GetOrRegisterHistogram("desk.accept.ms", h.Metrics, metrics.NewExpDecaySample(reservoir, alpha)),
	}}
	kernel.Provide[port.JobService](h, d)
	h.OnStop(kernel.PhaseNotReady, func(context.Context) error { d.leaving.Store(true); return nil })
	return nil, nil
}

func (d *desk) directory() cluster.Directory {
	x, ok := kernel.Use[port.Directory](d.host)
	if !ok {
		return cluster.Directory{}
	}
	return x.Directory()
}

// Ready implements port.JobService.
func (d *desk) Ready() bool {
	x := d.directory()
	return !d.leaving.Load() && x.Config != nil && x.Listed && x.Reported
}

// Route implements port.JobService.
func (d *desk) Route(host, path string) (site.Queue, string, error) {
	c := d.directory().Config
	if c == nil {
		return site.Queue{}, "", port.ErrNoConfig
	}
	q, ok := c.Route(host, path)
	if !ok {
		return site.Queue{}, "", port.ErrNoRoute
	}
	return q, path[len(q.Prefix):], nil
}

// owner returns the owner of a pool, in this process or in another.
func (d *desk) owner(pool string) (port.PoolOwner, bool) {
	if owners, ok := kernel.Use[port.Owners](d.host); ok {
		if j, ok := owners.Local(pool); ok {
			return j, true
		}
	}
	o, ok := d.directory().Owners[pool]
	if !ok {
		return nil, false
	}
	if self, ok := kernel.Use[port.Membership](d.host); ok {
		if m, _ := self.Self(); m.Name == o.Name {
			return nil, false // it was this daemon, which has given the pool up
		}
	}
	peers, ok := kernel.Use[port.Peers](d.host)
	if !ok {
		return nil, false
	}
	return peers.Remote(o), true
}

// try calls the owner of a pool until it answers; refused is the error if no attempt can have had an effect.
func (d *desk) try(ctx context.Context, pool string, refused error, call func(ctx context.Context, j port.PoolOwner) error) error {
	began := clock.SinceBoot()
	unsure := false
	for {
		j, ok := d.owner(pool)
		var err error
		if ok {
			attempt, cancel := context.WithTimeout(ctx, d.settings.AttemptTimeout.Value())
			err = call(attempt, j)
			cancel()
			if unsure && errors.Is(err, port.ErrNotAccepted) {
				return port.ErrUnknownOutcome // an earlier attempt may have been taken
			}
			if !again(err) {
				return err
			}
			unsure = unsure || errors.Is(err, port.ErrUnknownOutcome)
		}
		if !unsure && clock.SinceBoot()-began > d.settings.NoOwnerTimeout.Value() {
			return refused
		}
		if unsure && clock.SinceBoot()-began > d.settings.UnknownOutcomeTimeout.Value() {
			return port.ErrUnknownOutcome
		}
		select {
		case <-ctx.Done():
			if unsure {
				return port.ErrUnknownOutcome
			}
			return refused
		case <-time.After(d.settings.RetryInterval.Value()):
		}
	}
}

// again reports whether another attempt may find the owner.
func again(err error) bool {
	return errors.Is(err, port.ErrNotOwner) || errors.Is(err, port.ErrNotConnected) || errors.Is(err, port.ErrUnknownOutcome)
}

// Submit implements port.JobService.
func (d *desk) Submit(ctx context.Context, q site.Queue, s job.Submission) error {
	began := clock.SinceBoot()
	err := d.try(ctx, q.Pool, port.ErrNotAccepted, func(ctx context.Context, j port.PoolOwner) error { return j.Submit(ctx, s) })
	took := clock.SinceBoot() - began
	d.meters.accept.Update(took.Milliseconds())
	switch {
	case err == nil:
		d.meters.accepted.Inc(1)
		return nil
	case errors.Is(err, port.ErrUnknownOutcome):
		d.meters.unsure.Inc(1)
	default:
		d.meters.refused.Inc(1)
	}
	owner := d.directory().Owners[q.Pool]
	d.log.Info("job was not taken", "event", "desk.submit", "job", string(s.ID), "queue", q.Name, "pool", q.Pool,
		"owner", owner.Name, "epoch", owner.Epoch, "after", took, "error", err)
	return err
}

// State implements port.JobService. A queue may have moved to another pool, so that a job unknown to its owner is looked for with the others.
func (d *desk) State(ctx context.Context, q site.Queue, id job.ID) (job.State, error) {
	var state job.State
	err := d.find(ctx, q, func(ctx context.Context, j port.PoolOwner) error {
		var err error
		state, err = j.State(ctx, id)
		return err
	})
	return state, err
}

// Cancel implements port.JobService.
func (d *desk) Cancel(ctx context.Context, q site.Queue, id job.ID) error {
	err := d.find(ctx, q, func(ctx context.Context, j port.PoolOwner) error { return j.Cancel(ctx, id) })
	if err != nil && !errors.Is(err, port.ErrNoJob) {
		d.log.Info("job was not cancelled", "event", "desk.cancel", "job", string(id), "queue", q.Name, "pool", q.Pool, "error", err)
	}
	return err
}

func (d *desk) find(ctx context.Context, q site.Queue, call func(ctx context.Context, j port.PoolOwner) error) error {
	err := d.try(ctx, q.Pool, port.ErrUnavailable, call)
	if !errors.Is(err, port.ErrNoJob) {
		return err
	}
	c := d.directory().Config
	for _, p := range c.Pools {
		if p.Name == q.Pool || p.Standby {
			continue
		}
		if err := d.try(ctx, p.Name, port.ErrUnavailable, call); !errors.Is(err, port.ErrNoJob) {
			return err
		}
	}
	return port.ErrNoJob
}

// Pending implements port.JobService.
func (d *desk) Pending(ctx context.Context, q site.Queue) (int, error) {
	n := 0
	err := d.try(ctx, q.Pool, port.ErrUnavailable, func(ctx context.Context, j port.PoolOwner) error {
		var err error
		n, err = j.Pending(ctx, q.Name)
		return err
	})
	return n, err
}
