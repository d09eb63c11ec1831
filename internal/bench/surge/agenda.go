package surge

import (
	"cmp"
	"container/heap"
	"time"
)

// event is a function that is called at a time of the virtual clock.
type event struct {
	at     time.Duration
	serial int
	do     func()
}

// events orders events by time, and those of the same time as they were added.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].serial, e[j].serial)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is called by container/heap.
func (e *events) Push(v any) { *e = append(*e, v.(event)) }

// Pop is called by container/heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// agenda is a virtual clock with the events to come.
type agenda struct {
	now    time.Duration
	events events
	serial int
}

// after calls do after a delay.
func (a *agenda) after(delay time.Duration, do func()) {
	a.serial++
	heap.Push(&a.events, event{at: a.now + delay, serial: a.serial, do: do})
}

// run calls the events that are due before a time.
func (a *agenda) run(until time.Duration) {
	for len(a.events) > 0 && a.events[0].at < until {
		e := heap.Pop(&a.events).(event)
		a.now = e.at
		e.do()
	}
	a.now = until
}
