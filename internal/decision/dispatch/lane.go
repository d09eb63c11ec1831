package dispatch

import (
	"time"

	"teaselloft/internal/model/message"

	"github.com/benbjohnson/immutable"
)

// lane holds the waiting requests of one class and size, in a line per caller.
//
// Callers take turns by the work they got, which is deficit round robin in its
// virtual-time form: each turn costs one map operation however uneven the work is.
type lane struct {
	lines   *immutable.Map[string, line]
	turns   *immutable.SortedMap[turn, struct{}]
	virtual time.Duration // start of the last turn taken
	length  int
	work    time.Duration // expected work of all waiting requests
}

// line holds one caller's waiting requests in order of arrival.
type line struct {
	waiting *immutable.SortedMap[uint64, message.ID]
	start   time.Duration
	work    time.Duration
}

func newLane() lane {
	return lane{
		lines: immutable.NewMap[string, line](stringHasher{}),
		turns: immutable.NewSortedMap[turn, struct{}](turnOrder{}),
	}
}

// With returns a copy with the ticket at the end of its caller's line.
func (l lane) With(t ticket) lane {
	caller := t.request.Caller
	n, ok := l.lines.Get(caller)
	if !ok {
		n = line{waiting: immutable.NewSortedMap[uint64, message.ID](sequenceOrder{}), start: l.virtual}
		l.turns = l.turns.Set(turn{start: n.start, caller: caller}, struct{}{})
	}
	n.waiting = n.waiting.Set(t.sequence, t.request.ID)
	n.work += t.work
	l.lines = l.lines.Set(caller, n)
	l.length++
	l.work += t.work
	return l
}

// Without returns a copy without the ticket, which must be in the lane.
func (l lane) Without(t ticket) lane {
	caller := t.request.Caller
	n, _ := l.lines.Get(caller)
	n.waiting = n.waiting.Delete(t.sequence)
	n.work -= t.work
	l.length--
	l.work -= t.work
	if n.waiting.Len() == 0 {
		l.lines = l.lines.Delete(caller)
		l.turns = l.turns.Delete(turn{start: n.start, caller: caller})
		return l
	}
	l.lines = l.lines.Set(caller, n)
	return l
}

// WithTurn returns a copy in which the ticket's caller, which was next, has used its turn for cost.
func (l lane) WithTurn(t ticket, cost time.Duration) lane {
	caller := t.request.Caller
	n, ok := l.lines.Get(caller)
	if !ok {
		return l
	}
	l.virtual = max(l.virtual, n.start)
	l.turns = l.turns.Delete(turn{start: n.start, caller: caller})
	n.start += cost
	l.turns = l.turns.Set(turn{start: n.start, caller: caller}, struct{}{})
	l.lines = l.lines.Set(caller, n)
	return l
}

// Next returns the request whose turn it is.
func (l lane) Next() (message.ID, bool) {
	if l.length == 0 {
		return message.ID{}, false
	}
	it := l.turns.Iterator()
	first, _, ok := it.Next()
	if !ok {
		return message.ID{}, false
	}
	n, _ := l.lines.Get(first.caller)
	head := n.waiting.Iterator()
	_, id, ok := head.Next()
	return id, ok
}

// Ahead returns the work that a new request of the caller waits for within the lane.
func (l lane) Ahead(caller string) time.Duration {
	n, ok := l.lines.Get(caller)
	if !ok {
		return min(l.work, time.Duration(l.lines.Len())*l.meanWork())
	}
	return min(l.work, n.work*time.Duration(l.lines.Len()))
}

func (l lane) meanWork() time.Duration {
	if l.length == 0 {
		return 0
	}
	return l.work / time.Duration(l.length)
}
