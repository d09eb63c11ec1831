package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/standin/site"
)

// StopOwners stops the daemons that own a pool, one after the other, like Terminate or Kill.
type StopOwners struct {
	Pool  string
	Stops []Stop
}

// Stop tells when and how an owner stops.
type Stop struct {
	After time.Duration // since the begin or the stop before
	Kill  bool
	Down  time.Duration // after a kill
}

// Lose takes executors that run long-running tasks from a pool: they end for good with their instances, or ignore all
// orders and go on running.
type Lose struct {
	Pool   string
	Count  int
	Silent bool
}

// planTakeovers generates the faults of a run in which a pool loses executors and its owners stop one after the other.
// The owners of half of the runs get SIGTERM only.
func planTakeovers(r *rand.Rand, _ Options) []action {
	pool, kills := Pools[r.IntN(len(Pools))], r.IntN(2) == 0
	lose := Lose{Pool: pool, Count: 1 + r.IntN(2), Silent: r.IntN(2) == 0}
	stops := StopOwners{Pool: pool}
	for range 1 + r.IntN(maxOwners) {
		stops.Stops = append(stops.Stops, Stop{
			After: between(r, 300*time.Millisecond, 2500*time.Millisecond), Kill: kills && r.IntN(2) == 0,
			Down: between(r, 500*time.Millisecond, 4*time.Second),
		})
	}
	return []action{
		{at: takeoverPause, fault: stops},
		{at: takeoverPause + between(r, 0, 2*time.Second), length: between(r, minSilence, maxSilence), fault: lose},
	}
}

// Parameters of planTakeovers: the time before the first fault, how long executors are silent, shorter and longer than
// their leases, the most owners that stop, and the time within which another daemon must own a pool.
const (
	takeoverPause   = time.Second
	minSilence      = 4 * time.Second
	maxSilence      = 16 * time.Second
	maxOwners       = 5
	takeoverTimeout = 10 * time.Second
)

// stopOwners stops the owners of a pool. A stop waits until the pool has an owner that is not stopping.
func (s *soak) stopOwners(ctx context.Context, f StopOwners) {
	var stops sync.WaitGroup
	defer stops.Wait()
	for _, x := range f.Stops {
		wait(ctx, x.After)
		n, found := s.owner(f.Pool)
		for limit := time.Now().Add(takeoverTimeout); !found; n, found = s.owner(f.Pool) {
			if time.Now().After(limit) {
				s.ledger.violated("OWNER", "pool %s has had no owner for %v", f.Pool, takeoverTimeout)
				return
			}
			wait(ctx, 20*time.Millisecond)
		}
		a := action{length: x.Down, fault: Terminate{Daemon: n}}
		if x.Kill {
			a.fault = Kill{Daemons: []int{n}}
		}
		stops.Go(func() { s.inject(ctx, a) })
	}
}

// owner returns the daemon that owns a pool, if that process is a member and has not been stopped.
func (s *soak) owner(pool string) (daemon int, found bool) {
	value, _ := s.system.site.Store.Get(cluster.PrefixOwner + pool)
	owner, err := job.Decode[cluster.Owner](value)
	if err != nil {
		return 0, false
	}
	value, _ = s.system.site.Store.Get(cluster.PrefixMember + owner.Name)
	member, err := job.Decode[cluster.Member](value)
	if err != nil || member.Start != owner.Start || member.Leaving {
		return 0, false
	}
	for n, d := range s.system.daemons {
		if d.name == owner.Name && s.claim(d) {
			s.release(d)
			return n, true
		}
	}
	return 0, false
}

// lose ends executors for good or silences them for the length of the fault.
func (s *soak) lose(f Lose, sleep func()) {
	hosts := s.ledger.hosts(f.Pool)
	if len(hosts) < f.Count {
		s.ledger.violated("harness", "%d executors of pool %s run long-running tasks, %d are to be lost", len(hosts), f.Pool, f.Count)
		return
	}
	hosts = hosts[:f.Count]
	if !f.Silent {
		for _, id := range hosts {
			s.system.site.Remove(id)
		}
		return
	}
	var silent []*site.Executor
	for _, e := range s.system.site.Executors() {
		if slices.Contains(hosts, e.ID) {
			silent = append(silent, e)
			e.Break(site.FaultSilent)
		}
	}
	sleep()
	for _, e := range silent {
		e.Break(site.FaultNone)
	}
}
