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

// sampleEvery is the time between samples of the demand; a sixth of the minute over which they are averaged.
const sampleEvery = 10 * time.Second

// sizer measures the demand and decides on the sizes of the pools while this entry instance plans.
type sizer struct {
	host    *kernel.Host
	state   capacity.State
	sampled time.Time
	viewed  time.Time
}

func newSizer(h *kernel.Host) *sizer {
	return &sizer{host: h, state: capacity.New(capacity.Defaults())}
}

// due returns when the next sample is to be taken, false without a provider of the demand.
func (z *sizer) due() (time.Time, bool) {
	_, ok := kernel.Use[message.Demand](z.host)
	return z.sampled.Add(sampleEvery), ok
}

// run takes a sample when one is due and once a minute returns the moves that the pools need.
func (z *sizer) run(now time.Time, known wave.State) []wave.Message {
	due, ok := z.due()
	if !ok || now.Before(due) {
		return nil
	}
	demand, _ := kernel.Use[message.Demand](z.host)
	z.sampled = now
	z.state, _ = capacity.Step(z.state, capacity.DemandSampled{Now: now, Demand: demand.Slots()})
	if now.Sub(z.viewed) < time.Minute {
		return nil
	}
	z.viewed = now
	var effects []capacity.Effect
	z.state, effects = capacity.Step(z.state, capacity.PoolsListed{Now: now, Fleet: known.Fleet(), Pools: pools(known)})
	var moves []wave.Message
	for _, e := range effects {
		switch e := e.(type) {
		case capacity.Move:
			z.host.Log.Info("capacity move", "event", "capacity.move", "instance", e.Instance, "pool", e.Pool, "reason", e.Reason)
			moves = append(moves, wave.Move{Now: now, Instance: e.Instance, Pool: e.Pool})
		default:
			panic(fmt.Sprintf("plan: effect %T", e))
		}
	}
	return moves
}

// pools returns the instances by pool; one that moves counts for the pool it moves to.
func pools(s wave.State) map[string][]capacity.Member {
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
