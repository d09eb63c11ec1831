package listen

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/shedding"

	"github.com/rcrowley/go-metrics"
)

var (
	// ErrNoRoom is returned when the memory for requests is used up. The request has not run.
	ErrNoRoom = errors.New("memory for requests is used up")
	// ErrSlow is returned when a body does not arrive in time. The request has not run.
	ErrSlow = errors.New("request body does not arrive in time")

	errLargeHead = errors.New("request head takes too much memory")
)

const (
	// cutInterval is the least time between two searches for connections to close, which look at all of them.
	cutInterval = 20 * time.Millisecond
	// cutShare is the part of the connections that are closed at once when there are too many, so that not every new one
	// causes a search.
	cutShare = 32
)

// waiter is a request that waits for memory.
type waiter struct {
	shedding.Waiter
	conn  *conn
	reply *ring.Ring[bool]
}

// Budget is the memory and the connections that the clients of a process use together, on all its listeners.
//
// Requests that find memory take it themselves. Others wait for the duty of the budget, which admits or refuses them and
// closes connections (package shedding).
type Budget struct {
	limits   shedding.Limits
	settings BudgetSettings
	epoch    time.Time
	wake     *ring.Ring[struct{}]
	meters   meters

	mutex   sync.Mutex // guards the fields below
	conns   map[uint64]*conn
	clients int
	peers   int
	used    int64
	freeing int64 // part of used that connections which have been closed give back
	waiting []*waiter
	lastID  uint64
	lastCut time.Duration
	stopped bool
}

// NewBudget returns a budget without connections.
func NewBudget(s BudgetSettings, log *slog.Logger, r metrics.Registry) *Budget {
	b := &Budget{
		settings: s, limits: s.limits(), epoch: time.Now(), conns: map[uint64]*conn{}, lastCut: -cutInterval,
		wake:   ring.New[struct{}]("listen.short", 1, ring.Refuse, r),
		meters: newMeters(log, r),
	}
	r.GetOrRegister("listen.memory.used", func() metrics.Gauge {
		return metrics.NewFunctionalGauge(func() int64 { return b.state().Used })
	})
	r.GetOrRegister("listen.connections", func() metrics.Gauge {
		return metrics.NewFunctionalGauge(func() int64 { s := b.state(); return int64(s.Clients + s.Peers) })
	})
	return b
}

// SharedBudget returns the budget of a process. The first call creates it with the settings of the plug-in "limits".
// Call it only from a plug-in's build function.
func SharedBudget(h *kernel.Host) (*Budget, error) {
	if b, ok := kernel.Use[*Budget](h); ok {
		return b, nil
	}
	s, err := sharedSettings(h)
	if err != nil {
		return nil, err
	}
	b := NewBudget(s, h.Log, h.Metrics)
	kernel.Provide(h, b)
	h.RegisterDump(LimitsPlugin, func() any { return b.state() })
	h.RegisterDuty(kernel.Duty{Name: "listen.limits", Run: b.Run})
	return b, nil
}

// now returns the time on the clock of the budget. It needs no system call.
func (b *Budget) now() time.Duration { return time.Since(b.epoch) }

// Run admits, refuses and closes until ctx is done.
func (b *Budget) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			b.stop()
			return ctx.Err()
		case <-b.wake.Items():
		case <-timer.C:
		}
		if b.relieve() {
			timer.Reset(cutInterval)
		}
	}
}

// stop refuses everything that waits.
func (b *Budget) stop() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stopped = true
	for _, w := range b.waiting {
		_ = w.reply.Push(context.Background(), false)
	}
	b.waiting = nil
}

// relieve decides about the requests that wait and closes connections. It reports whether some go on waiting.
func (b *Budget) relieve() bool {
	b.mutex.Lock()
	now := b.now()
	requests := make([]shedding.Waiter, 0, len(b.waiting))
	for _, w := range b.waiting {
		requests = append(requests, w.Waiter)
	}
	a := shedding.Admit(b.limits, now, b.used, requests)
	refused := b.settle(a)
	var cuts []shedding.Cut
	missing := shedding.Shortage{Memory: a.Missing.Memory - b.freeing, First: a.Missing.First - b.freeing}
	if missing.Memory > 0 && now-b.lastCut >= cutInterval {
		cuts = b.choose(now, missing, func(*conn) bool { return true })
	}
	closing := b.remove(cuts)
	more := len(b.waiting) > 0
	b.mutex.Unlock()
	b.meters.refused(refusedRequest, refused)
	b.close(closing, cuts)
	return more
}

// settle answers the requests that need not wait any longer and returns the number of those that were refused.
func (b *Budget) settle(a shedding.Admission) int {
	answers := map[uint64]bool{}
	for _, id := range a.Granted {
		answers[id] = true
	}
	for _, id := range a.Refused {
		answers[id] = false
	}
	var left []*waiter
	refused := 0
	for _, w := range b.waiting {
		granted, ok := answers[w.ID]
		if !ok {
			left = append(left, w)
			continue
		}
		if granted && !w.conn.gone {
			b.used += w.Need
			w.conn.held += w.Need
		} else {
			granted = false
			refused++
		}
		_ = w.reply.Push(context.Background(), granted) // a reply ring has room
	}
	b.waiting = left
	return refused
}

// choose returns the connections to close among those that match.
func (b *Budget) choose(now time.Duration, missing shedding.Shortage, match func(*conn) bool) []shedding.Cut {
	b.lastCut = now
	open := make([]shedding.Connection, 0, len(b.conns))
	for _, c := range b.conns {
		if match(c) {
			open = append(open, shedding.Connection{ID: c.id, Address: c.address, Held: connectionCost + c.held, Activity: c.activity()})
		}
	}
	return shedding.Choose(b.limits, now, open, missing)
}

// remove takes connections out of the budget before they are closed.
func (b *Budget) remove(cuts []shedding.Cut) []*conn {
	closing := make([]*conn, 0, len(cuts))
	for _, x := range cuts {
		c := b.conns[x.ID]
		b.forget(c)
		closing = append(closing, c)
	}
	return closing
}

// close closes connections that were removed.
func (b *Budget) close(closing []*conn, cuts []shedding.Cut) {
	for i, c := range closing {
		_ = c.Conn.Close()
		b.meters.closed(cuts[i].Reason, 1)
	}
}

// forget removes a connection. What its request holds is freed when the request ends.
func (b *Budget) forget(c *conn) {
	if c.gone {
		return
	}
	c.gone = true
	delete(b.conns, c.id)
	b.used -= connectionCost
	b.freeing += c.held
	c.listener.open--
	if c.listener.peers {
		b.peers--
	} else {
		b.clients--
	}
}

// admit adds a new connection. When there are too many, it closes others, or returns false if none may be closed.
func (b *Budget) admit(l *listener, raw net.Conn) (*conn, bool) {
	b.mutex.Lock()
	var closing []*conn
	var cuts []shedding.Cut
	// The search is not repeated at once when it has found nothing.
	if now := b.now(); !b.hasRoom(l) && now-b.lastCut >= cutInterval {
		limit, sameLimit := b.limit(l), func(c *conn) bool { return c.listener.peers == l.peers }
		if l.limit > 0 && l.open >= l.limit {
			limit, sameLimit = l.limit, func(c *conn) bool { return c.listener == l }
		}
		cuts = b.choose(now, shedding.Shortage{Connections: 1 + limit/cutShare}, sameLimit)
		closing = b.remove(cuts)
	}
	var c *conn
	ok := b.hasRoom(l)
	if ok {
		b.lastID++
		c = newConn(b, l, raw, b.lastID)
		b.conns[c.id] = c
		b.used += connectionCost
		l.open++
		if l.peers {
			b.peers++
		} else {
			b.clients++
		}
	}
	b.mutex.Unlock()
	b.close(closing, cuts)
	return c, ok
}

// limit returns the number of connections that a listener shares with others of its kind.
func (b *Budget) limit(l *listener) int {
	if l.peers {
		return b.limits.Peers
	}
	return b.limits.Connections
}

func (b *Budget) hasRoom(l *listener) bool {
	open, class := b.clients, shedding.Small
	if l.peers {
		open, class = b.peers, shedding.Peer
	}
	return open < b.limit(l) && (l.limit <= 0 || l.open < l.limit) && b.limits.Fits(class, b.used, connectionCost)
}

// take sets memory aside for what a connection sends. It waits for the duty if there is none, and returns ErrNoRoom or
// net.ErrClosed if the request is refused.
func (b *Budget) take(c *conn, need int64) error {
	b.mutex.Lock()
	if c.gone {
		b.mutex.Unlock()
		return net.ErrClosed
	}
	class := shedding.Bulk
	switch {
	case c.listener.peers:
		class = shedding.Peer
	case c.held+need <= smallRequest:
		class = shedding.Small
	}
	// A large request does not overtake others that wait.
	if b.limits.Fits(class, b.used, need) && (class != shedding.Bulk || len(b.waiting) == 0) {
		b.used += need
		c.held += need
		b.mutex.Unlock()
		return nil
	}
	if b.stopped {
		b.mutex.Unlock()
		return ErrNoRoom
	}
	b.lastID++
	w := &waiter{Waiter: shedding.Waiter{ID: b.lastID, Class: class, Need: need, Since: b.now()}, conn: c, reply: ring.NewReply[bool]()}
	b.waiting = append(b.waiting, w)
	b.mutex.Unlock()
	b.signal()
	granted, err := w.reply.Pull(context.Background()) // answered within the limit for waiting
	if err != nil || !granted {
		return ErrNoRoom
	}
	return nil
}

// release gives memory back.
func (b *Budget) release(c *conn, amount int64) {
	if amount == 0 {
		return
	}
	b.mutex.Lock()
	b.used -= amount
	c.held -= amount
	if c.gone {
		b.freeing -= amount
	}
	waiting := len(b.waiting) > 0
	b.mutex.Unlock()
	if waiting {
		b.signal()
	}
}

// signal wakes the duty. A signal that is pending in a full ring is enough.
func (b *Budget) signal() { _ = b.wake.Push(context.Background(), struct{}{}) }

// usage is the section of the state dump.
type usage struct {
	Limits     shedding.Limits `json:"limits"`
	Used       int64           `json:"used"`
	Freeing    int64           `json:"freeing"`
	Clients    int             `json:"clients"`
	Peers      int             `json:"peers"`
	Waiting    int             `json:"waiting"`
	Activities map[string]int  `json:"activities"`
}

func (b *Budget) state() usage {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	u := usage{
		Limits: b.limits, Used: b.used, Freeing: b.freeing, Clients: b.clients, Peers: b.peers, Waiting: len(b.waiting),
		Activities: map[string]int{},
	}
	for _, c := range b.conns {
		u.Activities[activityName(c.activity())]++
	}
	return u
}
