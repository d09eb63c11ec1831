package endpoint

import (
	"net/http/httptrace"
	"sync"
)

// attempt is one use of one connection for one request.
type attempt struct {
	table   *table
	address string

	mutex sync.Mutex
	conn  *conn
	turn  uint64
	stale bool // the connection took no new request
	spent bool // an earlier connection of this attempt took a byte
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
		// Only a replay by the transport asks for a second connection; it stays sealed.
		a.spent = a.conn.seal() || a.spent
		a.conn, a.stale = c, true
		return
	}
	a.conn = c
	a.turn, ok = a.table.begin(c)
	a.stale = !ok || info.Reused
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
	written = a.conn.seal() || a.spent
	_ = a.conn.Close()
	return written
}

// finish ends the attempt after the whole answer arrived.
func (a *attempt) finish() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.table.release(a.conn, a.turn)
}
