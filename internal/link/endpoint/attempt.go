package endpoint

import (
	"net/http/httptrace"
	"sync"
)

// attempt is one use of one connection for one request.
type attempt struct {
	table   *table
	address string
	head    bool // the method is HEAD

	mutex sync.Mutex
	conn  *conn
	turn  *turn // nil when the connection took no new request
	stale bool  // the connection was an old one
	spent bool  // an earlier connection of this attempt took a byte
}

// gotConn is called by the transport before it writes to the connection.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		panic("endpoint: connection was not dialed by this package")
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.conn != nil {
		// Only a replay by the transport asks for a second connection, which must stay silent.
		a.spent = a.seal()
		c.open(false, false)
		a.conn, a.turn, a.stale = c, nil, true
		return
	}
	a.conn = c
	a.turn = a.table.begin(c, a.head)
	a.stale = a.turn == nil || info.Reused
	a.table.leave(a.address)
}

// fail ends the attempt and reports whether a byte of the request may have been written.
func (a *attempt) fail() (written bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.conn == nil {
		a.table.leave(a.address)
		return false
	}
	return a.seal()
}

// seal forbids further writes and closes the connection, unless it went on to another attempt; the mutex is held.
func (a *attempt) seal() (written bool) {
	if a.turn == nil {
		_ = a.conn.Close()
		return a.spent
	}
	written, own := a.conn.seal(a.turn)
	if own {
		_ = a.conn.Close()
	}
	return written || a.spent
}

// wrote reports whether a byte of the request may have been written.
func (a *attempt) wrote() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.turn != nil && a.conn.wrote(a.turn)
}

// finish ends the attempt after the whole answer arrived.
func (a *attempt) finish() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.table.release(a.conn, a.turn)
}
