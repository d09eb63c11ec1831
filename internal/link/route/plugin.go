package route

import (
	"context"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/entry"
	"teaselloft/internal/model/message"
)

// storeWorkerCount bounds the concurrent store calls. Each service has at most two at a time.
const storeWorkerCount = 8

// controlPort carries messages that must not be dropped: changes from the platform and results of store calls.
var controlPort = kernel.Port[entry.Message]{Name: "control", Capacity: 4096, Policy: ring.Block}

// storePort carries store calls to the store workers.
var storePort = kernel.Port[entry.Effect]{Name: "store", Capacity: 1024, Policy: ring.Refuse}

// Settings configures the plug-in, which has no settings.
type Settings struct{}

func init() {
	kernel.Register("route", Settings{}, build)
}

func build(h *kernel.Host, _ Settings) ([]kernel.Duty, error) {
	d := newDuty(h)
	subscribe(h, d, message.ConfigTopic, func(c message.ConfigChanged) message.Event { return c })
	subscribe(h, d, message.RecordTopic, func(c message.RecordChanged) message.Event { return c })
	subscribe(h, d, message.InstancesTopic, func(l message.InstancesListed) message.Event { return l })
	subscribe(h, d, message.LeaseRenewedTopic, func(r message.LeaseRenewed) message.Event { return r })
	subscribe(h, d, message.RenewalFailedTopic, func(u message.RenewalFailed) message.Event { return u })
	h.OnStop(kernel.PhaseNotReady, d.leave)
	h.OnStop(kernel.PhaseDrain, d.awaitHandover)
	h.RegisterDump("route", func() any { return d.dump() })
	provide(h, d)
	duties := []kernel.Duty{{Name: "route", Run: d.run}}
	for range storeWorkerCount {
		duties = append(duties, kernel.Duty{Name: "store", Run: newStoreWorker(h, d.control).run})
	}
	return duties, nil
}

// subscribe forwards each value of a topic to the control ring as an event.
func subscribe[T any](h *kernel.Host, d *duty, t kernel.Topic[T], event func(T) message.Event) {
	kernel.Subscribe(h, t, func(ctx context.Context, v T) error {
		return d.control.Push(ctx, entry.Event{Now: d.clock(), Event: event(v)})
	})
}
