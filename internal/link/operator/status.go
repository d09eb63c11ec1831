package operator

import (
	"encoding/json"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/correct"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// Status is the summary that /status and the page show.
type Status struct {
	Name         string          `json:"name"`
	Zone         string          `json:"zone"`
	Site         string          `json:"site"`
	Config       uint64          `json:"config"`
	Members      []record.Member `json:"members"`
	Services     []ServiceStatus `json:"services"`
	Pools        []PoolStatus    `json:"pools"`
	Waves        []record.Wave   `json:"waves,omitempty"`
	Misspellings []correct.Tally `json:"misspellings,omitempty"`
}

// ServiceStatus is the part of a Status about one service.
type ServiceStatus struct {
	Name   string   `json:"name"`
	Fleet  string   `json:"fleet"`
	Pool   string   `json:"pool"`
	Owner  string   `json:"owner,omitempty"`
	Epoch  uint64   `json:"epoch,omitempty"`
	Budget int      `json:"budget"`        // serving instances needed at all times
	Out    []string `json:"out,omitempty"` // instances that are out on purpose
}

// PoolStatus counts the instances of one pool by state.
type PoolStatus struct {
	Name      string         `json:"name"`
	Fleet     string         `json:"fleet"`
	Instances int            `json:"instances"`
	States    map[string]int `json:"states"`
}

// newStatus composes the status of a process from its view and its state dump.
func newStatus(s kernel.Settings, v View, misspellings []correct.Tally) Status {
	return Status{
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

func serviceStatuses(v View) []ServiceStatus {
	all := make([]ServiceStatus, 0, len(v.fleet.Services))
	for _, s := range v.fleet.Services {
		owner, _ := v.owners.Get(s.Name)
		ledger, _ := v.ledgers.Get(s.Name)
		all = append(all, ServiceStatus{
			Name: s.Name, Fleet: s.Fleet, Pool: s.Pool,
			Owner: owner.Entry, Epoch: owner.Epoch,
			Budget: s.Budget.Available, Out: ledger.Out,
		})
	}
	return all
}

func poolStatuses(v View) []PoolStatus {
	place := map[string]record.Instance{}
	for _, p := range v.fleet.Pools {
		for _, i := range p.Instances {
			place[i.ID] = record.Instance{ID: i.ID, Pool: p.Name, State: record.Serving}
		}
	}
	for _, i := range values(v.instances) {
		place[i.ID] = i
	}
	states := map[string]map[string]int{}
	for _, i := range place {
		if states[i.Pool] == nil {
			states[i.Pool] = map[string]int{}
		}
		states[i.Pool][string(i.State)]++
	}
	all := make([]PoolStatus, 0, len(v.fleet.Pools))
	for _, p := range v.fleet.Pools {
		all = append(all, poolStatus(p, states[p.Name]))
	}
	return all
}

func poolStatus(p fleet.Pool, states map[string]int) PoolStatus {
	s := PoolStatus{Name: p.Name, Fleet: p.Fleet, States: states}
	for _, n := range states {
		s.Instances += n
	}
	return s
}

// routeSection names the routing duty's section of the state dump.
const routeSection = "route"

// misspellings reads the most frequent misspelled names from the routing duty's section of the dump.
func misspellings(state map[string]any) []correct.Tally {
	data, err := json.Marshal(state[routeSection])
	if err != nil {
		return nil
	}
	var section struct {
		Misspellings []correct.Tally `json:"misspellings"`
	}
	if err := json.Unmarshal(data, &section); err != nil {
		return nil
	}
	return section.Misspellings
}
