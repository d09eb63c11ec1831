package plan

import (
	"context"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/message"
)

// event is anything that reaches the planning duty.
//
//sumtype:decl
type event interface{ event() }

// configured brings a newer configuration.
type configured struct{ value message.Configured }

// changed brings a changed platform key.
type changed struct{ value message.Changed }

// listed brings the instance list.
type listed struct{ value message.Listed }

// confirmed says that the instance list is unchanged.
type confirmed struct{ value message.Confirmed }

// renewed says that the proof of ownership may have changed.
type renewed struct{}

// called brings the end of a platform call.
type called struct{ result wave.Message }

func (configured) event() {}
func (changed) event()    {}
func (listed) event()     {}
func (confirmed) event()  {}
func (renewed) event()    {}
func (called) event()     {}

// Ring capacities: a reload of 1,300 instance records arrives as single changes.
const (
	eventCapacity = 4096
	callCapacity  = 4096
)

// eventPort leads to the planning duty, which never waits for another duty, so a publisher waits at most for one step.
var eventPort = kernel.Port[event]{Name: "plan", Capacity: eventCapacity, Policy: ring.Block}

// callPort leads to the calling duty; the planning duty handles a full ring as a failed call.
var callPort = kernel.Port[call]{Name: "plan.call", Capacity: callCapacity, Policy: ring.Refuse}

// subscribe passes the platform's topics to the planning duty.
func subscribe(h *kernel.Host, events *ring.Ring[event]) {
	kernel.Subscribe(h, message.ConfiguredTopic, func(ctx context.Context, v message.Configured) error {
		return events.Push(ctx, configured{value: v})
	})
	kernel.Subscribe(h, message.ChangedTopic, func(ctx context.Context, v message.Changed) error {
		return events.Push(ctx, changed{value: v})
	})
	kernel.Subscribe(h, message.ListedTopic, func(ctx context.Context, v message.Listed) error {
		return events.Push(ctx, listed{value: v})
	})
	kernel.Subscribe(h, message.ConfirmedTopic, func(ctx context.Context, v message.Confirmed) error {
		return events.Push(ctx, confirmed{value: v})
	})
	kernel.Subscribe(h, message.RenewedTopic, func(ctx context.Context, _ message.Renewed) error {
		return events.Push(ctx, renewed{})
	})
}
