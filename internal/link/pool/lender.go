package pool

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/guard"
	"teaselloft/internal/core/ring"
	ledger "teaselloft/internal/decision/quota"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/quota"

	"github.com/rcrowley/go-metrics"
)

const lenderCapacity = 64 // queued answers of pool owners and results of writes

// lender divides the quotas of the client accounts among the pools. Its duties are run and writeLoop.
type lender struct {
	fleet      *fleetOwner
	writer     writer // used only by writeLoop
	state      atomic.Pointer[ledger.State]
	results    *ring.Ring[lenderResult]
	writes     *ring.Ring[ledger.Write]
	calling    map[string]bool        // pools with a call in progress; used only by run, as are the next two
	waiting    map[string]ledger.Call // the next call to such a pool
	lastErrors lastErrors
	held       metrics.Gauge
	written    metrics.Counter
}

// lenderResult is the result of an effect.
type lenderResult struct {
	pool    string         // that was called, empty for a write
	message ledger.Message // nil if err is set
	err     error          // of the call
}

func newLender(f *fleetOwner, records map[string]quota.Record, unreadable []string, w writer) *lender {
	r := f.link.host.Metrics
	l := &lender{
		fleet: f, writer: w, calling: map[string]bool{}, waiting: map[string]ledger.Call{}, lastErrors: lastErrors{},
		results: ring.New[lenderResult]("quota.results", lenderCapacity, ring.Block, r),
		writes:  ring.New[ledger.Write]("quota.writes", 1, ring.Block, r), // one is pending at a time
		held:    metrics.GetOrRegisterGauge("quota.held", r),
		written: metrics.GetOrRegisterCounter("quota.writes", r),
	}
	s := ledger.New(f.epoch, records, unreadable)
	l.state.Store(&s)
	return l
}

// run decides about the quotas until the duty is stopped.
func (l *lender) run(ctx context.Context) {
	defer l.held.Update(0)
	ticker := time.NewTicker(ledger.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-l.results.Items():
			if r.pool != "" {
				delete(l.calling, r.pool)
				if l.lastErrors.isNew(r.pool, r.err) && ctx.Err() == nil {
					l.fleet.link.log.Info("passing quotas on to a pool failed", "event", "quota.call", "pool", r.pool, "error", r.err)
				}
			}
			if r.message != nil {
				l.step(ctx, r.message)
			}
			if e, ok := l.waiting[r.pool]; ok {
				delete(l.waiting, r.pool)
				l.call(ctx, e)
			}
		case <-ticker.C:
			if d := l.fleet.directory.Directory(); d.Listed && d.Config != nil {
				l.step(ctx, ledger.Tick{Now: clock.SinceBoot(), Config: d.Config, Owners: poolOwners(d)})
			}
			l.held.Update(int64(l.state.Load().Held()))
		}
	}
}

// poolOwners returns the owners of the pools according to the directory.
func poolOwners(d cluster.Directory) map[string]ledger.Owner {
	owners := make(map[string]ledger.Owner, len(d.Owners))
	for duty, o := range d.Owners {
		if duty != cluster.FleetDuty {
			_, live := d.LiveOwner(duty)
			owners[duty] = ledger.Owner{Epoch: o.Epoch, Revision: o.Revision, Live: live}
		}
	}
	return owners
}

func (l *lender) step(ctx context.Context, m ledger.Message) {
	f := l.fleet
	var s ledger.State
	var effects []ledger.Effect
	if err := guard.Call(func() { s, effects = ledger.Step(*l.state.Load(), m) }); err != nil {
		f.link.meters.rejected.Inc(1)
		f.link.log.Error("message rejected", "event", "quota.rejected", "epoch", f.epoch, "message", fmt.Sprintf("%T", m), "error", err)
		f.link.stepDown(f, "a message could not be processed", "message", fmt.Sprintf("%T", m))
		return
	}
	l.state.Store(&s)
	for _, e := range effects {
		switch e := e.(type) {
		case ledger.Call:
			l.call(ctx, e)
		case ledger.Write:
			if err := l.writes.Push(ctx, e); err != nil {
				return // the duty is stopped
			}
		case ledger.Note:
			f.link.log.Log(ctx, e.Level, "quotas", append([]any{"event", e.Event, "epoch", f.epoch}, e.Attrs...)...)
		default:
			panic("pool: unhandled quota effect")
		}
	}
}

// call calls the owner of a pool without blocking, as soon as no call to it is in progress.
func (l *lender) call(ctx context.Context, e ledger.Call) {
	if l.calling[e.Pool] {
		l.waiting[e.Pool] = e
		return
	}
	owner, ok := l.fleet.ownerOf(e.Pool, l.fleet.directory.Directory())
	if !ok {
		return
	}
	l.calling[e.Pool] = true
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
		defer cancel()
		report, err := owner.Quota(callCtx, e.Limits)
		r := lenderResult{pool: e.Pool, err: err}
		if err == nil {
			r.message = ledger.Reported{Now: clock.SinceBoot(), Pool: e.Pool, Told: e.Limits, Report: report}
		}
		_ = l.results.PushWait(ctx, r) // fails only when the duty is stopped
	}()
}

// writeLoop stores divisions on a lane of its own.
func (l *lender) writeLoop(ctx context.Context) {
	f := l.fleet
	for {
		w, err := l.writes.Pull(ctx)
		if err != nil {
			return
		}
		err = l.write(ctx, w)
		var changed *conditionError
		switch {
		case errors.Is(err, errSuperseded):
			f.link.stepDown(f, err.Error())
			return
		case ctx.Err() != nil:
			return
		case errors.As(err, &changed):
			pools := make([]string, 0, len(changed.keys))
			for _, key := range changed.keys {
				pools = append(pools, strings.TrimPrefix(key, cluster.PrefixOwner))
			}
			err = &ledger.OwnersChangedError{Pools: pools}
		case err == nil:
			l.written.Inc(1)
		}
		_ = l.results.PushWait(ctx, lenderResult{message: ledger.WriteResult{Now: clock.SinceBoot(), Err: err}}) // fails only when the duty is stopped
	}
}

// write stores a division under the conditions on the owners of the pools.
func (l *lender) write(ctx context.Context, w ledger.Write) error {
	c := schedule.Commit{Number: w.Number}
	for _, account := range slices.Sorted(maps.Keys(w.Records)) {
		c.Writes = append(c.Writes, port.Write{Key: quota.Prefix + account, Value: job.Encode(w.Records[account])})
	}
	for _, account := range w.Deletes {
		c.Deletes = append(c.Deletes, quota.Prefix+account)
	}
	conditions := make([]port.Condition, 0, len(w.Owners))
	for _, pool := range slices.Sorted(maps.Keys(w.Owners)) {
		conditions = append(conditions, port.Condition{Key: cluster.PrefixOwner + pool, Revision: w.Owners[pool]})
	}
	next := l.writer.fence
	next.Number = c.Number
	return l.writer.applyWithFence(ctx, next, c, l.fleet.link.log, func() {}, conditions...)
}
