package schedule

import (
	"time"

	"teaselloft/internal/model/port"
)

// Parameters of the controller that keeps best-effort tasks from slowing down serving tasks on the same executor. The
// watermarks are shares of the target of the tail latency.
const (
	highWatermark          = 0.9                     // above it, best-effort tasks halve their speed
	lowWatermark           = 0.7                     // below it, best-effort tasks may speed up
	calmPeriod             = 1500 * time.Millisecond // time below the low watermark before each increase
	speedStep              = 25                      // percent
	minSpeed               = 13                      // percent; a lower speed becomes 0
	throttleResendInterval = 500 * time.Millisecond
)

// speedCertainty tells whether a run has the speed that was last ordered.
type speedCertainty int

const (
	speedOrdered speedCertainty = iota // it has, or will have
	speedFailed                        // the order may have had no effect
	speedAdopted                       // only a former owner has ordered one: any speed, counted as 0
)

// throttleInput is what the speed of the best-effort tasks of an executor depends on.
type throttleInput struct {
	ratio      float64 // of the tail latency of a serving task to its target, the highest one
	serves     bool    // there is a serving task
	bestEffort int     // number of running tasks
	adopted    int     // those of them whose speed only a former owner has ordered
	lowest     int     // speed of the others
}

func (e executorState) throttleInput() throttleInput {
	in := throttleInput{lowest: 100}
	for _, r := range e.runs {
		switch {
		case r.phase != running:
		case r.serving && r.latencyTarget > 0:
			in.ratio = max(in.ratio, r.metric/float64(r.latencyTarget.Milliseconds()))
			in.serves = true
		case r.bestEffort && r.speedCertain == speedAdopted:
			in.bestEffort++
			in.adopted++
		case r.bestEffort:
			in.bestEffort++
			in.lowest = min(in.lowest, r.speed)
		}
	}
	return in
}

// next returns the next speed of the best-effort tasks, and that of the adopted ones, and whether it rises after a calm
// period.
func (in throttleInput) next(calm bool) (speed, adopted int, raised bool) {
	switch {
	case in.ratio > 1:
		return 0, 0, false
	case in.ratio > highWatermark:
		if speed = in.lowest / 2; speed < minSpeed {
			speed = 0
		}
		return speed, 0, false
	case in.adopted > 0 && !in.serves:
		return in.lowest, 100, false // there is nothing to protect
	case calm && (in.lowest < 100 || in.adopted > 0):
		return min(100, in.lowest+speedStep), speedStep, true
	}
	return in.lowest, 0, false
}

// adjustThrottle slows the best-effort tasks of an executor down while a serving task on it is close to its latency
// target or over it, and speeds them up step by step afterwards.
func (t *transition) adjustThrottle(id string) {
	e, _ := t.s.executor(id)
	in := e.throttleInput()
	if in.bestEffort == 0 {
		return
	}
	if in.ratio > lowWatermark || in.adopted > 0 && e.calmSince == 0 {
		e.calmSince = t.s.now // the time before a takeover does not count as calm
	}
	if harms, known := t.harms(e); known || e.individual {
		t.throttleIndividually(e, in.ratio, harms, known)
		return
	}
	want, wantAdopted, raised := in.next(t.s.now-e.calmSince > calmPeriod)
	if raised {
		e.calmSince = t.s.now
	}
	for _, r := range e.runs {
		switch {
		case !r.bestEffort || r.phase != running:
		case r.speedCertain == speedAdopted:
			e = t.setSpeed(e, *r, wantAdopted, in.ratio)
		default:
			e = t.setSpeed(e, *r, want, in.ratio)
		}
	}
	t.s = t.s.withExecutor(e)
}

// setSpeed orders a speed for a run, unless it has that speed or was given another one just before. A run of unknown speed is
// left alone until it has to be slowed down or may be raised, because it may have full speed for good reason.
func (t *transition) setSpeed(e executorState, r runState, want int, ratio float64) executorState {
	uncertain := r.speedCertain == speedFailed || r.speedCertain == speedAdopted && ratio > highWatermark
	if r.speed == want && !uncertain || want > r.speed && t.s.now-r.speedSentAt <= throttleResendInterval {
		return e
	}
	r.speed, r.speedCertain, r.speedSentAt = want, speedOrdered, t.s.now
	t.emit(ThrottleRun{Executor: e.info.ID, Throttle: port.Throttle{Task: r.task, Run: r.run, FencingToken: e.fencingToken, Percent: want}})
	return e.withRun(r)
}

// handleThrottleResult notes that an order failed, so that the next report sends one again.
func (t *transition) handleThrottleResult(e executorState, m OrderResult) {
	i := e.findRun(m.Task, m.Run)
	if i < 0 || m.Err == nil {
		return
	}
	r := *e.runs[i]
	if r.speedCertain == speedOrdered {
		r.speedCertain = speedFailed
	}
	t.s = t.s.withExecutor(e.withRun(r))
}
