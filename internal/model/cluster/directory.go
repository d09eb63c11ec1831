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
	Executors map[string]site.Executor // nil while the executors are not followed
	Members   map[string]Member
	Owners    map[string]Owner
	Paths     Paths
	Listed    bool // the members and owners were read
	Reported  bool // the executors are followed and were read
}

// DeclaredWave is a wave and the time at which this daemon first saw it.
type DeclaredWave struct {
	site.Wave
	Seen time.Duration
}

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

// WithExecutors returns a copy with executors added or replaced, and others removed.
func (d Directory) WithExecutors(put []site.Executor, removed []string) Directory {
	d.Executors = maps.Clone(d.Executors)
	if d.Executors == nil {
		d.Executors = make(map[string]site.Executor, len(put))
	}
	for _, id := range removed {
		delete(d.Executors, id)
	}
	for _, e := range put {
		d.Executors[e.ID] = e
	}
	return d
}

// WithoutExecutors returns a copy that does not follow the executors.
func (d Directory) WithoutExecutors() Directory {
	d.Executors, d.Reported = nil, false
	return d
}

// WithMembers returns a copy with members added or replaced, and others removed.
func (d Directory) WithMembers(put []Member, removed []string) Directory {
	d.Members = maps.Clone(d.Members)
	if d.Members == nil {
		d.Members = make(map[string]Member, len(put))
	}
	for _, name := range removed {
		delete(d.Members, name)
	}
	for _, m := range put {
		d.Members[m.Name] = m
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

// WithOwner returns a copy with the owner of a duty, unless an owner with a higher epoch is known. A record of the store
// replaces one that another daemon has sent, which may be damaged.
func (d Directory) WithOwner(o Owner) Directory {
	learned := o.Revision > 0 && d.Owners[o.Duty].Revision == 0
	if known, ok := d.Owners[o.Duty]; ok && known.Epoch > o.Epoch && !learned {
		return d
	}
	d.Owners = with(d.Owners, o.Duty, o)
	return d
}

// WithPaths returns a copy with the record of the paths, unless the known one is newer.
func (d Directory) WithPaths(p Paths) Directory {
	if p.Revision > d.Paths.Revision {
		d.Paths = p
	}
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

// HasRestarted reports whether the daemon that an owner's record names has started again since, so that the process which
// wrote the record has ended.
func (d Directory) HasRestarted(o Owner) bool {
	m, ok := d.Members[o.Name]
	return ok && m.Start > o.Start
}

// Replaced returns the IDs of those of the given executors whose instances run one that has started later.
func (d Directory) Replaced(executors []site.Executor) []string {
	if len(executors) == 0 {
		return nil
	}
	latest := map[string]site.Executor{}
	for _, x := range d.Executors {
		if x.Instance != "" && x.Born > latest[x.Instance].Born {
			latest[x.Instance] = x
		}
	}
	var replaced []string
	for _, e := range executors {
		if x := latest[e.Instance]; e.Born != 0 && x.Born > e.Born && x.ID != e.ID {
			replaced = append(replaced, e.ID)
		}
	}
	return replaced
}

// PoolExecutors returns the listed executors of a pool.
func (d Directory) PoolExecutors(pool string) []site.Executor {
	var listed []site.Executor
	for _, e := range d.Executors {
		if e.Pool == pool {
			listed = append(listed, e)
		}
	}
	return listed
}
