package wave

import (
	"maps"
	"time"

	"teaselloft/internal/model/record"
)

// Report is the planner's view of its work, for operators.
type Report struct {
	Epoch    uint64            `json:"epoch"` // 0 while another entry instance plans
	Waves    []WaveStatus      `json:"waves"`
	Services []ServiceStatus   `json:"services"`
	Blocked  map[string]string `json:"blocked"` // why an instance waits, by instance
	InDoubt  []string          `json:"doubtful"`
}

// WaveStatus is the progress of one wave.
type WaveStatus struct {
	ID       string                         `json:"id"`
	Phase    record.WavePhase               `json:"phase"`
	Deadline time.Time                      `json:"by"`
	Progress map[string]record.WaveProgress `json:"progress"`
}

// ServiceStatus says who holds the headroom of a service.
type ServiceStatus struct {
	Service  string           `json:"service"`
	Domain   string           `json:"domain"` // whose loss the budget protects against
	Serving  int              `json:"serving"`
	Headroom int              `json:"headroom"` // instances that may still go out
	Reserved map[string]int64 `json:"held"`     // instances out on purpose, with the revision of their entry
	Epoch    uint64           `json:"epoch"`    // of the planner that last wrote the ledger
}

// Report returns the state as operators see it.
func (s State) Report() Report {
	p := newPass(s)
	p.buildServices()
	p.countServing()
	r := Report{Epoch: s.Epoch(), Blocked: maps.Clone(s.blocked)}
	for _, v := range p.services {
		r.Services = append(r.Services, ServiceStatus{
			Service:  v.config.Name,
			Domain:   string(v.domain),
			Serving:  v.servingTotal,
			Headroom: v.headroom(),
			Reserved: v.ledger.At,
			Epoch:    v.ledger.Epoch,
		})
	}
	for itr := s.waves.Iterator(); !itr.Done(); {
		_, k, _ := itr.Next()
		w := k.Record
		r.Waves = append(r.Waves, WaveStatus{ID: w.ID, Phase: w.Phase, Deadline: w.By, Progress: s.Progress(w)})
	}
	for itr := s.pendingWrites.Iterator(); !itr.Done(); {
		key, o, _ := itr.Next()
		if o.inDoubt {
			r.InDoubt = append(r.InDoubt, key)
		}
	}
	return r
}
