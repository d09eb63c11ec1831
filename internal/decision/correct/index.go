package correct

import "teaselloft/internal/model/fleet"

// Index finds services by name; it is never changed after New.
type Index struct {
	exact    map[string]service // by normalized name
	fixes    map[string]fix     // by normalized misspelled name
	byLength map[int][]service  // by code points of the normalized name
	reach    int                // largest distance that any lookup accepts
}

// service is what a lookup needs of a service.
type service struct {
	name    string
	text    []rune // normalized name
	fleet   string
	nearest int
}

// fix is an operators' correction followed to its service.
type fix struct {
	service service
	source  string
}

// New returns the index of a fleet; corrections that lead to no service or to another fleet are left out.
func New(f fleet.Fleet) Index {
	x := Index{
		exact:    make(map[string]service, len(f.Services)),
		fixes:    make(map[string]fix, len(f.Corrections)),
		byLength: map[int][]service{},
		reach:    hintDistance,
	}
	for _, s := range f.Services {
		x.addService(s)
	}
	declared := make(map[string]fleet.Correction, len(f.Corrections))
	for _, c := range f.Corrections {
		declared[fleet.Normalize(c.From)] = c
	}
	for from, c := range declared {
		if s, ok := x.follow(declared, c); ok {
			x.fixes[from] = fix{service: s, source: c.Source}
		}
	}
	return x
}

func (x *Index) addService(s fleet.Service) {
	normalized := fleet.Normalize(s.Name)
	entry := service{name: s.Name, text: []rune(normalized), fleet: s.Fleet, nearest: s.Nearest}
	x.exact[normalized] = entry
	x.byLength[len(entry.text)] = append(x.byLength[len(entry.text)], entry)
	x.reach = max(x.reach, s.Nearest)
}

// follow returns the service that a chain of corrections of one fleet leads to.
func (x *Index) follow(declared map[string]fleet.Correction, c fleet.Correction) (service, bool) {
	of := c.Fleet
	for range len(declared) {
		if of == "" {
			of = c.Fleet
		}
		to := fleet.Normalize(c.To)
		if s, ok := x.exact[to]; ok {
			return s, of == "" || of == s.fleet
		}
		next, ok := declared[to]
		if !ok || of != "" && next.Fleet != "" && next.Fleet != of {
			return service{}, false
		}
		c = next
	}
	return service{}, false
}

// Lookup applies the rules to a query; equal queries have equal results.
func (x Index) Lookup(q Query) Result {
	name := fleet.Normalize(q.Name)
	if s, ok := x.exact[name]; ok {
		if !inFleet(s, q.Fleet) {
			return Unknown{}
		}
		return Exact{Service: s.name}
	}
	if f, ok := x.fixes[name]; ok {
		if !inFleet(f.service, q.Fleet) {
			return Unknown{}
		}
		return Corrected{From: q.Name, Service: f.service.name, Rule: RuleCorrection, Source: f.source}
	}
	near := x.near(name, q.Fleet)
	if q.Idempotent {
		return near.decide(q.Name)
	}
	return Unknown{Near: near.hint()}
}

func inFleet(s service, asked string) bool {
	return asked == "" || asked == s.fleet
}
