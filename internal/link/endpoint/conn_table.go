package endpoint

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// connTable tracks the connections to each executor and closes those that exceed the limits.
type connTable struct {
	maxAge      time.Duration
	unsolicited metrics.Counter

	mutex     sync.Mutex
	limits    ConnLimits
	executors map[string]*executorConns // by address
}

// executorConns holds the connections to one address.
type executorConns struct {
	id      string
	conns   map[*conn]struct{}
	waiting int // attempts without a connection
}

// Usage reports the connections to one executor in the state dump.
type Usage struct {
	Executor string `json:"executor"`
	Open     int    `json:"open"`
	Idle     int    `json:"idle"`
	Waiting  int    `json:"waiting"`
	MaxIdle  int    `json:"bound"` // maximum number of idle connections
}

func newConnTable(maxAge time.Duration, r metrics.Registry) *connTable {
	return &connTable{
		maxAge:      maxAge,
		unsolicited: metrics.GetOrRegisterCounter("endpoint.unsolicited", r),
		limits:      NewConnLimits(),
		executors:   map[string]*executorConns{},
	}
}

// addWaiting records an attempt that needs a connection.
func (t *connTable) addWaiting(address, id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entry(address)
	e.id = id
	e.waiting++
}

// removeWaiting records that an attempt has got a connection or has failed to get one.
func (t *connTable) removeWaiting(address string) {
	t.mutex.Lock()
	e := t.entry(address)
	e.waiting--
	surplus := t.retireSurplus(address, e)
	t.mutex.Unlock()
	closeAll(surplus)
}

// add wraps and records a new connection.
func (t *connTable) add(address string, c net.Conn) *conn {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	w := &conn{Conn: c, table: t, address: address, created: time.Now()}
	t.entry(address).conns[w] = struct{}{}
	return w
}

// assign assigns a connection to an attempt. It returns nil if the connection must not be used.
func (t *connTable) assign(c *conn, headRequest bool) *connUse {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	usable := !c.retired && !c.closed && time.Since(c.created) <= t.maxAge
	started := c.startUse(usable, headRequest)
	c.retired = c.retired || started == nil
	c.busy = true
	return started
}

// release ends the use of a connection by an attempt whose complete answer has arrived.
func (t *connTable) release(c *conn, ended *connUse) {
	t.mutex.Lock()
	current, usable := c.endUse(ended)
	if !current {
		t.mutex.Unlock()
		return
	}
	c.busy = false
	var surplus []*conn
	if !usable && !c.retired {
		c.retired = true
		surplus = append(surplus, c)
	}
	surplus = append(surplus, t.retireSurplus(c.address, t.entry(c.address))...)
	t.mutex.Unlock()
	closeAll(surplus)
}

func (t *connTable) remove(c *conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	e := t.entry(c.address)
	delete(e.conns, c)
	t.dropIfEmpty(c.address, e)
}

func (t *connTable) setLimits(l ConnLimits) {
	var surplus []*conn
	t.mutex.Lock()
	t.limits = l
	for address, e := range t.executors {
		surplus = append(surplus, t.retireSurplus(address, e)...)
	}
	t.mutex.Unlock()
	closeAll(surplus)
}

// retireSurplus retires idle connections that are too old, and the oldest of those that exceed the limit. It returns
// them to be closed. The caller holds the mutex.
func (t *connTable) retireSurplus(address string, e *executorConns) []*conn {
	var idle, surplus []*conn
	for c := range e.conns {
		if c.busy || c.retired {
			continue
		}
		if time.Since(c.created) > t.maxAge {
			surplus = append(surplus, c)
			continue
		}
		idle = append(idle, c)
	}
	// A connection that was dialed for a waiting attempt counts as idle until it is assigned to the attempt.
	if excess := len(idle) - t.limits.MaxIdle(e.id) - e.waiting; excess > 0 {
		slices.SortFunc(idle, func(a, b *conn) int { return a.created.Compare(b.created) })
		surplus = append(surplus, idle[:excess]...)
	}
	for _, c := range surplus {
		c.retired = true
	}
	t.dropIfEmpty(address, e)
	return surplus
}

// entry returns the entry of an address and adds it if needed. The caller holds the mutex.
func (t *connTable) entry(address string) *executorConns {
	e, ok := t.executors[address]
	if !ok {
		e = &executorConns{conns: map[*conn]struct{}{}}
		t.executors[address] = e
	}
	return e
}

// dropIfEmpty deletes an entry without connections and waiting attempts, so that entries of replaced executors do not
// accumulate. The caller holds the mutex.
func (t *connTable) dropIfEmpty(address string, e *executorConns) {
	if len(e.conns) == 0 && e.waiting == 0 {
		delete(t.executors, address)
	}
}

// usage returns the use of connections by address.
func (t *connTable) usage() map[string]Usage {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := make(map[string]Usage, len(t.executors))
	for address, e := range t.executors {
		u := Usage{Executor: e.id, Open: len(e.conns), Waiting: e.waiting, MaxIdle: t.limits.MaxIdle(e.id)}
		for c := range e.conns {
			if !c.busy {
				u.Idle++
			}
		}
		all[address] = u
	}
	return all
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}
