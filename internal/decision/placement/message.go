package placement

import (
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
)

// Size is the amount of each resource that a job needs or a worker offers.
type Size struct {
	Cores        float64
	Memory       float64 // GB
	Accelerators int
}

// Worker is a machine that runs jobs.
type Worker struct {
	ID   string
	Size Size
}

// Job is a unit of work that one worker runs. Jobs of one kind have similar sizes.
type Job struct {
	ID       string
	Team     string
	Kind     string
	Class    message.Class
	Declared Size
}

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Configure replaces the teams and their quotas.
type Configure struct{ Teams []fleet.Team }

// Joined registers a worker or renews its lease. A worker that cannot renew stops its own jobs when the lease expires.
type Joined struct {
	Now    time.Time
	Worker Worker
}

// Left reports that a worker has certainly stopped, and all its jobs with it.
type Left struct {
	Now    time.Time
	Worker string
}

// Submit queues a job.
type Submit struct {
	Now time.Time
	Job Job
}

// Cancel removes queued and running jobs.
type Cancel struct {
	Now  time.Time
	Jobs []string
}

// Started reports that a job has started.
type Started struct {
	Now time.Time
	Job string
}

// Failed reports that a job could not be started.
type Failed struct {
	Now time.Time
	Job string
}

// Finished reports the end of a job and its peak use of each resource.
type Finished struct {
	Now  time.Time
	Job  string
	Peak Size
}

// Saved reports that a job was checkpointed and has stopped.
type Saved struct {
	Now time.Time
	Job string
}

// Used carries the measured usage by job; the measurements lag behind.
type Used struct {
	Now  time.Time
	Jobs map[string]Size
}

// Time advances the clock and places queued jobs.
type Time struct{ Now time.Time }

func (Configure) message() {}
func (Joined) message()    {}
func (Left) message()      {}
func (Submit) message()    {}
func (Cancel) message()    {}
func (Started) message()   {}
func (Failed) message()    {}
func (Finished) message()  {}
func (Saved) message()     {}
func (Used) message()      {}
func (Time) message()      {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Run starts a job on a worker, or resumes it from its checkpoint.
type Run struct {
	Job    string
	Worker string
	Size   Size
}

// Stop ends a canceled job.
type Stop struct {
	Job    string
	Worker string
}

// Throttle limits a running job to its size.
type Throttle struct {
	Job    string
	Worker string
	Size   Size
}

// Checkpoint saves and stops a running job, which is placed again only after Saved.
type Checkpoint struct {
	Job    string
	Worker string
	Reason string
}

// SetAside reports that a job cannot run until an operator changes the job, a quota or the workers.
type SetAside struct {
	Job    string
	Reason string
}

// Quarantine reports that a worker gets no job until the given time, and then one job on probation.
type Quarantine struct {
	Worker string
	Until  time.Time
}

// Readmit reports that a worker started its probation job and takes jobs as usual.
type Readmit struct{ Worker string }

func (Run) effect()        {}
func (Stop) effect()       {}
func (Throttle) effect()   {}
func (Checkpoint) effect() {}
func (SetAside) effect()   {}
func (Quarantine) effect() {}
func (Readmit) effect()    {}
