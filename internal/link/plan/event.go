package plan

import (
	"context"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/message"
)

// event is an input of the planning duty.
//
//sumtype:decl
type event interface{ event() }

// configChanged carries a newer configuration.
type configChanged struct{ value message.ConfigChanged }

// recordChanged carries a changed record of the key-value store.
type recordChanged struct{ value message.RecordChanged }

// instancesListed carries a changed instance list.
type instancesListed struct{ value message.InstancesListed }

// listConfirmed reports that the instance list is unchanged.
type listConfirmed struct{ value message.ListConfirmed }

// leaseRenewed reports a renewal of the lease, which may extend the ownership.
type leaseRenewed struct{}

// callFinished carries the result of a store call.
type callFinished struct{ result wave.Message }

func (configChanged) event()   {}
func (recordChanged) event()   {}
func (instancesListed) event() {}
func (listConfirmed) event()   {}
func (leaseRenewed) event()    {}
func (callFinished) event()    {}

// Ring capacities. A reload of 1,300 instance records arrives as one event per record.
const (
	eventCapacity = 4096
	callCapacity  = 4096
)

// eventPort is the input of the planning duty. That duty never waits for another one, so a publisher that finds the
// ring full waits for at most one step.
var eventPort = kernel.Port[event]{Name: "plan", Capacity: eventCapacity, Policy: ring.Block}

// callPort is the input of the call duty. The planning duty treats a full ring as a failed call.
var callPort = kernel.Port[call]{Name: "plan.call", Capacity: callCapacity, Policy: ring.Refuse}

// subscribe forwards the topics that the planner depends on to the planning duty.
func subscribe(h *kernel.Host, events *ring.Ring[event]) {
	kernel.Subscribe(h, message.ConfigTopic, func(ctx context.Context, v message.ConfigChanged) error {
		return events.Push(ctx, configChanged{value: v})
	})
	kernel.Subscribe(h, message.RecordTopic, func(ctx context.Context, v message.RecordChanged) error {
		return events.Push(ctx, recordChanged{value: v})
	})
	kernel.Subscribe(h, message.InstancesTopic, func(ctx context.Context, v message.InstancesListed) error {
		return events.Push(ctx, instancesListed{value: v})
	})
	kernel.Subscribe(h, message.ListConfirmedTopic, func(ctx context.Context, v message.ListConfirmed) error {
		return events.Push(ctx, listConfirmed{value: v})
	})
	kernel.Subscribe(h, message.LeaseRenewedTopic, func(ctx context.Context, _ message.LeaseRenewed) error {
		return events.Push(ctx, leaseRenewed{})
	})
}
