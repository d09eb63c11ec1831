package jobservice

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/admission"
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
	AttemptTimeout        kernel.Duration `json:"try"`   // for one call to an owner, whose connection may be dead
	RetryInterval         kernel.Duration `json:"pause"` // between two attempts
	NoOwnerTimeout        kernel.Duration `json:"give"`  // after which a request to a pool without a reachable owner is refused
	UnknownOutcomeTimeout kernel.Duration `json:"doubt"` // after which a request in doubt is answered with an unknown outcome
}

// Defaults of the settings.
var Defaults = Settings{
	AttemptTimeout:        kernel.Duration(700 * time.Millisecond),
	RetryInterval:         kernel.Duration(40 * time.Millisecond),
	NoOwnerTimeout:        kernel.Duration(150 * time.Millisecond),
	UnknownOutcomeTimeout: kernel.Duration(700 * time.Millisecond),
}

func init() {
	kernel.Register(Name, Defaults, build)
}

type service struct {
	host     *kernel.Host
	log      *slog.Logger
	settings Settings
	stopping atomic.Bool
	paths    *registrar
	meters   meters
	keys     *authenticator
}

type meters struct {
	accepted, refused, unknown metrics.Counter
	accept                     metrics.Histogram
}

func build(h *kernel.Host, settings Settings) ([]kernel.Duty, error) {
	const reservoir, alpha = 1028, 0.015 // the library's usual size and decay factor
	s := &service{host: h, log: h.Log.With("plugin", Name), settings: settings, meters: meters{
		accepted: metrics.GetOrRegisterCounter("desk.accepted", h.Metrics),
		refused:  metrics.GetOrRegisterCounter("desk.refused", h.Metrics),
		unknown:  metrics.GetOrRegisterCounter("desk.unsure", h.Metrics),
		accept:   metrics.GetOrRegisterHistogram("desk.accept.ms", h.Metrics, metrics.NewExpDecaySample(reservoir, alpha)),
	}}
	kernel.Provide[port.JobService](h, s)
	h.OnStop(kernel.PhaseNotReady, func(context.Context) error { s.stopping.Store(true); return nil })
	s.paths = newRegistrar(h, s.log, settings)
	s.keys = newAuthenticator(h, s.log)
	h.RegisterDump(Name, s.keys.dump)
	return []kernel.Duty{{Name: "desk.paths", Run: s.paths.run}}, nil
}

func (s *service) directory() cluster.Directory {
	provider, ok := kernel.Use[port.Directory](s.host)
	if !ok {
		return cluster.Directory{}
	}
	return provider.Directory()
}

// Ready implements port.JobService.
func (s *service) Ready() bool {
	d := s.directory()
	return !s.stopping.Load() && d.Config != nil && d.Listed
}

// Route implements port.JobService.
func (s *service) Route(host, path string) (site.Queue, string, error) {
	config := s.directory().Config
	if config == nil {
		return site.Queue{}, "", port.ErrNoConfig
	}
	q, ok := config.Route(host, path)
	if !ok {
		return site.Queue{}, "", port.ErrNoRoute
	}
	return q, path[len(q.Prefix):], nil
}

// owner returns the owner of a pool, in this process or in another.
func (s *service) owner(pool string) (port.PoolOwner, bool) {
	if owners, ok := kernel.Use[port.Owners](s.host); ok {
		if owner, ok := owners.Local(pool); ok {
			return owner, true
		}
	}
	record, ok := s.directory().Owners[pool]
	if !ok {
		return nil, false
	}
	if membership, ok := kernel.Use[port.Membership](s.host); ok {
		if self, _ := membership.Self(); self.Name == record.Name {
			return nil, false // this daemon has stepped down from the pool
		}
	}
	peers, ok := kernel.Use[port.Peers](s.host)
	if !ok {
		return nil, false
	}
	return peers.Remote(record), true
}

// callOwner calls the owner of a pool until it answers or a timeout of the settings has passed. It returns refused if no
// attempt can have had an effect.
func (s *service) callOwner(ctx context.Context, pool string, refused error, call func(ctx context.Context, o port.PoolOwner) error) error {
	start := clock.SinceBoot()
	inDoubt := false
	for {
		owner, ok := s.owner(pool)
		var err error
		if ok {
			attempt, cancel := context.WithTimeout(ctx, s.settings.AttemptTimeout.Value())
			err = call(attempt, owner)
			cancel()
			if inDoubt && (errors.Is(err, port.ErrNotAccepted) || errors.Is(err, port.ErrUnavailable)) {
				return port.ErrUnknownOutcome // an earlier attempt may have taken effect
			}
			if !retryable(err) {
				return err
			}
			inDoubt = inDoubt || errors.Is(err, port.ErrUnknownOutcome)
		}
		if !inDoubt && clock.SinceBoot()-start > s.settings.NoOwnerTimeout.Value() {
			return refused
		}
		if inDoubt && clock.SinceBoot()-start > s.settings.UnknownOutcomeTimeout.Value() {
			return port.ErrUnknownOutcome
		}
		select {
		case <-ctx.Done():
			if inDoubt {
				return port.ErrUnknownOutcome
			}
			return refused
		case <-time.After(s.settings.RetryInterval.Value()):
		}
	}
}

// retryable reports whether another attempt may reach the owner.
func retryable(err error) bool {
	return errors.Is(err, port.ErrNotOwner) || errors.Is(err, port.ErrNotConnected) || errors.Is(err, port.ErrUnknownOutcome)
}

// Submit implements port.JobService.
func (s *service) Submit(ctx context.Context, q site.Queue, sub job.Submission) error {
	start := clock.SinceBoot()
	err := s.submit(ctx, q, sub.WithQueue(q.Name, q.Path()))
	elapsed := clock.SinceBoot() - start
	s.meters.accept.Update(elapsed.Milliseconds())
	switch {
	case err == nil:
		s.meters.accepted.Inc(1)
		return nil
	case errors.Is(err, port.ErrUnknownOutcome):
		s.meters.unknown.Inc(1)
	default:
		s.meters.refused.Inc(1)
	}
	owner := s.directory().Owners[q.Pool]
	s.log.Info("job not accepted", "event", "desk.submit", "job", string(sub.ID), "queue", q.Name, "pool", q.Pool,
		"owner", owner.Name, "epoch", owner.Epoch, "after", elapsed, "error", err)
	return err
}

// submit passes a submission to the pool of its queue, unless a pool to which the path was routed before has accepted it.
func (s *service) submit(ctx context.Context, q site.Queue, sub job.Submission) error {
	d := s.directory()
	if d.Config == nil {
		return port.ErrNoConfig
	}
	former, err := s.paths.former(ctx, d, q)
	if err != nil {
		return err
	}
	for _, pool := range former {
		if err := s.relinquish(ctx, d.Config, pool, sub); !errors.Is(err, port.ErrNoJob) {
			return err
		}
	}
	return s.callOwner(ctx, q.Pool, port.ErrNotAccepted, func(ctx context.Context, o port.PoolOwner) error {
		return o.Submit(ctx, sub, d.Config.Version)
	})
}

// relinquish returns nil if a former pool of the path has accepted a submission, and ErrNoJob once it is certain that it
// has not.
func (s *service) relinquish(ctx context.Context, c *site.Config, pool string, sub job.Submission) error {
	if p, ok := c.Pool(pool); !ok || p.Standby {
		return s.relinquishStored(ctx, pool, sub)
	}
	err := s.callOwner(ctx, pool, port.ErrUnknownOutcome, func(ctx context.Context, o port.PoolOwner) error {
		return o.Relinquish(ctx, sub, c.Version)
	})
	if err == nil || errors.Is(err, port.ErrNoJob) || errors.Is(err, port.ErrIDConflict) {
		return err
	}
	return fmt.Errorf("%w: ask the former pool %s: %v", port.ErrUnknownOutcome, pool, err) //nolint:errorlint // no other error may be matched
}

// relinquishStored does the same for a pool that is no longer in the configuration, or on standby. It may have no owner,
// so that its records are read from the store.
func (s *service) relinquishStored(ctx context.Context, pool string, sub job.Submission) error {
	store, ok := kernel.Use[port.Store](s.host)
	if !ok {
		return fmt.Errorf("%w: no plug-in provides a store", port.ErrUnknownOutcome)
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.AttemptTimeout.Value())
	defer cancel()
	item, err := store.Get(ctx, job.PrefixJob+pool+"/"+string(sub.ID))
	if errors.Is(err, port.ErrNotFound) {
		return port.ErrNoJob
	}
	var r job.Record
	if err == nil {
		r, err = job.Decode[job.Record](item.Value)
	}
	switch {
	case err != nil:
		return fmt.Errorf("%w: read the record of the removed pool %s: %w", port.ErrUnknownOutcome, pool, err)
	case !sub.Repeats(r.Queue, r.Path, r.Digest):
		return port.ErrIDConflict
	}
	return nil
}

// State implements port.JobService.
func (s *service) State(ctx context.Context, q site.Queue, id job.ID, account string) (job.State, error) {
	var state job.State
	err := s.callJobOwner(ctx, q, func(ctx context.Context, o port.PoolOwner) error {
		var err error
		state, err = o.State(ctx, id, account)
		return err
	})
	return state, readError(err)
}

// readError returns the error of a call that only reads: it has no outcome that could be unknown, and may be repeated.
func readError(err error) error {
	if errors.Is(err, port.ErrUnknownOutcome) {
		return port.ErrUnavailable
	}
	return err
}

// Cancel implements port.JobService.
func (s *service) Cancel(ctx context.Context, q site.Queue, id job.ID, account string) error {
	err := s.callJobOwner(ctx, q, func(ctx context.Context, o port.PoolOwner) error { return o.Cancel(ctx, id, account) })
	if err != nil && !errors.Is(err, port.ErrNoJob) {
		s.log.Info("job not canceled", "event", "desk.cancel", "job", string(id), "queue", q.Name, "pool", q.Pool, "error", err)
	}
	return err
}

// callJobOwner calls the owner of the queue's pool. If that one does not know the job, the queue may have been moved to
// another pool since the job was submitted, and the owners of the other pools follow, the former pools of the path first.
func (s *service) callJobOwner(ctx context.Context, q site.Queue, call func(ctx context.Context, o port.PoolOwner) error) error {
	err := s.callOwner(ctx, q.Pool, port.ErrUnavailable, call)
	if !errors.Is(err, port.ErrNoJob) {
		return err
	}
	d := s.directory()
	former := s.paths.known(d).Former(q.Path(), q.Pool)
	for _, pool := range slices.Concat(former, admission.Others(d.Config, append(former, q.Pool))) {
		if err := s.callOwner(ctx, pool, port.ErrUnavailable, call); !errors.Is(err, port.ErrNoJob) {
			return err
		}
	}
	return port.ErrNoJob
}

// Pending implements port.JobService.
func (s *service) Pending(ctx context.Context, q site.Queue) (int, error) {
	n := 0
	err := s.callOwner(ctx, q.Pool, port.ErrUnavailable, func(ctx context.Context, o port.PoolOwner) error {
		var err error
		n, err = o.Pending(ctx, q.Name)
		return err
	})
	return n, readError(err)
}
