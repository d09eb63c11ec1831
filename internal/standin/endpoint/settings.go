package endpoint

import (
	"fmt"

	"teaselloft/internal/model/message"
)

// Defaults of the settings.
const (
	DefaultCount       = 8
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultRun         = 20   // ms
	DefaultBeat        = 500  // ms
	DefaultTTL         = 2000 // ms
	// DefaultLinger is the time in which callers must have noticed that an executor leaves, in ms.
	DefaultLinger = 5000
)

// Settings are the plug-in's settings section.
type Settings struct {
	Service     string     `json:"service"`
	Executors   []Executor `json:"executors"` // by default count executors on free ports
	Count       int        `json:"count"`
	Zones       []string   `json:"zones"` // of the default executors in turn
	Slots       int        `json:"slots"`
	Connections int        `json:"connections"`
	Run         int        `json:"run"` // ms that a request runs
	Control     string     `json:"control"`
	Platform    []string   `json:"platform"` // base addresses of the instance list, none to stay off it
	Beat        int        `json:"beat"`     // ms between heartbeats
	TTL         int        `json:"ttl"`      // ms until executors without a heartbeat drop off the list
	Linger      int        `json:"linger"`   // ms between the mark as leaving and the end of listening
}

// Executor is the place of one executor.
type Executor struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	Zone   string `json:"zone"`
	Rack   string `json:"rack"`
}

// WithExecutors returns a copy that names its executors.
func (s Settings) WithExecutors(zone string) Settings {
	if len(s.Executors) > 0 {
		return s
	}
	zones := s.Zones
	if len(zones) == 0 {
		zones = []string{zone}
	}
	for i := range s.Count {
		z := zones[i%len(zones)]
		s.Executors = append(s.Executors, Executor{
			ID:     fmt.Sprintf("%s-%d", s.Service, i+1),
			Listen: "127.0.0.1:0",
			Zone:   z,
			Rack:   fmt.Sprintf("%s-%d", z, i/len(zones)/executorsPerRack),
		})
	}
	return s
}

// executorsPerRack matches the workers of both sites, which stand four to a rack.
const executorsPerRack = 4

// listing returns the executor's line of the instance list.
func (e Executor) listing(service, address, state string) message.Listing {
	return message.Listing{ID: e.ID, Address: address, Service: service, Zone: e.Zone, Rack: e.Rack, State: state}
}
