package route

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/entry"
	"teaselloft/internal/model/message"
)

// duty owns the state of the entry instance; others see it only as an immutable snapshot.
type duty struct {
	name     string
	log      *slog.Logger
	clock    func() time.Time
	events   *ring.Ring[message.Event]
	control  *ring.Ring[entry.Message]
	frames   *ring.Ring[message.OutgoingFrame]
	store    *ring.Ring[entry.Effect]
	replies  map[message.ID]*ring.Ring[message.Verdict]
	state    entry.State
	snapshot atomic.Pointer[entry.State]
	steps    metrics.Timer
	refused  metrics.Counter
	lost     metrics.Counter
}

func newDuty(h *kernel.Host) *duty {
	d := &duty{
		name:    h.Settings.Name,
		log:     h.Log.With("plugin", "route"),
		clock:   time.Now,
		events:  kernel.Open(h, message.RoutePort),
		control: kernel.Open(h, controlPort),
		frames:  kernel.Open(h, message.FramePort),
		store:   kernel.Open(h, storePort),
		replies: map[message.ID]*ring.Ring[message.Verdict]{},
		state:   entry.New(h.Settings.Name, h.Settings.Zone),
		steps:   metrics.GetOrRegisterTimer("route.step", h.Metrics),
		refused: metrics.GetOrRegisterCounter("route.refused", h.Metrics),
		lost:    metrics.GetOrRegisterCounter("route.unanswered", h.Metrics),
	}
	d.snapshot.Store(&d.state)
	return d
}

// run feeds the decision with events, ends of store calls and the passing of time.
func (d *duty) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-d.control.Items():
			d.step(ctx, m)
		case e := <-d.events.Items():
			d.event(ctx, e)
		case <-timer.C:
			d.step(ctx, entry.Tick{Now: d.clock()})
		}
		d.arm(timer)
	}
}

// arm sets the timer to the decision's next deadline.
func (d *duty) arm(timer *time.Timer) {
	now := d.clock()
	wake := d.state.NextWake()
	if wake.IsZero() {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(wake.Sub(now), time.Millisecond))
}

// event remembers where the verdicts of a request go, then steps.
func (d *duty) event(ctx context.Context, e message.Event) {
	switch e := e.(type) {
	case message.RequestArrived:
		d.replies[e.Request.ID] = e.Reply
	case message.RequestCanceled:
		delete(d.replies, e.ID)
	case message.SendFinished:
		if !e.Retry {
			delete(d.replies, e.ID)
		}
	case message.FrameReceived, message.LinkChanged, message.ConfigChanged, message.RecordChanged,
		message.InstancesListed, message.LeaseRenewed, message.InspectInstance, message.RenewalFailed:
	}
	d.step(ctx, entry.Event{Now: d.clock(), Event: e})
}

// step runs the decision at the present time and carries out its effects.
//
// The time is read here and not where the message came from, since ownership
// must be judged when the decision runs.
func (d *duty) step(ctx context.Context, m entry.Message) {
	start := d.clock()
	state, effects := entry.Step(d.state, stamped(m, start))
	d.state = state
	d.snapshot.Store(&state)
	for _, e := range effects {
		d.carryOut(ctx, e)
	}
	d.steps.UpdateSince(start)
}

// stamped returns the message with the given time.
func stamped(m entry.Message, now time.Time) entry.Message {
	switch m := m.(type) {
	case entry.Event:
		m.Now = now
		return m
	case entry.VerifyResult:
		m.Now = now
		return m
	case entry.ReadClaimResult:
		m.Now = now
		return m
	case entry.WriteResult:
		m.Now = now
		return m
	case entry.Leave:
		m.Now = now
		return m
	case entry.Tick:
		m.Now = now
		return m
	default:
		return m
	}
}

func (d *duty) carryOut(ctx context.Context, e entry.Effect) {
	switch e := e.(type) {
	case entry.Verdict:
		d.answer(ctx, e)
	case entry.SendFrame:
		d.send(ctx, e)
	case entry.Write, entry.Verify, entry.ReadClaim:
		if err := d.store.Push(ctx, e); err != nil {
			d.step(ctx, failed(e, errors.Join(message.ErrUnavailable, err)))
		}
	case entry.Notice:
		d.log.Info("ownership", "event", e.Event, "service", e.Service, "epoch", e.Epoch, "detail", e.Detail)
	default:
		d.log.Error("unknown effect", "event", "effect.unknown")
	}
}

// answer hands a verdict to the caller link; each request waits for at most one at a time.
func (d *duty) answer(ctx context.Context, v entry.Verdict) {
	reply, ok := d.replies[v.ID]
	if !ok {
		d.lost.Inc(1)
		return
	}
	if v.Last {
		delete(d.replies, v.ID)
	}
	if r, refused := v.Verdict.(message.Refuse); refused {
		d.refused.Inc(1)
		d.log.Debug("refused", "event", "request.refused", "request", v.ID.String(),
			"reason", string(r.Refusal.Reason), "detail", r.Refusal.Detail, "config", r.Config)
	}
	if err := reply.Push(ctx, v.Verdict); err != nil {
		d.lost.Inc(1)
		d.log.Error("verdict not taken", "event", "verdict.lost", "request", v.ID.String(), "error", err)
	}
}

// send queues a frame; a full ring counts as a broken link, so that the decision asks again.
func (d *duty) send(ctx context.Context, f entry.SendFrame) {
	err := d.frames.Push(ctx, message.OutgoingFrame{To: f.To, Frame: f.Frame})
	if err == nil {
		return
	}
	d.log.Warn("frame not sent", "event", "frame.refused", "to", f.To, "error", err)
	d.step(ctx, entry.Event{Event: message.LinkChanged{Entry: f.To}})
}

// leave gives up every service as the first part of a graceful stop.
func (d *duty) leave(ctx context.Context) error {
	return d.control.Push(ctx, entry.Leave{})
}

// handoverPoll is how often a graceful stop looks whether every service was handed over.
const handoverPoll = 20 * time.Millisecond

// awaitHandover waits until no service is held and no request is left.
func (d *duty) awaitHandover(ctx context.Context) error {
	ticker := time.NewTicker(handoverPoll)
	defer ticker.Stop()
	for {
		if d.snapshot.Load().Drained(d.clock()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
