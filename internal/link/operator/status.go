package operator

import (
	"encoding/json"

	protocol "teaselloft/internal/protocol/operator"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/correct"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// newStatus returns the status of a process from its view and the misspelled names of its state dump.
func newStatus(s kernel.Settings, v View, misspellings []correct.NameCount) protocol.Status {
	return protocol.Status{
		Name:         s.Name,
		Zone:         s.Zone,
		Site:         s.Site,
		Config:       v.fleet.Version,
		Members:      values(v.members),
		Services:     serviceStatuses(v),
		Pools:        poolStatuses(v),
		Waves:        values(v.waves),
		Misspellings: misspellings,
	}
}

func serviceStatuses(v View) []protocol.Service {
	all := make([]protocol.Service, 0, len(v.fleet.Services))
	for _, s := range v.fleet.Services {
		owner, _ := v.owners.Get(s.Name)
		ledger, _ := v.ledgers.Get(s.Name)
		all = append(all, protocol.Service{
			Name: s.Name, Fleet: s.Fleet, Pool: s.Pool,
			Owner: owner.Entry, Epoch: owner.Epoch,
			Budget: s.Budget.Available, Out: ledger.Out,
		})
	}
	return all
}

func poolStatuses(v View) []protocol.Pool {
	byID := map[string]record.Instance{}
	for _, p := range v.fleet.Pools {
		for _, i := range p.Instances {
			byID[i.ID] = record.Instance{ID: i.ID, Pool: p.Name, State: record.Serving}
		}
	}
	for _, i := range values(v.instances) {
		byID[i.ID] = i
	}
	states := map[string]map[string]int{}
	for _, i := range byID {
		if states[i.Pool] == nil {
			states[i.Pool] = map[string]int{}
		}
		states[i.Pool][string(i.State)]++
	}
	all := make([]protocol.Pool, 0, len(v.fleet.Pools))
	for _, p := range v.fleet.Pools {
		all = append(all, poolStatus(p, states[p.Name]))
	}
	return all
}

func poolStatus(p fleet.Pool, states map[string]int) protocol.Pool {
	s := protocol.Pool{Name: p.Name, Fleet: p.Fleet, States: states}
	for _, n := range states {
		s.Instances += n
	}
	return s
}

// routeSection is the name of the routing duty's section of the state dump.
const routeSection = "route"

// misspellings returns the most frequent misspelled names from the routing duty's section of the state dump.
func misspellings(state map[string]any) []correct.NameCount {
	data, err := json.Marshal(state[routeSection])
	if err != nil {
		return nil
	}
	var section struct {
		Misspellings []correct.NameCount `json:"misspellings"`
	}
	if err := json.Unmarshal(data, &section); err != nil {
		return nil
	}
	return section.Misspellings
}
