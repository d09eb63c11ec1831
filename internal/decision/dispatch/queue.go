package dispatch

import (
	"time"

	"teaselloft/internal/model/message"

	"github.com/benbjohnson/immutable"
)

// size says whether a request's kind is learned to be long.
type size int

const (
	short size = iota
	long
	sizes
)

// excess is the class of what a caller has queued beyond the slots of the service.
const excess = message.Background + 1

// laneCount is one lane for each class and size.
const laneCount = (int(excess) + 1) * int(sizes)

// ticket is one request in the queue.
type ticket struct {
	sequence uint64
	request  message.Request
	from     string
	exclude  []string
	asked    time.Time
	hash     string        // of the idempotency key, empty for an idempotent request
	claiming bool          // waits for its claim to be written and is in no lane
	class    message.Class // in which it is queued
	size     size
	work     time.Duration // expected
}

func (t ticket) lane() int {
	return laneOf(t.class, t.size)
}

func laneOf(c message.Class, s size) int {
	return int(c)*int(sizes) + int(s)
}

func (t ticket) instant() instant {
	return instant{at: t.request.Deadline, sequence: t.sequence}
}

// counts holds the number of a caller's queued requests by the class it asked for.
type counts [3]int

func (c counts) sum() int {
	return c[message.Urgent] + c[message.Normal] + c[message.Background]
}

// queue holds the requests that wait for a grant; every operation costs the logarithm of its length.
type queue struct {
	tickets   *immutable.Map[message.ID, ticket]
	deadlines *immutable.SortedMap[instant, message.ID]
	callers   *immutable.Map[string, counts]
	lanes     [laneCount]lane
}

func newQueue() queue {
	q := queue{
		tickets:   immutable.NewMap[message.ID, ticket](idHasher{}),
		deadlines: immutable.NewSortedMap[instant, message.ID](instantOrder{}),
		callers:   immutable.NewMap[string, counts](stringHasher{}),
	}
	for i := range q.lanes {
		q.lanes[i] = newLane()
	}
	return q
}

// With returns a copy with a new ticket, in its lane unless it waits for its claim.
func (q queue) With(t ticket) queue {
	q.tickets = q.tickets.Set(t.request.ID, t)
	q.deadlines = q.deadlines.Set(t.instant(), t.request.ID)
	n, _ := q.callers.Get(t.request.Caller)
	n[t.request.Class]++
	q.callers = q.callers.Set(t.request.Caller, n)
	if !t.claiming {
		q.lanes[t.lane()] = q.lanes[t.lane()].With(t)
	}
	return q
}

// Without returns a copy without the ticket.
func (q queue) Without(t ticket) queue {
	q.tickets = q.tickets.Delete(t.request.ID)
	q.deadlines = q.deadlines.Delete(t.instant())
	n, _ := q.callers.Get(t.request.Caller)
	n[t.request.Class]--
	if n.sum() > 0 {
		q.callers = q.callers.Set(t.request.Caller, n)
	} else {
		q.callers = q.callers.Delete(t.request.Caller)
	}
	if !t.claiming {
		q.lanes[t.lane()] = q.lanes[t.lane()].Without(t)
	}
	return q
}

// WithClaimed returns a copy in which the ticket's claim is written.
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

// WithTurn returns a copy in which the ticket's caller has used a turn.
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

// Waits reports whether any request of a size waits for a slot.
func (q queue) Waits(s size) bool {
	for lane := int(s); lane < laneCount; lane += int(sizes) {
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

// Due returns the ticket with the earliest deadline.
func (q queue) Due() (ticket, bool) {
	if q.deadlines.Len() == 0 {
		return ticket{}, false
	}
	it := q.deadlines.Iterator()
	_, id, _ := it.Next()
	return q.tickets.Get(id)
}

// Ahead returns the work that a new ticket waits for.
func (q queue) Ahead(t ticket) time.Duration {
	var work time.Duration
	for i := range t.lane() {
		work += q.lanes[i].work
	}
	return work + q.lanes[t.lane()].Ahead(t.request.Caller)
}
