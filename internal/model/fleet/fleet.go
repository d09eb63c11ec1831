package fleet

import (
	"maps"
	"slices"
)

// Fleet is the merged configuration of one site.
//
// A site has several named fleets, which are groups of pools and services. The Fleet fields of Pool, Service and
// Correction hold such a name.
//
// Copies share the slices of a Fleet, which must not be modified after construction.
type Fleet struct {
	Version     uint64       `json:"version"`
	Region      string       `json:"region"`
	Zones       []string     `json:"zones"`
	Spare       string       `json:"spare,omitempty"` // pool of the instances that no service needs; may be empty
	Teams       []Team       `json:"teams,omitempty"`
	Pools       []Pool       `json:"pools"`
	Services    []Service    `json:"services"`
	Corrections []Correction `json:"corrections,omitempty"`
}

// Team is a group of users to which services and jobs belong. Its quota limits its jobs.
type Team struct {
	Name  string `json:"name"`
	Quota Quota  `json:"quota"`
}

// Quota limits the total resources of a team's running jobs.
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

// Instance declares an instance: an executor of the services in its pool, or an idle one in the spare pool.
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
	Slots       int    `json:"slots"`       // concurrent requests per executor
	Connections int    `json:"connections"` // open connections per executor
	Budget      Budget `json:"budget"`
	Nearest     int    `json:"nearest,omitempty"` // maximum edit distance of a correction to the nearest name; 0 for none
}

// Budget is a service's availability budget.
type Budget struct {
	Available int    `json:"available"`        // minimum number of serving instances
	Domain    Domain `json:"domain,omitempty"` // failure domain whose loss must leave Available instances serving
}

// SourceBase is the source of a correction declared in the base file.
const SourceBase = "base"

// Correction maps a misspelled service name to the correct one.
type Correction struct {
	From   string `json:"from"`
	To     string `json:"to"`               // a service name, or the From of another correction
	Fleet  string `json:"fleet,omitempty"`  // fleet to which it applies; empty for the fleet of the service
	Source string `json:"source,omitempty"` // site whose overlay declares it, or SourceBase
}

// Service returns the service with the given name and whether it exists.
func (f Fleet) Service(name string) (Service, bool) {
	for _, s := range f.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Pool returns the pool with the given name and whether it exists.
func (f Fleet) Pool(name string) (Pool, bool) {
	for _, p := range f.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Names returns the service names, sorted and without duplicates.
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

// WithSource returns a copy with the given source.
func (c Correction) WithSource(source string) Correction {
	c.Source = source
	return c
}
