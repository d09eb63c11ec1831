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
type configured struct{ value message.ConfigChanged }

// changed brings a changed platform key.
type changed struct{ value message.RecordChanged }

// listed brings the instance list.
type listed struct{ value message.InstancesListed }

// confirmed says that the instance list is unchanged.
type confirmed struct{ value message.ListConfirmed }

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
	kernel.Subscribe(h, message.ConfigTopic, func(ctx context.Context, v message.ConfigChanged) error {
		return events.Push(ctx, configured{value: v})
	})
	kernel.Subscribe(h, message.RecordTopic, func(ctx context.Context, v message.RecordChanged) error {
		return events.Push(ctx, changed{value: v})
	})
	kernel.Subscribe(h, message.InstancesTopic, func(ctx context.Context, v message.InstancesListed) error {
		return events.Push(ctx, listed{value: v})
	})
	kernel.Subscribe(h, message.ListConfirmedTopic, func(ctx context.Context, v message.ListConfirmed) error {
		return events.Push(ctx, confirmed{value: v})
	})
	kernel.Subscribe(h, message.LeaseRenewedTopic, func(ctx context.Context, _ message.LeaseRenewed) error {
		return events.Push(ctx, renewed{})
	})
}
