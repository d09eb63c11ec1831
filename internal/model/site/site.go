package site

import (
	"slices"
	"strings"
	"time"

	"teaselloft/internal/model/job"
)

// Queue accepts the jobs of one route and runs them on the executors of one pool.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Pool     string
	Priority int           // 0 is the highest
	Attempts int           // failed runs of a task after which its job fails
	Stretch  float64       // part of the latency objective, as a multiple of the critical path
	Target   time.Duration // constant part of the latency objective
	Advice   *Advice       // nil if any executor may run the steps

	Anonymous bool // jobs belong to no client account
}

// Path returns the host and the path prefix, which identify the route whatever its name and pool are.
func (q Queue) Path() string { return q.Host + q.Prefix }

// Objective returns the time within which a job of the queue should end.
func (q Queue) Objective(sub job.Submission) time.Duration {
	return q.Target + time.Duration(min(q.Stretch*float64(sub.CriticalPath()), float64(job.MaxDuration)))
}

// Equal reports whether two queues have the same settings.
func (q Queue) Equal(other Queue) bool {
	if q.Advice != nil && other.Advice != nil && *q.Advice == *other.Advice {
		other.Advice = q.Advice
	}
	return q == other
}

// Advice describes the service that selects the executors allowed to run a step.
type Advice struct {
	Base     time.Duration // duration of a call
	PerEntry time.Duration // additional duration for each executor in the call
	Valid    time.Duration // lifetime of a ticket
}

// Pool is a set of executors with one purpose.
type Pool struct {
	Name            string
	Standby         bool // instances are powered off and incur no cost
	RejectsOverload bool `json:"Guards"` // executors refuse tasks that exceed their free capacity
}

// Account is a client account.
type Account struct {
	Name    string
	Weight  int64         // share of a full pool, relative to those of other accounts
	Maximum job.Resources // quota for everything that it has running in all pools; 0 means no limit
}

// Config is one version of the configuration that the operators publish. It is immutable.
type Config struct {
	Version  int64
	Queues   []Queue
	Pools    []Pool
	Accounts []Account // nil if jobs belong to no client accounts
	Keys     Keys      // of the accounts
}

// HasAccounts reports whether jobs belong to client accounts, so that callers need a key.
func (c *Config) HasAccounts() bool { return c.Accounts != nil }

// Account returns the client account with the given name.
func (c *Config) Account(name string) (Account, bool) {
	i := slices.IndexFunc(c.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return Account{}, false
	}
	return c.Accounts[i], true
}

// Route returns the queue of the host with the longest prefix that matches the path.
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

// Present returns the queue that now has the host and prefix of a queue, or the given queue if there is none.
func (c *Config) Present(q Queue) Queue {
	i := slices.IndexFunc(c.Queues, func(x Queue) bool { return x.Host == q.Host && x.Prefix == q.Prefix })
	if i < 0 {
		return q
	}
	return c.Queues[i]
}

// PoolOf returns the pool of the queue with the given path.
func (c *Config) PoolOf(path string) (string, bool) {
	i := slices.IndexFunc(c.Queues, func(q Queue) bool { return len(path) == len(q.Host)+len(q.Prefix) && q.Path() == path })
	if i < 0 {
		return "", false
	}
	return c.Queues[i].Pool, true
}

// Pool returns the pool with the given name.
func (c *Config) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return c.Pools[i], true
}

// Executor is one incarnation of an instance that runs tasks, as it reports itself.
type Executor struct {
	ID        string
	Address   string
	Pool      string
	Zone      string
	Draining  bool
	Remaining time.Duration // lower bound of the time left while it drains; 0 if unknown
	Capacity  job.Resources
	Labels    []string
	Instance  string // name of its instance
	Born      int64  // start time in Unix milliseconds
}

// Rack returns the rack, which is the last label. The labels are the type of the instance and its rack.
func (e Executor) Rack() string {
	if len(e.Labels) == 0 {
		return ""
	}
	return e.Labels[len(e.Labels)-1]
}

// SameReport reports whether two reports are equal. It ignores Remaining.
func (e Executor) SameReport(o Executor) bool {
	return slices.Equal(e.Labels, o.Labels) && e.ID == o.ID && e.Address == o.Address && e.Pool == o.Pool &&
		e.Zone == o.Zone && e.Draining == o.Draining && e.Capacity == o.Capacity && e.Instance == o.Instance && e.Born == o.Born
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState int

// States of an instance.
const (
	InstanceDown InstanceState = iota
	InstanceUp
	InstanceMoving
	InstanceMaintenance
)

// Instance is a machine in the platform's list.
type Instance struct {
	Name     string
	Pool     string
	State    InstanceState
	Zone     string
	Labels   []string
	Capacity job.Resources
	Executor string // ID of its current incarnation
}

// Wave is a request of the operators to maintain each of its instances.
type Wave struct {
	Number         int64
	Instances      []string
	Deadline       time.Duration // time limit, counted from the declaration of the wave
	MaxUnavailable int           `json:"Most"` // maximum number of instances that are down at the same time
}
