package fleet

// Domain names a set of instances that fail together.
type Domain string

// The failure domains that a budget can protect against.
const (
	// DomainAuto stands for the largest domain whose loss the whole pool can afford with one instance out.
	DomainAuto Domain = ""
	DomainRack Domain = "rack"
	DomainZone Domain = "zone"
	// DomainNone protects against no loss; DomainAuto resolves to it for a pool too small for a rack's loss.
	DomainNone Domain = "none"
)

// Place is where an instance runs.
type Place struct {
	Zone string `json:"zone"`
	Rack string `json:"rack"`
}

// Place returns where the instance runs.
func (i Instance) Place() Place {
	return Place{Zone: i.Zone, Rack: i.Rack}
}

// Of returns the name of the domain that holds the place, empty for DomainNone.
func (d Domain) Of(p Place) string {
	switch d {
	case DomainZone:
		return p.Zone
	case DomainRack:
		return p.Zone + "/" + p.Rack
	default:
		return ""
	}
}

// Loss returns the number of places in the largest single domain.
func (d Domain) Loss(places []Place) int {
	if d == DomainNone || d == DomainAuto {
		return 0
	}
	counts := map[string]int{}
	most := 0
	for _, p := range places {
		name := d.Of(p)
		counts[name]++
		most = max(most, counts[name])
	}
	return most
}

// Protects resolves DomainAuto for a pool with instances at these places.
//
// It looks at the whole pool and not at the serving instances, so that failures never weaken the protection.
func (b Budget) Protects(pool []Place) Domain {
	if b.Domain != DomainAuto {
		return b.Domain
	}
	for _, d := range []Domain{DomainZone, DomainRack} {
		if len(pool)-1-d.Loss(pool) >= b.Available {
			return d
		}
	}
	return DomainNone
}
