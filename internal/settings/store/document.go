package store

import (
	"maps"
	"slices"

	"teaselloft/internal/model/fleet"
)

// document is a fleet with its lists keyed by name, so that a small change is a small merge patch.
//
// It does not keep the order of lists: an assembled fleet is sorted by name.
type document struct {
	Region      string                      `json:"region"`
	Zones       []string                    `json:"zones"`
	Spare       string                      `json:"spare,omitempty"`
	Teams       map[string]fleet.Team       `json:"teams"`
	Pools       map[string]pool             `json:"pools"`
	Services    map[string]fleet.Service    `json:"services"`
	Corrections map[string]fleet.Correction `json:"corrections"`
}

type pool struct {
	Fleet     string                    `json:"fleet,omitempty"`
	Instances map[string]fleet.Instance `json:"instances"`
}

func newDocument(f fleet.Fleet) document {
	d := document{
		Region: f.Region, Zones: f.Zones, Spare: f.Spare,
		Teams:       keyed(f.Teams, func(t fleet.Team) string { return t.Name }),
		Pools:       make(map[string]pool, len(f.Pools)),
		Services:    keyed(f.Services, func(s fleet.Service) string { return s.Name }),
		Corrections: keyed(f.Corrections, func(c fleet.Correction) string { return c.From }),
	}
	for _, p := range f.Pools {
		instances := keyed(p.Instances, func(i fleet.Instance) string { return i.ID })
		d.Pools[p.Name] = pool{Fleet: p.Fleet, Instances: instances}
	}
	return d
}

// fleet returns the fleet of the document, with lists in order of name.
func (d document) fleet(version uint64) fleet.Fleet {
	pools := make([]fleet.Pool, 0, len(d.Pools))
	for _, name := range slices.Sorted(maps.Keys(d.Pools)) {
		p := d.Pools[name]
		pools = append(pools, fleet.Pool{Name: name, Fleet: p.Fleet, Instances: sorted(p.Instances)})
	}
	return fleet.Fleet{
		Version: version, Region: d.Region, Zones: d.Zones, Spare: d.Spare,
		Teams: sorted(d.Teams), Pools: pools, Services: sorted(d.Services), Corrections: sorted(d.Corrections),
	}
}

// consistent reports whether every element has the name that it is stored under.
func (d document) consistent() bool {
	ok := named(d.Teams, func(t fleet.Team) string { return t.Name }) &&
		named(d.Services, func(s fleet.Service) string { return s.Name }) &&
		named(d.Corrections, func(c fleet.Correction) string { return c.From })
	for _, p := range d.Pools {
		ok = ok && named(p.Instances, func(i fleet.Instance) string { return i.ID })
	}
	return ok
}

func named[T any](byKey map[string]T, key func(T) string) bool {
	for name, v := range byKey {
		if key(v) != name {
			return false
		}
	}
	return true
}

func keyed[T any](list []T, key func(T) string) map[string]T {
	byKey := make(map[string]T, len(list))
	for _, v := range list {
		byKey[key(v)] = v
	}
	return byKey
}

func sorted[T any](byKey map[string]T) []T {
	list := make([]T, 0, len(byKey))
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		list = append(list, byKey[key])
	}
	return list
}
