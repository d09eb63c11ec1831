package schedule

import (
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/decision/interference"
	"teaselloft/internal/model/job"
)

// neighbourState is the part of the state of an executor that concerns the interference between its runs.
type neighbourState struct {
	slowdown   interference.Belief // logarithm of the factor by which it is slower than others
	observedAt time.Duration       // when the tail latencies of its runs were last observed
	individual bool                // its best-effort tasks may have different speeds
	overSince  time.Duration       // since when a serving task has been over its target; 0 if none is
	idleSince  time.Duration       // since when a best-effort task that slows a serving one down has had speed 0; 0 if none has
}

// neighbourShift makes the cost of neighbours outweigh the order by free resources and siblings, but not the penalties for
// slow executors, other racks and failed runs. maxNeighbourCost keeps the sum below those.
const (
	neighbourShift   = 30
	maxNeighbourCost = 1<<7 - 1
)

// setNeighbourCosts sets the image of the tasks to place, and what it costs to place them beside others.
func (t *transition) setNeighbourCosts(p *placement) {
	p.image = t.imageOf(p.step)
	p.costs = t.s.interference.Costs(p.image)
}

// imageOf returns the image of a step whose tasks are about to run, or 0.
func (t *transition) imageOf(step job.Step) interference.ID {
	if step.Image == "" || !t.s.policy.Interference {
		return 0
	}
	s, id := t.s.interference.WithImage(step.Image, t.s.now)
	t.s.interference = s
	return id
}

// neighbourCost returns what it costs to place a task beside the runs of a candidate.
func (p *placement) neighbourCost(c *candidate) int64 {
	cost := int64(0)
	for _, r := range c.executor.runs {
		cost += p.costs.Beside(r.image)
	}
	return min(max(cost, 0), maxNeighbourCost)
}

// neighbourCost is the cost of placing a task beside the runs of a candidate.
type neighbourCost struct {
	executor *executorState
	runs     int // number of them: a candidate is changed in place
	cost     int64
}

// cachedCost returns the cost of placing a task on the i-th of a number of candidates, since a step mostly has several tasks.
func (p *placement) cachedCost(i int, c *candidate, candidates int) int64 {
	if p.cache == nil {
		p.cache = make([]neighbourCost, candidates)
	}
	x := &p.cache[i]
	if x.executor != c.executor || x.runs != len(c.executor.runs) {
		*x = neighbourCost{executor: c.executor, runs: len(c.executor.runs), cost: p.neighbourCost(c)}
	}
	return x.cost
}

// metricPeriod is the time that a reported metric covers.
const metricPeriod = 500 * time.Millisecond

// observeTails passes the tail latencies in the report of an executor on to the decision about interference, unless they
// cover the same time as the last ones, or the speed of a neighbour has changed within that time.
func (t *transition) observeTails(id string) {
	if t.s.interference.Empty() {
		return
	}
	e, _ := t.s.executor(id)
	if t.s.now-e.observedAt < metricPeriod {
		return
	}
	observed := false
	for i, r := range e.runs {
		if !r.serving || r.image == 0 || r.phase != running || r.metric <= 0 || r.percent < 100 || t.s.now-r.since < minReadyTime {
			continue
		}
		neighbours, ok := e.neighboursOf(i, t.s.now-metricPeriod, t.s.now)
		if !ok {
			return
		}
		observed = true
		e.slowdown = t.observe(interference.Run{Now: t.s.now, Image: r.image, Executor: id, Slowness: e.slowdown, Neighbours: neighbours}, interference.Tail{Milliseconds: r.metric}).Slowness
	}
	if observed {
		e.observedAt = t.s.now
		t.s = t.s.withExecutor(e)
	}
}

// neighboursOf returns the other runs of an executor by image, each with its share of a time and its speed. It returns false
// if a speed was changed in that time or is not known. An index below 0 stands for a run that has ended.
func (e executorState) neighboursOf(run int, from, to time.Duration) ([]interference.Neighbours, bool) {
	var list []interference.Neighbours
	for i, r := range e.runs {
		if i == run || r.image == 0 || r.phase == starting {
			continue
		}
		amount := min(1, float64(to-max(r.since, from))/float64(max(1, to-from)))
		if r.bestEffort {
			if r.speedSentAt > from || r.speedCertain != speedOrdered {
				return nil, false
			}
			amount *= float64(r.speed) / 100
		}
		if amount <= 0 {
			continue
		}
		at := slices.IndexFunc(list, func(n interference.Neighbours) bool { return n.Image == r.image })
		if at < 0 {
			at, list = len(list), append(list, interference.Neighbours{Image: r.image})
		}
		list[at].Amount += amount
	}
	return list, true
}

// Limits on the observed ends of batch tasks. In a surge thousands of tasks end in a second, and the observation of each would
// take a third of what its other decisions take.
const (
	observeStepInterval = 30 * time.Millisecond // between two steps whose tasks are observed
	maxObservedTasks    = 32                    // of a step
)

// observeEnd passes the run time of a batch task that is done on to the decision about interference. Tasks that may be slow
// for another known reason are left out: their rack, a checkpoint that they have started from, other members of a gang.
func (t *transition) observeEnd(e executorState, r runState, j jobState) executorState {
	if r.image == 0 || r.estimate <= 0 || r.phase != running || r.bestEffort {
		return e
	}
	before := j.taskSet(r.task.Occurrence, r.task.Step)
	if before == nil {
		return e
	}
	observed, step := before.ended.Count(), j.sub.Steps[r.task.Step]
	if observed == 0 && t.s.now < t.s.nextStepAt || observed >= maxObservedTasks {
		return e
	}
	if step.Gang || step.OneRack || step.Rack != "" || step.Checkpoints || step.Count < 2 {
		return e
	}
	neighbours, ok := e.neighboursOf(-1, r.since, t.s.now)
	if !ok {
		return e
	}
	if observed == 0 {
		t.s.nextStepAt = t.s.now + observeStepInterval
	}
	ts := *before
	result := t.observe(interference.Run{Now: t.s.now, Image: r.image, Executor: e.info.ID, Slowness: e.slowdown, Neighbours: neighbours},
		interference.End{Ratio: float64(t.s.now-r.since) / float64(r.estimate), Step: ts.ended})
	ts.ended, e.slowdown = result.Step, result.Slowness
	t.s = t.s.withJob(j.withTaskSet(ts))
	return e
}

func (t *transition) observe(r interference.Run, o interference.Observation) interference.Result {
	s, result := interference.Observe(t.s.interference, r, o)
	t.s.interference = s
	t.reportPairs(result.Changes)
	return result
}

// expiryInterval is the time between two checks for learned pairs that were not observed for too long.
const expiryInterval = time.Second

func (t *transition) expireNeighbours() {
	if t.s.now-t.s.lastExpiry < expiryInterval {
		return
	}
	t.s.lastExpiry = t.s.now
	s, changes := interference.Expire(t.s.interference, t.s.now)
	t.s.interference = s
	t.reportPairs(changes)
}

func (t *transition) reportPairs(changes []interference.Change) {
	for _, c := range changes {
		event := "interference.learned"
		if !c.Learned {
			event = "interference.forgotten"
		}
		t.emit(note(slog.LevelInfo, event, "image", c.Image, "neighbour", c.Neighbour, "factor", c.Factor, "low", c.Low, "high", c.High,
			"observations", c.Observations, "executors", c.Executors, "serving", c.Serving))
	}
}
