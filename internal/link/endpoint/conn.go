package endpoint

import (
	"errors"
	"net"
	"sync"
	"time"
)

var (
	// errAttemptEnded is returned by a write outside an attempt.
	errAttemptEnded = errors.New("attempt has ended")
	// errUnsolicited is returned by a read of bytes that answer no request.
	errUnsolicited = errors.New("executor sent bytes that answer no request")
)

// conn is a connection that records whether a byte of the current attempt was written.
type conn struct {
	net.Conn
	table   *connTable
	address string
	created time.Time

	// Guarded by the table's mutex.
	busy    bool
	retired bool // takes no new attempt
	closed  bool

	mutex      sync.Mutex
	current    *connUse // nil while writes are forbidden
	sawSurplus bool     // received bytes that answer no request
	framer     framer
}

// connUse is the use of a connection by one attempt. The connection's mutex guards it.
//
// The transport reuses a connection as soon as an answer has ended, possibly before the attempt that received the
// answer accesses its connUse again.
type connUse struct {
	writing bool
	written bool
}

// Write fails without writing a byte unless an attempt uses the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	u := c.current
	if u == nil {
		c.mutex.Unlock()
		return 0, errAttemptEnded
	}
	u.writing = true
	c.mutex.Unlock()
	n, err := c.Conn.Write(p)
	c.mutex.Lock()
	u.writing = false
	u.written = u.written || n > 0
	c.mutex.Unlock()
	return n, err
}

// Read returns only bytes of the current answer. After any other bytes the connection is not used again.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	own := 0
	if u := c.current; u != nil && (u.writing || u.written) {
		own = c.framer.consume(p[:n])
	}
	if own < n {
		c.sawSurplus = true
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

// startUse starts the use by a new attempt. It forbids writes and returns nil if the connection must not be used.
func (c *conn) startUse(usable, headRequest bool) *connUse {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !usable || c.unusable() {
		c.current = nil
		return nil
	}
	c.current = &connUse{}
	c.framer = framer{headRequest: headRequest, line: c.framer.line[:0]}
	return c.current
}

// unusable reports whether the previous answer did not end as announced. The caller holds the mutex.
func (c *conn) unusable() bool {
	return c.sawSurplus || c.framer.state == invalid
}

// forbidWrites forbids further writes by u. It reports whether a byte may have been written during u and whether u is
// still the current use of the connection.
func (c *conn) forbidWrites(u *connUse) (written, current bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	current = c.current == u
	if current {
		c.current = nil
	}
	return u.written || u.writing, current
}

// endUse ends u after a complete answer. It reports whether u was the current use of the connection and whether another
// attempt may use it.
func (c *conn) endUse(u *connUse) (current, usable bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current != u {
		return false, false
	}
	c.current = nil
	return true, !c.unusable()
}

// mayHaveWritten reports whether a byte may have been written during u.
func (c *conn) mayHaveWritten(u *connUse) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return u.written || u.writing
}
