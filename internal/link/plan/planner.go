package plan

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/message"
)

// planner is the planning duty. It alone changes the planner's state.
type planner struct {
	host         *kernel.Host
	settings     Settings
	events       *ring.Ring[event]
	calls        *ring.Ring[call]
	meters       meters
	state        wave.State
	sizer        *poolSizer
	decisionDue  bool // an event arrived or the wake time has come
	lastDecision time.Time
	lastPoll     time.Time                  // of the requests in flight
	snapshot     atomic.Pointer[wave.State] // read by the state dump and the gauges
}

func newPlanner(h *kernel.Host, s Settings, events *ring.Ring[event], calls *ring.Ring[call]) *planner {
	p := &planner{host: h, settings: s, events: events, calls: calls, meters: newMeters(h.Metrics), state: wave.New(s.wave())}
	p.sizer = newPoolSizer(h)
	p.publishSnapshot()
	registerGauges(h.Metrics, func() wave.Report { return p.snapshot.Load().Report() })
	return p
}

// run waits for events and for the next wake time of the decision until ctx ends.
func (p *planner) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-p.events.Items():
			p.handleEvent(e)
			p.handleQueuedEvents()
		case <-timer.C:
			p.decisionDue = true
		}
		p.checkOwnership(time.Now())
		if wait := time.Until(p.lastDecision.Add(p.settings.DecisionInterval.Value())); p.decisionDue && wait > 0 {
			timer.Reset(wait)
		} else if p.decisionDue {
			p.decide(time.Now())
			timer.Reset(p.untilNextDecision(time.Now()))
		}
	}
}

// handleQueuedEvents handles the events that are already queued, so that one decision covers them all.
func (p *planner) handleQueuedEvents() {
	for range eventCapacity {
		select {
		case e := <-p.events.Items():
			p.handleEvent(e)
		default:
			return
		}
	}
}

func (p *planner) handleEvent(e event) {
	if _, renewal := e.(leaseRenewed); !renewal {
		p.decisionDue = true // a renewal, twice a second, changes no input of a decision
	}
	switch e := e.(type) {
	case configChanged:
		p.step(wave.ConfigChanged{Fleet: e.value.Fleet})
	case recordChanged:
		p.step(wave.RecordChanged{Record: e.value.Record, Revision: e.value.Revision, Deleted: e.value.Deleted})
	case instancesListed:
		p.step(wave.InstancesListed{Now: time.Now(), Instances: e.value.Instances})
	case leaseRenewed: // run checks the ownership after every event
	case listConfirmed:
		p.step(wave.ListConfirmed{Now: e.value.Time})
	case callFinished:
		p.step(e.result)
	default:
		panic(fmt.Sprintf("plan: unknown event %T", e))
	}
}

// decide polls the requests in flight, runs the pool sizer and advances the planner to now.
func (p *planner) decide(now time.Time) {
	p.decisionDue = false
	p.lastDecision = now
	if p.state.Epoch() > 0 && !now.Before(p.lastPoll.Add(p.settings.PollInterval.Value())) {
		p.countInFlight(now)
	}
	if p.state.Epoch() > 0 {
		for _, m := range p.sizer.run(now, p.state) {
			p.step(m)
		}
	}
	p.step(wave.Tick{Now: now})
	p.meters.steps.Update(time.Since(now).Microseconds())
	p.publishSnapshot()
}

func (p *planner) checkOwnership(now time.Time) {
	owner, ok := kernel.Use[message.Ownership](p.host)
	if !ok {
		return
	}
	before := p.state.Epoch()
	if epoch, until, owns := owner.Owns(message.PlannerService); owns {
		p.step(wave.OwnershipWon{Now: now, Epoch: epoch, Until: until})
	} else {
		p.step(wave.OwnershipLost{Now: now})
	}
	p.decisionDue = p.decisionDue || p.state.Epoch() != before
}

// countInFlight reads the number of requests in flight at the draining instances. Without a provider the numbers stay
// unknown.
func (p *planner) countInFlight(now time.Time) {
	ids := p.state.Draining()
	counter, ok := kernel.Use[message.InFlightCounter](p.host)
	if len(ids) == 0 || !ok {
		return
	}
	p.lastPoll = now
	counts := make(map[string]int, len(ids))
	for _, id := range ids {
		counts[id] = counter.InFlight(id)
	}
	p.step(wave.InFlight{Now: now, Counts: counts})
}

// step applies a message and runs its effects.
func (p *planner) step(m wave.Message) {
	queue := []wave.Message{m}
	for len(queue) > 0 {
		var effects []wave.Effect
		p.state, effects = wave.Step(p.state, queue[0])
		queue = queue[1:]
		for _, e := range effects {
			if result := p.runEffect(e); result != nil {
				queue = append(queue, result)
			}
		}
	}
}

// runEffect logs a notice or queues a store call. It returns the result of a call that found the ring full, else nil.
func (p *planner) runEffect(e wave.Effect) wave.Message {
	switch e := e.(type) {
	case wave.Notice:
		p.host.Log.LogAttrs(context.Background(), e.Level, "planner notice",
			append([]slog.Attr{slog.String("event", e.Event), slog.String("text", e.Text)}, attributes(e.Attrs)...)...)
		return nil
	case wave.Write, wave.Read, wave.Load:
		if err := p.calls.Push(context.Background(), call{effect: e}); err != nil {
			return p.rejectedResult(e, err)
		}
		return nil
	default:
		panic(fmt.Sprintf("plan: unknown effect %T", e))
	}
}

// rejectedResult returns the result of a call that found the ring full: its outcome counts as unknown, and the planner
// retries later.
func (p *planner) rejectedResult(e wave.Effect, err error) wave.Message {
	return failureResult(e, fmt.Errorf("%w: %w", message.ErrUnavailable, err), time.Now())
}

func attributes(pairs []any) []slog.Attr {
	list := make([]slog.Attr, 0, len(pairs)/2+1)
	for i := 0; i+1 < len(pairs); i += 2 {
		name, _ := pairs[i].(string)
		list = append(list, slog.Any(name, pairs[i+1]))
	}
	return list
}

// maxSleep is the longest time between two checks of the ownership when no event arrives.
const maxSleep = time.Minute

// untilNextDecision returns the time until the next decision is due if no event arrives before.
func (p *planner) untilNextDecision(now time.Time) time.Duration {
	next := now.Add(maxSleep)
	noLaterThan := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	if w := p.state.NextWake(); !w.IsZero() {
		noLaterThan(w)
	}
	if t, ok := p.sizer.nextSample(); ok && p.state.Epoch() > 0 {
		noLaterThan(t)
	}
	if p.state.Epoch() > 0 && len(p.state.Draining()) > 0 {
		noLaterThan(now.Add(p.settings.PollInterval.Value()))
	}
	return max(next.Sub(now), time.Millisecond)
}

// publishSnapshot publishes the state for the state dump and the gauges.
func (p *planner) publishSnapshot() {
	state := p.state
	p.snapshot.Store(&state)
}

// dump returns the planner's section of the state dump.
func (p *planner) dump() any {
	return p.snapshot.Load().Report()
}
