package message

import "time"

// PlannerService is the reserved service name whose owner runs the planner.
const PlannerService = "planner"

// Ownership reports the services that this entry instance owns. The routing duty implements it.
type Ownership interface {
	// Owns returns the epoch of the service and the time until which the ownership is known to be valid. It returns
	// false if this entry instance does not own the service.
	Owns(service string) (epoch uint64, until time.Time, ok bool)
}

// InFlightCounter reports the requests in flight. The routing duty implements it.
type InFlightCounter interface {
	// InFlight returns the number of requests in flight at an instance from all entry instances, or -1 if unknown.
	InFlight(instance string) int
}

// ListConfirmed reports that the platform returned the same instance list as the one published last.
type ListConfirmed struct {
	Time time.Time
}

// Demand reports the load that callers request. The routing duty implements it.
type Demand interface {
	// Slots returns the executor slots that running and queued requests need, by service, for the whole site.
	Slots() map[string]float64
}
