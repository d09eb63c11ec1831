package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Pool names of the stand-in and the route of its one queue.
const (
	Pool    = "calendar"
	Standby = "backoffice"
	Host    = "flags.example"
	Prefix  = "/notices/"
)

// Away is how long an instance is away for a move or its upkeep.
const Away = 300 * time.Millisecond

// Site is a store, executors and an instance list that belong together.
type Site struct {
	Store     *Store
	mutex     sync.Mutex
	instances map[string]*instance
	order     []string
	lives     int
	starts    []Start
	upkeep    map[string]int64
}

type instance struct {
	name     string
	pool     string
	rack     string
	executor *Executor // nil while the instance is away or on standby
	away     bool
}

// New starts a site with so many instances in its pool and on standby.
func New(instances, standby int) (*Site, error) {
	s := &Site{Store: NewStore(), instances: map[string]*instance{}, upkeep: map[string]int64{}}
	s.Configure(1)
	for n := range instances + standby {
		i := &instance{name: fmt.Sprintf("m-%d", n), pool: Pool, rack: fmt.Sprintf("r%d", n/4)}
		if n >= instances {
			i.pool = Standby
		}
		s.instances[i.name] = i
		s.order = append(s.order, i.name)
		if err := s.live(i); err != nil {
			return nil, errors.Join(err, s.Close())
		}
	}
	return s, nil
}

// Configure writes a version of the operators' configuration.
func (s *Site) Configure(version int) {
	s.Store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"notices","host":%q,"prefix":%q,"kind":"non_idempotent",`+
		`"timeout-ms":3000,"target-latency-ms":600,"priority":0,"service":%q,"max-attempts":3,"stretch-factor":1.6}],`+
		`"services":[{"name":%q,"standby":false},{"name":%q,"standby":true}],"limits":{}}`, version, Host, Prefix, Pool, Pool, Standby))
}

// live gives an instance in a working pool a new life.
func (s *Site) live(i *instance) error {
	if i.pool == Standby {
		return nil
	}
	s.lives++
	e, err := NewExecutor(fmt.Sprintf("i-%d", s.lives), s.record)
	if err != nil {
		return err
	}
	i.executor = e
	const cpu = 4000
	s.Store.Put("servers/"+e.ID, e.Entry(i.pool, i.name, i.rack, cpu))
	return nil
}

func (s *Site) record(x Start) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.starts = append(s.starts, x)
}

// Starts returns the tasks that have begun so far.
func (s *Site) Starts() []Start {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.starts)
}

// Upkeeps returns the instances that had their upkeep, with the wave.
func (s *Site) Upkeeps() map[string]int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	out := make(map[string]int64, len(s.upkeep))
	for name, wave := range s.upkeep {
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
	case b.Wave != 0 && s.upkeep[b.Machine] == b.Wave, b.Pool != "" && i.pool == b.Pool:
		reply(w, http.StatusOK, nil)
		return
	case i.away:
		reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	if b.Wave != 0 {
		s.upkeep[b.Machine] = b.Wave
	} else {
		i.pool = b.Pool
	}
	if i.executor != nil {
		s.Store.Remove("servers/" + i.executor.ID)
		i.executor.Close()
		i.executor = nil
	}
	i.away = true
	time.AfterFunc(Away, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		i.away = false
		_ = s.live(i) // a loopback port is always to be had
	})
	reply(w, http.StatusOK, nil)
}
