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

// duty is the routing duty, which owns the state of the entry instance. Other goroutines read immutable snapshots of it.
type duty struct {
	name       string
	log        *slog.Logger
	clock      func() time.Time
	events     *ring.Ring[message.Event]
	control    *ring.Ring[entry.Message]
	frames     *ring.Ring[message.OutgoingFrame]
	store      *ring.Ring[entry.Effect]
	replies    map[message.ID]*ring.Ring[message.Verdict]
	state      entry.State
	snapshot   atomic.Pointer[entry.State]
	steps      metrics.Timer
	refused    metrics.Counter
	unanswered metrics.Counter
}

func newDuty(h *kernel.Host) *duty {
	d := &duty{
		name:       h.Settings.Name,
		log:        h.Log.With("plugin", "route"),
		clock:      time.Now,
		events:     kernel.Open(h, message.RoutePort),
		control:    kernel.Open(h, controlPort),
		frames:     kernel.Open(h, message.FramePort),
		store:      kernel.Open(h, storePort),
		replies:    map[message.ID]*ring.Ring[message.Verdict]{},
		state:      entry.New(h.Settings.Name, h.Settings.Zone),
		steps:      metrics.GetOrRegisterTimer("route.step", h.Metrics),
		refused:    metrics.GetOrRegisterCounter("route.refused", h.Metrics),
		unanswered: metrics.GetOrRegisterCounter("route.unanswered", h.Metrics),
	}
	d.snapshot.Store(&d.state)
	return d
}

// run passes events, results of store calls and timer ticks to the decision.
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
			d.handleEvent(ctx, e)
		case <-timer.C:
			d.step(ctx, entry.Tick{Now: d.clock()})
		}
		d.resetTimer(timer)
	}
}

// resetTimer sets the timer to the time at which the decision must run next.
func (d *duty) resetTimer(timer *time.Timer) {
	now := d.clock()
	wake := d.state.NextWake()
	if wake.IsZero() {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(wake.Sub(now), time.Millisecond))
}

// handleEvent updates the reply rings of the requests in flight and runs the decision.
func (d *duty) handleEvent(ctx context.Context, e message.Event) {
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

// step runs the decision at the current time and executes its effects.
//
// The time is read here and not when the message was sent, since a lease that
// expired in the meantime must not count as ownership.
func (d *duty) step(ctx context.Context, m entry.Message) {
	start := d.clock()
	state, effects := entry.Step(d.state, withTime(m, start))
	d.state = state
	d.snapshot.Store(&state)
	for _, e := range effects {
		d.execute(ctx, e)
	}
	d.steps.UpdateSince(start)
}

// withTime returns the message with its time set to now.
func withTime(m entry.Message, now time.Time) entry.Message {
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

// execute carries out an effect of the decision. A store call that finds the ring full fails as unavailable.
func (d *duty) execute(ctx context.Context, e entry.Effect) {
	switch e := e.(type) {
	case entry.Verdict:
		d.deliverVerdict(ctx, e)
	case entry.SendFrame:
		d.sendFrame(ctx, e)
	case entry.Write, entry.Verify, entry.ReadClaim:
		if err := d.store.Push(ctx, e); err != nil {
			d.step(ctx, failedCall(e, errors.Join(message.ErrUnavailable, err)))
		}
	case entry.Notice:
		d.log.Info("ownership", "event", e.Event, "service", e.Service, "epoch", e.Epoch, "detail", e.Detail)
	default:
		d.log.Error("unknown effect of the decision", "event", "effect.unknown")
	}
}

// deliverVerdict pushes a verdict to the caller link. A reply ring holds one verdict; a request waits for at most one
// at a time.
func (d *duty) deliverVerdict(ctx context.Context, v entry.Verdict) {
	reply, ok := d.replies[v.ID]
	if !ok {
		d.unanswered.Inc(1)
		return
	}
	if v.Last {
		delete(d.replies, v.ID)
	}
	if r, refused := v.Verdict.(message.Refuse); refused {
		d.refused.Inc(1)
		d.log.Debug("request refused", "event", "request.refused", "request", v.ID.String(),
			"reason", string(r.Refusal.Reason), "detail", r.Refusal.Detail, "config", r.Config)
	}
	if err := reply.Push(ctx, v.Verdict); err != nil {
		d.unanswered.Inc(1)
		d.log.Error("verdict was not delivered to the caller link", "event", "verdict.lost", "request", v.ID.String(), "error", err)
	}
}

// sendFrame queues a frame. If the ring is full, it reports the link as down, so that the decision retries.
func (d *duty) sendFrame(ctx context.Context, f entry.SendFrame) {
	err := d.frames.Push(ctx, message.OutgoingFrame{To: f.To, Frame: f.Frame})
	if err == nil {
		return
	}
	d.log.Warn("frame was not sent", "event", "frame.refused", "to", f.To, "error", err)
	d.step(ctx, entry.Event{Event: message.LinkChanged{Entry: f.To}})
}

// leave starts the handover of every service, in the first phase of a graceful shutdown.
func (d *duty) leave(ctx context.Context) error {
	return d.control.Push(ctx, entry.Leave{})
}

// handoverPollInterval is the interval at which a graceful shutdown checks whether every service was handed over.
const handoverPollInterval = 20 * time.Millisecond

// awaitHandover waits until this entry instance owns no service and has no request left.
func (d *duty) awaitHandover(ctx context.Context) error {
	ticker := time.NewTicker(handoverPollInterval)
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
