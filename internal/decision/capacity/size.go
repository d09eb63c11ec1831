package capacity

import (
	"math"

	"teaselloft/internal/model/fleet"
)

// Need returns the instances of a service that must serve at all times: its budget, or more for its demand in slots.
func Need(s fleet.Service, demand float64) int {
	if s.Slots <= 0 {
		return s.Budget.Available
	}
	return max(s.Budget.Available, int(math.Ceil(demand/float64(s.Slots))))
}

// Least returns the fewest instances, spread evenly over the domains, that leave need serving with one
// out for maintenance and one domain lost.
func Least(need, domains int) int {
	n := need + 1
	if domains <= 1 { // no domain to lose that would leave anything
		return n
	}
	for n-1-(n+domains-1)/domains < need {
		n++
	}
	return n
}

// domain returns the failure domain that the service's buffer covers.
//
// DomainAuto stands for the zone where the instances of the service and the spares have at least two
// zones: the buffer is sized for the domain, not the domain by the buffer.
func domain(b fleet.Budget, places []fleet.Place) fleet.Domain {
	if b.Domain != fleet.DomainAuto {
		return b.Domain
	}
	zones := map[string]bool{}
	for _, p := range places {
		zones[p.Zone] = true
	}
	if len(zones) > 1 {
		return fleet.DomainZone
	}
	return fleet.DomainRack
}

// left returns what serves with one instance out and the largest domain lost.
func left(d fleet.Domain, places []fleet.Place) int {
	return len(places) - 1 - d.MaxLoss(places)
}
