package dispatch

import (
	"time"

	"teaselloft/internal/model/message"

	"github.com/benbjohnson/immutable"
)

// lane holds the waiting requests of one class and size, in one queue for each caller.
//
// Callers take turns by start-time fair queuing on the work granted to them. This is the
// virtual-time form of deficit round robin, in which a turn costs one map operation however
// uneven the run times are.
type lane struct {
	callers     *immutable.Map[string, callerQueue]
	turns       *immutable.SortedMap[turn, struct{}]
	virtualTime time.Duration // start of the latest turn taken
	length      int
	work        time.Duration // expected work of all waiting requests
}

// callerQueue holds one caller's waiting requests in order of arrival.
type callerQueue struct {
	waiting *immutable.SortedMap[uint64, message.ID] // by sequence of the ticket
	start   time.Duration                            // virtual time at which the caller's next turn starts
	work    time.Duration                            // expected work of its waiting requests
}

func newLane() lane {
	return lane{
		callers: immutable.NewMap[string, callerQueue](stringHasher{}),
		turns:   immutable.NewSortedMap[turn, struct{}](turnOrder{}),
	}
}

// With returns a copy with the ticket at the end of its caller's queue.
func (l lane) With(t ticket) lane {
	caller := t.request.Caller
	q, ok := l.callers.Get(caller)
	if !ok {
		q = callerQueue{waiting: immutable.NewSortedMap[uint64, message.ID](sequenceOrder{}), start: l.virtualTime}
		l.turns = l.turns.Set(turn{start: q.start, caller: caller}, struct{}{})
	}
	q.waiting = q.waiting.Set(t.sequence, t.request.ID)
	q.work += t.work
	l.callers = l.callers.Set(caller, q)
	l.length++
	l.work += t.work
	return l
}

// Without returns a copy without the ticket, which must be in the lane.
func (l lane) Without(t ticket) lane {
	caller := t.request.Caller
	q, _ := l.callers.Get(caller)
	q.waiting = q.waiting.Delete(t.sequence)
	q.work -= t.work
	l.length--
	l.work -= t.work
	if q.waiting.Len() == 0 {
		l.callers = l.callers.Delete(caller)
		l.turns = l.turns.Delete(turn{start: q.start, caller: caller})
		return l
	}
	l.callers = l.callers.Set(caller, q)
	return l
}

// WithTurn returns a copy in which the ticket's caller, which was next, is charged the cost of a turn.
func (l lane) WithTurn(t ticket, cost time.Duration) lane {
	caller := t.request.Caller
	q, ok := l.callers.Get(caller)
	if !ok {
		return l
	}
	l.virtualTime = max(l.virtualTime, q.start)
	l.turns = l.turns.Delete(turn{start: q.start, caller: caller})
	q.start += cost
	l.turns = l.turns.Set(turn{start: q.start, caller: caller}, struct{}{})
	l.callers = l.callers.Set(caller, q)
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
	q, _ := l.callers.Get(first.caller)
	head := q.waiting.Iterator()
	_, id, ok := head.Next()
	return id, ok
}

// WorkAhead returns the expected work in the lane before a new request of the caller.
//
// Before the request's turn, each of the callers gets about as much work done as waits in the caller's own queue, or
// one request of mean length if that is empty.
func (l lane) WorkAhead(caller string) time.Duration {
	q, ok := l.callers.Get(caller)
	if !ok {
		return min(l.work, time.Duration(l.callers.Len())*l.meanWork())
	}
	return min(l.work, q.work*time.Duration(l.callers.Len()))
}

func (l lane) meanWork() time.Duration {
	if l.length == 0 {
		return 0
	}
	return l.work / time.Duration(l.length)
}
