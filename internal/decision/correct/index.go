package correct

import "teaselloft/internal/model/fleet"

// Index finds services by name. It is immutable.
type Index struct {
	exact       map[string]service    // by normalized name
	corrections map[string]correction // by normalized misspelled name
	byLength    map[int][]service     // by length of the normalized name in code points
	maxDistance int                   // largest edit distance of any match or suggestion
}

// service holds the settings of a service that a lookup uses.
type service struct {
	name    string
	text    []rune // normalized name
	fleet   string
	nearest int // largest edit distance at which the nearest rule may choose the service, 0 for never
}

// correction is a configured correction, resolved to the service at the end of its chain.
type correction struct {
	target service
	source string
}

// New returns the index of a fleet. Corrections that form a loop or lead to no service or to another fleet are left out.
func New(f fleet.Fleet) Index {
	x := Index{
		exact:       make(map[string]service, len(f.Services)),
		corrections: make(map[string]correction, len(f.Corrections)),
		byLength:    map[int][]service{},
		maxDistance: maxSuggestionDistance,
	}
	for _, s := range f.Services {
		x.addService(s)
	}
	declared := make(map[string]fleet.Correction, len(f.Corrections))
	for _, c := range f.Corrections {
		declared[fleet.Normalize(c.From)] = c
	}
	for from, c := range declared {
		if s, ok := x.resolveChain(declared, c); ok {
			x.corrections[from] = correction{target: s, source: c.Source}
		}
	}
	return x
}

func (x *Index) addService(s fleet.Service) {
	normalized := fleet.Normalize(s.Name)
	entry := service{name: s.Name, text: []rune(normalized), fleet: s.Fleet, nearest: s.Nearest}
	x.exact[normalized] = entry
	x.byLength[len(entry.text)] = append(x.byLength[len(entry.text)], entry)
	x.maxDistance = max(x.maxDistance, s.Nearest)
}

// resolveChain returns the service that a chain of corrections leads to.
//
// A chain is limited to one fleet: that of the first correction in it that names a fleet.
func (x *Index) resolveChain(declared map[string]fleet.Correction, c fleet.Correction) (service, bool) {
	chainFleet := c.Fleet
	for range len(declared) {
		if chainFleet == "" {
			chainFleet = c.Fleet
		}
		to := fleet.Normalize(c.To)
		if s, ok := x.exact[to]; ok {
			return s, chainFleet == "" || chainFleet == s.fleet
		}
		next, ok := declared[to]
		if !ok || chainFleet != "" && next.Fleet != "" && next.Fleet != chainFleet {
			return service{}, false
		}
		c = next
	}
	return service{}, false
}

// Lookup resolves the name of a query. The result depends only on the index and the query.
func (x Index) Lookup(q Query) Result {
	name := fleet.Normalize(q.Name)
	if s, ok := x.exact[name]; ok {
		if !inFleet(s, q.Fleet) {
			return Unknown{}
		}
		return Exact{Service: s.name}
	}
	if c, ok := x.corrections[name]; ok {
		if !inFleet(c.target, q.Fleet) {
			return Unknown{}
		}
		return Corrected{From: q.Name, Service: c.target.name, Rule: RuleCorrection, Source: c.source}
	}
	found := x.similar(name, q.Fleet)
	if q.Idempotent {
		return found.resolve(q.Name)
	}
	return Unknown{Suggestions: found.names()}
}

func inFleet(s service, requested string) bool {
	return requested == "" || requested == s.fleet
}
