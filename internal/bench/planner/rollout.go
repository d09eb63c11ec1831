package planner

import (
	"maps"
	"math"
	"slices"
	"time"

	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// The targets for waves.
const (
	boundRollout = 1.3
	boundMoves   = 1.1
)

// rollout compares a wave over the whole site with the lower bound from budgets and drain times.
//
// The bound keeps the rule that a service has instances of one zone out at a time, which no schedule may
// break; the figure any-zone is the ratio to the lower bound without that rule.
func rollout(r *results, seed uint64) error {
	f := site(twoYearWorkers, twoYearPools)
	t := newTimes(f, seed)
	plan, err := wave.DryRun(known(f, all), record.Wave{ID: "w"}, begin, t.expect())
	if err != nil {
		return err
	}
	least := lowerBound(f, t)
	r.figure("wave.rollout.any-zone", plan.End.Sub(begin).Seconds()/anyZone(f, t).Seconds(), "ratio")
	ratio := func(d time.Duration) float64 { return d.Seconds() / least.Seconds() }
	took := plan.End.Sub(begin)
	r.figure("wave.rollout.bound", least.Minutes(), "min")
	r.bound("wave.rollout.vs-fixed-count", ratio(took), "ratio", ratio(fixedCount(f, t)), boundRollout)
	r.bound("wave.rollout.vs-one-zone", ratio(took), "ratio", ratio(oneZone(f, t)), boundRollout)
	r.bound("wave.moves", float64(len(plan.Outages))/twoYearWorkers, "ratio", 1, boundMoves)
	r.figure("wave.blocked", float64(len(plan.Blocked)), "instances")
	return nil
}

// waveStep measures one decision on a running wave from 50 to 5,000 instances and its exponent.
func waveStep(r *results, _ uint64) error {
	var x, y []float64
	for _, workers := range []int{50, twoYearWorkers, 5000} {
		f := site(workers, max(1, workers*twoYearPools/twoYearWorkers))
		s := known(f, all)
		now := begin
		messages := []wave.Message{
			wave.OwnershipWon{Now: now, Epoch: 1, Until: now.Add(time.Hour)},
			wave.RecordsLoaded{},
			wave.RecordChanged{Record: record.Wave{ID: "w", Phase: record.Running}, Revision: 1},
		}
		for _, m := range messages {
			s, _ = wave.Step(s, m)
		}
		var steps []time.Duration
		for range 101 {
			now = now.Add(time.Second)
			before := time.Now()
			s, _ = wave.Step(s, wave.Tick{Now: now})
			steps = append(steps, time.Since(before))
		}
		ms := quantile(steps, 0.5).Seconds() * 1e3
		r.figure("wave.step.median."+itoa(workers), ms, "ms")
		if workers == twoYearWorkers {
			r.bound("wave.step.p99", quantile(steps, 0.99).Seconds()*1e3, "ms", math.NaN(), boundStep)
		}
		x, y = append(x, math.Log(float64(workers))), append(y, math.Log(ms))
	}
	r.figure("wave.step.exponent", slope(x, y), "log-log")
	return nil
}

func all(fleet.Instance) bool { return true }

// lowerBound returns the least time in which any order keeps every budget, one zone of a service at a time.
func lowerBound(f fleet.Fleet, t times) time.Duration {
	var least time.Duration
	for n, p := range f.Pools {
		sums, longest := map[string]time.Duration{}, map[string]time.Duration{}
		for _, i := range p.Instances {
			sums[i.Zone] += t.out(i.ID)
			longest[i.Zone] = max(longest[i.Zone], t.out(i.ID))
		}
		var sum time.Duration
		for zone := range sums {
			most := max(mostOutOf(f.Services[n].Budget, p, zone), 1)
			sum += max(sums[zone]/time.Duration(most), longest[zone])
		}
		least = max(least, sum)
	}
	return least
}

// mostOutOf returns the most instances of a pool's zone that can be out at a time.
func mostOutOf(b fleet.Budget, p fleet.Pool, zone string) int {
	for out := 0; ; out++ {
		var places []fleet.Place
		skip := out + 1
		for _, i := range p.Instances {
			if i.Zone == zone && skip > 0 {
				skip--
				continue
			}
			places = append(places, i.Place())
		}
		if skip > 0 || len(places)-b.Domain.MaxLoss(places) < b.Available {
			return out
		}
	}
}

// anyZone returns the least time in which any order keeps every budget.
func anyZone(f fleet.Fleet, t times) time.Duration {
	var least time.Duration
	for n, p := range f.Pools {
		var sum, longest time.Duration
		for _, i := range p.Instances {
			sum += t.out(i.ID)
			longest = max(longest, t.out(i.ID))
		}
		most := max(mostOut(f.Services[n].Budget, p), 1)
		least = max(least, sum/time.Duration(most), longest)
	}
	return least
}

// mostOut returns the most instances of a pool that can be out at a time in the best choice.
func mostOut(b fleet.Budget, p fleet.Pool) int {
	counts := map[string]int{}
	for _, i := range p.Instances {
		counts[b.Domain.NameOf(i.Place())]++
	}
	total, out := len(p.Instances), 0
	for {
		largest := slices.MaxFunc(slices.Sorted(maps.Keys(counts)), func(a, c string) int { return counts[a] - counts[c] })
		counts[largest]--
		total--
		if total-slices.Max(slices.Collect(maps.Values(counts))) < b.Available {
			return out
		}
		out++
	}
}

// fixedCount is the time of rounds in which one instance of every pool is out until the slowest is back.
func fixedCount(f fleet.Fleet, t times) time.Duration {
	var sum time.Duration
	for round := 0; ; round++ {
		var slowest time.Duration
		for _, p := range f.Pools {
			if round < len(p.Instances) {
				slowest = max(slowest, t.out(p.Instances[round].ID))
			}
		}
		if slowest == 0 {
			return sum
		}
		sum += slowest
	}
}

// oneZone is the time of one zone after the other, in each one rack at a time.
func oneZone(f fleet.Fleet, t times) time.Duration {
	racks := map[string]time.Duration{}
	for _, p := range f.Pools {
		for _, i := range p.Instances {
			name := fleet.DomainRack.NameOf(i.Place())
			racks[name] = max(racks[name], t.out(i.ID))
		}
	}
	var sum time.Duration
	for _, d := range racks {
		sum += d
	}
	return sum
}
