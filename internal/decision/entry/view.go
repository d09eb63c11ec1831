package entry

import (
	"time"

	"teaselloft/internal/decision/correct"
	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/decision/forward"
	"teaselloft/internal/model/record"
)

// topMisspellings is the number of misspelled names in a dump.
const topMisspellings = 20

// View is the routing section of the state dump.
type View struct {
	Config       uint64                     `json:"config"`
	Proof        time.Duration              `json:"proof"` // left of the proof of ownership, nanoseconds
	Members      []string                   `json:"members"`
	Owners       map[string]record.Owner    `json:"owners"`
	Held         map[string]uint64          `json:"held"`   // epoch by service
	Static       []string                   `json:"static"` // services served from static shares
	Requests     map[string]forward.Count   `json:"requests"`
	Dispatch     map[string]dispatch.View   `json:"dispatch"`
	Instances    map[string]record.Instance `json:"instances"`
	Misspellings []correct.Tally            `json:"misspellings"`
}

// View returns the state's dump at the time now.
func (s State) View(now time.Time) View {
	v := View{
		Config:       s.fleet.Version,
		Proof:        s.member.LeaseValidUntil().Sub(now),
		Members:      s.member.Members(),
		Owners:       map[string]record.Owner{},
		Held:         s.member.OwnedEpochs(),
		Requests:     s.forward.Counts(),
		Dispatch:     map[string]dispatch.View{},
		Instances:    s.instances,
		Misspellings: s.counts.Top(topMisspellings),
	}
	for _, name := range s.services() {
		if o, ok := s.member.Owner(name); ok {
			v.Owners[name] = o
		}
		if s.static[name] {
			v.Static = append(v.Static, name)
		}
	}
	for name, d := range s.dispatch {
		v.Dispatch[name] = d.View()
	}
	return v
}
