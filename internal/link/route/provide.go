package route

import (
	"context"
	"errors"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/entry"
	"teaselloft/internal/model/message"
)

// provide registers the interfaces through which other plug-ins read the routing state.
func provide(h *kernel.Host, d *duty) {
	kernel.Provide[message.Ownership](h, ownership{duty: d})
	kernel.Provide[message.InFlightCounter](h, inFlightCounter{duty: d})
	kernel.Provide[message.Explainer](h, explainer{duty: d})
}

// ownership implements message.Ownership from the latest snapshot.
type ownership struct {
	duty *duty
}

// Owns returns the epoch of the service, the time until which the ownership is known to be valid, and whether this
// entry instance owns the service.
func (o ownership) Owns(service string) (uint64, time.Time, bool) {
	s := o.duty.snapshot.Load().Ownership()
	epoch, ok := s.Owns(service, o.duty.clock())
	return epoch, s.LeaseValidUntil(), ok
}

// inFlightCounter implements message.InFlightCounter from the load reports of the services' owners.
type inFlightCounter struct {
	duty *duty
}

// InFlight returns the number of requests in flight at an instance over all entry instances, or -1 if it is unknown.
// It also requests new load reports.
func (c inFlightCounter) InFlight(instance string) int {
	now := c.duty.clock()
	s := c.duty.snapshot.Load()
	// If the ring is full, only the next load report is delayed.
	_ = c.duty.events.Push(context.Background(), message.InspectInstance{Instance: instance})
	return s.InFlight(instance, now)
}

// errNoConfig is returned by Explain before the first configuration is in force.
var errNoConfig = errors.New("no configuration is in force yet")

// explainer implements message.Explainer from the latest snapshot.
type explainer struct {
	duty *duty
}

// Explain returns how a request with the given name, fleet and method would be routed now.
func (e explainer) Explain(_ context.Context, name, fleet, method string) (message.Explanation, error) {
	s := e.duty.snapshot.Load()
	if s.Fleet().Version == 0 {
		return message.Explanation{}, errNoConfig
	}
	return s.Explain(name, fleet, message.Idempotent(method)), nil
}

// dump returns the section "route" of the state dump.
func (d *duty) dump() entry.View {
	return d.snapshot.Load().View(d.clock())
}
