package wave

import (
	"maps"
	"time"

	"teaselloft/internal/model/record"
)

// Report is the planner's view of its work, for operators.
type Report struct {
	Epoch    uint64            `json:"epoch"` // 0 while another entry instance plans
	Waves    []Progressed      `json:"waves"`
	Services []Holding         `json:"services"`
	Blocked  map[string]string `json:"blocked"` // why an instance waits, by instance
	Doubtful []string          `json:"doubtful"`
}

// Progressed is the progress of one wave.
type Progressed struct {
	ID       string                         `json:"id"`
	Phase    record.WavePhase               `json:"phase"`
	By       time.Time                      `json:"by"`
	Progress map[string]record.WaveProgress `json:"progress"`
}

// Holding says who holds the headroom of a service.
type Holding struct {
	Service  string           `json:"service"`
	Domain   string           `json:"domain"` // whose loss the budget protects against
	Serving  int              `json:"serving"`
	Headroom int              `json:"headroom"` // instances that may still go out
	Held     map[string]int64 `json:"held"`     // instances out on purpose, with the revision of their entry
	Epoch    uint64           `json:"epoch"`    // of the planner that last wrote the ledger
}

// Report returns the state as operators see it.
func (s State) Report() Report {
	p := newPass(s)
	p.buildServices()
	p.countServing()
	r := Report{Epoch: s.Epoch(), Blocked: maps.Clone(s.blocked)}
	for _, v := range p.services {
		r.Services = append(r.Services, Holding{
			Service:  v.config.Name,
			Domain:   string(v.domain),
			Serving:  v.count,
			Headroom: v.headroom(),
			Held:     v.ledger.At,
			Epoch:    v.ledger.Epoch,
		})
	}
	for itr := s.waves.Iterator(); !itr.Done(); {
		_, k, _ := itr.Next()
		w := k.Record
		r.Waves = append(r.Waves, Progressed{ID: w.ID, Phase: w.Phase, By: w.Deadline, Progress: s.Progress(w)})
	}
	for itr := s.open.Iterator(); !itr.Done(); {
		key, o, _ := itr.Next()
		if o.doubt {
			r.Doubtful = append(r.Doubtful, key)
		}
	}
	return r
}
