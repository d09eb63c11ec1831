package operate

import (
	"fmt"
	"slices"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// ServicesOf returns the services that run in the pool.
func ServicesOf(f fleet.Fleet, pool string) []fleet.Service {
	var found []fleet.Service
	for _, s := range f.Services {
		if s.Pool == pool {
			found = append(found, s)
		}
	}
	return found
}

// Reserve returns the service's ledger with an entry for the instance, whose record has the given revision.
//
// The error wraps ErrRefused if fewer instances than the budget requires would remain in service. Unlike the planner,
// Reserve goes by the records alone and keeps no headroom for the loss of a failure domain.
func Reserve(l record.Ledger, s fleet.Service, instances []record.Instance, id string, revision int64) (record.Ledger, error) {
	serving := 0
	for _, i := range instances {
		if i.Pool == s.Pool && i.State == record.Serving && i.ID != id && !slices.Contains(l.Out, i.ID) {
			serving++
		}
	}
	if serving < s.Budget.Available {
		return record.Ledger{}, fmt.Errorf("%w: %d instances of service %q would serve without %q, its budget is %d",
			ErrRefused, serving, s.Name, id, s.Budget.Available)
	}
	l.Service = s.Name
	return l.WithInstance(id, revision), nil
}
