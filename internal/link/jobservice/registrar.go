package jobservice

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/guard"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/admission"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	"github.com/rcrowley/go-metrics"
)

// registrationCapacity is the number of submissions that can wait until their path is registered. They come at once when
// a path is new or has moved.
const registrationCapacity = 1024

// registration asks to store the pool of a queue's path.
type registration struct {
	config *site.Config
	queue  site.Queue
	reply  *ring.Ring[registered]
}

// registered is the result of a registration.
type registered struct {
	former []string // pools that may have accepted jobs of the path before
	err    error
}

// registrar stores to which pools paths are routed.
type registrar struct {
	host     *kernel.Host
	log      *slog.Logger
	settings Settings
	queue    *ring.Ring[registration]
	latest   atomic.Pointer[cluster.Paths] // as last written or found by this daemon; the directory may be behind
	written  metrics.Counter
	failed   metrics.Counter
}

func newRegistrar(h *kernel.Host, log *slog.Logger, settings Settings) *registrar {
	r := &registrar{
		host: h, log: log, settings: settings,
		queue:   ring.New[registration]("desk.paths", registrationCapacity, ring.Refuse, h.Metrics),
		written: metrics.GetOrRegisterCounter("desk.paths.written", h.Metrics),
		failed:  metrics.GetOrRegisterCounter("desk.paths.failed", h.Metrics),
	}
	r.latest.Store(&cluster.Paths{})
	return r
}

// known returns the latest record of the paths that this daemon has seen.
func (r *registrar) known(d cluster.Directory) cluster.Paths {
	if latest := *r.latest.Load(); latest.Revision > d.Paths.Revision {
		return latest
	}
	return d.Paths
}

// former returns the pools that may have accepted a submission of a queue before. The record of the paths then names the
// queue's pool as the current one. It returns ErrUnknownOutcome if that cannot be stored, or if the configuration is out
// of date: another pool may have accepted the job.
func (r *registrar) former(ctx context.Context, d cluster.Directory, q site.Queue) ([]string, error) {
	switch v := admission.Decide(r.known(d), d.Config, q, time.Now().UnixMilli()).(type) {
	case admission.Admit:
		return v.Former, nil
	case admission.Outdated:
		r.log.Info("configuration is out of date", "event", "path.outdated", "path", q.Path(), "pool", q.Pool, "version", d.Config.Version,
			"current", v.Pool, "since", v.Version)
		return nil, port.ErrUnknownOutcome
	case admission.Register:
		reply := ring.NewReply[registered]()
		if err := r.queue.Push(ctx, registration{config: d.Config, queue: q, reply: reply}); err != nil {
			return nil, fmt.Errorf("%w: %w", port.ErrUnknownOutcome, err)
		}
		result, err := reply.Pull(ctx)
		if err = errors.Join(err, result.err); err != nil {
			return nil, fmt.Errorf("%w: path is not registered: %w", port.ErrUnknownOutcome, err)
		}
		return result.former, nil
	default:
		panic("jobservice: unhandled admission verdict")
	}
}

// run stores the requested registrations one after the other. Most find that an earlier one has been enough.
func (r *registrar) run(ctx context.Context) error {
	for {
		x, err := r.queue.Pull(ctx)
		if err != nil {
			return ctx.Err()
		}
		var result registered
		if err := guard.Call(func() { result.former, result.err = r.register(ctx, x) }); err != nil {
			r.log.Error("path not registered", "event", "path.rejected", "path", x.queue.Path(), "error", err)
			result.err = err
		}
		_ = x.reply.Push(ctx, result) // never full: a reply ring receives one answer
		if result.err == nil {
			continue
		}
		r.failed.Inc(1)
		for n := r.queue.Len(); n > 0; n-- { // each of these would wait as long
			waiting, err := r.queue.Pull(ctx)
			if err != nil {
				return ctx.Err()
			}
			_ = waiting.reply.Push(ctx, result) // never full: a reply ring receives one answer
		}
	}
}

// errOutdated is returned for a configuration that is older than the one by which the record names another pool.
var errOutdated = errors.New("configuration is out of date")

// register stores the pool of a path, unless the record names it already, and returns the former pools of the path.
func (r *registrar) register(ctx context.Context, x registration) ([]string, error) {
	store, ok := kernel.Use[port.Store](r.host)
	if !ok {
		return nil, errors.New("no plug-in provides a store")
	}
	directory, ok := kernel.Use[port.Directory](r.host)
	if !ok {
		return nil, errors.New("no plug-in provides the directory")
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.UnknownOutcomeTimeout.Value())
	defer cancel()
	known := r.known(directory.Directory())
	for {
		switch v := admission.Decide(known, x.config, x.queue, time.Now().UnixMilli()).(type) {
		case admission.Admit:
			return v.Former, nil
		case admission.Outdated:
			return nil, fmt.Errorf("%w: version %d, path %q belongs to pool %s since version %d", errOutdated, x.config.Version, x.queue.Path(), v.Pool, v.Version)
		case admission.Register:
			stored, err := r.store(ctx, store, known, v.Paths)
			if err != nil {
				r.log.Info("path not registered", "event", "path.retry", "path", x.queue.Path(), "pool", x.queue.Pool, "revision", known.Revision, "error", err)
				select {
				case <-ctx.Done():
					return nil, err
				case <-time.After(r.settings.RetryInterval.Value()):
				}
				continue
			}
			known = stored
			r.latest.Store(&stored)
		default:
			panic("jobservice: unhandled admission verdict")
		}
	}
}

// store replaces the known record. If the record has another revision, store returns what it holds, or the known paths
// with its revision if it is missing or invalid.
func (r *registrar) store(ctx context.Context, store port.Store, known, next cluster.Paths) (cluster.Paths, error) {
	attempt, cancel := context.WithTimeout(ctx, r.settings.AttemptTimeout.Value())
	defer cancel()
	var conflict *port.ConflictError
	stored, err := store.Apply(attempt, port.Txn{
		Conditions: []port.Condition{{Key: cluster.KeyPaths, Revision: known.Revision}},
		Writes:     []port.Write{{Key: cluster.KeyPaths, Value: job.Encode(next)}},
	})
	switch {
	case err == nil:
		r.written.Inc(1)
		r.log.Info("paths registered", "event", "path.stored", "revision", stored, "paths", len(next.Pools))
		return next.WithRevision(stored), nil
	case !errors.As(err, &conflict):
		return cluster.Paths{}, err
	}
	item := conflict.Find(cluster.KeyPaths)
	found, err := job.Decode[cluster.Paths](item.Value)
	if err == nil {
		err = found.Validate()
	}
	if err != nil {
		r.log.Error("invalid record in the store", "event", "record.unreadable", "key", item.Key, "revision", item.Revision, "error", err)
		return known.WithRevision(item.Revision), nil
	}
	return found.WithRevision(item.Revision), nil
}
