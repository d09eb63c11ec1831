package dispatch

import (
	"time"

	"teaselloft/internal/model/message"

	"github.com/benbjohnson/immutable"
)

// size says whether requests of a kind are long according to their run times.
type size int

const (
	short size = iota
	long
	sizeCount
)

// excess is the class of the requests that a caller has queued beyond the number of slots of the service.
const excess = message.Background + 1

// laneCount is the number of lanes, one for each class and size.
const laneCount = (int(excess) + 1) * int(sizeCount)

// ticket is a queued request.
type ticket struct {
	sequence uint64
	request  message.Request
	entry    string
	exclude  []string
	queuedAt time.Time
	hash     string        // of the idempotency key, empty for an idempotent request
	claiming bool          // waits for its claim to be written and is in no lane
	class    message.Class // class in which it is queued
	size     size
	work     time.Duration // expected run time
}

func (t ticket) lane() int {
	return laneIndex(t.class, t.size)
}

func laneIndex(c message.Class, s size) int {
	return int(c)*int(sizeCount) + int(s)
}

func (t ticket) deadlineKey() deadlineKey {
	return deadlineKey{at: t.request.Deadline, sequence: t.sequence}
}

// classCounts holds the number of a caller's queued requests by requested class.
type classCounts [3]int

func (c classCounts) total() int {
	return c[message.Urgent] + c[message.Normal] + c[message.Background]
}

// queue holds the requests that wait for a grant. Every operation takes logarithmic time.
type queue struct {
	tickets   *immutable.Map[message.ID, ticket]
	deadlines *immutable.SortedMap[deadlineKey, message.ID]
	callers   *immutable.Map[string, classCounts]
	lanes     [laneCount]lane
}

func newQueue() queue {
	q := queue{
		tickets:   immutable.NewMap[message.ID, ticket](idHasher{}),
		deadlines: immutable.NewSortedMap[deadlineKey, message.ID](deadlineOrder{}),
		callers:   immutable.NewMap[string, classCounts](stringHasher{}),
	}
	for i := range q.lanes {
		q.lanes[i] = newLane()
	}
	return q
}

// With returns a copy with a new ticket, which is also added to its lane unless it waits for its claim.
func (q queue) With(t ticket) queue {
	q.tickets = q.tickets.Set(t.request.ID, t)
	q.deadlines = q.deadlines.Set(t.deadlineKey(), t.request.ID)
	counts, _ := q.callers.Get(t.request.Caller)
	counts[t.request.Class]++
	q.callers = q.callers.Set(t.request.Caller, counts)
	if !t.claiming {
		q.lanes[t.lane()] = q.lanes[t.lane()].With(t)
	}
	return q
}

// Without returns a copy without the ticket.
func (q queue) Without(t ticket) queue {
	q.tickets = q.tickets.Delete(t.request.ID)
	q.deadlines = q.deadlines.Delete(t.deadlineKey())
	counts, _ := q.callers.Get(t.request.Caller)
	counts[t.request.Class]--
	if counts.total() > 0 {
		q.callers = q.callers.Set(t.request.Caller, counts)
	} else {
		q.callers = q.callers.Delete(t.request.Caller)
	}
	if !t.claiming {
		q.lanes[t.lane()] = q.lanes[t.lane()].Without(t)
	}
	return q
}

// WithClaimed returns a copy with the ticket in its lane, after its claim was written.
func (q queue) WithClaimed(t ticket) queue {
	t.claiming = false
	q.tickets = q.tickets.Set(t.request.ID, t)
	q.lanes[t.lane()] = q.lanes[t.lane()].With(t)
	return q
}

// WithSize returns a copy with the ticket moved to the lane of another size.
func (q queue) WithSize(t ticket, s size) queue {
	q.lanes[t.lane()] = q.lanes[t.lane()].Without(t)
	t.size = s
	q.tickets = q.tickets.Set(t.request.ID, t)
	q.lanes[t.lane()] = q.lanes[t.lane()].With(t)
	return q
}

// WithTurn returns a copy in which the ticket's caller is charged the cost of a turn.
func (q queue) WithTurn(t ticket, cost time.Duration) queue {
	q.lanes[t.lane()] = q.lanes[t.lane()].WithTurn(t, cost)
	return q
}

// Next returns the ticket whose turn it is in a lane.
func (q queue) Next(lane int) (ticket, bool) {
	id, ok := q.lanes[lane].Next()
	if !ok {
		return ticket{}, false
	}
	return q.tickets.Get(id)
}

// HasWaiting reports whether any request of a size waits for a slot.
func (q queue) HasWaiting(s size) bool {
	for lane := int(s); lane < laneCount; lane += int(sizeCount) {
		if q.lanes[lane].length > 0 {
			return true
		}
	}
	return false
}

// Len returns the number of queued requests.
func (q queue) Len() int {
	return q.tickets.Len()
}

// EarliestDeadline returns the ticket with the earliest deadline.
func (q queue) EarliestDeadline() (ticket, bool) {
	if q.deadlines.Len() == 0 {
		return ticket{}, false
	}
	it := q.deadlines.Iterator()
	_, id, _ := it.Next()
	return q.tickets.Get(id)
}

// WorkAhead returns the expected work before a new ticket.
func (q queue) WorkAhead(t ticket) time.Duration {
	var work time.Duration
	for i := range t.lane() {
		work += q.lanes[i].work
	}
	return work + q.lanes[t.lane()].WorkAhead(t.request.Caller)
}
