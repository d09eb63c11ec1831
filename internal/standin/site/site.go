package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Names of the default pools, the host, and the path prefix of the first pool's queue.
const (
	Pool    = "calendar"
	Standby = "backoffice"
	Host    = "flags.example"
	Prefix  = "/notices/"
)

// CPU is the capacity of an instance in millicores.
const CPU = 4000

// Durations of the simulated platform.
const (
	downtime   = 300 * time.Millisecond  // of an instance during a move or maintenance
	maxLease   = 6 * time.Second         // longest lease that an executor grants
	entryLife  = 4500 * time.Millisecond // of an executor's entry in the store that is not renewed
	rejoinTime = 2 * time.Second         // within which isolated executors write their entries again
)

// Options configures a site.
type Options struct {
	Instances int      // in each pool
	Standby   int      // number of instances on standby
	Pools     []string // each with its own queue; only Pool if empty
	Rate      float64  // speed of the executors' clocks; 0 means 1
	Observe   Observer
	// Front returns the address that clients use instead of the executor's own, if set.
	// It is called once for each incarnation.
	Front func(executor, address string) string
}

// Site is a simulated platform: a store, executors and an instance list.
type Site struct {
	Store        *Store
	options      Options
	mutex        sync.Mutex
	instances    map[string]*instance
	order        []string
	added        int // instances so far, with those that have ended
	incarnations int
	maintained   map[string]int64
	moved        map[string]string // pools by path prefix, of the routes that Move has changed
	anonymous    map[string]bool   // path prefixes of the queues that need no key
	accounts     []Account

	startsMutex sync.Mutex // guards starts; executors report events while they and the site are locked
	starts      []Start
}

type instance struct {
	name     string
	pool     string
	rack     string
	executor *Executor // nil while the instance is down or on standby
	away     bool
	wave     int64 // maintenance wave that the instance is down for; 0 if none

	address   string      // where clients reach the executor
	entry     []byte      // of the executor
	published string      // key of the instance's entry in the store, or empty
	isolated  bool        // the executor does not reach the store
	expiry    *time.Timer // removes the entry of an isolated executor
}

// New starts a site with the given numbers of instances in its only pool and on standby.
func New(instances, standby int) (*Site, error) {
	return NewWith(Options{Instances: instances, Standby: standby})
}

// NewWith starts a site with the given options.
func NewWith(o Options) (*Site, error) {
	if len(o.Pools) == 0 {
		o.Pools = []string{Pool}
	}
	s := &Site{Store: NewStore(), options: o, instances: map[string]*instance{}, maintained: map[string]int64{}, moved: map[string]string{}, anonymous: map[string]bool{}}
	s.Configure(1)
	for _, pool := range append(slices.Clone(o.Pools), Standby) {
		n := o.Instances
		if pool == Standby {
			n = o.Standby
		}
		for range n {
			if err := s.addInstance(pool); err != nil {
				return nil, errors.Join(err, s.Close())
			}
		}
	}
	return s, nil
}

// addInstance starts an instance that has never been there before.
func (s *Site) addInstance(pool string) error {
	i := &instance{name: fmt.Sprintf("m-%d", s.added), pool: pool, rack: fmt.Sprintf("r%d", s.added/4)}
	s.added++
	s.instances[i.name] = i
	s.order = append(s.order, i.name)
	return s.startIncarnation(i)
}

// Wave declares a maintenance wave over all instances with at most maxUnavailable of them down at once.
func (s *Site) Wave(number int64, deadline time.Duration, maxUnavailable int) {
	s.mutex.Lock()
	names := slices.Clone(s.order)
	s.mutex.Unlock()
	data, err := json.Marshal(map[string]any{"wave": number, "machines": names, "deadline-s": deadline.Seconds(), "maximum": maxUnavailable})
	if err != nil {
		panic(fmt.Sprintf("encode wave: %v", err)) // maps of plain values always encode
	}
	s.Store.Put(fmt.Sprintf("op/wave/%d", number), data)
}

// WaveCompleted reports whether the daemons have published a wave as completed.
func (s *Site) WaveCompleted(number int64) bool {
	value, _ := s.Store.Get(fmt.Sprintf("status/wave/%d", number))
	return strings.Contains(string(value), "completed")
}

// startIncarnation starts a new executor on an instance unless it is on standby.
func (s *Site) startIncarnation(i *instance) error {
	if i.pool == Standby {
		return nil
	}
	s.incarnations++
	e, err := NewExecutor(ExecutorOptions{ID: fmt.Sprintf("i-%d", s.incarnations), CPU: CPU, Rate: s.options.Rate, Lease: maxLease, Observe: s.observe})
	if err != nil {
		return err
	}
	i.executor = e
	i.address = s.address(e)
	i.entry = e.entry(i.pool, i.name, i.rack, i.address)
	s.publish(i)
	return nil
}

// publish writes the entry of an instance's executor to the store, unless the executor does not reach the store.
func (s *Site) publish(i *instance) {
	if i.executor == nil || i.isolated {
		return
	}
	i.published = "servers/" + i.executor.ID
	s.Store.Put(i.published, i.entry)
}

func (s *Site) unpublish(i *instance) {
	if i.published != "" {
		s.Store.Remove(i.published)
		i.published = ""
	}
}

// Isolate keeps executors, and the next incarnations on their instances, from writing their entries in the store until
// Rejoin is called. The entries expire meanwhile.
func (s *Site) Isolate(executors []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, i := range s.instances {
		if i.executor == nil || i.isolated || !slices.Contains(executors, i.executor.ID) {
			continue
		}
		i.isolated = true
		i.expiry = time.AfterFunc(entryLife, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if i.isolated {
				s.unpublish(i)
			}
		})
	}
}

// Rejoin lets the isolated executors write their entries again, one after the other.
func (s *Site) Rejoin() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var isolated []*instance
	for _, name := range s.order {
		if i := s.instances[name]; i.isolated {
			isolated = append(isolated, i)
		}
	}
	for n, i := range isolated {
		i.isolated = false
		i.expiry.Stop()
		if i.executor == nil || i.published != "servers/"+i.executor.ID {
			s.unpublish(i) // the executor has been replaced meanwhile
		}
		time.AfterFunc(rejoinTime*time.Duration(n+1)/time.Duration(len(isolated)), func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if i.published == "" {
				s.publish(i)
			}
		})
	}
}

func (s *Site) observe(e Event) {
	if x, ok := e.(Start); ok {
		s.startsMutex.Lock()
		s.starts = append(s.starts, x)
		s.startsMutex.Unlock()
	}
	if s.options.Observe != nil {
		s.options.Observe(e)
	}
}

// Crash stops an executor; its instance starts a new incarnation after the downtime.
func (s *Site) Crash(executor string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, i := range s.instances {
		if i.executor != nil && i.executor.ID == executor {
			s.replaceIncarnation(i)
			return
		}
	}
}

// Restart ends the incarnation of an executor; the next one has the same ID and starts after a downtime.
func (s *Site) Restart(executor string, down time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, i := range s.instances {
		if e := i.executor; e != nil && e.ID == executor {
			e.restart(down, func() { s.restarted(i, e) })
			return
		}
	}
}

// restarted writes the entry of an executor that has started again.
func (s *Site) restarted(i *instance, e *Executor) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if i.executor != e {
		return // another executor has taken its place
	}
	i.entry = e.entry(i.pool, i.name, i.rack, i.address)
	s.publish(i)
}

// address returns a new address at which clients reach an executor.
func (s *Site) address(e *Executor) string {
	if s.options.Front != nil {
		return s.options.Front(e.ID, e.Address())
	}
	return e.Address()
}

// Remove stops an executor and its instance for good. The executor's entry in the store expires, and another instance
// joins the pool after the downtime.
func (s *Site) Remove(executor string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for n, name := range s.order {
		i := s.instances[name]
		if i.executor == nil || i.executor.ID != executor {
			continue
		}
		s.order = slices.Delete(s.order, n, n+1)
		delete(s.instances, name)
		i.executor.Close()
		time.AfterFunc(entryLife, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.unpublish(i)
		})
		time.AfterFunc(downtime, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			_ = s.addInstance(i.pool) // a loopback port is always available
		})
		return
	}
}

// replaceIncarnation stops an instance's executor and starts a new one after the downtime.
func (s *Site) replaceIncarnation(i *instance) {
	if i.executor != nil {
		if !i.isolated {
			s.unpublish(i)
		}
		i.executor.Close()
		i.executor = nil
	}
	i.away = true
	time.AfterFunc(downtime, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		i.away, i.wave = false, 0
		_ = s.startIncarnation(i) // a loopback port is always available
	})
}

// Starts returns the task starts so far, in order.
func (s *Site) Starts() []Start {
	s.startsMutex.Lock()
	defer s.startsMutex.Unlock()
	return slices.Clone(s.starts)
}

// Upkeeps returns the last maintenance wave of each instance that has had maintenance.
func (s *Site) Upkeeps() map[string]int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	out := make(map[string]int64, len(s.maintained))
	for name, wave := range s.maintained {
		out[name] = wave
	}
	return out
}

// Executors returns the running executors in the order of their instances.
func (s *Site) Executors() []*Executor {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var all []*Executor
	for _, name := range s.order {
		if e := s.instances[name].executor; e != nil {
			all = append(all, e)
		}
	}
	return all
}

// Close stops all executors.
func (s *Site) Close() error {
	for _, e := range s.Executors() {
		e.Close()
	}
	return nil
}
