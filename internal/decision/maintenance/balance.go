package maintenance

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// Parameters of moves between pools.
const (
	headroom               = 1.15                    // capacity per unit of demand, which keeps queueing times short
	growthHorizon          = 2 * time.Second         // how far rising demand is extrapolated; a move takes about as long
	growthSmoothing        = 500 * time.Millisecond  // over which growth is averaged, since single jobs make the demand jump
	minStay                = 3 * time.Second         // minimum time in a pool, so that instances do not move back and forth
	baseConcurrentMoves    = 12                      // concurrent moves allowed at any site size
	instancesPerMove       = 5                       // one concurrent move is allowed per this many instances, if that is more
	vacateTimeout          = 1500 * time.Millisecond // after which the move of an instance that is not empty yet is canceled
	surgeStartShare        = 0.55                    // share of the capacity of a pool above which its demand is a surge
	surgeEndShare          = 0.35                    // share below which a surge ends (hysteresis)
	moveDuration           = 2500 * time.Millisecond // from an order until the instance takes tasks in its new pool
	surgeHoldTime          = 4 * time.Second         // how long after its predicted start capacity is kept for a surge
	minSpareExecutors      = 2                       // executors that a pool keeps beyond its demand
	shortageShare          = 0.7                     // share of the required capacity below which a pool is far short of it
	instancesPerUrgentMove = 2                       // instancesPerMove while a pool is far short of its required capacity
	maxUrgentMoves         = 200                     // a pool with thousands of instances coming and going notices late that executors drain
)

// demand is the observed load of a pool and its prediction. It is immutable.
type demand struct {
	need        int64 // thousandths of a core
	observedAt  time.Duration
	growth      float64       // thousandths of a core a second, smoothed
	inSurge     bool          // a surge is in progress
	surgeBegan  time.Duration // of the present or last surge
	surgePeriod time.Duration // between the beginnings of the last two surges, 0 before the second one
	surgePeak   int64         // highest need during the present or last surge
}

// withLoad returns the demand updated with the present load and capacity of the pool.
func (d demand) withLoad(load port.Load, capacity int64, now time.Duration) demand {
	const lateDivisor = 4 // tasks that cannot meet their deadline count for a quarter, since they have little value
	need := load.Backlog + load.Late/lateDivisor
	for _, e := range load.Executors {
		need += e.CPU
	}
	if elapsed := now - d.observedAt; d.observedAt != 0 && elapsed > 0 {
		weight := min(1, float64(elapsed)/float64(growthSmoothing))
		d.growth += weight * (float64(need-d.need)/elapsed.Seconds() - d.growth)
	}
	d.need, d.observedAt = need, now
	share := float64(need) / float64(max(capacity, 1))
	switch {
	case !d.inSurge && share > surgeStartShare:
		if d.surgeBegan != 0 {
			d.surgePeriod = now - d.surgeBegan
		}
		d.inSurge, d.surgeBegan, d.surgePeak = true, now, 0
	case d.inSurge && share < surgeEndShare:
		d.inSurge = false
	}
	if d.inSurge {
		d.surgePeak = max(d.surgePeak, need)
	}
	return d
}

// requiredCapacity returns the capacity that the pool will need shortly, in thousandths of a core.
func (d demand) requiredCapacity(now time.Duration) float64 {
	required := float64(d.need)
	required += max(0, d.growth) * growthHorizon.Seconds()
	if d.surgePeriod != 0 {
		next := d.surgeBegan + d.surgePeriod
		if now > next-moveDuration && now < next+surgeHoldTime {
			required = max(required, float64(d.surgePeak))
		}
	}
	return required * headroom
}

// poolBalance compares the executors of a pool with its demand while moves are decided.
type poolBalance struct {
	pool      string
	available int             // executors that take tasks or are being moved to the pool
	required  int             // executors that the demand requires
	spare     []site.Instance // instances that may leave the pool, least loaded first
}

// balance moves instances from standby and from pools with a surplus to pools with a shortage, the largest shortage
// first.
func (s State) balance(m Tick) (State, []Effect) {
	if m.Instances == nil || m.Directory.Config == nil || len(m.Loads) == 0 || s.confirmation.overdue {
		return s, nil
	}
	s = s.cancelStalledMoves()
	balances, standby := s.poolBalances(m)
	s.demands = maps.Clone(s.demands)
	var out []Effect
	s.surplus = 0
	for _, b := range balances {
		s.surplus += b.available - b.required
	}
	moving := 0
	for _, op := range s.operations {
		if _, ok := op.purpose.(poolMove); ok {
			moving++
		}
	}
	slices.SortFunc(balances, func(a, b *poolBalance) int {
		return cmp.Or(cmp.Compare(b.required-b.available, a.required-a.available), cmp.Compare(a.pool, b.pool))
	})
	for _, b := range balances {
		for b.available < b.required && moving < s.concurrentMoves(b) {
			i, ok := pickInstance(balances, &standby, b)
			if !ok {
				break
			}
			s = s.withOperation(i.Name, operation{purpose: poolMove{pool: b.pool}, stage: vacating, since: s.now, executorBefore: i.Executor})
			out = append(out, Note{Level: slog.LevelInfo, Event: "move.planned", Attrs: []any{
				"instance", i.Name, "from", i.Pool, "to", b.pool, "size", b.available, "need", b.required, "demand", s.demands[b.pool].need,
			}})
			b.available++
			moving++
		}
	}
	return s, out
}

// concurrentMoves returns how many instances may move at a time while a pool lacks some. A pool that is far short gets more
// of them at once, as many as the platform accepts orders in a second: its jobs miss their objectives meanwhile.
func (s State) concurrentMoves(b *poolBalance) int {
	usual := max(baseConcurrentMoves, len(s.instances)/instancesPerMove)
	if float64(b.available) >= shortageShare*float64(b.required) {
		return usual
	}
	return max(usual, min(s.orderRate, len(s.instances)/instancesPerUrgentMove, maxUrgentMoves))
}

// cancelStalledMoves cancels the moves of instances that were not emptied within vacateTimeout.
func (s State) cancelStalledMoves() State {
	for name, op := range s.operations {
		if _, ok := op.purpose.(poolMove); ok && op.stage == vacating && s.now-op.since > vacateTimeout {
			s = s.withoutOperation(name)
		}
	}
	return s
}

// pickInstance takes an instance from standby, or else the least loaded one of the pool with the largest surplus.
func pickInstance(balances []*poolBalance, standby *[]site.Instance, to *poolBalance) (site.Instance, bool) {
	if n := len(*standby); n > 0 {
		i := (*standby)[n-1]
		*standby = (*standby)[:n-1]
		return i, true
	}
	var from *poolBalance
	for _, b := range balances {
		if b != to && len(b.spare) > 0 && b.available > b.required+minSpareExecutors && (from == nil || b.available-b.required > from.available-from.required) {
			from = b
		}
	}
	if from == nil {
		return site.Instance{}, false
	}
	i := from.spare[0]
	from.spare = from.spare[1:]
	from.available--
	return i, true
}

// poolBalances returns the balance of each pool whose load is known, and the instances on standby that may move.
func (s *State) poolBalances(m Tick) (balances []*poolBalance, standby []site.Instance) {
	byPool := map[string][]site.Instance{}
	for _, i := range s.instances {
		byPool[i.Pool] = append(byPool[i.Pool], i)
	}
	s.demands = maps.Clone(s.demands)
	for _, p := range m.Directory.Config.Pools {
		instances := byPool[p.Name]
		slices.SortFunc(instances, func(a, b site.Instance) int { return cmp.Compare(a.Name, b.Name) })
		if p.Standby {
			for _, i := range instances {
				if _, ok := s.operations[i.Name]; !ok && i.State == site.InstanceUp {
					standby = append(standby, i)
				}
			}
			continue
		}
		load, ok := m.Loads[p.Name]
		if !ok {
			continue
		}
		balances = append(balances, s.updateDemand(p.Name, instances, load))
	}
	return balances, standby
}

// updateDemand updates the demand of one pool and returns its balance.
func (s *State) updateDemand(pool string, instances []site.Instance, load port.Load) *poolBalance {
	b := &poolBalance{pool: pool}
	var capacity int64
	for _, i := range instances {
		_, inOperation := s.operations[i.Name]
		x, reports := load.Executors[i.Executor]
		if i.State != site.InstanceUp || inOperation || !reports || !x.Usable {
			continue
		}
		b.available++
		capacity += i.Capacity.CPU
		if x.LongRunning == 0 && s.now-s.executorSince[i.Executor] > minStay {
			b.spare = append(b.spare, i)
		}
	}
	for _, op := range s.operations {
		if move, ok := op.purpose.(poolMove); ok && move.pool == pool {
			b.available++
		}
	}
	slices.SortStableFunc(b.spare, func(x, y site.Instance) int {
		return cmp.Compare(load.Executors[x.Executor].CPU, load.Executors[y.Executor].CPU)
	})
	d := s.demands[pool].withLoad(load, capacity, s.now)
	s.demands[pool] = d
	if largest := s.largestCapacity(); largest > 0 {
		b.required = int(math.Ceil(d.requiredCapacity(s.now) / float64(largest)))
	}
	return b
}

// largestCapacity returns the capacity of the largest instance of the site, in thousandths of a core. It is taken over
// the whole site because a pool may have no usable instance of its own.
func (s State) largestCapacity() int64 {
	var largest int64
	for _, i := range s.instances {
		largest = max(largest, i.Capacity.CPU)
	}
	return largest
}
