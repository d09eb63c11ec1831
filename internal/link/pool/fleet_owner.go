package pool

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/guard"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/maintenance"
	ledger "teaselloft/internal/decision/quota"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// Intervals, timeouts and capacities of the fleet owner.
const (
	minPollInterval     = 120 * time.Millisecond // least time between two polls of the pools
	pollIntervalPerPool = 24 * time.Millisecond  // least time per pool, so that a fleet owner calls at most 42 pools a second
	listTimeout         = 900 * time.Millisecond
	ownerCallTimeout    = 200 * time.Millisecond  // for one call to a pool owner
	vacateDuration      = 1200 * time.Millisecond // time that a pool owner keeps executors empty after each call
	vacateMargin        = 700 * time.Millisecond  // part of vacateDuration reserved for the order to arrive
	resultCapacity      = 64                      // queued results of orders, confirmations and reports
	reportCapacity      = 16                      // queued reports of waves; one that is refused is made again
)

const prefixWave = "teaselloft/wave/" // key prefix of the instances of a wave that have had their maintenance

// fleetOwner runs the duty that moves and maintains instances.
type fleetOwner struct {
	ownership
	link       *link
	directory  port.Directory
	instances  port.Instances
	state      atomic.Pointer[maintenance.State]
	reports    *ring.Ring[maintenance.ReportWave]
	reporter   writer // used only by reportLoop
	confirms   *ring.Ring[maintenance.Confirm]
	confirmer  writer // used only by confirmLoop
	results    *ring.Ring[maintenance.Message]
	context    context.Context // of run
	cancel     context.CancelFunc
	done       chan struct{} // closed when run returns
	lastErrors lastErrors
	lender     *lender
}

// lastErrors holds the last error of each call, so that a repeated error is logged once.
type lastErrors map[string]string

// takeOverFleet takes the fleet over and reads which instances have had their maintenance. The takeover is bounded by
// takeoverCtx, and the duty runs until ctx ends.
func (l *link) takeOverFleet(takeoverCtx, ctx context.Context, duty string, self cluster.Member, directory port.Directory) (dutyRunner, error) {
	instances, ok := kernel.Use[port.Instances](l.host)
	if !ok {
		return nil, errors.New("no plug-in provides the instance list")
	}
	former := directory.Directory().Owners[duty]
	own, writers, err := l.writeNewEpoch(takeoverCtx, duty, self, former.Epoch)
	if err != nil {
		return nil, err
	}
	items, err := list(takeoverCtx, own.store, prefixWave)
	if err != nil {
		return nil, err
	}
	completed := map[int64][]string{}
	for _, i := range items {
		number, err := strconv.ParseInt(strings.TrimPrefix(i.Key, prefixWave), 10, 64)
		var done []string
		if err == nil {
			done, err = job.Decode[[]string](i.Value)
		}
		if err != nil {
			l.logUnreadable(i, err) // maintenance that is ordered again after it was done has no effect
			continue
		}
		completed[number] = done
	}
	// Reports and divisions of quotas that the store doesn't carry out are no reason to offer the fleet: its confirmations show
	// whether the store serves this daemon.
	writers[0].health, writers[2].health = newStoreHealth(l.host), newStoreHealth(l.host)
	f := &fleetOwner{
		ownership: own, link: l, directory: directory, instances: instances, lastErrors: lastErrors{}, done: make(chan struct{}),
		reporter: writers[0], confirmer: writers[1],
		reports:  ring.New[maintenance.ReportWave]("fleet.reports", reportCapacity, ring.Refuse, l.host.Metrics),
		confirms: ring.New[maintenance.Confirm]("fleet.confirms", 1, ring.Block, l.host.Metrics), // one is pending at a time
		results:  ring.New[maintenance.Message]("fleet.outcomes", resultCapacity, ring.Block, l.host.Metrics),
	}
	quotas, unreadable, err := l.readQuotas(takeoverCtx, own.store)
	if err != nil {
		return nil, err
	}
	f.lender = newLender(f, quotas, unreadable, writers[2])
	s := maintenance.New(completed).WithFormer(former).WithOrderRate(l.settings.Orders)
	f.state.Store(&s)
	f.context, f.cancel = context.WithCancel(ctx)
	return f, nil
}

func (f *fleetOwner) owned() ownership { return f.ownership }

func (f *fleetOwner) updateDirectory(context.Context, cluster.Directory) {} // the directory is read at each poll

func (f *fleetOwner) dump() any {
	return struct {
		maintenance.Summary
		Quotas ledger.Summary `json:"quotas"`
	}{f.state.Load().Summary(), f.lender.state.Load().Summary()}
}

// handOver implements dutyRunner. The next owner waits for the orders of this one in any case.
func (f *fleetOwner) handOver() <-chan struct{} {
	handed := make(chan struct{})
	close(handed)
	return handed
}

func (f *fleetOwner) stop() <-chan struct{} {
	f.cancel()
	return f.done
}

// run polls the fleet until the duty is stopped.
func (f *fleetOwner) run() {
	ctx := f.context
	defer close(f.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.confirmLoop(ctx) })
	wg.Go(func() { f.reportLoop(ctx) })
	wg.Go(func() { f.link.offerLoop(ctx, f.ownership, f.confirmer.health, f.directory) })
	wg.Go(func() { f.lender.run(ctx) })
	wg.Go(func() { f.lender.writeLoop(ctx) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-f.results.Items():
			f.step(ctx, m)
			continue
		case <-timer.C:
		}
		d := f.directory.Directory()
		if d.Config != nil {
			requestedAt := clock.SinceBoot()
			instances, err := f.listInstances(ctx)
			if f.lastErrors.isNew("list", err) && ctx.Err() == nil {
				f.link.log.Info("reading the instance list failed", "event", "fleet.list", "error", err)
			}
			now := clock.SinceBoot()
			f.step(ctx, maintenance.Tick{Now: now, Directory: d, Instances: instances, ListAge: now - requestedAt, Loads: f.readLoads(ctx, d)})
		}
		timer.Reset(pollInterval(d))
	}
}

// pollInterval returns the time between two polls of the pools.
func pollInterval(d cluster.Directory) time.Duration {
	if d.Config == nil {
		return minPollInterval
	}
	return max(minPollInterval, time.Duration(len(d.Config.Pools))*pollIntervalPerPool)
}

// isNew reports whether a call fails with another error than the previous call of the same name.
func (l lastErrors) isNew(call string, err error) bool {
	if err == nil {
		delete(l, call)
		return false
	}
	before := l[call]
	l[call] = err.Error()
	return before != err.Error()
}

func (f *fleetOwner) listInstances(ctx context.Context) ([]site.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.instances.List(ctx)
}

// ownerOf returns the owner of a pool, in this process or in another.
func (f *fleetOwner) ownerOf(pool string, d cluster.Directory) (port.PoolOwner, bool) {
	if owner, ok := f.link.Local(pool); ok {
		return owner, true
	}
	record, ok := d.LiveOwner(pool)
	peers, hasPeers := kernel.Use[port.Peers](f.link.host)
	if !ok || !hasPeers {
		return nil, false
	}
	return peers.Remote(record), true
}

// readLoads reads the loads of the pools from their owners. It omits the pools whose owner does not answer.
func (f *fleetOwner) readLoads(ctx context.Context, d cluster.Directory) map[string]port.Load {
	loads := map[string]port.Load{}
	for _, p := range d.Config.Pools {
		owner, ok := f.ownerOf(p.Name, d)
		if p.Standby || !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
		load, err := owner.Load(callCtx)
		cancel()
		if f.lastErrors.isNew("load "+p.Name, err) {
			f.link.log.Info("reading the load of a pool failed", "event", "fleet.load", "pool", p.Name, "error", err)
		}
		if err == nil {
			loads[p.Name] = load
		}
	}
	return loads
}

func (f *fleetOwner) step(ctx context.Context, m maintenance.Message) {
	var s maintenance.State
	var effects []maintenance.Effect
	if err := guard.Call(func() { s, effects = maintenance.Step(*f.state.Load(), m) }); err != nil {
		f.link.meters.rejected.Inc(1)
		f.link.log.Error("message rejected", "event", "fleet.rejected", "epoch", f.epoch, "message", fmt.Sprintf("%T", m), "error", err)
		f.link.stepDown(f, "a message could not be processed", "message", fmt.Sprintf("%T", m))
		return
	}
	f.state.Store(&s)
	for _, e := range effects {
		switch e := e.(type) {
		case maintenance.Vacate:
			f.vacate(ctx, e)
		case maintenance.StartMaintenance:
			f.sendOrder(ctx, e.Instance, e.SendBy, func(ctx context.Context, o port.InstanceOrder) error { return f.instances.Maintain(ctx, o, e.Wave) })
		case maintenance.MoveInstance:
			f.sendOrder(ctx, e.Instance, e.SendBy, func(ctx context.Context, o port.InstanceOrder) error { return f.instances.Move(ctx, o, e.Pool) })
		case maintenance.Confirm:
			if err := f.confirms.Push(ctx, e); err != nil {
				return // the duty is stopped
			}
		case maintenance.ReportWave:
			if err := f.reports.Push(ctx, e); err != nil {
				f.step(ctx, maintenance.ReportFailed{Wave: e.Wave})
			}
		case maintenance.StepDown:
			f.link.stepDown(f, "an instance has seen a higher fencing token", "instance", e.Instance)
		case maintenance.Note:
			f.link.log.Log(ctx, e.Level, "fleet", append([]any{"event", e.Event, "epoch", f.epoch}, e.Attrs...)...)
		default:
			panic("pool: unhandled maintenance effect")
		}
	}
}

// vacate asks the owner of a pool to empty executors. If e.Pool is "", the instance is on standby or has no executor. It
// runs nothing then, and is reported as empty at once.
func (f *fleetOwner) vacate(ctx context.Context, e maintenance.Vacate) {
	now := clock.SinceBoot()
	if e.Pool == "" {
		f.step(ctx, maintenance.VacateResult{Now: now, Executors: e.Executors, ClosedUntil: now + vacateDuration})
		return
	}
	owner, ok := f.ownerOf(e.Pool, f.directory.Directory())
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	empty, err := owner.Vacate(callCtx, e.Executors, vacateDuration)
	cancel()
	if f.lastErrors.isNew("vacate "+e.Pool, err) {
		f.link.log.Info("vacating executors failed", "event", "fleet.vacate", "pool", e.Pool, "executors", len(e.Executors), "error", err)
	}
	if err != nil {
		return
	}
	f.step(ctx, maintenance.VacateResult{Now: clock.SinceBoot(), Pool: e.Pool, Executors: empty, ClosedUntil: now + vacateDuration - vacateMargin})
}

// sendOrder sends an order to an instance without blocking, and queues its result. The order is not sent after sendBy, so
// that a daemon that was suspended meanwhile gives no order beside the next owner of the fleet.
func (f *fleetOwner) sendOrder(ctx context.Context, instance string, sendBy time.Duration, send func(context.Context, port.InstanceOrder) error) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, maintenance.OrderTimeout)
		defer cancel()
		err := maintenance.ErrNotSent
		if clock.SinceBoot() < sendBy {
			err = send(callCtx, port.InstanceOrder{Instance: instance, Holder: f.self.Name, FencingToken: f.epoch})
		}
		_ = f.results.PushWait(ctx, maintenance.OrderResult{Now: clock.SinceBoot(), Instance: instance, Err: err}) // fails only when the duty is stopped
	}()
}

// confirmLoop confirms the ownership of the fleet by writes on a lane of its own.
func (f *fleetOwner) confirmLoop(ctx context.Context) {
	for number := uint64(1); ; number++ {
		if _, err := f.confirms.Pull(ctx); err != nil {
			return
		}
		err := f.confirmer.apply(ctx, schedule.Commit{Number: number}, f.link.log, func() {})
		if errors.Is(err, errSuperseded) {
			f.link.stepDown(f, err.Error())
			return
		}
		_ = f.results.PushWait(ctx, maintenance.ConfirmResult{Now: clock.SinceBoot(), Sent: f.confirmer.sentAt, Err: err}) // fails only when the duty is stopped
	}
}

// reportLoop stores the progress of waves.
func (f *fleetOwner) reportLoop(ctx context.Context) {
	for number := uint64(1); ; number++ {
		e, err := f.reports.Pull(ctx)
		if err != nil {
			return
		}
		err = f.reportWave(ctx, number, e)
		switch {
		case errors.Is(err, errSuperseded):
			f.link.stepDown(f, err.Error())
			return
		case err != nil && ctx.Err() == nil:
			f.link.log.Warn("storing the progress of a wave failed", "event", "fleet.report", "wave", e.Wave, "error", err)
			_ = f.results.PushWait(ctx, maintenance.ReportFailed{Wave: e.Wave}) // fails only when the duty is stopped
		}
	}
}

// reportWave stores the progress of a wave.
func (f *fleetOwner) reportWave(ctx context.Context, number uint64, e maintenance.ReportWave) error {
	codec, ok := kernel.Use[port.SiteCodec](f.link.host)
	if !ok {
		return nil
	}
	return f.reporter.apply(ctx, schedule.Commit{Number: number, Writes: []port.Write{
		codec.WaveStatus(e.Wave, e.Completed),
		{Key: fmt.Sprintf("%s%d", prefixWave, e.Wave), Value: job.Encode(e.Done)},
	}}, f.link.log, func() {})
}
