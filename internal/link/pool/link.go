package pool

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/claim"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/tenure"

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
	owners   map[string]*owner
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
		host: h, log: h.Log.With("plugin", Name), settings: s, owners: map[string]*owner{},
		changed: ring.New[struct{}]("pool.changed", 1, ring.Refuse, h.Metrics),
		taken:   ring.New[string]("pool.taken", 64, ring.Block, h.Metrics),
		meters: meters{
			takeover: histogram(h.Metrics, "pool.takeover.ms"), commit: histogram(h.Metrics, "pool.commit.ms"),
			order: histogram(h.Metrics, "pool.order.ms"), hold: histogram(h.Metrics, "pool.hold.ms"),
			superseded: metrics.GetOrRegisterCounter("pool.superseded", h.Metrics),
			refused:    metrics.GetOrRegisterCounter("pool.orders.refused", h.Metrics),
		},
	}
	kernel.Subscribe(h, port.Changed, func(ctx context.Context, _ tenure.Directory) error {
		if err := l.changed.Push(ctx, struct{}{}); err != nil && !errors.Is(err, ring.ErrFull) {
			return err
		}
		return nil // a full ring holds a notice already
	})
	kernel.Provide[port.Owners](h, l)
	h.OnStop(kernel.PhaseReady, l.stop)
	h.Dump(Name, l.dump)
	return []kernel.Duty{{Name: "pool.claim", Run: l.run}}, nil
}

// Local implements port.Owners.
func (l *link) Local(pool string) (port.Jobs, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	o, ok := l.owners[pool]
	return o, ok
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
			member = clock.Boot()
		}
		lost, back := directory.Lost()
		var claims []string
		orphans, claims = claim.Decide(orphans, claim.Input{
			Now: clock.Boot(), Self: self, Member: member, StoreLost: lost != 0, StoreBack: back, Directory: directory.Directory(),
		})
		for _, duty := range claims {
			if duty == tenure.Fleet || claiming[duty] || l.owns(duty) {
				continue
			}
			claiming[duty] = true
			go l.take(ctx, duty, self, directory)
		}
	}
}

func (l *link) owns(duty string) bool {
	_, ok := l.Local(duty)
	return ok
}

// inform passes the directory on and gives up the pools that another daemon owns.
func (l *link) inform(ctx context.Context, d tenure.Directory) {
	l.mutex.Lock()
	owners := make([]*owner, 0, len(l.owners))
	for _, o := range l.owners {
		owners = append(owners, o)
	}
	l.mutex.Unlock()
	for _, o := range owners {
		if x, ok := d.Owners[o.pool]; ok && x.Epoch > o.epoch {
			l.drop(o, "another daemon has taken it over", "by", x.Name, "newer", x.Epoch)
			continue
		}
		o.inform(ctx, d)
	}
}

// drop ends the ownership of a pool in this process.
func (l *link) drop(o *owner, reason string, attrs ...any) {
	l.mutex.Lock()
	current := l.owners[o.pool] == o
	if current {
		delete(l.owners, o.pool)
	}
	l.mutex.Unlock()
	if !current {
		return
	}
	l.meters.superseded.Inc(1)
	l.log.Info("pool is given up", append([]any{"event", "pool.dropped", "pool", o.pool, "epoch", o.epoch, "reason", reason}, attrs...)...)
	o.cancel()
}

// take takes a pool over and adds its owner.
func (l *link) take(ctx context.Context, pool string, self tenure.Member, directory port.Directory) {
	defer func() { _ = l.taken.PushWait(ctx, pool) }() // fails only when the process ends
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	began := clock.Boot()
	o, err := l.takeOver(call, ctx, pool, self, directory)
	if err != nil {
		l.log.Info("pool was not taken over", "event", "pool.claim", "pool", pool, "after", clock.Boot()-began, "error", err)
		return
	}
	l.meters.takeover.Update((clock.Boot() - began).Milliseconds())
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopping {
		o.cancel()
		return
	}
	l.owners[pool] = o
	go o.run(o.context)
}

// stop gives every pool up, so that their next owners find nothing on its way.
func (l *link) stop(ctx context.Context) error {
	l.mutex.Lock()
	l.stopping = true
	owners := l.owners
	l.owners = map[string]*owner{}
	l.mutex.Unlock()
	for _, o := range owners {
		o.cancel()
		select {
		case <-o.ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (l *link) dump() any {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	pools := map[string]any{}
	for name, o := range l.owners {
		pools[name] = o.state.Load().Summary()
	}
	return pools
}
