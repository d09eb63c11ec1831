package wave

import (
	"maps"
	"time"

	"teaselloft/internal/model/record"
)

// Report is the planner's state as operators see it.
type Report struct {
	Epoch    uint64            `json:"epoch"` // 0 while this process does not plan
	Waves    []Status          `json:"waves"`
	Services []ServiceStatus   `json:"services"`
	Blocked  map[string]string `json:"blocked"`  // why an instance waits, by instance
	InDoubt  []string          `json:"doubtful"` // keys whose last write may or may not have taken effect
}

// Status is the phase and progress of one wave.
type Status struct {
	ID       string                         `json:"id"`
	Phase    record.WavePhase               `json:"phase"`
	Deadline time.Time                      `json:"by"`
	Progress map[string]record.WaveProgress `json:"progress"`
}

// ServiceStatus is the headroom of one service and the instances that use it.
type ServiceStatus struct {
	Service  string           `json:"service"`
	Domain   string           `json:"domain"` // failure domain whose loss the budget covers
	Serving  int              `json:"serving"`
	Headroom int              `json:"headroom"` // how many more instances may be taken out
	Reserved map[string]int64 `json:"held"`     // instances in the ledger, with the revision of their entry
	Epoch    uint64           `json:"epoch"`    // of the planner that wrote the ledger last
}

// Report returns a report on the state.
func (s State) Report() Report {
	p := newPass(s)
	p.buildServices()
	p.countServing()
	r := Report{Epoch: s.Epoch(), Blocked: maps.Clone(s.blocked)}
	for _, svc := range p.services {
		r.Services = append(r.Services, ServiceStatus{
			Service:  svc.config.Name,
			Domain:   string(svc.domain),
			Serving:  svc.servingTotal,
			Headroom: svc.headroom(),
			Reserved: svc.ledger.At,
			Epoch:    svc.ledger.Epoch,
		})
	}
	for itr := s.waves.Iterator(); !itr.Done(); {
		_, stored, _ := itr.Next()
		w := stored.Record
		r.Waves = append(r.Waves, Status{ID: w.ID, Phase: w.Phase, Deadline: w.Deadline, Progress: s.Progress(w)})
	}
	for itr := s.pendingWrites.Iterator(); !itr.Done(); {
		key, pending, _ := itr.Next()
		if pending.inDoubt {
			r.InDoubt = append(r.InDoubt, key)
		}
	}
	return r
}
