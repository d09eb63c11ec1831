package operator

import (
	"teaselloft/internal/decision/correct"
	"teaselloft/internal/model/record"
)

// Status is the response of /status, which the status page shows too.
type Status struct {
	Name         string              `json:"name"`
	Zone         string              `json:"zone"`
	Site         string              `json:"site"`
	Config       uint64              `json:"config"`
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
	Owner  string   `json:"owner,omitempty"`
	Epoch  uint64   `json:"epoch,omitempty"`
	Budget int      `json:"budget"`        // instances that must be serving at all times
	Out    []string `json:"out,omitempty"` // instances taken out of service on purpose
}

// Pool is the status of a pool; States counts its instances by state.
type Pool struct {
	Name      string         `json:"name"`
	Fleet     string         `json:"fleet"`
	Instances int            `json:"instances"`
	States    map[string]int `json:"states"`
}
