package cluster

import (
	"maps"
	"time"

	"teaselloft/internal/model/site"
)

// Directory is a daemon's view of the site, built from the store. It is immutable.
type Directory struct {
	Config    *site.Config // nil until a configuration was read
	Waves     map[int64]DeclaredWave
	Executors map[string]site.Executor
	Gone      map[string]RemovedExecutor // removed recently; they may still run tasks
	Members   map[string]Member
	Owners    map[string]Owner
	Listed    bool // the members and owners were read
	Reported  bool // the executors were read
}

// DeclaredWave is a wave and the time at which this daemon first saw it.
type DeclaredWave struct {
	site.Wave
	Seen time.Duration
}

// RemovedExecutor is an executor and the time at which it was removed from the list.
type RemovedExecutor struct {
	site.Executor
	At time.Duration
}

// removedRetention is how long a removed executor is kept: longer than any lease that an owner requests from one.
const removedRetention = 6 * time.Second

func with[K comparable, V any](m map[K]V, key K, v V) map[K]V {
	m = maps.Clone(m)
	if m == nil {
		m = map[K]V{}
	}
	m[key] = v
	return m
}

func without[K comparable, V any](m map[K]V, key K) map[K]V {
	m = maps.Clone(m)
	delete(m, key)
	return m
}

// WithConfig returns a copy with the configuration, unless the current one is at least as new.
func (d Directory) WithConfig(c *site.Config) Directory {
	if d.Config == nil || c.Version > d.Config.Version {
		d.Config = c
	}
	return d
}

// WithWave returns a copy with a declared wave. A known wave keeps the time at which it was first seen.
func (d Directory) WithWave(w site.Wave, now time.Duration) Directory {
	if known, ok := d.Waves[w.Number]; ok {
		now = known.Seen
	}
	d.Waves = with(d.Waves, w.Number, DeclaredWave{Wave: w, Seen: now})
	return d
}

// WithoutWave returns a copy without a wave.
func (d Directory) WithoutWave(number int64) Directory {
	d.Waves = without(d.Waves, number)
	return d
}

// WithExecutor returns a copy with an executor added or replaced.
func (d Directory) WithExecutor(e site.Executor) Directory {
	d.Executors = with(d.Executors, e.ID, e)
	d.Gone = without(d.Gone, e.ID)
	return d
}

// WithoutExecutor returns a copy in which an executor is marked as removed.
func (d Directory) WithoutExecutor(id string, now time.Duration) Directory {
	e, ok := d.Executors[id]
	if !ok {
		return d
	}
	d.Executors = without(d.Executors, id)
	d.Gone = with(d.Gone, id, RemovedExecutor{Executor: e, At: now})
	for id, r := range d.Gone {
		if now-r.At > removedRetention {
			d.Gone = without(d.Gone, id)
		}
	}
	return d
}

// WithMember returns a copy with a member added or replaced.
func (d Directory) WithMember(m Member) Directory {
	d.Members = with(d.Members, m.Name, m)
	return d
}

// WithoutMember returns a copy without a member.
func (d Directory) WithoutMember(name string) Directory {
	d.Members = without(d.Members, name)
	return d
}

// WithOwner returns a copy with the owner of a duty, unless an owner with a higher epoch is known.
func (d Directory) WithOwner(o Owner) Directory {
	if known, ok := d.Owners[o.Duty]; ok && known.Epoch > o.Epoch {
		return d
	}
	d.Owners = with(d.Owners, o.Duty, o)
	return d
}

// WithSynced returns a copy that records which initial reads are complete.
func (d Directory) WithSynced(records, executors bool) Directory {
	d.Listed, d.Reported = d.Listed || records, d.Reported || executors
	return d
}

// LiveOwner returns the owner of a duty, and whether that daemon is still a member under the same incarnation.
func (d Directory) LiveOwner(duty string) (Owner, bool) {
	o, ok := d.Owners[duty]
	if !ok {
		return Owner{}, false
	}
	m, ok := d.Members[o.Name]
	return o, ok && m.Start == o.Start
}

// PoolExecutors returns the executors of a pool: those in the list, and those removed from it recently.
func (d Directory) PoolExecutors(pool string, now time.Duration) (listed, removed []site.Executor) {
	for _, e := range d.Executors {
		if e.Pool == pool {
			listed = append(listed, e)
		}
	}
	for _, r := range d.Gone {
		if r.Pool == pool && now-r.At <= removedRetention {
			removed = append(removed, r.Executor)
		}
	}
	return listed, removed
}
