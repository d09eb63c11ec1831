package dispatch

import (
	"cmp"
	"container/heap"
	"time"
)

// clock is a queue of events in virtual time.
type clock struct {
	now      time.Time
	sequence int
	events   events
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(v any) { *e = append(*e, v.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	v := (*e)[last]
	*e = (*e)[:last]
	return v
}

// after runs do once d has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(d), sequence: c.sequence, do: do})
}

// run takes events until none is left.
func (c *clock) run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}
