package job

import "fmt"

// Task identifies one task of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task as JOB/OCCURRENCE/STEP/INDEX, the form used in logs.
func (t Task) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Outcome is the way in which a run ended.
type Outcome int

// Outcomes of a run.
const (
	OutcomeDone         Outcome = iota // finished its work
	OutcomeFailed                      // the run or its executor failed
	OutcomeStopped                     // stopped by an order
	OutcomeLeaseExpired                // the executor's lease expired
	OutcomeGangBroken                  // another task of its gang ended
	OutcomeGangTimeout                 // the other tasks of its gang did not start in time
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return nameOf([]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}, int(o))
}

// State is the state of a job as reported to callers.
type State int

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the lower-case name of the state.
func (s State) String() string {
	return nameOf([]string{"queued", "running", "completed", "failed", "cancelled"}, int(s))
}

// nameOf returns the name with an index. A value from another process may be out of range.
func nameOf(names []string, index int) string {
	if index < 0 || index >= len(names) {
		return fmt.Sprintf("unknown(%d)", index)
	}
	return names[index]
}

// Final reports whether the state is terminal.
func (s State) Final() bool {
	return s >= Completed && s <= Cancelled
}
