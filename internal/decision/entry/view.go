package entry

import (
	"time"

	"teaselloft/internal/decision/correct"
	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/decision/forward"
	"teaselloft/internal/model/record"
)

// topMisspellings limits the misspelled names in a dump.
const topMisspellings = 20

// View is the routing section of the state dump.
type View struct {
	Config            uint64                         `json:"config"`
	OwnershipValidFor time.Duration                  `json:"proof"` // time left until the lease may expire, in nanoseconds
	Members           []string                       `json:"members"`
	Owners            map[string]record.Owner        `json:"owners"`
	OwnedEpochs       map[string]uint64              `json:"held"`   // epoch by service
	Static            []string                       `json:"static"` // services for which the static share is in use
	Requests          map[string]forward.PhaseCounts `json:"requests"`
	Dispatch          map[string]dispatch.View       `json:"dispatch"`
	Instances         map[string]record.Instance     `json:"instances"`
	Misspellings      []correct.NameCount            `json:"misspellings"`
}

// View returns the dump of the state at the given time.
func (s State) View(now time.Time) View {
	v := View{
		Config:            s.fleet.Version,
		OwnershipValidFor: s.ownership.LeaseValidUntil().Sub(now),
		Members:           s.ownership.Members(),
		Owners:            map[string]record.Owner{},
		OwnedEpochs:       s.ownership.OwnedEpochs(),
		Requests:          s.forward.PhaseCounts(),
		Dispatch:          map[string]dispatch.View{},
		Instances:         s.instances,
		Misspellings:      s.misspellings.Top(topMisspellings),
	}
	for _, name := range s.serviceNames() {
		if o, ok := s.ownership.Owner(name); ok {
			v.Owners[name] = o
		}
		if s.staticShares[name] {
			v.Static = append(v.Static, name)
		}
	}
	for name, d := range s.dispatch {
		v.Dispatch[name] = d.View()
	}
	return v
}
