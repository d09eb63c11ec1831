package pool

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/claim"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"

	"github.com/rcrowley/go-metrics"
)

// Name is the plug-in's name in the settings.
const Name = "pool"

// Settings of the plug-in.
type Settings struct {
	MaxLease kernel.Duration `json:"lease"`  // longest lease that executors accept
	Memory   int64           `json:"memory"` // MB that the process may use, 0 if unknown
	Orders   int             `json:"orders"` // orders to instances that the platform accepts a second, 0 if unknown

	Interference bool `json:"interference"` // whether the owners of pools learn which tasks slow each other down
	RunTimes     bool `json:"runtimes"`     // whether they learn how long the tasks of an image run
}

// Defaults of the settings. Run times are not learned, since that gained nothing on the days that were played
// (docs/design/overload.md).
var Defaults = Settings{MaxLease: kernel.Duration(6 * time.Second), Interference: true}

// policy returns the policy of the owners of pools.
func (s Settings) policy() schedule.Policy {
	p := schedule.DefaultPolicy(s.MaxLease.Value())
	p.Interference, p.LearnRunTimes = s.Interference, s.RunTimes
	return p
}

// Intervals and timeouts of takeovers and decisions.
const (
	claimInterval   = 200 * time.Millisecond // between searches for duties without an owner
	takeoverTimeout = 3 * time.Second        // for a takeover, which reads all jobs of a pool
	tickInterval    = 50 * time.Millisecond  // between two ticks of a pool owner
)

// Garbage collection. An owner replaces parts of its immutable state with each message, so that with the default a fifth
// of its processor time went to the collection of some 10 MB; other daemons allocate little.
const (
	ownerGCPercent     = 300
	defaultGCPercent   = 100
	memoryLimitPercent = 60 // of the process's memory, above which the collector works more often than ownerGCPercent asks
)

func init() {
	kernel.Register(Name, Defaults, build)
}

type link struct {
	host              *kernel.Host
	log               *slog.Logger
	settings          Settings
	directoryUpdates  *ring.Ring[struct{}]
	finishedTakeovers *ring.Ring[claim.Attempt] // those that have succeeded or failed
	offers            *ring.Ring[offer]         // duties that other daemons offer
	meters            meters

	mutex    sync.Mutex
	runners  map[string]dutyRunner // by duty
	stopping bool
}

type meters struct {
	takeover, commit, order, heartbeat, lag metrics.Histogram
	superseded, refusedOrders               metrics.Counter
	refused, abandoned                      metrics.Counter // submissions
	unreadable, rejected                    metrics.Counter
	offered                                 metrics.Counter // duties that another daemon has taken over at this one's request
}

// histogram returns a latency histogram in milliseconds.
func histogram(r metrics.Registry, name string) metrics.Histogram {
	const reservoir, alpha = 1028, 0.015 // the library's usual size and decay factor
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(reservoir, alpha))
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	l := &link{
		host: h, log: h.Log.With("plugin", Name), settings: s, runners: map[string]dutyRunner{},
		directoryUpdates:  ring.New[struct{}]("pool.changed", 1, ring.Refuse, h.Metrics),
		finishedTakeovers: ring.New[claim.Attempt]("pool.taken", 64, ring.Block, h.Metrics),
		offers:            ring.New[offer]("pool.offers", offerCapacity, ring.Refuse, h.Metrics),
		meters: meters{
			takeover: histogram(h.Metrics, "pool.takeover.ms"), commit: histogram(h.Metrics, "pool.commit.ms"),
			order: histogram(h.Metrics, "pool.order.ms"), heartbeat: histogram(h.Metrics, "pool.hold.ms"), lag: histogram(h.Metrics, "pool.lag.ms"),
			superseded:    metrics.GetOrRegisterCounter("pool.superseded", h.Metrics),
			refusedOrders: metrics.GetOrRegisterCounter("pool.orders.refused", h.Metrics),
			unreadable:    metrics.GetOrRegisterCounter("pool.unreadable", h.Metrics),
			refused:       metrics.GetOrRegisterCounter("pool.submissions.refused", h.Metrics),
			abandoned:     metrics.GetOrRegisterCounter("pool.submissions.abandoned", h.Metrics),
			rejected:      metrics.GetOrRegisterCounter("pool.rejected", h.Metrics),
			offered:       metrics.GetOrRegisterCounter("pool.offered", h.Metrics),
		},
	}
	kernel.Subscribe(h, port.DirectoryTopic, func(ctx context.Context, _ cluster.Directory) error {
		if err := l.directoryUpdates.Push(ctx, struct{}{}); err != nil && !errors.Is(err, ring.ErrFull) {
			return err
		}
		return nil // a notification is already pending in a full ring
	})
	if s.Memory > 0 {
		debug.SetMemoryLimit(s.Memory << 20 * memoryLimitPercent / 100)
	}
	kernel.Provide[port.Owners](h, l)
	kernel.Provide[port.Successor](h, l)
	h.OnStop(kernel.PhaseNotReady, l.stop)
	h.RegisterDump(Name, l.dump)
	return []kernel.Duty{{Name: "pool.claim", Run: l.run}}, nil
}

// dutyRunner runs a duty that this process owns.
type dutyRunner interface {
	// owned returns the duty and the epoch under which this process owns it.
	owned() ownership
	// run blocks until the duty is stopped.
	run()
	// updateDirectory passes on a new directory.
	updateDirectory(ctx context.Context, d cluster.Directory)
	// handOver makes the duty give no more orders. The channel is closed once the next owner can take it over without waiting
	// for orders that have not expired, or when run returns.
	handOver() <-chan struct{}
	// stop ends the duty. The channel is closed when run returns.
	stop() <-chan struct{}
	// dump returns a summary of the state for the state dump.
	dump() any
}

// Local implements port.Owners.
func (l *link) Local(pool string) (port.PoolOwner, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	o, ok := l.runners[pool].(port.PoolOwner)
	return o, ok
}

// run claims duties without an owner and passes each new directory on to the owned duties.
func (l *link) run(ctx context.Context) error {
	directory, ok := kernel.Use[port.Directory](l.host)
	membership, hasMembership := kernel.Use[port.Membership](l.host)
	if !ok || !hasMembership {
		return errors.New("no plug-in provides the directory or the membership")
	}
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	var orphans claim.Orphans
	var memberSince time.Duration
	claiming := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-l.finishedTakeovers.Items():
			delete(claiming, a.Duty)
			orphans = orphans.WithAttempt(a, clock.SinceBoot())
		case x := <-l.offers.Items():
			l.acceptOffer(ctx, x, directory, membership, claiming)
		case <-l.directoryUpdates.Items():
		case <-ticker.C:
		}
		l.updateDirectory(ctx, directory.Directory())
		self, registered := membership.Self()
		if !registered {
			memberSince = 0
			continue
		}
		if memberSince == 0 {
			memberSince = clock.SinceBoot()
		}
		outageStart, outageEnd := directory.Outage()
		d := directory.Directory()
		var claims []string
		orphans, claims = claim.Decide(orphans, claim.Input{
			Now: clock.SinceBoot(), Self: self, MemberSince: memberSince, StoreLost: outageStart != 0, StoreBackAt: outageEnd,
			Held: l.heldDuties(claiming), TakingOver: claiming, Directory: d,
		})
		for _, duty := range claims {
			if claiming[duty] || l.owns(duty) {
				continue
			}
			claiming[duty] = true
			go func() { _, _ = l.attemptTakeover(ctx, duty, self, directory, d.Owners[duty]) }() // the log has the error
		}
	}
}

// heldDuties returns the duties that this process owns or is taking over.
func (l *link) heldDuties(claiming map[string]bool) map[string]bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := maps.Clone(claiming)
	for duty := range l.runners {
		held[duty] = true
	}
	return held
}

func (l *link) owns(duty string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, ok := l.runners[duty]
	return ok
}

// updateDirectory passes a directory on to the owned duties and steps down from those that another daemon owns under a
// newer epoch.
func (l *link) updateDirectory(ctx context.Context, d cluster.Directory) {
	l.mutex.Lock()
	runners := slices.Collect(maps.Values(l.runners))
	l.mutex.Unlock()
	for _, r := range runners {
		if o, ok := d.Owners[r.owned().duty]; ok && o.Epoch > r.owned().epoch {
			l.stepDown(r, "another daemon owns the duty", "by", o.Name, "newer", o.Epoch)
			continue
		}
		r.updateDirectory(ctx, d)
	}
}

// stepDown stops a duty that another daemon has taken over.
func (l *link) stepDown(r dutyRunner, reason string, attrs ...any) {
	duty := r.owned().duty
	l.mutex.Lock()
	current := l.runners[duty] == r
	if current {
		delete(l.runners, duty)
	}
	if len(l.runners) == 0 {
		debug.SetGCPercent(defaultGCPercent)
	}
	l.mutex.Unlock()
	if !current {
		return
	}
	l.meters.superseded.Inc(1)
	l.log.Info("stepped down from duty", append([]any{"event", "duty.dropped", "duty", duty, "epoch", r.owned().epoch, "reason", reason}, attrs...)...)
	r.stop()
}

// attemptTakeover takes a duty over and reports the end of the attempt to run.
func (l *link) attemptTakeover(ctx context.Context, duty string, self cluster.Member, directory port.Directory, known cluster.Owner) (ownership, error) {
	var own ownership
	err := errStaleDirectory
	if directory.Directory().Owners[duty].Epoch == known.Epoch {
		own, err = l.takeOver(ctx, duty, self, directory)
	}
	_ = l.finishedTakeovers.PushWait(ctx, claim.Attempt{Duty: duty, Known: known, Stale: errors.Is(err, errStaleDirectory)}) // fails only when the process stops
	return own, err
}

// takeOver takes a duty over and starts it.
func (l *link) takeOver(ctx context.Context, duty string, self cluster.Member, directory port.Directory) (ownership, error) {
	l.mutex.Lock()
	stopping := l.stopping
	l.mutex.Unlock()
	if stopping {
		return ownership{}, port.ErrUnavailable
	}
	callCtx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	start := clock.SinceBoot()
	takeOver := l.takeOverPool
	if duty == cluster.FleetDuty {
		takeOver = l.takeOverFleet
	}
	r, err := takeOver(callCtx, ctx, duty, self, directory)
	if err != nil {
		l.log.Info("takeover of duty failed", "event", "duty.refused", "duty", duty, "after", clock.SinceBoot()-start, "error", err)
		return ownership{}, err
	}
	l.meters.takeover.Update((clock.SinceBoot() - start).Milliseconds())
	l.log.Info("duty taken over", "event", "duty.taken", "duty", duty, "epoch", r.owned().epoch, "after", clock.SinceBoot()-start)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopping {
		return ownership{}, port.ErrUnavailable
	}
	l.runners[duty] = r
	debug.SetGCPercent(ownerGCPercent)
	go r.run()
	return r.owned(), nil
}

// handOverTimeout limits how long a process that stops waits for the store. It covers a write whose first attempt gets no
// answer.
const handOverTimeout = 800 * time.Millisecond

// stop hands every duty over, ends it and waits for it, so that the next owners find no write of this process in flight.
func (l *link) stop(ctx context.Context) error {
	l.handOver(ctx)
	l.mutex.Lock()
	runners := l.runners
	l.runners = map[string]dutyRunner{}
	l.mutex.Unlock()
	for _, r := range runners {
		select {
		case <-r.stop():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// handOver prepares every duty for its next owner, and takes no more duties over.
func (l *link) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	l.mutex.Lock()
	l.stopping = true
	runners := slices.Collect(maps.Values(l.runners))
	l.mutex.Unlock()
	handed := make([]<-chan struct{}, 0, len(runners))
	for _, r := range runners {
		handed = append(handed, r.handOver())
	}
	for i, h := range handed {
		select {
		case <-h:
		case <-ctx.Done():
			l.log.Warn("duty not handed over in time", "event", "duty.unhanded", "duty", runners[i].owned().duty, "epoch", runners[i].owned().epoch)
		}
	}
}

func (l *link) dump() any {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	duties := map[string]any{}
	for name, r := range l.runners {
		duties[name] = r.dump()
	}
	return duties
}
