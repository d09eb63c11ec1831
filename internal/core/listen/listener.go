package listen

import (
	"net"
	"time"
)

// Answers on a connection that is closed before a request was read from it: there is no room, or the head is too large.
const (
	noBody    = "Connection: close\r\nContent-Length: 0\r\n\r\n"
	refusal   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + noBody
	largeHead = "HTTP/1.1 431 Request Header Fields Too Large\r\n" + noBody
)

// listener accepts connections that count in a budget.
type listener struct {
	net.Listener
	budget   *Budget
	peers    bool // other daemons connect to it
	secure   bool // with TLS
	limit    int  // of its own connections, 0 for none
	timeouts Timeouts
	open     int // guarded by the mutex of the budget
}

// Accept implements net.Listener. A connection for which there is no room is refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, ok := l.budget.admit(l, raw)
		if !ok {
			// Requests may have ended since, and connections are closed at most once in this time.
			time.Sleep(cutInterval)
			c, ok = l.budget.admit(l, raw)
		}
		if ok {
			return c, nil
		}
		l.budget.meters.refused(refusedConnection, 1)
		if !l.secure {
			_, _ = raw.Write([]byte(refusal)) // does not block: the buffer of the connection is empty
		}
		_ = raw.Close()
	}
}
