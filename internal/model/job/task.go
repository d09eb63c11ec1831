package job

import "fmt"

// Task names one task of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name in logs.
func (t Task) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// End says how a run ended.
type End int

// The ways in which a run ends.
const (
	EndDone    End = iota // it finished its work
	EndFailed             // by its own fault or the executor's
	EndStopped            // by an order
	EndLapsed             // the executor's lease ran out
	EndBroken             // another member of its gang ended
	EndAlone              // the other members of its gang did not come in time
)

// String returns the end's name in logs.
func (e End) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[e]
}

// State is what a caller is told of a job.
type State int

// The states of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Final reports whether the state changes no more.
func (s State) Final() bool {
	return s >= Completed
}
