package message

import "context"

// Explanation says where a request would go and why.
type Explanation struct {
	Name       string   `json:"name"`
	Rule       string   `json:"rule"` // that found the service, empty when the name is refused
	Service    string   `json:"service,omitempty"`
	Candidates []string `json:"candidates,omitempty"` // of an ambiguous name
	Owner      string   `json:"owner,omitempty"`
	Epoch      uint64   `json:"epoch,omitempty"`
	Pool       string   `json:"pool,omitempty"`
	Available  int      `json:"available"` // executors that may get work
	Config     uint64   `json:"config"`    // configuration version in force
}

// Explainer tells where a request would go without sending it; the routing duty provides it.
type Explainer interface {
	// Explain answers for a service name, the fleet that the caller asks for, which may be empty, and an HTTP method.
	Explain(ctx context.Context, name, fleet, method string) (Explanation, error)
}

// Cut says which frames between this entry instance and another one are dropped.
type Cut struct {
	Entry string `json:"entry"`
	In    bool   `json:"in"`  // drop frames from it
	Out   bool   `json:"out"` // drop frames to it
}

// Cutter drops frames on request, for failure tests; the entry link provides it.
type Cutter interface {
	// Cut replaces the cut towards one entry instance; one without a direction ends it.
	Cut(c Cut)
}
