package planner

import (
	"fmt"
	"math/rand/v2"
	"time"

	"teaselloft/internal/decision/capacity"
	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
)

// The two-year size.
const (
	twoYearWorkers      = 1300
	twoYearAccelerators = 1500
	twoYearPools        = 95
	twoYearTeams        = 98
	zones               = 4
	perRack             = 4
	serviceNeed         = 9 // instances that serve through the loss of a zone with one out: pools of 13 or 14
)

var begin = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// site returns pools whose instances are spread over zones and racks of four, each with one service.
func site(workers, pools int) fleet.Fleet {
	f := fleet.Fleet{Version: 1}
	for p := range pools {
		pool := fleet.Pool{Name: fmt.Sprintf("pool-%02d", p)}
		for n := p; n < workers; n += pools {
			zone := (n / pools) % zones
			rack := (n / pools / zones * pools) + p
			pool.Instances = append(pool.Instances, fleet.Instance{
				ID:   fmt.Sprintf("w-%04d", n),
				Zone: fmt.Sprintf("zone-%d", zone),
				Rack: fmt.Sprintf("rack-%03d", rack/perRack),
			})
		}
		f.Pools = append(f.Pools, pool)
		need := 0
		for capacity.MinPoolSize(need+1, zones) <= len(pool.Instances) {
			need++
		}
		f.Services = append(f.Services, fleet.Service{
			Name: pool.Name, Pool: pool.Name, Slots: 8,
			Budget: fleet.Budget{Available: min(need, serviceNeed), Domain: fleet.DomainZone},
		})
	}
	return f
}

// known returns a planner's state in which the instances that are kept are live and serving.
func known(f fleet.Fleet, keep func(fleet.Instance) bool) wave.State {
	var list []message.Listing
	for _, p := range f.Pools {
		for _, i := range p.Instances {
			if keep(i) {
				list = append(list, message.Listing{ID: i.ID, Zone: i.Zone, Rack: i.Rack, State: "live"})
			}
		}
	}
	s, _ := wave.Step(wave.New(wave.Defaults()), wave.ConfigChanged{Fleet: f})
	s, _ = wave.Step(s, wave.InstancesListed{Now: begin, Instances: list})
	return s
}

// times are the drain and reboot durations of a site.
type times struct {
	drain, reboot map[string]time.Duration
}

// newTimes draws drains with a mean of 90 s, of which a fiftieth are four minutes longer, and reboots of 3 to 6 minutes.
func newTimes(f fleet.Fleet, seed uint64) times {
	random := rand.New(rand.NewPCG(seed, 1))
	t := times{drain: map[string]time.Duration{}, reboot: map[string]time.Duration{}}
	for _, p := range f.Pools {
		for _, i := range p.Instances {
			t.drain[i.ID] = 30*time.Second + time.Duration(random.ExpFloat64()*float64(time.Minute))
			if random.IntN(50) == 0 {
				t.drain[i.ID] += 4 * time.Minute
			}
			t.reboot[i.ID] = 3*time.Minute + time.Duration(random.Int64N(int64(3*time.Minute)))
		}
	}
	return t
}

func (t times) expect() wave.Estimates {
	return wave.Estimates{
		Drain:  func(id string) time.Duration { return t.drain[id] },
		Reboot: func(id string) time.Duration { return t.reboot[id] },
	}
}

// out returns how long an instance is out at least.
func (t times) out(id string) time.Duration {
	return max(t.drain[id], wave.Defaults().DrainGrace) + t.reboot[id]
}
