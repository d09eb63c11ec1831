package upkeep

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

// Figures of the moves between pools.
const (
	headroom  = 1.15                    // capacity per demand that keeps waits short
	ahead     = 2 * time.Second         // for which a rising demand is taken to go on rising: an instance is on its way as long
	smooth    = 500 * time.Millisecond  // over which the growth is averaged, since single jobs let the demand jump
	stay      = 3 * time.Second         // that an instance stays in a pool at least, against moves to and fro
	mostMoves = 12                      // instances that are on the move at once, at least
	moveShare = 5                       // one of so many instances may be on the move
	giveUp    = 1500 * time.Millisecond // after which an executor that is not empty yet stays where it is
	surgeHigh = 0.55                    // share of a pool's capacity above which its demand is a surge
	surgeLow  = 0.35                    // share below which a surge has ended
	moveTime  = 2500 * time.Millisecond // from an order until the instance takes tasks in its new pool
	surgeTail = 4 * time.Second         // for which instances are kept for a surge that was expected
	keepSpare = 2                       // executors of a pool that are left to it beyond its demand
)

// demand is what was seen of a pool's load. It is immutable.
type demand struct {
	need   int64 // thousandths of a core
	at     time.Duration
	growth float64       // thousandths of a core a second, smoothed
	surge  bool          // the demand is high
	began  time.Duration // of the last surge
	period time.Duration // between the last two surges, 0 when there was one only
	peak   int64         // the highest need in a surge
}

// withLoad returns the demand after a look at the pool's load.
func (d demand) withLoad(load port.Load, capacity int64, now time.Duration) demand {
	const lateShare = 4 // tasks that cannot end in time count for a quarter: they earn little
	need := load.Backlog + load.Late/lateShare
	for _, e := range load.Executors {
		need += e.CPU
	}
	if elapsed := now - d.at; d.at != 0 && elapsed > 0 {
		weight := min(1, float64(elapsed)/float64(smooth))
		d.growth += weight * (float64(need-d.need)/elapsed.Seconds() - d.growth)
	}
	d.need, d.at = need, now
	share := float64(need) / float64(max(capacity, 1))
	switch {
	case !d.surge && share > surgeHigh:
		if d.began != 0 {
			d.period = now - d.began
		}
		d.surge, d.began, d.peak = true, now, 0
	case d.surge && share < surgeLow:
		d.surge = false
	}
	if d.surge {
		d.peak = max(d.peak, need)
	}
	return d
}

// wanted returns the capacity that a pool needs soon, in thousandths of a core.
func (d demand) wanted(now time.Duration) float64 {
	want := float64(d.need)
	want += max(0, d.growth) * ahead.Seconds()
	if d.period != 0 {
		next := d.began + d.period
		if now > next-moveTime && now < next+surgeTail {
			want = max(want, float64(d.peak))
		}
	}
	return want * headroom
}

// account is a pool while moves are decided.
type account struct {
	pool  string
	size  int // executors that take tasks or are on their way
	need  int // executors that the demand asks for
	spare []site.Instance
}

// balance moves instances from pools that have more than they need, and from standby, to pools that lack some.
func (s State) balance(m Tick) (State, []Effect) {
	if m.Instances == nil || m.Directory.Config == nil || len(m.Loads) == 0 {
		return s, nil
	}
	s = s.giveUpMoves()
	accounts, standby := s.accounts(m)
	s.pools = maps.Clone(s.pools)
	var out []Effect
	moving := 0
	for _, v := range s.visits {
		if _, ok := v.purpose.(transfer); ok {
			moving++
		}
	}
	slices.SortFunc(accounts, func(a, b *account) int {
		return cmp.Or(cmp.Compare(b.need-b.size, a.need-a.size), cmp.Compare(a.pool, b.pool))
	})
	for _, a := range accounts {
		for a.size < a.need && moving < max(mostMoves, len(s.instances)/moveShare) {
			i, ok := take(accounts, &standby, a)
			if !ok {
				break
			}
			s = s.withVisit(i.Name, visit{purpose: transfer{pool: a.pool}, stage: vacating, since: s.now, executor: i.Executor})
			out = append(out, Note{Level: slog.LevelInfo, Event: "move.planned", Attrs: []any{
				"instance", i.Name, "from", i.Pool, "to", a.pool, "size", a.size, "need", a.need, "demand", s.pools[a.pool].need,
			}})
			a.size++
			moving++
		}
	}
	return s, out
}

// giveUpMoves leaves instances where they are that cannot be emptied soon.
func (s State) giveUpMoves() State {
	for name, v := range s.visits {
		if _, ok := v.purpose.(transfer); ok && v.stage == vacating && s.now-v.since > giveUp {
			s = s.withoutVisit(name)
		}
	}
	return s
}

// take picks the instance that is missed the least.
func take(accounts []*account, standby *[]site.Instance, to *account) (site.Instance, bool) {
	if n := len(*standby); n > 0 {
		i := (*standby)[n-1]
		*standby = (*standby)[:n-1]
		return i, true
	}
	var from *account
	for _, a := range accounts {
		if a != to && len(a.spare) > 0 && a.size > a.need+keepSpare && (from == nil || a.size-a.need > from.size-from.need) {
			from = a
		}
	}
	if from == nil {
		return site.Instance{}, false
	}
	i := from.spare[0]
	from.spare = from.spare[1:]
	from.size--
	return i, true
}

// accounts sums up the pools and lists the instances on standby that may move.
func (s *State) accounts(m Tick) (accounts []*account, standby []site.Instance) {
	members := map[string][]site.Instance{}
	for _, i := range s.instances {
		members[i.Pool] = append(members[i.Pool], i)
	}
	s.pools = maps.Clone(s.pools)
	for _, p := range m.Directory.Config.Pools {
		list := members[p.Name]
		slices.SortFunc(list, func(a, b site.Instance) int { return cmp.Compare(a.Name, b.Name) })
		if p.Standby {
			for _, i := range list {
				if _, ok := s.visits[i.Name]; !ok && i.State == site.InstanceUp {
					standby = append(standby, i)
				}
			}
			continue
		}
		load, ok := m.Loads[p.Name]
		if !ok {
			continue
		}
		accounts = append(accounts, s.account(p.Name, list, load))
	}
	return accounts, standby
}

// account sums up one pool.
func (s *State) account(pool string, list []site.Instance, load port.Load) *account {
	a := &account{pool: pool}
	var capacity int64
	for _, i := range list {
		_, visited := s.visits[i.Name]
		x, reports := load.Executors[i.Executor]
		if i.State != site.InstanceUp || visited || !reports || !x.Usable {
			continue
		}
		a.size++
		capacity += i.Capacity.CPU
		if x.LongRunning == 0 && s.now-s.arrived[i.Executor] > stay {
			a.spare = append(a.spare, i)
		}
	}
	for _, v := range s.visits {
		if t, ok := v.purpose.(transfer); ok && t.pool == pool {
			a.size++ // on its way here
		}
	}
	slices.SortStableFunc(a.spare, func(x, y site.Instance) int {
		return cmp.Compare(load.Executors[x.Executor].CPU, load.Executors[y.Executor].CPU)
	})
	d := s.pools[pool].withLoad(load, capacity, s.now)
	s.pools[pool] = d
	if largest := s.largest(); largest > 0 {
		a.need = int(math.Ceil(d.wanted(s.now) / float64(largest)))
	}
	return a
}

// largest returns the processors of the largest instance of the site, in thousandths of a core. A pool may have no
// usable instance of its own.
func (s State) largest() int64 {
	var most int64
	for _, i := range s.instances {
		most = max(most, i.Capacity.CPU)
	}
	return most
}
