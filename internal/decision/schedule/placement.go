package schedule

import (
	"slices"
	"time"

	"teaselloft/internal/decision/interference"
	"teaselloft/internal/model/job"
)

// placement holds the requirements by which an executor is chosen for the tasks of a task set.
type placement struct {
	step    job.Step
	need    job.Resources
	taskSet taskSet
	job     jobState
	tickets map[string]string // by executor; nil if any executor may run the step
	rack    string            // of the tasks that run already
	waited  time.Duration     // since the task set was due
	onRack  time.Duration     // how long its tasks wait for an executor of the rack that holds their data
	image   interference.ID
	costs   *interference.Costs // beside other images; nil if none was learned
	cache   []neighbourCost     // by position of the candidate
	allowance
}

// newPlacement returns the requirements of a task set.
func (s State) newPlacement(j jobState, ts *taskSet) *placement {
	step := j.sub.Steps[ts.step]
	return &placement{step: step, need: step.Demand(), taskSet: *ts, job: j, waited: s.now - ts.due, onRack: s.rackWait(step)}
}

// maxRackWait limits how long tasks wait for the rack that holds their data while other executors may be idle. The users count
// a job as lost after 3 s.
const maxRackWait = 2 * time.Second

// rackWait returns how long the tasks of a step wait for an executor of the rack that holds their data. They are several times
// slower elsewhere, so that the estimated duration of a task is worth it, unless no executor there is large enough.
func (s State) rackWait(step job.Step) time.Duration {
	if step.Rack == "" || !step.Demand().FitsIn(s.largest[step.Rack]) {
		return 0
	}
	return min(step.Estimate, maxRackWait)
}

// slownessLimit is the smoothed ratio of run time to estimate above which an executor is used last.
const slownessLimit = 2.0

// best returns the feasible candidate with the lowest score for a task, or nil if there is none.
func (p *placement) best(candidates []candidate, x taskState) *candidate {
	var best *candidate
	var bestScore int64
	for i := range candidates {
		c := &candidates[i]
		if !p.feasible(c) {
			continue
		}
		score := p.score(c, x)
		if p.costs != nil && (best == nil || score < bestScore) { // the cost is never negative
			score += p.cachedCost(i, c, len(candidates)) << neighbourShift
		}
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

func (p *placement) feasible(c *candidate) bool {
	if !p.need.FitsIn(c.free) {
		return false
	}
	if p.aboveShare && c.reservedFor != noAccount && c.reservedFor != p.job.account {
		return false
	}
	if p.step.Label != "" && !slices.Contains(c.executor.info.Labels, p.step.Label) {
		return false
	}
	if p.tickets != nil {
		if _, ok := p.tickets[c.executor.info.ID]; !ok {
			return false
		}
	}
	if p.step.MaxPerExecutor > 0 && p.siblings(c) >= p.step.MaxPerExecutor {
		return false
	}
	if p.step.Rack != "" && c.executor.info.Rack() != p.step.Rack {
		return p.waited >= p.onRack
	}
	return true
}

// siblings returns the number of runs of the same task set on a candidate.
func (p *placement) siblings(c *candidate) int {
	n := 0
	for _, r := range c.executor.runs {
		if r.task.Job == p.job.sub.ID && r.task.Occurrence == p.taskSet.occurrence && r.task.Step == p.taskSet.step {
			n++
		}
	}
	return n
}

// score returns the cost of placing a task on a candidate, based on the millicores that would be left. The shifted terms
// and penalties are large enough to outweigh them.
func (p *placement) score(c *candidate, x taskState) int64 {
	const slowPenalty, rackPenalty, retryPenalty = 1 << 40, 1 << 38, 1 << 39
	left := c.free.Minus(p.need)
	score := left.CPU // best fit: prefers the fullest executor, which keeps room for large tasks
	switch {
	case p.step.BestEffort:
		score = -left.CPU + int64(len(c.executor.runs))<<16
	case p.step.LatencySensitive(): // prefers the emptiest executor, since any load adds to the tail latency
		score = -left.CPU + int64(p.siblings(c))<<20
	case p.step.LongRunning: // prefers executors with long-running tasks, so that few instances must be vacated to move
		score += int64(p.siblings(c))<<20 - int64(c.executor.longRunningRuns())<<24
	}
	if c.executor.slowness > slownessLimit {
		score += slowPenalty
	}
	if p.step.OneRack && p.rack != "" && c.executor.info.Rack() != p.rack {
		score += rackPenalty
	}
	if x.failedOn == c.executor.info.ID {
		score += retryPenalty
	}
	return score
}
