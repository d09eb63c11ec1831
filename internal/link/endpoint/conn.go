package endpoint

import (
	"errors"
	"net"
	"sync"
	"time"
)

var (
	// errSealed is the result of a write that belongs to no running attempt.
	errSealed = errors.New("attempt has ended")
	// errUnsolicited is the result of reading bytes that answer no request.
	errUnsolicited = errors.New("executor sent bytes that answer no request")
)

// conn is a connection that knows whether a byte of the current attempt was written.
type conn struct {
	net.Conn
	table    *table
	executor string
	created  time.Time

	// Guarded by the table's mutex.
	busy    bool
	retired bool // takes no new attempt
	closed  bool

	mutex   sync.Mutex
	current *turn // nil while nothing may be written
	spoiled bool  // bytes beyond an answer arrived
	framer  framer
}

// turn is one attempt's use of a connection, guarded by the connection's mutex.
//
// The transport passes a connection on as soon as an answer has ended, which may
// be before the attempt that got the answer looks at its turn again.
type turn struct {
	writing bool
	written bool
}

// Write refuses to write a byte that belongs to no running attempt.
func (c *conn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	t := c.current
	if t == nil {
		c.mutex.Unlock()
		return 0, errSealed
	}
	t.writing = true
	c.mutex.Unlock()
	n, err := c.Conn.Write(p)
	c.mutex.Lock()
	t.writing = false
	t.written = t.written || n > 0
	c.mutex.Unlock()
	return n, err
}

// Read passes on the bytes of the answer; others answer no request of this connection, which is not used again.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	own := 0
	if t := c.current; t != nil && (t.writing || t.written) {
		own = c.framer.feed(p[:n])
	}
	if own < n {
		c.spoiled = true
		c.table.unsolicited.Inc(1)
	}
	if own == 0 {
		return 0, errUnsolicited
	}
	return own, err
}

// Close also removes the connection from the table.
func (c *conn) Close() error {
	c.table.remove(c)
	return c.Conn.Close()
}

// open starts the turn of a new attempt; it returns nil, and forbids writes, when the connection is not fit for one.
func (c *conn) open(fit, head bool) *turn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !fit || c.bad() {
		c.current = nil
		return nil
	}
	c.current = &turn{}
	c.framer = framer{head: head, line: c.framer.line[:0]}
	return c.current
}

// bad tells whether the last answer did not end as announced; the mutex is held.
func (c *conn) bad() bool {
	return c.spoiled || c.framer.state == lost
}

// seal forbids further writes of a turn; it reports whether a byte of the turn may have been written and whether the
// connection is still this turn's.
func (c *conn) seal(t *turn) (written, own bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	own = c.current == t
	if own {
		c.current = nil
	}
	return t.written || t.writing, own
}

// end is seal after a whole answer; it reports whether the connection is still this turn's and fit for another one.
func (c *conn) end(t *turn) (own, fit bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current != t {
		return false, false
	}
	c.current = nil
	return true, !c.bad()
}

// wrote reports whether a byte of the turn may have been written.
func (c *conn) wrote(t *turn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return t.written || t.writing
}
