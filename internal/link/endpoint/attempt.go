package endpoint

import (
	"net/http/httptrace"
	"sync"
)

// attempt is one use of one connection for one request.
type attempt struct {
	table       *connTable
	address     string
	headRequest bool // the method is HEAD

	mutex          sync.Mutex
	conn           *conn
	use            *connUse // nil if the connection must not be used
	stale          bool     // the connection was reused, or it must not be used
	earlierWritten bool     // a byte may have been written to an earlier connection
}

// gotConn registers the connection of the attempt. The transport calls it before it writes to the connection.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		panic("endpoint: connection was not dialed by this package")
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.conn != nil {
		// The transport obtains a second connection only to resend the request, so nothing may be written to it.
		a.earlierWritten = a.abort()
		c.startUse(false, false)
		a.conn, a.use, a.stale = c, nil, true
		return
	}
	a.conn = c
	a.use = a.table.assign(c, a.headRequest)
	a.stale = a.use == nil || info.Reused
	a.table.removeWaiting(a.address)
}

// fail ends a failed attempt and reports whether a byte of the request may have been written.
func (a *attempt) fail() (written bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.conn == nil {
		a.table.removeWaiting(a.address)
		return false
	}
	return a.abort()
}

// abort forbids further writes and closes the connection, unless another attempt already uses it. It reports whether a
// byte of the request may have been written. The caller holds the mutex.
func (a *attempt) abort() (written bool) {
	if a.use == nil {
		_ = a.conn.Close()
		return a.earlierWritten
	}
	written, current := a.conn.forbidWrites(a.use)
	if current {
		_ = a.conn.Close()
	}
	return written || a.earlierWritten
}

// mayHaveWritten reports whether a byte of the request may have been written.
func (a *attempt) mayHaveWritten() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.use != nil && a.conn.mayHaveWritten(a.use)
}

// finish ends the attempt after the complete answer has arrived.
func (a *attempt) finish() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.table.release(a.conn, a.use)
}
