package plan

import (
	"fmt"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/capacity"
	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// sampleInterval is the time between samples of the demand. Six samples make up the minute over which the demand is
// averaged.
const sampleInterval = 10 * time.Second

// poolSizer samples the demand and decides on the sizes of the pools while this entry instance is the planner.
type poolSizer struct {
	host       *kernel.Host
	state      capacity.State
	lastSample time.Time
	lastSizing time.Time
}

func newPoolSizer(h *kernel.Host) *poolSizer {
	return &poolSizer{host: h, state: capacity.New(capacity.Defaults())}
}

// nextSample returns when the next sample is due, or false if no plug-in provides the demand.
func (s *poolSizer) nextSample() (time.Time, bool) {
	_, ok := kernel.Use[message.Demand](s.host)
	return s.lastSample.Add(sampleInterval), ok
}

// run takes a sample if one is due, and once a minute returns the moves of instances between pools.
func (s *poolSizer) run(now time.Time, known wave.State) []wave.Message {
	due, ok := s.nextSample()
	if !ok || now.Before(due) {
		return nil
	}
	demand, _ := kernel.Use[message.Demand](s.host)
	s.lastSample = now
	s.state, _ = capacity.Step(s.state, capacity.DemandSampled{Now: now, Demand: demand.Slots()})
	if now.Sub(s.lastSizing) < time.Minute {
		return nil
	}
	s.lastSizing = now
	var effects []capacity.Effect
	s.state, effects = capacity.Step(s.state, capacity.PoolsListed{Now: now, Fleet: known.Fleet(), Pools: membersByPool(known)})
	var moves []wave.Message
	for _, e := range effects {
		switch e := e.(type) {
		case capacity.Move:
			s.host.Log.Info("capacity move", "event", "capacity.move", "instance", e.Instance, "pool", e.Pool, "reason", e.Reason)
			moves = append(moves, wave.Move{Now: now, Instance: e.Instance, Pool: e.Pool})
		default:
			panic(fmt.Sprintf("plan: unknown effect %T", e))
		}
	}
	return moves
}

// membersByPool groups the instances by pool. An instance that is being moved counts for its target pool.
func membersByPool(s wave.State) map[string][]capacity.Member {
	found := map[string][]capacity.Member{}
	for _, p := range s.Fleet().Pools {
		for _, i := range p.Instances {
			k, _ := s.Instance(i.ID)
			r := k.Record
			m := capacity.Member{
				ID:     i.ID,
				Place:  i.Place(),
				Failed: r.State == record.Out || r.State == record.Serving && !s.Live(i.ID),
				Moving: r.Target != "",
			}
			pool := r.Pool
			if m.Moving {
				pool = r.Target
			}
			found[pool] = append(found[pool], m)
		}
	}
	return found
}
