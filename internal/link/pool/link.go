package pool

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/claim"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"

	"github.com/rcrowley/go-metrics"
)

// Name is the plug-in's name in the settings.
const Name = "pool"

// Settings of the plug-in.
type Settings struct {
	Lease kernel.Duration `json:"lease"` // the longest lease that executors take
}

// Defaults of the settings.
var Defaults = Settings{Lease: kernel.Duration(6 * time.Second)}

// Times of the duties.
const (
	claimEvery   = 200 * time.Millisecond // between looks for duties without an owner
	claimTimeout = 3 * time.Second        // of a takeover, which reads all jobs of a pool
	tickEvery    = 50 * time.Millisecond  // between two ticks of a pool
)

func init() {
	kernel.Register(Name, Defaults, build)
}

type link struct {
	host     *kernel.Host
	log      *slog.Logger
	settings Settings
	changed  *ring.Ring[struct{}]
	taken    *ring.Ring[string] // duties whose takeover has ended
	meters   meters

	mutex    sync.Mutex
	tenants  map[string]tenant // by duty
	stopping bool
}

type meters struct {
	takeover, commit, order, hold metrics.Histogram
	superseded, refused           metrics.Counter
}

// histogram returns a latency histogram in milliseconds.
func histogram(r metrics.Registry, name string) metrics.Histogram {
	const reservoir, alpha = 1028, 0.015 // the library's customary size and decay
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(reservoir, alpha))
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	l := &link{
		host: h, log: h.Log.With("plugin", Name), settings: s, tenants: map[string]tenant{},
		changed: ring.New[struct{}]("pool.changed", 1, ring.Refuse, h.Metrics),
		taken:   ring.New[string]("pool.taken", 64, ring.Block, h.Metrics),
		meters: meters{
			takeover: histogram(h.Metrics, "pool.takeover.ms"), commit: histogram(h.Metrics, "pool.commit.ms"),
			order: histogram(h.Metrics, "pool.order.ms"), hold: histogram(h.Metrics, "pool.hold.ms"),
			superseded: metrics.GetOrRegisterCounter("pool.superseded", h.Metrics),
			refused:    metrics.GetOrRegisterCounter("pool.orders.refused", h.Metrics),
		},
	}
	kernel.Subscribe(h, port.DirectoryTopic, func(ctx context.Context, _ cluster.Directory) error {
		if err := l.changed.Push(ctx, struct{}{}); err != nil && !errors.Is(err, ring.ErrFull) {
			return err
		}
		return nil // a full ring holds a notice already
	})
	kernel.Provide[port.Owners](h, l)
	h.OnStop(kernel.PhaseNotReady, l.stop)
	h.RegisterDump(Name, l.dump)
	return []kernel.Duty{{Name: "pool.claim", Run: l.run}}, nil
}

// tenant runs one duty that this process has.
type tenant interface {
	held() tenancy
	run()
	inform(ctx context.Context, d cluster.Directory)
	// stop ends the duty; the channel closes when nothing of it runs any more.
	stop() <-chan struct{}
	dump() any
}

// Local implements port.Owners.
func (l *link) Local(pool string) (port.PoolOwner, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	j, ok := l.tenants[pool].(port.PoolOwner)
	return j, ok
}

// run claims duties without an owner and passes the directory on to the pools that are owned.
func (l *link) run(ctx context.Context) error {
	directory, ok := kernel.Use[port.Directory](l.host)
	membership, known := kernel.Use[port.Membership](l.host)
	if !ok || !known {
		return errors.New("no plug-in provides the directory or the membership")
	}
	pause := time.NewTicker(claimEvery)
	defer pause.Stop()
	var orphans claim.Orphans
	var member time.Duration
	claiming := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case duty := <-l.taken.Items():
			delete(claiming, duty)
		case <-l.changed.Items():
		case <-pause.C:
		}
		l.inform(ctx, directory.Directory())
		self, registered := membership.Self()
		if !registered {
			member = 0
			continue
		}
		if member == 0 {
			member = clock.SinceBoot()
		}
		lost, back := directory.Outage()
		var claims []string
		orphans, claims = claim.Decide(orphans, claim.Input{
			Now: clock.SinceBoot(), Self: self, MemberSince: member, StoreLost: lost != 0, StoreBackAt: back,
			Held: l.held(claiming), Directory: directory.Directory(),
		})
		for _, duty := range claims {
			if claiming[duty] || l.owns(duty) {
				continue
			}
			claiming[duty] = true
			go l.take(ctx, duty, self, directory)
		}
	}
}

// held returns the duties that this process has or is taking over.
func (l *link) held(claiming map[string]bool) map[string]bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := maps.Clone(claiming)
	for duty := range l.tenants {
		held[duty] = true
	}
	return held
}

func (l *link) owns(duty string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, ok := l.tenants[duty]
	return ok
}

// inform passes the directory on and gives up the duties that another daemon has.
func (l *link) inform(ctx context.Context, d cluster.Directory) {
	l.mutex.Lock()
	tenants := slices.Collect(maps.Values(l.tenants))
	l.mutex.Unlock()
	for _, t := range tenants {
		if x, ok := d.Owners[t.held().duty]; ok && x.Epoch > t.held().epoch {
			l.drop(t, "another daemon has taken it over", "by", x.Name, "newer", x.Epoch)
			continue
		}
		t.inform(ctx, d)
	}
}

// drop ends a duty in this process.
func (l *link) drop(t tenant, reason string, attrs ...any) {
	duty := t.held().duty
	l.mutex.Lock()
	current := l.tenants[duty] == t
	if current {
		delete(l.tenants, duty)
	}
	l.mutex.Unlock()
	if !current {
		return
	}
	l.meters.superseded.Inc(1)
	l.log.Info("duty is given up", append([]any{"event", "duty.dropped", "duty", duty, "epoch", t.held().epoch, "reason", reason}, attrs...)...)
	t.stop()
}

// take takes a duty over and runs it.
func (l *link) take(ctx context.Context, duty string, self cluster.Member, directory port.Directory) {
	defer func() { _ = l.taken.PushWait(ctx, duty) }() // fails only when the process ends
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	began := clock.SinceBoot()
	take := l.takePool
	if duty == cluster.FleetDuty {
		take = l.takeFleet
	}
	t, err := take(call, ctx, duty, self, directory)
	if err != nil {
		l.log.Info("duty was not taken over", "event", "duty.refused", "duty", duty, "after", clock.SinceBoot()-began, "error", err)
		return
	}
	l.meters.takeover.Update((clock.SinceBoot() - began).Milliseconds())
	l.log.Info("duty is taken over", "event", "duty.taken", "duty", duty, "epoch", t.held().epoch, "after", clock.SinceBoot()-began)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopping {
		return
	}
	l.tenants[duty] = t
	go t.run()
}

// stop gives every duty up, so that the next owners find nothing on its way.
func (l *link) stop(ctx context.Context) error {
	l.mutex.Lock()
	l.stopping = true
	tenants := l.tenants
	l.tenants = map[string]tenant{}
	l.mutex.Unlock()
	for _, t := range tenants {
		select {
		case <-t.stop():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (l *link) dump() any {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	duties := map[string]any{}
	for name, t := range l.tenants {
		duties[name] = t.dump()
	}
	return duties
}
