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
func provide(h *kernel.Host, r *router) {
	kernel.Provide[message.Ownership](h, ownership{router: r})
	kernel.Provide[message.InFlightCounter](h, inFlightCounter{router: r})
	kernel.Provide[message.Explainer](h, explainer{router: r})
}

// ownership implements message.Ownership from the latest snapshot.
type ownership struct {
	router *router
}

// Owns returns the epoch of the service, the time until which the ownership is known to be valid, and whether this
// entry instance owns the service.
func (o ownership) Owns(service string) (uint64, time.Time, bool) {
	s := o.router.snapshot.Load().Ownership()
	epoch, ok := s.Owns(service, o.router.clock())
	return epoch, s.LeaseValidUntil(), ok
}

// inFlightCounter implements message.InFlightCounter from the load reports of the services' owners.
type inFlightCounter struct {
	router *router
}

// InFlight returns the number of requests in flight at an instance over all entry instances, or -1 if it is unknown.
// It also requests new load reports.
func (c inFlightCounter) InFlight(instance string) int {
	now := c.router.clock()
	s := c.router.snapshot.Load()
	// If the ring is full, only the next load report is delayed.
	_ = c.router.events.Push(context.Background(), message.InspectInstance{Instance: instance})
	return s.InFlight(instance, now)
}

// errNoConfig is returned by Explain before the first configuration is in force.
var errNoConfig = errors.New("no configuration is in force yet")

// explainer implements message.Explainer from the latest snapshot.
type explainer struct {
	router *router
}

// Explain returns how a request with the given name, fleet and method would be routed now.
func (e explainer) Explain(_ context.Context, name, fleet, method string) (message.Explanation, error) {
	s := e.router.snapshot.Load()
	if s.Fleet().Version == 0 {
		return message.Explanation{}, errNoConfig
	}
	return s.Explain(name, fleet, message.Idempotent(method)), nil
}

// dump returns the section "route" of the state dump.
func (r *router) dump() entry.View {
	return r.snapshot.Load().View(r.clock())
}
