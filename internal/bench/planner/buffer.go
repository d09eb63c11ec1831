package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"teaselloft/internal/decision/capacity"
	"teaselloft/internal/model/fleet"
)

// The targets for capacity.
const (
	boundBuffer        = 1.15
	boundCapacityMoves = 1.1
)

const (
	services     = 5
	spares       = 30
	slots        = 8
	days         = 2
	minutesDaily = 24 * 60
	period       = 8 * 60 // minutes of high demand and of the settling after it
)

// pools simulates the pools of a site under the capacity decision.
type pools struct {
	fleet fleet.Fleet
	state capacity.State
	pools map[string][]capacity.Member
	moves int

	courses map[string]*course
}

func newPools() *pools {
	p := &pools{state: capacity.New(capacity.Defaults()), pools: map[string][]capacity.Member{}, courses: map[string]*course{}}
	p.fleet.Spare = "spare"
	id := 0
	fill := func(name string, n int) {
		for range n {
			place := fleet.Place{Zone: fmt.Sprint("zone-", id%zones), Rack: fmt.Sprint(id / zones)}
			p.pools[name] = append(p.pools[name], capacity.Member{ID: fmt.Sprintf("i-%03d", id), Place: place})
			id++
		}
	}
	for n := range services {
		name := fmt.Sprint("service-", n)
		budget := fleet.Budget{Available: 6, Domain: fleet.DomainZone}
		p.fleet.Services = append(p.fleet.Services, fleet.Service{Name: name, Pool: name, Slots: slots, Budget: budget})
		p.courses[name] = &course{}
		fill(name, capacity.MinPoolSize(6, zones))
	}
	fill("spare", spares)
	return p
}

// demand returns the mean slots of a service in a minute: services take turns at a high demand.
func demand(service, minute int) float64 {
	if (minute/period)%services == service {
		return 12 * slots * 0.95
	}
	return 2 * slots
}

// run drives two days and returns the instance-minutes that are held above what is needed, and those at the least.
func (p *pools) run(seed uint64) (held, least float64) {
	random := rand.New(rand.NewPCG(seed, 2))
	for minute := range days * minutesDaily {
		now := begin.Add(time.Duration(minute) * time.Minute)
		for second := 0; second < 60; second += 10 {
			sample := map[string]float64{}
			for n, s := range p.fleet.Services {
				sample[s.Name] = demand(n, minute) * (0.9 + 0.2*random.Float64())
				if random.IntN(180) == 0 {
					sample[s.Name] *= 5 // a peak of some seconds
				}
			}
			p.state, _ = capacity.Step(p.state, capacity.DemandSampled{Now: now.Add(time.Duration(second) * time.Second), Demand: sample})
		}
		p.decide(now)
		for _, s := range p.fleet.Services {
			need := capacity.RequiredServing(s, p.state.Peak(s.Name))
			held += math.Max(0, float64(len(p.pools[s.Pool])-need))
			least += float64(capacity.MinPoolSize(need, zones) - need)
			p.courses[s.Name].add(capacity.MinPoolSize(need, zones))
		}
	}
	return held, least
}

func (p *pools) decide(now time.Time) {
	var effects []capacity.Effect
	p.state, effects = capacity.Step(p.state, capacity.PoolsListed{Now: now, Fleet: p.fleet, Pools: p.pools})
	for _, e := range effects {
		if m, ok := e.(capacity.Move); ok {
			p.move(m)
		}
	}
}

func (p *pools) move(m capacity.Move) {
	for name, list := range p.pools {
		at := slices.IndexFunc(list, func(i capacity.Member) bool { return i.ID == m.Instance })
		if at < 0 {
			continue
		}
		member := list[at]
		p.pools[name] = slices.Delete(slices.Clone(list), at, at+1)
		p.pools[m.Pool] = append(slices.Clone(p.pools[m.Pool]), member)
		p.moves++
		return
	}
}

// course is the least size of a service minute by minute.
type course struct {
	sizes    []int
	variance int // moves of a pool that follows every change at once
}

func (c *course) add(size int) {
	if n := len(c.sizes); n > 0 {
		c.variance += max(size-c.sizes[n-1], c.sizes[n-1]-size)
	}
	c.sizes = append(c.sizes, size)
}

// fewest returns the moves that no decision can avoid: in each period once up to the size that lasts for
// the dwell and once down to the size at its end.
func (c *course) fewest() int {
	dwell := int(capacity.Defaults().Dwell.Minutes())
	moves, before := 0, c.sizes[0]
	for start := 0; start+period <= len(c.sizes); start += period {
		part := c.sizes[start : start+period]
		top := before
		for n := dwell; n < len(part); n++ {
			top = max(top, slices.Min(part[n-dwell:n+1]))
		}
		last := part[len(part)-1]
		moves += top - before + max(top-last, 0)
		before = last
	}
	return moves
}

// buffer compares the instances held with the least for the same budgets and peaks.
func buffer(r *results, seed uint64) error {
	p := newPools()
	held, least := p.run(seed)
	// Without a spare pool every service always holds the buffer and the instances of its own peak.
	alone := 0.0
	for range p.fleet.Services {
		peak := capacity.RequiredServing(p.fleet.Services[0], demand(0, 0))
		alone += float64(capacity.MinPoolSize(peak, zones) * days * minutesDaily)
	}
	used := 0.0
	for minute := range days * minutesDaily {
		for n, s := range p.fleet.Services {
			used += float64(capacity.RequiredServing(s, demand(n, minute)))
		}
	}
	r.bound("capacity.buffer", held/least, "ratio", (alone-used)/least, boundBuffer)
	fewest, variance := 0, 0
	for _, c := range p.courses {
		fewest += c.fewest()
		variance += c.variance
	}
	ratio := func(moves int) float64 { return float64(moves) / float64(max(fewest, 1)) }
	r.bound("capacity.moves", ratio(p.moves), "ratio", ratio(variance), boundCapacityMoves)
	r.figure("capacity.moves.daily", float64(p.moves)/days, "moves/day")
	return nil
}
