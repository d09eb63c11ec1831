package pool

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/guard"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/intake"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	"github.com/rcrowley/go-metrics"
)

// Capacities of a pool owner's rings.
const (
	messageCapacity = 4096 // queued requests, reports and results of effects
	maxBatch        = 64   // maximum number of messages between two looks at the time of the next scheduling cycle
	lostCapacity    = 4096 // calls whose relay was lost
	adviceCapacity  = 64   // steps queued for advice
)

// poolOwner runs a pool that this process owns.
type poolOwner struct {
	ownership
	link           *link
	messages       *ring.Ring[queued]
	submissions    *ring.Ring[schedule.Submit]
	work           work
	commits        [schedule.Lanes]*ring.Ring[schedule.Commit]
	advice         *ring.Ring[schedule.Advise]
	state          atomic.Pointer[schedule.State]
	initialEffects []schedule.Effect // of the recovery, performed when run starts
	writers        []writer          // by lane; used only by the duties of the lanes
	context        context.Context   // of run
	cancel         context.CancelFunc
	done           chan struct{} // closed when run returns
	handed         chan struct{} // closed once the pool is handed over, or when run returns
	lostCalls      *ring.Ring[*port.ExecutorCall]
	conns          map[string]*executorConn // by executor; used only by run, as are the next three
	relays         map[string]*relayConn    // by name
	suspected      map[string]time.Duration // until when a relay is not used, by name
	assignDue      bool                     // the assignment of relays has to be made anew
	release        func()                   // called when run returns
	lastView       directoryView            // used only by updateDirectory, as is former
	former         *cluster.Owner           // wrote the record of the used executors; nil if it is known to have ended

	mutex     sync.Mutex // guards the fields below
	lastToken uint64
	calls     map[uint64]waitingCall // by token
	closed    bool
	intake    intake.State

	heldAccounts metrics.Gauge // accounts of which a quota holds tasks back
}

// queued is a message and the time at which it was queued.
type queued struct {
	message schedule.Message
	at      time.Time
}

// directoryView is the part of the directory that was last queued for the owner.
type directoryView struct {
	config    *site.Config
	executors map[string]site.Executor
}

func newPoolOwner(ctx context.Context, l *link, own ownership, writers []writer, s schedule.State, initialEffects []schedule.Effect) *poolOwner {
	o := &poolOwner{
		link: l, ownership: own, initialEffects: initialEffects,
		messages: ring.New[queued]("pool.messages", messageCapacity, ring.Refuse, l.host.Metrics),
		advice:   ring.New[schedule.Advise]("pool.advice", adviceCapacity, ring.Refuse, l.host.Metrics),
		writers:  writers, work: newWork(l.host.Metrics),
		submissions: ring.New[schedule.Submit]("pool.submissions", submissionCapacity, ring.Refuse, l.host.Metrics), intake: intake.New(),
		lostCalls: ring.New[*port.ExecutorCall]("pool.lost", lostCapacity, ring.Refuse, l.host.Metrics),
		done:      make(chan struct{}), handed: make(chan struct{}), conns: map[string]*executorConn{}, relays: map[string]*relayConn{}, suspected: map[string]time.Duration{}, calls: map[uint64]waitingCall{},
	}
	for lane := range o.commits {
		o.commits[lane] = ring.New[schedule.Commit](fmt.Sprintf("pool.commits.%d", lane), 1, ring.Block, l.host.Metrics)
	}
	o.heldAccounts = metrics.GetOrRegisterGauge("pool.account.held."+own.duty, l.host.Metrics)
	o.context, o.cancel = context.WithCancel(ctx)
	o.state.Store(&s)
	return o
}

// stop implements dutyRunner.
func (o *poolOwner) stop() <-chan struct{} {
	o.cancel()
	return o.done
}

// handOver implements dutyRunner.
func (o *poolOwner) handOver() <-chan struct{} {
	o.enqueue(o.context, schedule.HandOver{Now: clock.SinceBoot()})
	return o.handed
}

// owned implements dutyRunner.
func (o *poolOwner) owned() ownership { return o.ownership }

// dump implements dutyRunner.
func (o *poolOwner) dump() any { return o.state.Load().Summary() }

// run processes messages until the owner is stopped.
func (o *poolOwner) run() {
	ctx := o.context
	defer close(o.done)
	defer o.shutdown()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer o.closeCalls()
	for lane, commits := range o.commits {
		wg.Go(func() { o.commitLoop(ctx, commits, o.writers[lane]) })
	}
	wg.Go(func() { o.adviceLoop(ctx) })
	if directory, ok := kernel.Use[port.Directory](o.link.host); ok {
		wg.Go(func() { o.link.offerLoop(ctx, o.ownership, o.writers[0].health, directory) })
	}
	o.perform(ctx, o.initialEffects)
	lastAssignment := clock.SinceBoot()
	var nextCycle time.Duration
	cycleTimer := time.NewTimer(0)
	defer cycleTimer.Stop()
	cycleWaits := true // for cycleTimer
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.messages.Items():
			o.stepQueued(ctx, m)
			for n := 1; n < maxBatch && o.messages.Len() > 0; n++ {
				o.stepQueued(ctx, <-o.messages.Items())
			}
		case s := <-o.nextSubmissions():
			o.handleSubmissions(ctx, s)
		case <-cycleTimer.C:
			cycleWaits = false
		case call := <-o.lostCalls.Items():
			o.retryLost(ctx, *call)
		case <-ticker.C:
			now := clock.SinceBoot()
			if o.assignDue || now-lastAssignment > assignInterval {
				lastAssignment = now
				o.assign(ctx)
			}
			o.step(ctx, schedule.Tick{Now: now, Unix: time.Now().UnixMilli()})
			o.heldAccounts.Update(int64(o.state.Load().HeldAccounts()))
		}
		now := clock.SinceBoot()
		if wait := nextCycle - now; wait > 0 {
			if !cycleWaits {
				cycleWaits = true
				cycleTimer.Reset(wait)
			}
			continue
		}
		o.step(ctx, schedule.RunCycle{Now: now})
		nextCycle = schedule.NextCycle(now, clock.SinceBoot()-now)
		o.work.report(o.link.log, o, now)
	}
}

// stepQueued processes a message from the ring, unless it is a cancellation whose caller no longer waits.
func (o *poolOwner) stepQueued(ctx context.Context, m queued) {
	o.observeLag(time.Since(m.at))
	if x, ok := m.message.(schedule.Cancel); ok && !o.begin(x.Token) {
		return
	}
	o.step(ctx, m.message)
}

// observeLag records the time for which a message has waited.
func (o *poolOwner) observeLag(lag time.Duration) {
	o.link.meters.lag.Update(lag.Milliseconds())
	o.work.lag = max(o.work.lag, lag)
}

// step processes a message. A message that makes the decision panic leaves the state as it was and is rejected.
func (o *poolOwner) step(ctx context.Context, m schedule.Message) {
	var s schedule.State
	var effects []schedule.Effect
	began := time.Now()
	err := guard.Call(func() { s, effects = schedule.Step(*o.state.Load(), m) })
	o.work.add(stageOf(m), began)
	if err != nil {
		o.reject(ctx, m, err)
		return
	}
	o.state.Store(&s)
	if len(effects) > 0 {
		began = time.Now()
		o.perform(ctx, effects)
		o.work.add(stagePerform, began)
	}
}

// reject replaces a message that could not be processed. It steps down if nothing can replace it.
func (o *poolOwner) reject(ctx context.Context, m schedule.Message, reason error) {
	o.link.meters.rejected.Inc(1)
	o.link.log.Error("message rejected", "event", "pool.rejected", "pool", o.duty, "epoch", o.epoch, "message", fmt.Sprintf("%T", m), "error", reason)
	replacement, effects, ok := schedule.Reject(m, reason)
	if !ok {
		o.link.stepDown(o, "a message could not be processed", "message", fmt.Sprintf("%T", m))
		return
	}
	o.perform(ctx, effects)
	if replacement != nil {
		o.step(ctx, replacement)
	}
}

// perform performs effects without waiting for their results.
func (o *poolOwner) perform(ctx context.Context, effects []schedule.Effect) {
	for _, e := range effects {
		if e, ok := e.(schedule.Connect); ok {
			o.connect(e.Executor)
		}
	}
	if o.assignDue {
		o.assign(ctx) // before the first heartbeats to the new executors
	}
	for _, e := range effects {
		switch e := e.(type) {
		case schedule.Answer:
			o.answer(e)
		case schedule.Commit:
			if err := o.commits[e.Lane].Push(ctx, e); err != nil {
				return // the owner is stopped
			}
		case schedule.StartRun:
			o.call(ctx, e.Executor, port.ExecutorCall{Order: e.Start, Sent: clock.SinceBoot()})
		case schedule.StopRun:
			o.call(ctx, e.Executor, port.ExecutorCall{Order: e.Stop, Sent: clock.SinceBoot()})
		case schedule.ThrottleRun:
			o.call(ctx, e.Executor, port.ExecutorCall{Order: e.Throttle, Sent: clock.SinceBoot()})
		case schedule.SendHeartbeat:
			o.call(ctx, e.Executor, port.ExecutorCall{Order: e.Heartbeat, Sent: clock.SinceBoot(), Delay: e.Delay, Reset: e.Reset})
		case schedule.Connect: // made before the other effects
		case schedule.Disconnect:
			o.disconnect(e.Executor)
		case schedule.Advise:
			if err := o.advice.Push(ctx, e); err != nil {
				o.enqueue(ctx, schedule.AdviceResult{Step: e.Step, Now: clock.SinceBoot(), Err: err})
			}
		case schedule.StepDown:
			o.link.stepDown(o, e.Reason.Error(), "executor", e.Executor)
		case schedule.HandedOver:
			o.closeHanded()
		case schedule.Note:
			o.logNote(ctx, e)
		default:
			panic("pool: unhandled schedule effect")
		}
	}
}

// logNote writes a log line. Metrics count warnings and what concerns interference.
func (o *poolOwner) logNote(ctx context.Context, e schedule.Note) {
	if e.Level >= slog.LevelWarn {
		metrics.GetOrRegisterCounter("pool.warnings."+e.Event, o.link.host.Metrics).Inc(1)
	}
	if strings.HasPrefix(e.Event, "interference.") {
		metrics.GetOrRegisterCounter("pool."+e.Event, o.link.host.Metrics).Inc(1)
	}
	o.link.log.Log(ctx, e.Level, "schedule", append([]any{"event", e.Event, "pool", o.duty, "epoch", o.epoch}, e.Attrs...)...)
}

// enqueue queues a message for run. If the ring is full, a goroutine waits for room, so that no result of an effect is
// lost.
func (o *poolOwner) enqueue(ctx context.Context, m schedule.Message) {
	q := queued{message: m, at: time.Now()}
	if err := o.messages.Push(ctx, q); err == nil || !errors.Is(err, ring.ErrFull) {
		return
	}
	go func() { _ = o.messages.PushWait(ctx, q) }() // fails only when the owner is stopped
}

// updateDirectory queues the changes of the configuration and of the pool's executors.
func (o *poolOwner) updateDirectory(ctx context.Context, d cluster.Directory) {
	if o.former != nil && d.HasRestarted(*o.former) {
		o.former = nil
		o.enqueue(ctx, schedule.FormerOwnerEnded{Now: clock.SinceBoot()})
	}
	if d.Config != nil && d.Config != o.lastView.config {
		o.lastView.config = d.Config
		o.enqueue(ctx, schedule.ConfigChanged{Config: d.Config})
	}
	if !d.Reported {
		return
	}
	if replaced := d.Replaced(o.state.Load().Silent()); len(replaced) > 0 {
		o.enqueue(ctx, schedule.ExecutorsReplaced{Now: clock.SinceBoot(), Executors: replaced})
	}
	listed := d.PoolExecutors(o.duty)
	same := len(listed) == len(o.lastView.executors) && o.lastView.executors != nil
	for _, e := range listed {
		before, ok := o.lastView.executors[e.ID]
		same = same && ok && before.SameReport(e)
	}
	if same {
		return
	}
	o.lastView.executors = map[string]site.Executor{}
	for _, e := range listed {
		o.lastView.executors[e.ID] = e
	}
	o.enqueue(ctx, schedule.ExecutorsListed{Now: clock.SinceBoot(), Executors: listed})
}

// closeHanded reports that the next owner can take the pool over. Only run calls it.
func (o *poolOwner) closeHanded() {
	select {
	case <-o.handed:
	default:
		close(o.handed)
	}
}

// closeCalls answers the calls that wait when the owner has handled its last message. New ones are refused.
func (o *poolOwner) closeCalls() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.closed = true
	for token, c := range o.calls {
		err := intake.Stopped(c.call, o.knows(c.call))
		_ = c.reply.Push(context.Background(), schedule.Answer{Token: token, Err: err}) // never full: a reply ring receives one answer
	}
	o.calls = map[uint64]waitingCall{}
}

// shutdown disconnects from all executors.
func (o *poolOwner) shutdown() {
	o.cancel()
	o.heldAccounts.Update(0) // the next owner reports them
	o.closeHanded()
	for _, c := range o.conns {
		c.closeDirect()
	}
	for _, r := range o.relays {
		r.channel.Close()
	}
	o.release()
}
