package tenure

import (
	"maps"
	"time"

	"teaselloft/internal/model/site"
)

// Directory is what a daemon has read of the site. It is immutable.
type Directory struct {
	Config    *site.Config // nil until one was read
	Waves     map[int64]DeclaredWave
	Executors map[string]site.Executor
	Gone      map[string]GoneExecutor // removed from the list a short while ago; they may still run something
	Members   map[string]Member
	Owners    map[string]Owner
	Listed    bool // the daemons' own records were read
	Reported  bool // the executors were read
}

// DeclaredWave is a wave with the time at which this daemon first saw it.
type DeclaredWave struct {
	site.Wave
	Seen time.Duration
}

// GoneExecutor is an executor with the time of its removal from the list.
type GoneExecutor struct {
	site.Executor
	At time.Duration
}

// keepGone is longer than any lease that an owner asks of an executor.
const keepGone = 6 * time.Second

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

// WithConfig returns a copy with the configuration, unless it has a newer one.
func (d Directory) WithConfig(c *site.Config) Directory {
	if d.Config == nil || c.Version > d.Config.Version {
		d.Config = c
	}
	return d
}

// WithWave returns a copy with a declared wave.
func (d Directory) WithWave(w site.Wave, now time.Duration) Directory {
	if before, ok := d.Waves[w.Number]; ok {
		now = before.Seen
	}
	d.Waves = with(d.Waves, w.Number, DeclaredWave{Wave: w, Seen: now})
	return d
}

// WithoutWave returns a copy without a wave.
func (d Directory) WithoutWave(number int64) Directory {
	d.Waves = without(d.Waves, number)
	return d
}

// WithExecutor returns a copy with an executor.
func (d Directory) WithExecutor(e site.Executor) Directory {
	d.Executors = with(d.Executors, e.ID, e)
	d.Gone = without(d.Gone, e.ID)
	return d
}

// WithoutExecutor returns a copy in which an executor has gone.
func (d Directory) WithoutExecutor(id string, now time.Duration) Directory {
	e, ok := d.Executors[id]
	if !ok {
		return d
	}
	d.Executors = without(d.Executors, id)
	d.Gone = with(d.Gone, id, GoneExecutor{Executor: e, At: now})
	for id, g := range d.Gone {
		if now-g.At > keepGone {
			d.Gone = without(d.Gone, id)
		}
	}
	return d
}

// WithMember returns a copy with a daemon.
func (d Directory) WithMember(m Member) Directory {
	d.Members = with(d.Members, m.Name, m)
	return d
}

// WithoutMember returns a copy without a daemon.
func (d Directory) WithoutMember(name string) Directory {
	d.Members = without(d.Members, name)
	return d
}

// WithOwner returns a copy with the owner of a duty, unless a later one is known.
func (d Directory) WithOwner(o Owner) Directory {
	if before, ok := d.Owners[o.Duty]; ok && before.Epoch > o.Epoch {
		return d
	}
	d.Owners = with(d.Owners, o.Duty, o)
	return d
}

// WithListed returns a copy that says what was read.
func (d Directory) WithListed(own, executors bool) Directory {
	d.Listed, d.Reported = d.Listed || own, d.Reported || executors
	return d
}

// Live returns the owner of a duty if it is a live daemon.
func (d Directory) Live(duty string) (Owner, bool) {
	o, ok := d.Owners[duty]
	if !ok {
		return Owner{}, false
	}
	m, ok := d.Members[o.Name]
	return o, ok && m.Start == o.Start
}

// Of returns the executors of a pool, those that have gone a short while ago apart.
func (d Directory) Of(pool string, now time.Duration) (listed, gone []site.Executor) {
	for _, e := range d.Executors {
		if e.Pool == pool {
			listed = append(listed, e)
		}
	}
	for _, g := range d.Gone {
		if g.Pool == pool && now-g.At <= keepGone {
			gone = append(gone, g.Executor)
		}
	}
	return listed, gone
}
