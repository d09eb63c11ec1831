package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Pool names of the stand-in, its host and the prefix of the queue of its first pool.
const (
	Pool    = "calendar"
	Standby = "backoffice"
	Host    = "flags.example"
	Prefix  = "/notices/"
)

// CPU is what an instance has, in thousandths of a core.
const CPU = 4000

// Times of the stand-in.
const (
	downtime    = 300 * time.Millisecond // for a move or an upkeep
	maxLease = 6 * time.Second        // the longest lease that an executor grants
)

// Options describe a site; fields that are zero have defaults.
type Options struct {
	Instances int      // in each pool
	Standby   int      // on standby
	Pools     []string // each with a queue of its own; Pool alone when there are none
	Rate      float64  // of the executors' clocks
	Observe   Observer
	// Front returns the address at which an executor is reached instead of its own; it may be called again for a new life.
	Front func(executor, address string) string
}

// Site is a store, executors and an instance list that belong together.
type Site struct {
	Store     *Store
	options   Options
	mutex     sync.Mutex
	instances map[string]*instance
	order     []string
	incarnations     int
	maintained    map[string]int64

	record sync.Mutex // executors report events while they and the site are locked
	starts []Start
}

type instance struct {
	name     string
	pool     string
	rack     string
	executor *Executor // nil while the instance is away or on standby
	away     bool
	wave     int64 // of the upkeep that it is away for
}

// New starts a site with so many instances in its one pool and on standby.
func New(instances, standby int) (*Site, error) {
	return NewWith(Options{Instances: instances, Standby: standby})
}

// NewWith starts a site.
func NewWith(o Options) (*Site, error) {
	if len(o.Pools) == 0 {
		o.Pools = []string{Pool}
	}
	s := &Site{Store: NewStore(), options: o, instances: map[string]*instance{}, maintained: map[string]int64{}}
	s.Configure(1)
	add := func(pool string) error {
		n := len(s.order)
		i := &instance{name: fmt.Sprintf("m-%d", n), pool: pool, rack: fmt.Sprintf("r%d", n/4)}
		s.instances[i.name] = i
		s.order = append(s.order, i.name)
		return s.startIncarnation(i)
	}
	for _, pool := range append(slices.Clone(o.Pools), Standby) {
		n := o.Instances
		if pool == Standby {
			n = o.Standby
		}
		for range n {
			if err := add(pool); err != nil {
				return nil, errors.Join(err, s.Close())
			}
		}
	}
	return s, nil
}

// Route returns the prefix of a pool's queue.
func Route(pool string) string {
	if pool == Pool {
		return Prefix
	}
	return "/" + pool + "/"
}

// Attempts is how often a task may fail.
const Attempts = 3

// Configure writes a version of the operators' configuration; extra names further queues of the first pool.
func (s *Site) Configure(version int, extra ...string) {
	queues := map[string]string{}
	services := []map[string]any{{"name": Standby, "standby": true}}
	for _, pool := range s.options.Pools {
		queues[Route(pool)] = pool
		services = append(services, map[string]any{"name": pool, "standby": false})
	}
	for _, name := range extra {
		queues["/"+name+"/"] = s.options.Pools[0]
	}
	var routes []map[string]any
	for prefix, pool := range queues {
		routes = append(routes, map[string]any{
			"name": strings.Trim(prefix, "/"), "host": Host, "prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000,
			"target-latency-ms": 600, "priority": 0, "service": pool, "max-attempts": Attempts, "stretch-factor": 1.6,
		})
	}
	data, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{}})
	if err != nil {
		panic(fmt.Sprintf("encode configuration: %v", err)) // plain maps always encode
	}
	s.Store.Put("op/config", data)
}

// Wave declares a maintenance wave over all instances.
func (s *Site) Wave(number int64, deadline time.Duration, most int) {
	s.mutex.Lock()
	names := slices.Clone(s.order)
	s.mutex.Unlock()
	data, err := json.Marshal(map[string]any{"wave": number, "machines": names, "deadline-s": deadline.Seconds(), "maximum": most})
	if err != nil {
		panic(fmt.Sprintf("encode wave: %v", err)) // plain maps always encode
	}
	s.Store.Put(fmt.Sprintf("op/wave/%d", number), data)
}

// WaveCompleted reports whether the daemons say that a wave has ended.
func (s *Site) WaveCompleted(number int64) bool {
	value, _ := s.Store.Get(fmt.Sprintf("status/wave/%d", number))
	return strings.Contains(string(value), "completed")
}

// startIncarnation gives an instance in a working pool a new life.
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
	address := e.Address()
	if s.options.Front != nil {
		address = s.options.Front(e.ID, address)
	}
	s.Store.Put("servers/"+e.ID, e.entry(i.pool, i.name, i.rack, address))
	return nil
}

func (s *Site) observe(e Event) {
	if x, ok := e.(Start); ok {
		s.record.Lock()
		s.starts = append(s.starts, x)
		s.record.Unlock()
	}
	if s.options.Observe != nil {
		s.options.Observe(e)
	}
}

// Crash ends the life of an executor; another one of its instance begins after a while.
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

// replaceIncarnation ends an instance's life and begins another one after a while.
func (s *Site) replaceIncarnation(i *instance) {
	if i.executor != nil {
		s.Store.Remove("servers/" + i.executor.ID)
		i.executor.Close()
		i.executor = nil
	}
	i.away = true
	time.AfterFunc(downtime, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		i.away, i.wave = false, 0
		_ = s.startIncarnation(i) // a loopback port is always to be had
	})
}

// Starts returns the tasks that have begun so far.
func (s *Site) Starts() []Start {
	s.record.Lock()
	defer s.record.Unlock()
	return slices.Clone(s.starts)
}

// Upkeeps returns the instances that had their upkeep, with the wave.
func (s *Site) Upkeeps() map[string]int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	out := make(map[string]int64, len(s.maintained))
	for name, wave := range s.maintained {
		out[name] = wave
	}
	return out
}

// Executors returns the executors that live now.
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

// Close ends all executors.
func (s *Site) Close() error {
	for _, e := range s.Executors() {
		e.Close()
	}
	return nil
}

// Instances serves the instance list and its orders.
func (s *Site) Instances() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", s.list)
	mux.HandleFunc("POST /machine-move", s.renew)
	mux.HandleFunc("POST /machine-upkeep", s.renew)
	return mux
}

func (s *Site) list(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := []map[string]any{}
	for _, name := range s.order {
		i := s.instances[name]
		row := map[string]any{
			"machine": name, "pool": i.pool, "state": "up", "zone": "z", "labels": []string{"a", i.rack},
			"capacity": map[string]int{"cpu": 4000, "mem-mb": 65536, "gpu": 0}, "id": "",
		}
		if i.away {
			row["state"] = "upkeep"
		}
		if i.executor != nil {
			row["id"] = i.executor.ID
		}
		rows = append(rows, row)
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "next-token": nil})
}

type renewBody struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

// renew ends the life of an instance and begins another one after a while.
func (s *Site) renew(w http.ResponseWriter, r *http.Request) {
	var b renewBody
	err := json.NewDecoder(r.Body).Decode(&b)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i, ok := s.instances[b.Machine]
	switch {
	case err != nil || !ok:
		w.WriteHeader(http.StatusBadRequest)
		return
	case b.Wave != 0 && s.maintained[b.Machine] == b.Wave, b.Pool != "" && i.pool == b.Pool:
		reply(w, http.StatusOK, nil)
		return
	case i.away:
		reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	if b.Wave != 0 {
		s.maintained[b.Machine] = b.Wave
		i.wave = b.Wave
		down := 0
		for _, x := range s.instances {
			if x.wave == b.Wave {
				down++
			}
		}
		s.observe(Upkeep{Instance: b.Machine, Wave: b.Wave, Down: down, At: time.Now()})
	} else {
		i.pool = b.Pool
	}
	s.replaceIncarnation(i)
	reply(w, http.StatusOK, nil)
}
