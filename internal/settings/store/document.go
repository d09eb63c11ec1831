package store

import (
	"maps"
	"slices"

	"teaselloft/internal/model/fleet"
)

// document is the stored form of a fleet: lists are objects keyed by name, so that a small change is a small merge patch.
//
// The order of lists is lost: an assembled fleet is sorted by name.
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
		Teams:       indexBy(f.Teams, func(t fleet.Team) string { return t.Name }),
		Pools:       make(map[string]pool, len(f.Pools)),
		Services:    indexBy(f.Services, func(s fleet.Service) string { return s.Name }),
		Corrections: indexBy(f.Corrections, func(c fleet.Correction) string { return c.From }),
	}
	for _, p := range f.Pools {
		instances := indexBy(p.Instances, func(i fleet.Instance) string { return i.ID })
		d.Pools[p.Name] = pool{Fleet: p.Fleet, Instances: instances}
	}
	return d
}

// fleet converts the document to a fleet whose lists are sorted by name.
func (d document) fleet(version uint64) fleet.Fleet {
	pools := make([]fleet.Pool, 0, len(d.Pools))
	for _, name := range slices.Sorted(maps.Keys(d.Pools)) {
		p := d.Pools[name]
		pools = append(pools, fleet.Pool{Name: name, Fleet: p.Fleet, Instances: sortedValues(p.Instances)})
	}
	return fleet.Fleet{
		Version: version, Region: d.Region, Zones: d.Zones, Spare: d.Spare,
		Teams: sortedValues(d.Teams), Pools: pools, Services: sortedValues(d.Services), Corrections: sortedValues(d.Corrections),
	}
}

// consistent reports whether every element is stored under its own name.
func (d document) consistent() bool {
	ok := keysMatch(d.Teams, func(t fleet.Team) string { return t.Name }) &&
		keysMatch(d.Services, func(s fleet.Service) string { return s.Name }) &&
		keysMatch(d.Corrections, func(c fleet.Correction) string { return c.From })
	for _, p := range d.Pools {
		ok = ok && keysMatch(p.Instances, func(i fleet.Instance) string { return i.ID })
	}
	return ok
}

func keysMatch[T any](byKey map[string]T, key func(T) string) bool {
	for name, v := range byKey {
		if key(v) != name {
			return false
		}
	}
	return true
}

func indexBy[T any](list []T, key func(T) string) map[string]T {
	byKey := make(map[string]T, len(list))
	for _, v := range list {
		byKey[key(v)] = v
	}
	return byKey
}

func sortedValues[T any](byKey map[string]T) []T {
	list := make([]T, 0, len(byKey))
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		list = append(list, byKey[key])
	}
	return list
}
