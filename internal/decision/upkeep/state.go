package upkeep

import (
	"fmt"
	"maps"
	"time"

	"teaselloft/internal/model/site"
)

// stage is how far the upkeep of an instance has come.
type stage int

const (
	vacating stage = iota
	ordered        // the order was sent, its answer is awaited
	away           // its upkeep runs
)

// purpose is why an instance is emptied.
//
//sumtype:decl
type purpose interface{ purpose() }

// maintenance is the upkeep for a wave.
type maintenance struct{ wave int64 }

// transfer is the move into another pool.
type transfer struct{ pool string }

func (maintenance) purpose() {}
func (transfer) purpose()    {}

// effect returns the order that serves a purpose.
func effectOf(p purpose, instance string) Effect {
	switch p := p.(type) {
	case maintenance:
		return Maintain{Instance: instance, Wave: p.wave}
	case transfer:
		return Move{Instance: instance, Pool: p.pool}
	default:
		panic(fmt.Sprintf("upkeep: purpose %T is not handled", p))
	}
}

// visit is what is done with one instance. It is immutable.
type visit struct {
	purpose  purpose
	stage    stage
	since    time.Duration
	executor string // its life before the upkeep
}

// State is what the owner of the fleet knows. It is immutable.
type State struct {
	now       time.Duration
	instances map[string]site.Instance
	listed    time.Duration
	missing   map[string]time.Duration // since when instances of waves are not listed
	visits    map[string]visit         // by instance
	done      map[int64]map[string]bool
	completed map[int64]bool
	most      map[int64]int // instances of a wave that may be down at once
	waves     map[int64][]string
	began     time.Duration
	pools     map[string]demand
	arrived   map[string]time.Duration // since when executors are listed
	reported  map[int64]int            // instances done at the last report, -1 once completion was reported
}

// New returns the state of a new owner, which knows the instances that had their upkeep before, by wave.
func New(done map[int64][]string) State {
	s := State{
		instances: map[string]site.Instance{}, missing: map[string]time.Duration{}, visits: map[string]visit{},
		done: map[int64]map[string]bool{}, completed: map[int64]bool{}, most: map[int64]int{}, waves: map[int64][]string{}, pools: map[string]demand{}, arrived: map[string]time.Duration{}, reported: map[int64]int{},
	}
	for wave, names := range done {
		s.done[wave] = map[string]bool{}
		for _, name := range names {
			s.done[wave][name] = true
		}
	}
	return s
}

func (s State) withVisit(instance string, v visit) State {
	s.visits = maps.Clone(s.visits)
	s.visits[instance] = v
	return s
}

func (s State) withoutVisit(instance string) State {
	s.visits = maps.Clone(s.visits)
	delete(s.visits, instance)
	return s
}

func (s State) withDone(wave int64, instance string) State {
	s.done = maps.Clone(s.done)
	names := maps.Clone(s.done[wave])
	if names == nil {
		names = map[string]bool{}
	}
	names[instance] = true
	s.done[wave] = names
	return s
}

func (s State) withReported(wave int64, n int) State {
	s.reported = maps.Clone(s.reported)
	s.reported[wave] = n
	return s
}

func (s State) withMissing(instance string, since time.Duration) State {
	s.missing = maps.Clone(s.missing)
	if since == 0 {
		delete(s.missing, instance)
	} else {
		s.missing[instance] = since
	}
	return s
}

// Summary is what the state dump shows.
type Summary struct {
	Instances int               `json:"instances"`
	Visits    map[string]string `json:"visits"` // instance to purpose
	Done      map[int64]int     `json:"done"`   // instances by wave
}

// Summary returns what the state dump shows.
func (s State) Summary() Summary {
	out := Summary{Instances: len(s.instances), Visits: map[string]string{}, Done: map[int64]int{}}
	for name, v := range s.visits {
		out.Visits[name] = fmt.Sprintf("%+v", v.purpose)
	}
	for wave, names := range s.done {
		out.Done[wave] = len(names)
	}
	return out
}
