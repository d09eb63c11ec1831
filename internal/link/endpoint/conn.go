package endpoint

import (
	"errors"
	"net"
	"sync"
	"time"
)

var (
	// errSealed is the result of a write after the end of the attempt it belongs to.
	errSealed = errors.New("attempt has ended")
	// errUnsolicited is the result of reading bytes that no request asked for.
	errUnsolicited = errors.New("executor sent bytes before the request")
)

// conn is a connection that knows whether a byte of the current attempt was written.
type conn struct {
	net.Conn
	table    *table
	executor string
	created  time.Time

	// Guarded by the table's mutex.
	busy    bool
	retired bool
	turn    uint64 // counts attempts, so that a late release does not free the next one
	closed  bool

	mutex   sync.Mutex
	sealed  bool // no attempt is running
	writing bool
	written bool
}

// Write refuses to write a byte once the attempt has ended.
func (c *conn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		return 0, errSealed
	}
	c.writing = true
	c.mutex.Unlock()
	n, err := c.Conn.Write(p)
	c.mutex.Lock()
	c.writing = false
	c.written = c.written || n > 0
	c.mutex.Unlock()
	return n, err
}

// Read fails on bytes that arrive before a byte of the attempt was written: they answer another request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mutex.Lock()
	asked := c.writing || c.written
	c.mutex.Unlock()
	if !asked {
		c.table.unsolicited.Inc(1)
		return 0, errUnsolicited
	}
	return n, err
}

// Close also removes the connection from the table.
func (c *conn) Close() error {
	c.table.remove(c)
	return c.Conn.Close()
}

// open allows the writes of a new attempt.
func (c *conn) open() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sealed, c.writing, c.written = false, false, false
}

// seal forbids further writes and reports whether a byte of the attempt may have been written.
func (c *conn) seal() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sealed = true
	return c.written || c.writing
}

// wrote reports whether a byte of the attempt may have been written.
func (c *conn) wrote() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.written || c.writing
}
