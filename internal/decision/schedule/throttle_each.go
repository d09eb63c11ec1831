package schedule

import (
	"log/slog"
	"math"
	"time"
)

// throttleSettles is how long after an order for a speed a report covers the new speed alone: the period of the metric and
// the time of the call.
const throttleSettles = metricPeriod + 200*time.Millisecond

// harms returns for each run of an executor by how much it slows down the serving task there that it slows down the most, as
// the logarithm of the factor at full speed. It reports whether a best-effort task is known to slow one down.
func (t *transition) harms(e executorState) (harms []float64, known bool) {
	if t.s.interference.Learned() == 0 {
		return nil, false
	}
	harms = make([]float64, len(e.runs))
	for i, r := range e.runs {
		if !r.bestEffort || r.phase != running || r.image == 0 {
			continue
		}
		for _, v := range e.runs {
			if v.serving && v.phase == running && v.image != 0 {
				harms[i] = max(harms[i], t.s.interference.Slowing(v.image, r.image))
			}
		}
		known = known || harms[i] > 0
	}
	return harms, known
}

// speeds is what the speeds of the best-effort tasks of an executor depend on.
type speeds struct {
	now    time.Duration
	ratio  float64 // of the tail latency of a serving task to its target, the highest one
	calm   bool    // that has been low for a while
	harms  []float64
	known  bool // one of the best-effort tasks is known to slow a serving task down
	lowest int  // speed of these
	fresh  bool // the report covers that speed
	full   bool // the others run at full speed
}

func (t *transition) speedsOf(e executorState, ratio float64, harms []float64, known bool) speeds {
	v := speeds{now: t.s.now, ratio: ratio, calm: t.s.now-e.calmSince > calmPeriod, harms: harms, known: known, lowest: 100, fresh: true, full: true}
	for i, r := range e.runs {
		if !r.bestEffort || r.phase != running {
			continue
		}
		certain := r.speedCertain == speedOrdered
		switch {
		case !known || harms[i] <= 0:
			v.full = v.full && certain && r.speed >= 100
		case certain:
			v.lowest = min(v.lowest, r.speed)
			v.fresh = v.fresh && t.s.now-r.speedSentAt >= throttleSettles
		default:
			v.fresh = false
		}
	}
	return v
}

// ruledOut reports whether the tasks that are known to slow a serving task down have no part in its present latency.
func (v speeds) ruledOut() bool { return !v.known || v.lowest == 0 && v.fresh }

// next returns the next speed of a best-effort task.
func (v speeds) next(i int, r *runState) int {
	speed := r.speed
	want := speed
	switch {
	case v.known && v.harms[i] > 0:
		want = v.harmful(min(speed, v.lowest), v.harms[i])
	case v.ruledOut():
		want = v.other(speed)
	case v.ratio > 1:
		want = min(speed, 50)
	case v.ratio <= lowWatermark && v.now-r.speedSentAt >= throttleSettles:
		want = min(100, speed+2*speedStep)
	}
	if want < minSpeed {
		return 0
	}
	return want
}

// harmful returns the next speed of a task that is known to slow a serving task down. It rises only while that keeps the
// serving task below the high watermark as far as is known.
func (v speeds) harmful(speed int, harm float64) int {
	switch {
	case v.ratio > 1:
		return 0
	case v.ratio > highWatermark:
		return speed / 2
	case v.calm && v.full && v.ratio*math.Exp(harm*speedStep/100) <= highWatermark:
		return min(100, speed+speedStep)
	}
	return speed
}

// other returns the next speed of another task, if the harmful ones are not the reason for the present latency.
func (v speeds) other(speed int) int {
	switch {
	case v.ratio > 1:
		return 0
	case v.ratio > highWatermark:
		return speed / 2
	case v.known && v.ratio <= lowWatermark:
		return min(100, speed+2*speedStep)
	case v.calm:
		return min(100, speed+speedStep)
	}
	return speed
}

// throttleIndividually slows the best-effort tasks down that are known to slow serving tasks down, before the others.
//
// Once a serving task is over its target, no best-effort task goes on at full speed, since what was learned may be wrong: the
// others are halved at once, and stopped as soon as a report shows that the known ones are not the reason.
func (t *transition) throttleIndividually(e executorState, ratio float64, harms []float64, known bool) {
	v := t.speedsOf(e, ratio, harms, known)
	spared, raised, equal := 0, false, true
	for i, r := range e.runs {
		if !r.bestEffort || r.phase != running {
			continue
		}
		want := v.next(i, r)
		raised, equal = raised || want > r.speed, equal && want == 100
		spared += boolToInt(ratio > 1 && want > 0)
		e = t.setSpeed(e, *r, want, ratio)
	}
	if v.calm && raised {
		e.calmSince = t.s.now
	}
	if spared > 0 {
		t.emit(note(slog.LevelDebug, "interference.spared", "executor", e.info.ID, "ratio", ratio, "runs", spared))
	}
	e.individual = known || !equal
	switch {
	case !known || v.lowest > 0:
		e.idleSince = 0
	case e.idleSince == 0:
		e.idleSince = t.s.now
	}
	t.s = t.s.withExecutor(e)
}
