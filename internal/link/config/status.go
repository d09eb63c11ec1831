package config

import (
	"sync/atomic"
	"time"

	"teaselloft/internal/model/fleet"
)

// status publishes the duty's latest report to other goroutines.
type status struct {
	latest atomic.Pointer[report]
}

// report is the plug-in's section of the state dump.
type report struct {
	Version   uint64    `json:"version"` // in effect
	Since     time.Time `json:"since"`
	Services  int       `json:"services"`
	Instances int       `json:"instances"`
	Wanted    uint64    `json:"wanted"`          // highest version seen in config/head
	Error     string    `json:"error,omitempty"` // why the wanted version is not in effect
}

func newStatus() *status {
	s := &status{}
	s.latest.Store(&report{})
	return s
}

func (s *status) load() report {
	return *s.latest.Load()
}

// ActiveVersion returns the version in effect and the time at which it took effect.
func (s *status) ActiveVersion() (uint64, time.Time) {
	r := s.load()
	return r.Version, r.Since
}

func (r report) withFleet(f fleet.Fleet, t time.Time) report {
	r.Version, r.Since = f.Version, t
	r.Services, r.Instances = len(f.Services), 0
	for _, p := range f.Pools {
		r.Instances += len(p.Instances)
	}
	return r.withError(nil)
}

func (r report) withWanted(version uint64) report {
	r.Wanted = max(r.Wanted, version)
	return r
}

func (r report) withError(err error) report {
	r.Error = ""
	if err != nil {
		r.Error = err.Error()
	}
	return r
}
