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

// router is the routing duty, which owns the state of the entry instance. Other goroutines read immutable snapshots of
// it.
type router struct {
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
	unanswered metrics.Counter // verdicts that no waiting request received
}

func newRouter(h *kernel.Host) *router {
	r := &router{
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
	r.snapshot.Store(&r.state)
	return r
}

// run passes events, results of store calls and timer ticks to the decision.
func (r *router) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-r.control.Items():
			r.step(ctx, m)
		case e := <-r.events.Items():
			r.handleEvent(ctx, e)
		case <-timer.C:
			r.step(ctx, entry.Tick{Now: r.clock()})
		}
		r.resetTimer(timer)
	}
}

// resetTimer sets the timer to the time at which the decision must run next.
func (r *router) resetTimer(timer *time.Timer) {
	now := r.clock()
	wake := r.state.NextWake()
	if wake.IsZero() {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(wake.Sub(now), time.Millisecond))
}

// handleEvent updates the reply rings of the requests in flight and runs the decision.
func (r *router) handleEvent(ctx context.Context, e message.Event) {
	switch e := e.(type) {
	case message.RequestArrived:
		r.replies[e.Request.ID] = e.Reply
	case message.RequestCanceled:
		delete(r.replies, e.ID)
	case message.SendFinished:
		if !e.Retry {
			delete(r.replies, e.ID)
		}
	case message.FrameReceived, message.LinkChanged, message.ConfigChanged, message.RecordChanged,
		message.InstancesListed, message.LeaseRenewed, message.InspectInstance, message.RenewalFailed:
	}
	r.step(ctx, entry.Event{Now: r.clock(), Event: e})
}

// step runs the decision at the current time and executes its effects.
//
// The time is read here and not when the message was sent, since a lease that
// expired in the meantime must not count as ownership.
func (r *router) step(ctx context.Context, m entry.Message) {
	start := r.clock()
	state, effects := entry.Step(r.state, withTime(m, start))
	r.state = state
	r.snapshot.Store(&state)
	for _, e := range effects {
		r.execute(ctx, e)
	}
	r.steps.UpdateSince(start)
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
func (r *router) execute(ctx context.Context, e entry.Effect) {
	switch e := e.(type) {
	case entry.Verdict:
		r.deliverVerdict(ctx, e)
	case entry.SendFrame:
		r.sendFrame(ctx, e)
	case entry.Write, entry.Verify, entry.ReadClaim:
		if err := r.store.Push(ctx, e); err != nil {
			r.step(ctx, failedCall(e, errors.Join(message.ErrUnavailable, err)))
		}
	case entry.Notice:
		r.log.Info("ownership", "event", e.Event, "service", e.Service, "epoch", e.Epoch, "detail", e.Detail)
	default:
		r.log.Error("unknown effect of the decision", "event", "effect.unknown")
	}
}

// deliverVerdict pushes a verdict to the caller link. A reply ring holds one verdict; a request waits for at most one
// at a time.
func (r *router) deliverVerdict(ctx context.Context, v entry.Verdict) {
	reply, ok := r.replies[v.ID]
	if !ok {
		r.unanswered.Inc(1)
		return
	}
	if v.Last {
		delete(r.replies, v.ID)
	}
	if refuse, refused := v.Verdict.(message.Refuse); refused {
		r.refused.Inc(1)
		r.log.Debug("request refused", "event", "request.refused", "request", v.ID.String(),
			"reason", string(refuse.Refusal.Reason), "detail", refuse.Refusal.Detail, "config", refuse.Config)
	}
	if err := reply.Push(ctx, v.Verdict); err != nil {
		r.unanswered.Inc(1)
		r.log.Error("verdict was not delivered to the caller link", "event", "verdict.lost", "request", v.ID.String(), "error", err)
	}
}

// sendFrame queues a frame. If the ring is full, it reports the link as down, so that the decision retries.
func (r *router) sendFrame(ctx context.Context, f entry.SendFrame) {
	err := r.frames.Push(ctx, message.OutgoingFrame{To: f.To, Frame: f.Frame})
	if err == nil {
		return
	}
	r.log.Warn("frame was not sent", "event", "frame.refused", "to", f.To, "error", err)
	r.step(ctx, entry.Event{Event: message.LinkChanged{Entry: f.To}})
}

// leave starts the handover of every service, in the first phase of a graceful shutdown.
func (r *router) leave(ctx context.Context) error {
	return r.control.Push(ctx, entry.Leave{})
}

// handoverPollInterval is the interval at which a graceful shutdown checks whether every service was handed over.
const handoverPollInterval = 20 * time.Millisecond

// awaitHandover waits until this entry instance owns no service and has no request left.
func (r *router) awaitHandover(ctx context.Context) error {
	ticker := time.NewTicker(handoverPollInterval)
	defer ticker.Stop()
	for {
		if r.snapshot.Load().Drained(r.clock()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
