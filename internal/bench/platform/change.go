package platform

import (
	"context"
	"fmt"
	"time"

	"teaselloft/internal/core/kernel"
	link "teaselloft/internal/link/platform"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/settings/store"

	_ "teaselloft/internal/link/config"
)

// corrections make a configuration of about 200 KB, the size to design for.
const corrections = 2000

const (
	// changePause lets the member keys of one change be written before the next change.
	changePause = 100 * time.Millisecond
	restWindow  = 3 * time.Second
)

// Cost is what one configuration change costs the platform beyond the load at rest.
type Cost struct {
	Entries int
	Calls   float64       // a change, with those of the command that makes it
	Bytes   float64       // a change, with those of the command that makes it
	Slowest time.Duration // until the change was in force in every entry instance
}

// Change makes a number of small changes to a large configuration and measures their cost.
func Change(ctx context.Context, entries, changes int) (Cost, error) {
	s, err := newSite(ctx, entries, `"config":{},`)
	defer s.close()
	if err != nil {
		return Cost{}, err
	}
	rest, err := s.measure(ctx, entries, restWindow)
	if err != nil {
		return Cost{}, err
	}
	w, err := link.NewStore([]string{s.address}, siteName)
	if err != nil {
		return Cost{}, err
	}
	defer w.Close()
	if _, err := s.apply(ctx, w, 0); err != nil { // the first change writes everything
		return Cost{}, err
	}
	return s.change(ctx, w, rest, changes)
}

func (s *site) change(ctx context.Context, w store.Store, rest Load, changes int) (Cost, error) {
	before, err := s.counters(ctx)
	if err != nil {
		return Cost{}, err
	}
	begin := time.Now()
	cost := Cost{Entries: rest.Entries}
	for version := range changes {
		took, err := s.apply(ctx, w, uint64(version)+1)
		if err != nil {
			return Cost{}, err
		}
		cost.Slowest = max(cost.Slowest, took)
		if err := wait(ctx, changePause); err != nil {
			return Cost{}, err
		}
	}
	seconds := time.Since(begin).Seconds()
	after, err := s.counters(ctx)
	if err != nil {
		return Cost{}, err
	}
	cost.Calls = (calls(after) - calls(before) - rest.Calls*seconds) / float64(changes)
	cost.Bytes = (traffic(after) - traffic(before) - rest.Bytes*seconds) / float64(changes)
	return cost, nil
}

// apply makes the change after a version and waits until it is in force everywhere.
func (s *site) apply(ctx context.Context, w store.Store, base uint64) (time.Duration, error) {
	begin := time.Now()
	_, err := store.Apply(ctx, w, store.Change{
		ID: fmt.Sprintf("change-%d", base), Author: "bench", Time: begin, Base: base, Fleet: fleetAfter(base),
	})
	if err != nil {
		return 0, err
	}
	for !s.inForce(base + 1) {
		if err := wait(ctx, time.Millisecond); err != nil {
			return 0, err
		}
	}
	return time.Since(begin), nil
}

// inForce says whether every entry instance has a version or a later one.
func (s *site) inForce(version uint64) bool {
	for _, h := range s.hosts {
		status, ok := kernel.Use[message.ConfigStatus](h)
		if !ok {
			return false
		}
		if v, _ := status.ActiveVersion(); v < version {
			return false
		}
	}
	return true
}

// fleetAfter returns a configuration in which one correction depends on the version.
func fleetAfter(base uint64) fleet.Fleet {
	f := fleet.Fleet{
		Region:   "r",
		Zones:    []string{"z"},
		Pools:    []fleet.Pool{{Name: "p", Fleet: "f", Instances: []fleet.Instance{{ID: "i", Address: "127.0.0.1:1", Zone: "z"}}}},
		Services: []fleet.Service{{Name: "s", Fleet: "f", Pool: "p", Slots: 8, Connections: 64, Budget: fleet.Budget{}}},
	}
	for i := range corrections {
		f.Corrections = append(f.Corrections, fleet.Correction{From: fmt.Sprintf("a-misspelled-service-name-%d", i), To: "s"})
	}
	f.Corrections = append(f.Corrections, fleet.Correction{From: fmt.Sprintf("changed-name-%d", base), To: "s"})
	return f
}
