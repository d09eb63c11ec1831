package schedule

import (
	"time"

	"teaselloft/internal/model/port"
)

// Figures of the control that keeps fillers from harming the serving tasks beside them.
const (
	highWatermark          = 0.9 // of the target: above it fillers halve their pace
	lowWatermark           = 0.7 // below it they may work faster
	calmPeriod             = 1500 * time.Millisecond
	speedStep              = 25 // percent at a time
	minSpeed               = 13 // percent; a pace below it becomes 0
	throttleResendInterval = 500 * time.Millisecond
)

// adjustThrottle slows the fillers of an executor down while a serving task beside them misses its target.
func (t *transition) adjustThrottle(id string) {
	e, _ := t.s.executors.Get(id)
	worstRatio, bestEffortRuns, lowestSpeed := 0.0, 0, 100
	for _, r := range e.runs {
		if r.serving && r.phase == running && r.target > 0 {
			worstRatio = max(worstRatio, r.metric/float64(r.target.Milliseconds()))
		}
		if r.bestEffort && r.phase == running {
			bestEffortRuns++
			lowestSpeed = min(lowestSpeed, r.speed)
		}
	}
	if bestEffortRuns == 0 {
		return
	}
	if worstRatio > lowWatermark {
		e.calmSince = t.s.now
	}
	want := lowestSpeed
	switch {
	case worstRatio > 1:
		want = 0
	case worstRatio > highWatermark:
		want = lowestSpeed / 2
	case t.s.now-e.calmSince > calmPeriod && lowestSpeed < 100:
		want = min(100, lowestSpeed+speedStep)
		e.calmSince = t.s.now
	}
	if want < minSpeed {
		want = 0
	}
	for _, r := range e.runs {
		if r.bestEffort && r.phase == running && r.speed != want && (want < r.speed || t.s.now-r.speedSentAt > throttleResendInterval) {
			r.speed, r.speedSentAt = want, t.s.now
			e = e.withRun(r)
			t.emit(ThrottleRun{Executor: id, Throttle: port.Pace{Task: r.task, Run: r.run, Fence: t.s.Epoch, Percent: want}})
		}
	}
	t.s = t.s.withExecutor(e)
}

// handleThrottleResult forgets the pace of a run whose order got no answer, so that it is sent again.
func (t *transition) handleThrottleResult(e executorState, m OrderResult) {
	i := e.findRun(m.Task, m.Run)
	if i < 0 || m.Err == nil {
		return
	}
	const unknownSpeed = 101 // differs from every pace that can be wanted
	r := e.runs[i]
	r.speed = unknownSpeed
	t.s = t.s.withExecutor(e.withRun(r))
}
