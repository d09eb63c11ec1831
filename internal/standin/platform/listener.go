package platform

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes of its connections, with headers, so that the cost of idle clients can be measured.
type countingListener struct {
	net.Listener
	received atomic.Int64
	sent     atomic.Int64
	accepted atomic.Int64
}

// Accept waits for the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	return &countingConn{Conn: conn, of: l}, nil
}

type countingConn struct {
	net.Conn
	of *countingListener
}

// Read counts what it reads.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.of.received.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.of.sent.Add(int64(n))
	return n, err
}
