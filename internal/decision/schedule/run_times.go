package schedule

import (
	"time"

	"teaselloft/internal/model/job"
)

// runTimesOf returns by step how long the tasks of a job are expected to run. Only the order of jobs follows from it. Whether
// a job is late still depends on the callers' estimates, of which its objective is a multiple.
func (s State) runTimesOf(sub job.Submission) []time.Duration {
	out := make([]time.Duration, len(sub.Steps))
	for i, step := range sub.Steps {
		out[i] = step.Estimate
		if s.policy.LearnRunTimes && !step.LongRunning {
			out[i] = s.runTimes.Predict(s.now, step.Image, step.Estimate)
		}
	}
	return out
}

// observeRunTime learns from the end of a batch task that is done. One task of each step is observed, since the tasks of a step
// are alike and a surge ends thousands in a second. The first one to end would be the shortest. Runs that may have begun with a
// checkpoint, or that wait for other members of a gang, tell nothing, nor do those that a former owner has started: they have
// no estimate, and their start is not known.
func (t *transition) observeRunTime(r runState, j jobState) {
	if !t.s.policy.LearnRunTimes || r.task.Index != 0 || r.phase != running || r.bestEffort || r.task.Step >= len(j.sub.Steps) {
		return
	}
	if step := j.sub.Steps[r.task.Step]; !step.Checkpoints && !step.Gang {
		t.s.runTimes = t.s.runTimes.WithRun(t.s.now, step.Image, t.s.now-r.since, r.estimate)
	}
}
