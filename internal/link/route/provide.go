package route

import (
	"context"
	"errors"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/entry"
	"teaselloft/internal/model/message"
)

// provide offers the questions that other plug-ins ask of the routing state.
func provide(h *kernel.Host, d *duty) {
	kernel.Provide[message.Ownership](h, ownership{duty: d})
	kernel.Provide[message.InFlightCounter](h, load{duty: d})
	kernel.Provide[message.Explainer](h, explainer{duty: d})
}

// ownership answers from the latest snapshot.
type ownership struct {
	duty *duty
}

// Owns returns the epoch of the service and the time until which the proof holds.
func (o ownership) Owns(service string) (uint64, time.Time, bool) {
	s := o.duty.snapshot.Load().Ownership()
	epoch, ok := s.Owns(service, o.duty.clock())
	return epoch, s.LeaseValidUntil(), ok
}

// load answers from the owners' reports and asks for new ones.
type load struct {
	duty *duty
}

// InFlight returns the requests in flight at an instance over all entry instances, or -1 when it is unknown.
func (l load) InFlight(instance string) int {
	now := l.duty.clock()
	s := l.duty.snapshot.Load()
	// A full ring only delays the next report.
	_ = l.duty.events.Push(context.Background(), message.InspectInstance{Instance: instance})
	return s.InFlight(instance, now)
}

// errNoConfig is returned by Explain before the first configuration.
var errNoConfig = errors.New("no configuration is in force yet")

// explainer answers from the latest snapshot.
type explainer struct {
	duty *duty
}

// Explain says where a request with the given name, fleet and method would go now.
func (e explainer) Explain(_ context.Context, name, fleet, method string) (message.Explanation, error) {
	s := e.duty.snapshot.Load()
	if s.Fleet().Version == 0 {
		return message.Explanation{}, errNoConfig
	}
	return s.Explain(name, fleet, message.Idempotent(method)), nil
}

// dump returns the routing section of the state dump.
func (d *duty) dump() entry.View {
	return d.snapshot.Load().View(d.clock())
}
