package message

import "time"

// PlannerService is the reserved service name whose owner runs the planner.
const PlannerService = "planner"

// Ownership tells which services this entry instance can prove to own; the routing duty provides it.
type Ownership interface {
	// Owns returns the epoch of the service and the time until which the proof holds.
	Owns(service string) (epoch uint64, until time.Time, ok bool)
}

// Load tells what instances still run; the routing duty provides it.
type Load interface {
	// InFlight returns the requests in flight at an instance over all entry instances, or -1 when it is unknown.
	InFlight(instance string) int
}

// Confirmed says that the platform answered with the instance list that was published last.
type Confirmed struct {
	Time time.Time
}

// Demand tells what the callers ask for; the routing duty provides it.
type Demand interface {
	// Slots returns the executor slots that the requests of each service ask for, running and queued, over the site.
	Slots() map[string]float64
}
