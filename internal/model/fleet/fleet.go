package fleet

import (
	"maps"
	"slices"
)

// Fleet is the merged configuration of one site.
//
// Its slices and maps are shared between copies; nobody changes them after construction.
type Fleet struct {
	Version     uint64       `json:"version"`
	Region      string       `json:"region"`
	Zones       []string     `json:"zones"`
	Spare       string       `json:"spare,omitempty"`
	Teams       []Team       `json:"teams,omitempty"`
	Pools       []Pool       `json:"pools"`
	Services    []Service    `json:"services"`
	Corrections []Correction `json:"corrections,omitempty"`
}

// Team owns services and jobs under a quota.
type Team struct {
	Name  string `json:"name"`
	Quota Quota  `json:"quota"`
}

// Quota bounds what the running jobs of a team hold together.
type Quota struct {
	Cores        int `json:"cores"`
	Memory       int `json:"memory"` // GB
	Accelerators int `json:"accelerators"`
}

// Pool is a named set of instances of one fleet.
type Pool struct {
	Name      string     `json:"name"`
	Fleet     string     `json:"fleet"`
	Instances []Instance `json:"instances"`
}

// Instance is an executor, or a worker of the spare pool, as declared.
type Instance struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
}

// Service is a named service that runs in one pool.
type Service struct {
	Name        string `json:"name"`
	Fleet       string `json:"fleet"`
	Pool        string `json:"pool"`
	Team        string `json:"team,omitempty"`
	Slots       int    `json:"slots"`       // concurrent requests an executor runs
	Connections int    `json:"connections"` // open connections an executor accepts
	Budget      Budget `json:"budget"`
	Nearest     int    `json:"nearest,omitempty"` // largest edit distance of a nearest name, 0 for none
}

// Budget is a service's availability budget.
type Budget struct {
	Available int    `json:"available"`        // serving instances needed at all times
	Domain    Domain `json:"domain,omitempty"` // failure domain whose loss must leave Available instances
}

// SourceBase is the source of a correction that the base file declares.
const SourceBase = "base"

// Correction maps a misspelled service name to the right one.
type Correction struct {
	From   string `json:"from"`
	To     string `json:"to"`               // a service, or another correction
	Fleet  string `json:"fleet,omitempty"`  // fleet that it belongs to, that of the service when empty
	Source string `json:"source,omitempty"` // site of the overlay that declared it, or SourceBase
}

// Service returns the service with the given name and whether there is one.
func (f Fleet) Service(name string) (Service, bool) {
	for _, s := range f.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Pool returns the pool with the given name and whether there is one.
func (f Fleet) Pool(name string) (Pool, bool) {
	for _, p := range f.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Names returns the sorted names of all services.
func (f Fleet) Names() []string {
	names := map[string]bool{}
	for _, s := range f.Services {
		names[s.Name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// WithVersion returns a copy with the given version.
func (f Fleet) WithVersion(version uint64) Fleet {
	f.Version = version
	return f
}

// WithServices returns a copy with the given services.
func (f Fleet) WithServices(services []Service) Fleet {
	f.Services = services
	return f
}

// WithPools returns a copy with the given pools.
func (f Fleet) WithPools(pools []Pool) Fleet {
	f.Pools = pools
	return f
}

// WithCorrections returns a copy with the given corrections.
func (f Fleet) WithCorrections(corrections []Correction) Fleet {
	f.Corrections = corrections
	return f
}

// WithSource returns a copy that names where it was declared.
func (c Correction) WithSource(source string) Correction {
	c.Source = source
	return c
}
