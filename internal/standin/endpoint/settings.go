package endpoint

import (
	"fmt"

	"teaselloft/internal/model/message"
)

// Default settings.
const (
	DefaultCount             = 8
	DefaultSlots             = 8
	DefaultConnections       = 64
	DefaultRun               = 20   // ms
	DefaultHeartbeatInterval = 500  // ms
	DefaultTTL               = 2000 // ms
	// DefaultGracePeriod is the time in ms within which callers must notice that an executor is leaving.
	DefaultGracePeriod = 5000
)

// Settings is the plug-in's section of the settings.
type Settings struct {
	Service           string     `json:"service"`
	Executors         []Executor `json:"executors"` // by default count executors on free ports
	Count             int        `json:"count"`
	Zones             []string   `json:"zones"` // assigned to the default executors in turn
	Slots             int        `json:"slots"`
	Connections       int        `json:"connections"`
	Run               int        `json:"run"` // default run time of a request in ms
	Control           string     `json:"control"`
	Platform          []string   `json:"platform"` // base addresses of the instance list; empty disables registration
	HeartbeatInterval int        `json:"beat"`     // ms between heartbeats
	TTL               int        `json:"ttl"`      // ms without a heartbeat until an executor is removed from the list
	GracePeriod       int        `json:"linger"`   // ms between marking executors as leaving and closing their listeners
}

// Executor configures one executor: its listen address and its location.
type Executor struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	Zone   string `json:"zone"`
	Rack   string `json:"rack"`
}

// WithExecutors returns a copy with Count default executors if none are configured.
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

// executorsPerRack matches both sites, which have four workers in each rack.
const executorsPerRack = 4

// listing returns the executor's entry of the instance list.
func (e Executor) listing(service, address, state string) message.Listing {
	return message.Listing{ID: e.ID, Address: address, Service: service, Zone: e.Zone, Rack: e.Rack, State: state}
}
