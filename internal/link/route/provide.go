package route

import (
	"context"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/entry"
	"teaselloft/internal/model/message"
)

// provide offers the questions that other plug-ins ask of the routing state.
func provide(h *kernel.Host, d *duty) {
	kernel.Provide[message.Ownership](h, ownership{duty: d})
	kernel.Provide[message.Load](h, load{duty: d})
}

// ownership answers from the latest snapshot.
type ownership struct {
	duty *duty
}

// Owns returns the epoch of the service and the time until which the proof holds.
func (o ownership) Owns(service string) (uint64, time.Time, bool) {
	s := o.duty.snapshot.Load().Member()
	epoch, ok := s.Holds(service, o.duty.clock())
	return epoch, s.Until(), ok
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
	_ = l.duty.events.Push(context.Background(), message.Inspect{Instance: instance})
	return s.InFlight(instance, now)
}

// dump returns the routing section of the state dump.
func (d *duty) dump() entry.View {
	return d.snapshot.Load().View(d.clock())
}
