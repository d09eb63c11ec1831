package soak

import (
	"teaselloft/internal/standin/site"
)

// Fault is a fault injected from outside the daemons.
//
//sumtype:decl
type Fault interface{ fault() }

// Faults of daemon processes.
type (
	// Kill sends SIGKILL to daemons and restarts them later.
	Kill struct{ Daemons []int }
	// Pause suspends a daemon with SIGSTOP and resumes it with SIGCONT.
	Pause struct{ Daemon int }
	// Terminate sends SIGTERM to a daemon and restarts it once it has exited.
	Terminate struct{ Daemon int }
)

// Faults of connections.
type (
	// CutStore partitions a daemon from the store in one direction or both.
	CutStore struct {
		Daemon    int
		Out, Back bool
	}
	// ResetStore resets a daemon's connections to the store and refuses new ones.
	ResetStore struct{ Daemon int }
	// DelayStore delays a daemon's traffic with the store.
	DelayStore struct{ Daemon int }
	// CutPeers partitions the links from other daemons to a daemon in one direction or both.
	CutPeers struct {
		Daemon    int
		Out, Back bool
	}
	// CutExecutor partitions the connections that carry orders to an executor in one direction or both.
	CutExecutor struct {
		Executor  int
		Out, Back bool
	}
	// ResetExecutors resets all connections to executors.
	ResetExecutors struct{}
)

// Split cuts daemons off from the store, the instance list, all other daemons and all executors but those of its part.
// The executors of that part do not reach the store either; a part of the site goes on without contact to the rest.
type Split struct{ Daemons, Executors []int }

// Faults of the platform.
type (
	// StoreDown makes the store refuse every call, while leases keep expiring.
	StoreDown struct{}
	// StoreSlow delays every store call.
	StoreSlow struct{}
	// StoreLoses makes the store apply changes, at once or late, without answering them.
	StoreLoses struct{ Late bool }
	// StoreForgets compacts the store's history, so that watches have to start anew.
	StoreForgets struct{}
	// Crash stops executors together with every task that runs on them. They start again under their IDs if SameID is set, and
	// carry out the calls that came while they were down.
	Crash struct {
		Executors []int
		SameID    bool
	}
	// Break makes an executor ignore orders, carry them out late, or fail or hang its tasks.
	Break struct {
		Executor int
		How      site.Fault
	}
	// Configure publishes a new configuration version.
	Configure struct{}
)

func (Kill) fault()           {}
func (Pause) fault()          {}
func (Terminate) fault()      {}
func (StopOwners) fault()     {}
func (Lose) fault()           {}
func (CutStore) fault()       {}
func (ResetStore) fault()     {}
func (DelayStore) fault()     {}
func (CutPeers) fault()       {}
func (CutExecutor) fault()    {}
func (ResetExecutors) fault() {}
func (Split) fault()          {}
func (StoreDown) fault()      {}
func (StoreSlow) fault()      {}
func (StoreLoses) fault()     {}
func (StoreForgets) fault()   {}
func (Crash) fault()          {}
func (Break) fault()          {}
func (Configure) fault()      {}
