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

// planner is the duty that owns the state of the decisions.
type planner struct {
	host     *kernel.Host
	settings Settings
	events   *ring.Ring[event]
	calls    *ring.Ring[call]
	meters   meters
	state    wave.State
	sizer    *sizer
	due      bool                       // something was learned or the wake time has come
	decided  time.Time                  // when the last decision was made
	polled   time.Time                  // when the requests in flight were last looked at
	shown    atomic.Pointer[wave.State] // for the dump
}

func newPlanner(h *kernel.Host, s Settings, events *ring.Ring[event], calls *ring.Ring[call]) *planner {
	p := &planner{host: h, settings: s, events: events, calls: calls, meters: newMeters(h.Metrics), state: wave.New(s.wave())}
	p.sizer = newSizer(h)
	p.show()
	registerGauges(h.Metrics, func() wave.Report { return p.shown.Load().Report() })
	return p
}

// run sleeps until an event arrives or the decision's next wake time has come.
func (p *planner) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-p.events.Items():
			p.take(e)
			p.takeWaiting()
		case <-timer.C:
			p.due = true
		}
		p.checkOwnership(time.Now())
		if wait := time.Until(p.decided.Add(p.settings.Pace.Value())); p.due && wait > 0 {
			timer.Reset(wait)
		} else if p.due {
			p.decide(time.Now())
			timer.Reset(p.pause(time.Now()))
		}
	}
}

// takeWaiting takes the events that have queued up, so that one decision covers them all.
func (p *planner) takeWaiting() {
	for range eventCapacity {
		select {
		case e := <-p.events.Items():
			p.take(e)
		default:
			return
		}
	}
}

func (p *planner) take(e event) {
	if _, renewal := e.(renewed); !renewal {
		p.due = true // a renewal alone, twice a second, changes nothing that is decided on
	}
	switch e := e.(type) {
	case configured:
		p.step(wave.ConfigChanged{Fleet: e.value.Fleet})
	case changed:
		p.step(wave.RecordChanged{Record: e.value.Record, Revision: e.value.Revision, Deleted: e.value.Deleted})
	case listed:
		p.step(wave.InstancesListed{Now: time.Now(), Instances: e.value.Instances})
	case renewed: // the proof of ownership is looked at after every event
	case confirmed:
		p.step(wave.ListConfirmed{Now: e.value.Time})
	case called:
		p.step(e.result)
	default:
		panic(fmt.Sprintf("plan: event %T", e))
	}
}

// decide looks at the requests in flight and lets the decision act.
func (p *planner) decide(now time.Time) {
	p.due = false
	p.decided = now
	if p.state.Epoch() > 0 && !now.Before(p.polled.Add(p.settings.Poll.Value())) {
		p.countFlights(now)
	}
	if p.state.Epoch() > 0 {
		for _, m := range p.sizer.run(now, p.state) {
			p.step(m)
		}
	}
	p.step(wave.Tick{Now: now})
	p.meters.steps.Update(time.Since(now).Microseconds())
	p.show()
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
	p.due = p.due || p.state.Epoch() != before
}

// countFlights asks for the requests in flight at the draining instances; without a provider they are unknown.
func (p *planner) countFlights(now time.Time) {
	ids := p.state.Draining()
	load, ok := kernel.Use[message.InFlightCounter](p.host)
	if len(ids) == 0 || !ok {
		return
	}
	p.polled = now
	counts := make(map[string]int, len(ids))
	for _, id := range ids {
		counts[id] = load.InFlight(id)
	}
	p.step(wave.InFlight{Now: now, Counts: counts})
}

// step applies a message and passes its effects on.
func (p *planner) step(m wave.Message) {
	queue := []wave.Message{m}
	for len(queue) > 0 {
		var effects []wave.Effect
		p.state, effects = wave.Step(p.state, queue[0])
		queue = queue[1:]
		for _, e := range effects {
			if end := p.pass(e); end != nil {
				queue = append(queue, end)
			}
		}
	}
}

// pass logs a notice or hands a call to the calling duty; it returns the end of a call that the ring refused.
func (p *planner) pass(e wave.Effect) wave.Message {
	switch e := e.(type) {
	case wave.Notice:
		p.host.Log.LogAttrs(context.Background(), e.Level, "planner notice",
			append([]slog.Attr{slog.String("event", e.Event), slog.String("text", e.Text)}, attributes(e.Attrs)...)...)
		return nil
	case wave.Write, wave.Read, wave.Load:
		if err := p.calls.Push(context.Background(), call{effect: e}); err != nil {
			return p.refused(e, err)
		}
		return nil
	default:
		panic(fmt.Sprintf("plan: effect %T", e))
	}
}

// refused treats a call that found the ring full as one without an answer; the decision tries again later.
func (p *planner) refused(e wave.Effect, err error) wave.Message {
	return failed(e, fmt.Errorf("%w: %w", message.ErrUnavailable, err), time.Now())
}

func attributes(pairs []any) []slog.Attr {
	list := make([]slog.Attr, 0, len(pairs)/2+1)
	for i := 0; i+1 < len(pairs); i += 2 {
		name, _ := pairs[i].(string)
		list = append(list, slog.Any(name, pairs[i+1]))
	}
	return list
}

// longestPause bounds a sleep without events, after which the ownership is looked at again.
const longestPause = time.Minute

// pause returns how long nothing has to be decided.
func (p *planner) pause(now time.Time) time.Duration {
	next := now.Add(longestPause)
	sooner := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	if w := p.state.NextWake(); !w.IsZero() {
		sooner(w)
	}
	if t, ok := p.sizer.due(); ok && p.state.Epoch() > 0 {
		sooner(t)
	}
	if p.state.Epoch() > 0 && len(p.state.Draining()) > 0 {
		sooner(now.Add(p.settings.Poll.Value()))
	}
	return max(next.Sub(now), time.Millisecond)
}

// show publishes the state for the dump and the gauges.
func (p *planner) show() {
	state := p.state
	p.shown.Store(&state)
}

// dump returns the planner's section of the state dump.
func (p *planner) dump() any {
	return p.shown.Load().Report()
}
