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

// ConfigChanged replaces the teams and their quotas.
type ConfigChanged struct{ Teams []fleet.Team }

// WorkerHeartbeat registers a worker or renews its lease. A worker that cannot renew its lease stops its own jobs when
// the lease expires.
type WorkerHeartbeat struct {
	Now    time.Time
	Worker Worker
}

// WorkerDead reports that a worker has certainly stopped, and all its jobs with it.
type WorkerDead struct {
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

// JobStarted reports that a job has started.
type JobStarted struct {
	Now time.Time
	Job string
}

// StartFailed reports that a job could not be started.
type StartFailed struct {
	Now time.Time
	Job string
}

// JobFinished reports the end of a job and its peak use of each resource.
type JobFinished struct {
	Now  time.Time
	Job  string
	Peak Size
}

// JobCheckpointed reports that a job was checkpointed and has stopped.
type JobCheckpointed struct {
	Now time.Time
	Job string
}

// UsageReported carries the measured usage by job. The measurements may be older than Now.
type UsageReported struct {
	Now  time.Time
	Jobs map[string]Size
}

// Tick advances the clock and places queued jobs.
type Tick struct{ Now time.Time }

func (ConfigChanged) message()   {}
func (WorkerHeartbeat) message() {}
func (WorkerDead) message()      {}
func (Submit) message()          {}
func (Cancel) message()          {}
func (JobStarted) message()      {}
func (StartFailed) message()     {}
func (JobFinished) message()     {}
func (JobCheckpointed) message() {}
func (UsageReported) message()   {}
func (Tick) message()            {}

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

// Checkpoint saves and stops a running job, which is placed again only after JobCheckpointed.
type Checkpoint struct {
	Job    string
	Worker string
	Reason string
}

// MarkUnschedulable reports that a job cannot run until an operator changes the job, a quota or the workers.
type MarkUnschedulable struct {
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

func (Run) effect()               {}
func (Stop) effect()              {}
func (Throttle) effect()          {}
func (Checkpoint) effect()        {}
func (MarkUnschedulable) effect() {}
func (Quarantine) effect()        {}
func (Readmit) effect()           {}
