package operator

import (
	"teaselloft/internal/decision/correct"
	"teaselloft/internal/model/record"
)

// Status is the response of /status, which the status page shows too.
type Status struct {
	Name         string              `json:"name"` // of the entry instance
	Zone         string              `json:"zone"` // availability zone of the entry instance
	Site         string              `json:"site"`
	Config       uint64              `json:"config"` // version of the configuration in force
	Members      []record.Member     `json:"members"`
	Services     []Service           `json:"services"`
	Pools        []Pool              `json:"pools"`
	Waves        []record.Wave       `json:"waves,omitempty"`
	Misspellings []correct.NameCount `json:"misspellings,omitempty"`
}

// Service is the status of a service.
type Service struct {
	Name   string   `json:"name"`
	Fleet  string   `json:"fleet"`
	Pool   string   `json:"pool"`
	Owner  string   `json:"owner,omitempty"` // entry instance that owns the service
	Epoch  uint64   `json:"epoch,omitempty"` // of the ownership
	Budget int      `json:"budget"`          // instances that must be serving at all times
	Out    []string `json:"out,omitempty"`   // instances taken out of service on purpose
}

// Pool is the status of a pool; States counts its instances by state.
type Pool struct {
	Name      string         `json:"name"`
	Fleet     string         `json:"fleet"`
	Instances int            `json:"instances"`
	States    map[string]int `json:"states"`
}
