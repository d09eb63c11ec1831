package schedule

import (
	"time"

	"teaselloft/internal/model/port"
)

// Figures of the control that keeps fillers from harming the serving tasks beside them.
const (
	tailHigh   = 0.9 // of the target: above it fillers halve their pace
	tailLow    = 0.7 // below it they may work faster
	calmFor    = 1500 * time.Millisecond
	paceUp     = 25 // percent at a time
	paceFloor  = 13 // percent; a pace below it becomes 0
	paceRepeat = 500 * time.Millisecond
)

// pace slows the fillers of an executor down while a serving task beside them misses its target.
func (t *turn) pace(id string) {
	e, _ := t.s.executors.Get(id)
	worst, fillers, lowest := 0.0, 0, 100
	for _, r := range e.runs {
		if r.serves && r.phase == running && r.target > 0 {
			worst = max(worst, r.figure/float64(r.target.Milliseconds()))
		}
		if r.filler && r.phase == running {
			fillers++
			lowest = min(lowest, r.pace)
		}
	}
	if fillers == 0 {
		return
	}
	if worst > tailLow {
		e.calm = t.s.now
	}
	want := lowest
	switch {
	case worst > 1:
		want = 0
	case worst > tailHigh:
		want = lowest / 2
	case t.s.now-e.calm > calmFor && lowest < 100:
		want = min(100, lowest+paceUp)
		e.calm = t.s.now
	}
	if want < paceFloor {
		want = 0
	}
	for _, r := range e.runs {
		if r.filler && r.phase == running && r.pace != want && (want < r.pace || t.s.now-r.paceAsk > paceRepeat) {
			r.pace, r.paceAsk = want, t.s.now
			e = e.withRun(r)
			t.emit(PaceRun{Executor: id, Pace: port.Throttle{Task: r.task, Run: r.run, Fence: t.s.Epoch, Percent: want}})
		}
	}
	t.s = t.s.withExecutor(e)
}

// paced forgets the pace of a run whose order got no answer, so that it is sent again.
func (t *turn) paced(e executorState, m Ordered) {
	i := e.find(m.Task, m.Run)
	if i < 0 || m.Err == nil {
		return
	}
	const unknown = 101 // differs from every pace that can be wanted
	r := e.runs[i]
	r.pace = unknown
	t.s = t.s.withExecutor(e.withRun(r))
}
