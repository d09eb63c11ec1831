package entry

import (
	"fmt"

	"teaselloft/internal/decision/correct"
	"teaselloft/internal/model/message"
)

// Explain returns how the given service name resolves and where a request with it would be sent now.
func (s State) Explain(name, fleet string, idempotent bool) message.Explanation {
	e := message.Explanation{Name: name, Config: s.fleet.Version}
	switch r := s.nameIndex.Lookup(correct.Query{Name: name, Fleet: fleet, Idempotent: idempotent}).(type) {
	case correct.Exact:
		e.Rule = "exact"
		e.Service = r.Service
	case correct.Corrected:
		e.Rule = fmt.Sprintf("%s, %s", r.Rule, r.Source)
		e.Service = r.Service
	case correct.Ambiguous:
		e.Candidates = r.Candidates
	case correct.Unknown:
		e.Candidates = r.Suggestions
	default:
		panic(fmt.Sprintf("entry: unknown result %T", r))
	}
	v, ok := s.fleet.Service(e.Service)
	if !ok {
		return e
	}
	e.Pool = v.Pool
	for _, c := range s.executors(v) {
		if c.Available {
			e.Available++
		}
	}
	if o, ok := s.ownership.Owner(v.Name); ok {
		e.Owner = o.Entry
		e.Epoch = o.Epoch
	}
	return e
}
