package dispatch

import (
	"fmt"

	"teaselloft/internal/decision/dispatch"
)

// Policy is a way to share the slots of a service between entry instances.
//
//sumtype:decl
type Policy interface{ policy() }

// Owner grants slots by the dispatch decision.
type Owner struct{ Options dispatch.Options }

// Split gives each entry instance a fixed share of the slots and a queue of its own.
type Split struct{}

// Random sends each request at once to any executor, which queues it.
type Random struct{}

// Local sends each request at once to the executor to which its entry instance has the fewest in flight.
type Local struct{}

// Pinned makes each entry instance connect once and keep its connection until the executor leaves.
type Pinned struct{}

// Ideal is one queue without delays that knows all run times: urgent first, then the shortest.
type Ideal struct{}

func (Owner) policy()  {}
func (Split) policy()  {}
func (Random) policy() {}
func (Local) policy()  {}
func (Pinned) policy() {}
func (Ideal) policy()  {}

// runner carries out a policy in a simulation.
type runner interface {
	arrive(j *job)
	ended(j *job, w *worker)
}

func newRunner(p Policy, s *simulation) runner {
	switch p := p.(type) {
	case Owner:
		return newOwner(s, p.Options)
	case Split:
		return newSplit(s)
	case Random:
		return &pushed{simulation: s, random: true}
	case Local:
		return &pushed{simulation: s, inFlight: map[string]int{}}
	case Pinned:
		return &pinned{simulation: s, connected: map[int]*worker{}}
	case Ideal:
		return &ideal{simulation: s}
	default:
		panic(fmt.Sprintf("unknown policy %T", p))
	}
}
