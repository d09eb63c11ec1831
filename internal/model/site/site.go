package site

import (
	"slices"
	"strings"
	"time"

	"teaselloft/internal/model/job"
)

// Queue takes the jobs of one route and sends them to the executors of one pool.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Pool     string
	Priority int           // 0 comes first
	Attempts int           // failed runs of a task after which its job has failed
	Stretch  float64       // part of the latency objective, as a multiple of the longest chain
	Target   time.Duration // part of the latency objective that does not depend on the job
	Advice   *Advice       // nil when any executor may run its steps
}

// Advice describes the service that names the executors allowed to run a step.
type Advice struct {
	Base     time.Duration // time of a call
	PerEntry time.Duration // further time for each executor named in the call
	Valid    time.Duration // lifetime of a ticket
}

// Pool is a set of executors with one purpose.
type Pool struct {
	Name    string
	Standby bool // its instances are off and cost nothing
	Guards  bool // its executors refuse what does not fit
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
}

// Route returns the queue with the longest prefix of path under host.
func (c *Config) Route(host, path string) (Queue, bool) {
	best := -1
	for i, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best < 0 || len(q.Prefix) > len(c.Queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return c.Queues[best], true
}

// Pool returns the pool of that name.
func (c *Config) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return c.Pools[i], true
}

// Executor is one life of an instance that runs tasks, as it reports itself.
type Executor struct {
	ID        string
	Address   string
	Pool      string
	Zone      string
	Draining  bool
	Remaining time.Duration // time left at least while it drains; 0 when unknown
	Capacity  job.Resources
	Labels    []string
	Instance  string // the instance whose life it is
	Born      int64  // Unix milliseconds of its start
}

// Rack returns the rack among its labels, which are its kind and its rack.
func (e Executor) Rack() string {
	if len(e.Labels) == 0 {
		return ""
	}
	return e.Labels[len(e.Labels)-1]
}

// Same reports whether two reports say the same.
func (e Executor) Same(o Executor) bool {
	return slices.Equal(e.Labels, o.Labels) && e.ID == o.ID && e.Address == o.Address && e.Pool == o.Pool &&
		e.Zone == o.Zone && e.Draining == o.Draining && e.Capacity == o.Capacity && e.Instance == o.Instance && e.Born == o.Born
}

// InstanceState says what an instance does.
type InstanceState int

// The states of an instance.
const (
	InstanceDown InstanceState = iota
	InstanceUp
	InstanceMoving
	InstanceUpkeep
)

// Instance is a machine that the platform lists.
type Instance struct {
	Name     string
	Pool     string
	State    InstanceState
	Zone     string
	Labels   []string
	Capacity job.Resources
	Executor string // ID of its current life
}

// Wave asks for the upkeep of each of its instances.
type Wave struct {
	Number    int64
	Instances []string
	Deadline  time.Duration // from the declaration of the wave
	Most      int           // instances that may be down at once
}
