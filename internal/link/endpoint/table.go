package endpoint

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// table tracks the connections to each executor and closes those beyond the bounds.
type table struct {
	age         time.Duration
	unsolicited metrics.Counter

	mutex     sync.Mutex
	bounds    Bounds
	executors map[string]*executor // by address
}

// executor holds the connections to one address.
type executor struct {
	id      string
	conns   map[*conn]struct{}
	waiting int // attempts that have no connection yet
}

// Usage counts the connections to one executor.
type Usage struct {
	Executor string `json:"executor"`
	Open     int    `json:"open"`
	Idle     int    `json:"idle"`
	Waiting  int    `json:"waiting"`
	Bound    int    `json:"bound"` // of idle connections
}

func newTable(age time.Duration, r metrics.Registry) *table {
	return &table{
		age:         age,
		unsolicited: metrics.GetOrRegisterCounter("endpoint.unsolicited", r),
		bounds:      NewBounds(),
		executors:   map[string]*executor{},
	}
}

// wait notes an attempt that needs a connection.
func (t *table) wait(address, id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.executor(address)
	e.id = id
	e.waiting++
}

// leave notes that an attempt no longer needs a connection.
func (t *table) leave(address string) {
	t.mutex.Lock()
	e := t.executor(address)
	e.waiting--
	surplus := t.trim(address, e)
	t.mutex.Unlock()
	closeAll(surplus)
}

// add wraps a new connection.
func (t *table) add(address string, c net.Conn) *conn {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	w := &conn{Conn: c, table: t, executor: address, created: time.Now()}
	t.executor(address).conns[w] = struct{}{}
	return w
}

// begin gives a connection to an attempt; it returns nil when the connection takes no new request.
func (t *table) begin(c *conn, head bool) *turn {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	fit := !c.retired && !c.closed && time.Since(c.created) <= t.age
	started := c.open(fit, head)
	c.retired = c.retired || started == nil
	c.busy = true
	return started
}

// release ends an attempt whose whole answer arrived.
func (t *table) release(c *conn, ended *turn) {
	t.mutex.Lock()
	own, fit := c.end(ended)
	if !own {
		t.mutex.Unlock()
		return
	}
	c.busy = false
	var surplus []*conn
	if !fit && !c.retired {
		c.retired = true
		surplus = append(surplus, c)
	}
	surplus = append(surplus, t.trim(c.executor, t.executor(c.executor))...)
	t.mutex.Unlock()
	closeAll(surplus)
}

func (t *table) remove(c *conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	e := t.executor(c.executor)
	delete(e.conns, c)
	t.forget(c.executor, e)
}

func (t *table) setBounds(b Bounds) {
	var surplus []*conn
	t.mutex.Lock()
	t.bounds = b
	for address, e := range t.executors {
		surplus = append(surplus, t.trim(address, e)...)
	}
	t.mutex.Unlock()
	closeAll(surplus)
}

// trim retires old idle connections and the oldest ones beyond the bound; the mutex is held.
func (t *table) trim(address string, e *executor) []*conn {
	var idle, surplus []*conn
	for c := range e.conns {
		if c.busy || c.retired {
			continue
		}
		if time.Since(c.created) > t.age {
			surplus = append(surplus, c)
			continue
		}
		idle = append(idle, c)
	}
	// A connection that was dialed for a waiting attempt is idle until the attempt takes it.
	if over := len(idle) - t.bounds.Idle(e.id) - e.waiting; over > 0 {
		slices.SortFunc(idle, func(a, b *conn) int { return a.created.Compare(b.created) })
		surplus = append(surplus, idle[:over]...)
	}
	for _, c := range surplus {
		c.retired = true
	}
	t.forget(address, e)
	return surplus
}

// executor returns the entry of an address; the mutex is held.
func (t *table) executor(address string) *executor {
	e, ok := t.executors[address]
	if !ok {
		e = &executor{conns: map[*conn]struct{}{}}
		t.executors[address] = e
	}
	return e
}

// forget drops an entry that holds nothing, so that replaced executors do not accumulate; the mutex is held.
func (t *table) forget(address string, e *executor) {
	if len(e.conns) == 0 && e.waiting == 0 {
		delete(t.executors, address)
	}
}

// usage returns the connections by address.
func (t *table) usage() map[string]Usage {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := make(map[string]Usage, len(t.executors))
	for address, e := range t.executors {
		u := Usage{Executor: e.id, Open: len(e.conns), Waiting: e.waiting, Bound: t.bounds.Idle(e.id)}
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
