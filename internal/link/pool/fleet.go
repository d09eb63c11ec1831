package pool

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/maintenance"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// Times of the fleet's duty.
const (
	fleetEvery   = 120 * time.Millisecond // between two looks at the loads of the pools, at least
	fleetEach    = 24 * time.Millisecond  // between two looks for each pool: an owner of the fleet asks 42 pools a second at most
	listTimeout  = 900 * time.Millisecond
	loadTimeout  = 200 * time.Millisecond
	vacateFor    = 1200 * time.Millisecond // that a pool's owner keeps executors empty after each call
	vacateMargin = 700 * time.Millisecond  // of it that is left for the order to arrive
	instanceWait = 800 * time.Millisecond  // for the answer to an order
	outcomes     = 64                      // orders whose outcome waits
)

const prefixWave = "teaselloft/wave/" // the instances of a wave that have had their upkeep

// fleet runs the duty that orders instances.
type fleet struct {
	tenancy
	link      *link
	directory port.Directory
	instances port.Instances
	state     atomic.Pointer[maintenance.State]
	writer    writer
	commits   uint64
	outcomes  *ring.Ring[maintenance.OrderResult]
	context   context.Context
	cancel    context.CancelFunc
	ended     chan struct{}
	unknown   map[string]string // the last error of a call about a pool, which is logged once
}

// takeFleet takes the fleet over and reads which instances have had their upkeep.
func (l *link) takeFleet(call, ctx context.Context, duty string, self cluster.Member, directory port.Directory) (tenant, error) {
	instances, ok := kernel.Use[port.Instances](l.host)
	if !ok {
		return nil, errors.New("no plug-in provides the instance list")
	}
	t, w, err := l.takeOver(call, duty, self, directory.Directory().Owners[duty].Epoch)
	if err != nil {
		return nil, err
	}
	items, err := list(call, t.store, prefixWave)
	if err != nil {
		return nil, err
	}
	done := map[int64][]string{}
	for _, i := range items {
		var number int64
		if _, err := fmt.Sscanf(strings.TrimPrefix(i.Key, prefixWave), "%d", &number); err != nil {
			return nil, fmt.Errorf("item %q: %w", i.Key, err)
		}
		if done[number], err = job.Decode[[]string](i.Value); err != nil {
			return nil, fmt.Errorf("item %q: %w", i.Key, err)
		}
	}
	f := &fleet{
		tenancy: t, link: l, directory: directory, instances: instances, writer: w, unknown: map[string]string{}, ended: make(chan struct{}),
		outcomes: ring.New[maintenance.OrderResult]("fleet.outcomes", outcomes, ring.Block, l.host.Metrics),
	}
	s := maintenance.New(done)
	f.state.Store(&s)
	f.context, f.cancel = context.WithCancel(ctx)
	return f, nil
}

func (f *fleet) held() tenancy { return f.tenancy }

func (f *fleet) inform(context.Context, cluster.Directory) {} // it reads the directory at each look

func (f *fleet) dump() any { return f.state.Load().Summary() }

func (f *fleet) stop() <-chan struct{} {
	f.cancel()
	return f.ended
}

// run looks at the fleet until the duty is given up.
func (f *fleet) run() {
	ctx := f.context
	defer close(f.ended)
	var instances []site.Instance
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-f.outcomes.Items():
			f.step(ctx, o)
			continue
		case <-pause.C:
		}
		d := f.directory.Directory()
		if d.Config != nil {
			var err error
			instances, err = f.list(ctx)
			if f.failed("list", err) && ctx.Err() == nil {
				f.link.log.Info("instance list was not read", "event", "fleet.list", "error", err)
			}
			f.step(ctx, maintenance.Tick{Now: clock.SinceBoot(), Directory: d, Instances: instances, Loads: f.loads(ctx, d)})
		}
		pause.Reset(lookPause(d))
	}
}

// lookPause returns the time between two looks at the pools.
func lookPause(d cluster.Directory) time.Duration {
	if d.Config == nil {
		return fleetEvery
	}
	return max(fleetEvery, time.Duration(len(d.Config.Pools))*fleetEach)
}

// failed reports whether a call fails in another way than the last one of its kind.
func (f *fleet) failed(call string, err error) bool {
	if err == nil {
		delete(f.unknown, call)
		return false
	}
	before := f.unknown[call]
	f.unknown[call] = err.Error()
	return before != err.Error()
}

func (f *fleet) list(ctx context.Context) ([]site.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.instances.List(ctx)
}

// jobs returns the owner of a pool, in this process or in another.
func (f *fleet) jobs(pool string, d cluster.Directory) (port.PoolOwner, bool) {
	if j, ok := f.link.Local(pool); ok {
		return j, true
	}
	o, ok := d.LiveOwner(pool)
	peers, known := kernel.Use[port.Peers](f.link.host)
	if !ok || !known {
		return nil, false
	}
	return peers.Remote(o), true
}

// loads asks the owners of the pools.
func (f *fleet) loads(ctx context.Context, d cluster.Directory) map[string]port.Load {
	loads := map[string]port.Load{}
	for _, p := range d.Config.Pools {
		j, ok := f.jobs(p.Name, d)
		if p.Standby || !ok {
			continue
		}
		call, cancel := context.WithTimeout(ctx, loadTimeout)
		load, err := j.Load(call)
		cancel()
		if f.failed("load "+p.Name, err) {
			f.link.log.Info("load of a pool is unknown", "event", "fleet.load", "pool", p.Name, "error", err)
		}
		if err == nil {
			loads[p.Name] = load
		}
	}
	return loads
}

func (f *fleet) step(ctx context.Context, m maintenance.Message) {
	s, effects := maintenance.Step(*f.state.Load(), m)
	f.state.Store(&s)
	for _, e := range effects {
		switch e := e.(type) {
		case maintenance.Vacate:
			f.vacate(ctx, e)
		case maintenance.StartMaintenance:
			f.order(ctx, e.Instance, func(ctx context.Context, o port.InstanceOrder) error { return f.instances.Maintain(ctx, o, e.Wave) })
		case maintenance.MoveInstance:
			f.order(ctx, e.Instance, func(ctx context.Context, o port.InstanceOrder) error { return f.instances.Move(ctx, o, e.Pool) })
		case maintenance.ReportWave:
			f.report(ctx, e)
		case maintenance.StepDown:
			f.link.drop(f, "an instance has seen a newer owner", "instance", e.Instance)
		case maintenance.Note:
			f.link.log.Log(ctx, e.Level, "fleet", append([]any{"event", e.Event, "epoch", f.epoch}, e.Attrs...)...)
		default:
			panic("pool: effect of the fleet is not handled")
		}
	}
}

// vacate asks a pool's owner to empty executors; instances on standby run nothing.
func (f *fleet) vacate(ctx context.Context, e maintenance.Vacate) {
	now := clock.SinceBoot()
	if e.Pool == "" {
		f.step(ctx, maintenance.VacateResult{Executors: e.Executors, ClosedUntil: now + vacateFor})
		return
	}
	j, ok := f.jobs(e.Pool, f.directory.Directory())
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	empty, err := j.Vacate(call, e.Executors, vacateFor)
	cancel()
	if f.failed("vacate "+e.Pool, err) {
		f.link.log.Info("executors were not emptied", "event", "fleet.vacate", "pool", e.Pool, "executors", len(e.Executors), "error", err)
	}
	if err != nil {
		return
	}
	f.step(ctx, maintenance.VacateResult{Pool: e.Pool, Executors: empty, ClosedUntil: now + vacateFor - vacateMargin})
}

// order sends an order beside the duty, which goes on meanwhile.
func (f *fleet) order(ctx context.Context, instance string, send func(context.Context, port.InstanceOrder) error) {
	go func() {
		call, cancel := context.WithTimeout(ctx, instanceWait)
		defer cancel()
		err := send(call, port.InstanceOrder{Instance: instance, Holder: f.self.Name, FencingToken: f.epoch})
		_ = f.outcomes.PushWait(ctx, maintenance.OrderResult{Now: clock.SinceBoot(), Instance: instance, Err: err}) // fails only when the duty is given up
	}()
}

// report stores how a wave stands.
func (f *fleet) report(ctx context.Context, e maintenance.ReportWave) {
	announcements, ok := kernel.Use[port.SiteCodec](f.link.host)
	if !ok {
		return
	}
	f.commits++
	c := schedule.Commit{Number: f.commits, Writes: []port.Write{
		announcements.WaveStatus(e.Wave, e.Completed),
		{Key: fmt.Sprintf("%s%d", prefixWave, e.Wave), Value: job.Encode(e.Done)},
	}}
	err := f.writer.apply(ctx, c, f.link.log, func() {})
	switch {
	case errors.Is(err, errSuperseded):
		f.link.drop(f, err.Error())
	case err != nil && ctx.Err() == nil:
		f.link.log.Warn("state of a wave was not stored", "event", "fleet.report", "wave", e.Wave, "error", err)
		f.step(ctx, maintenance.ReportFailed{Wave: e.Wave})
	}
}
