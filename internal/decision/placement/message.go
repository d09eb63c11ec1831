package placement

import (
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
)

// Size is what a job holds or a worker offers.
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

// Job is a piece of work; jobs of one kind have similar sizes.
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

// Configure brings the teams and their quotas.
type Configure struct{ Teams []fleet.Team }

// Joined brings a worker, or renews its lease; a worker that stops renewing stops its jobs by itself when the lease ends.
type Joined struct {
	Now    time.Time
	Worker Worker
}

// Left says that a worker has stopped for certain, with everything on it.
type Left struct {
	Now    time.Time
	Worker string
}

// Submit queues a job.
type Submit struct {
	Now time.Time
	Job Job
}

// Cancel removes jobs, queued or running.
type Cancel struct {
	Now  time.Time
	Jobs []string
}

// Started reports that a job runs.
type Started struct {
	Now time.Time
	Job string
}

// Failed reports that a job could not be started.
type Failed struct {
	Now time.Time
	Job string
}

// Finished reports the end of a job and the most that it used.
type Finished struct {
	Now  time.Time
	Job  string
	Peak Size
}

// Saved reports that a job was checkpointed and no longer runs.
type Saved struct {
	Now time.Time
	Job string
}

// Used brings a lagging usage report.
type Used struct {
	Now  time.Time
	Jobs map[string]Size
}

// Time lets time pass and places what is queued.
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

// Run starts a job, or resumes it from its checkpoint, on a worker.
type Run struct {
	Job    string
	Worker string
	Size   Size
}

// Stop ends a cancelled job.
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

// Checkpoint saves and stops a running job; it runs again only after Saved.
type Checkpoint struct {
	Job    string
	Worker string
	Reason string
}

// SetAside says that a job cannot run until an operator changes something.
type SetAside struct {
	Job    string
	Reason string
}

// Quarantine says that a worker gets no job until the given time, and then one.
type Quarantine struct {
	Worker string
	Until  time.Time
}

// Readmit says that a quarantined worker started its one job.
type Readmit struct{ Worker string }

func (Run) effect()        {}
func (Stop) effect()       {}
func (Throttle) effect()   {}
func (Checkpoint) effect() {}
func (SetAside) effect()   {}
func (Quarantine) effect() {}
func (Readmit) effect()    {}
