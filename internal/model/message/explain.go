package message

import "context"

// Explanation describes how a request would be routed and why.
type Explanation struct {
	Name       string   `json:"name"`
	Rule       string   `json:"rule"` // rule that resolved the name; empty if the name is refused
	Service    string   `json:"service,omitempty"`
	Candidates []string `json:"candidates,omitempty"` // possible services for an ambiguous name
	Owner      string   `json:"owner,omitempty"`
	Epoch      uint64   `json:"epoch,omitempty"`
	Pool       string   `json:"pool,omitempty"`
	Available  int      `json:"available"` // executors that may receive requests
	Config     uint64   `json:"config"`    // active configuration version
}

// Explainer explains the routing of a request without sending it. The routing duty implements it.
type Explainer interface {
	// Explain explains the routing for a service name, the fleet that the caller requests (may be empty) and an HTTP
	// method.
	Explain(ctx context.Context, name, fleet, method string) (Explanation, error)
}

// Partition is a simulated network partition that drops frames from or to another entry instance.
type Partition struct {
	Entry string `json:"entry"`
	In    bool   `json:"in"`  // drop frames from it
	Out   bool   `json:"out"` // drop frames to it
}

// PartitionInjector simulates network partitions for failure tests. The entry link implements it.
type PartitionInjector interface {
	// Inject replaces the partition from one entry instance. A partition with neither In nor Out ends it.
	Inject(p Partition)
}
