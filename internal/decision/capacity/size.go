package capacity

import (
	"math"

	"teaselloft/internal/model/fleet"
)

// RequiredServing returns how many instances of the service must be in service at all times: as many as its demand
// in slots requires, and at least its budget.
func RequiredServing(s fleet.Service, demand float64) int {
	if s.Slots <= 0 {
		return s.Budget.Available
	}
	return max(s.Budget.Available, int(math.Ceil(demand/float64(s.Slots))))
}

// MinPoolSize returns the size of the smallest pool, spread evenly over the domains, that keeps need instances in
// service with one instance out for maintenance and one domain lost.
func MinPoolSize(need, domains int) int {
	n := need + 1
	if domains <= 1 { // the loss of the only domain leaves no instance, whatever the pool's size
		return n
	}
	for n-1-(n+domains-1)/domains < need {
		n++
	}
	return n
}

// bufferDomain returns the failure domain whose loss the service's pool must survive.
//
// DomainAuto selects the zone if the places span at least two zones, and the rack otherwise. Unlike in
// Budget.ResolveDomain, the number of instances does not matter, because the pool's size is derived from the domain.
func bufferDomain(b fleet.Budget, places []fleet.Place) fleet.Domain {
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

// worstCaseServing returns how many instances serve with one out for maintenance and the largest domain lost.
func worstCaseServing(d fleet.Domain, places []fleet.Place) int {
	return len(places) - 1 - d.MaxLoss(places)
}
