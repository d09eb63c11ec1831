package fleet

// Domain is a kind of failure domain: a set of instances that fail together.
type Domain string

// Failure domains that a budget can protect against.
const (
	// DomainAuto selects the largest domain whose loss the pool can tolerate while one more instance is out.
	DomainAuto Domain = ""
	DomainRack Domain = "rack"
	DomainZone Domain = "zone"
	// DomainNone protects against no loss. DomainAuto resolves to it if the pool is too small to lose a rack.
	DomainNone Domain = "none"
)

// Place is the location of an instance.
type Place struct {
	Zone string `json:"zone"`
	Rack string `json:"rack"`
}

// Place returns the location of the instance.
func (i Instance) Place() Place {
	return Place{Zone: i.Zone, Rack: i.Rack}
}

// NameOf returns the name of the domain that contains the place, or an empty string if d is neither rack nor zone.
func (d Domain) NameOf(p Place) string {
	switch d {
	case DomainZone:
		return p.Zone
	case DomainRack:
		return p.Zone + "/" + p.Rack
	default:
		return ""
	}
}

// MaxLoss returns the number of instances in the largest domain, which is the most that one failure can take out.
// Places holds the location of each instance.
func (d Domain) MaxLoss(places []Place) int {
	if d == DomainNone || d == DomainAuto {
		return 0
	}
	counts := map[string]int{}
	largest := 0
	for _, p := range places {
		name := d.NameOf(p)
		counts[name]++
		largest = max(largest, counts[name])
	}
	return largest
}

// ResolveDomain returns the domain to protect against, with DomainAuto resolved for the places of a pool's instances.
//
// It considers all instances of the pool and not only the serving ones, so that failures do not weaken the protection.
func (b Budget) ResolveDomain(pool []Place) Domain {
	if b.Domain != DomainAuto {
		return b.Domain
	}
	for _, d := range []Domain{DomainZone, DomainRack} {
		if len(pool)-1-d.MaxLoss(pool) >= b.Available {
			return d
		}
	}
	return DomainNone
}
