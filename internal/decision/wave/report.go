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
		r.Waves = append(r.Waves, Status{ID: w.ID, Phase: w.Phase, Deadline: w.Deadline, Progress: s.Progress(w)})
	}
	for itr := s.pendingWrites.Iterator(); !itr.Done(); {
		key, o, _ := itr.Next()
		if o.inDoubt {
			r.InDoubt = append(r.InDoubt, key)
		}
	}
	return r
}
