package listen

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"teaselloft/internal/decision/shedding"
)

// progressSize is the number of bytes that count as progress of a sender.
const progressSize = 4 << 10

// phase is what a connection is doing, apart from writing.
type phase int32

const (
	silent  phase = iota // nothing was received yet
	idle                 // between two requests
	head                 // a head is being received
	body                 // a body or a message is being received
	working              // a request is being handled
	linked               // taken over from HTTP, between two messages
)

// conn is a connection that counts in the budget. It sets no timers for single reads.
type conn struct {
	net.Conn
	budget   *Budget
	listener *listener
	id       uint64
	address  string

	// Guarded by the mutex of the budget.
	held int64 // bytes set aside for what was received and is not answered
	gone bool

	phase   atomic.Int32
	since   atomic.Int64 // time of the last progress, or since when the connection is silent or idle
	writing atomic.Int64 // when the present write began, or 0

	unmarked atomic.Int64 // bytes received since the last progress
	request  atomic.Int64 // bytes set aside for the present request; part of held

	// Used by the goroutine that reads heads.
	headCost int64 // of the bytes of the present head
	headHeld int64 // set aside for them

	deadline    atomic.Int64 // of writes, or 0
	ownDeadline atomic.Bool  // the handler has set a deadline for writes

	readMutex       sync.Mutex // guards the deadlines for reads of the present request, which are zero if there is none
	handlerDeadline time.Time  // set by the handler
	bodyDeadline    time.Time  // of the body
}

func newConn(b *Budget, l *listener, raw net.Conn, id uint64) *conn {
	c := &conn{Conn: raw, budget: b, listener: l, id: id}
	if host, _, err := net.SplitHostPort(raw.RemoteAddr().String()); err == nil {
		c.address = host
	}
	c.since.Store(int64(b.now()))
	return c
}

// activity returns what the connection is doing.
func (c *conn) activity() shedding.Activity {
	current := phase(c.phase.Load())
	since := time.Duration(c.since.Load())
	if w := c.writing.Load(); w != 0 && current != linked {
		return shedding.Answering{Since: time.Duration(w)}
	}
	switch current {
	case silent:
		return shedding.Silent{Since: since}
	case idle:
		return shedding.Idle{Since: since}
	case head, body:
		return shedding.Sending{Progress: since}
	case linked:
		return shedding.Linked{Since: since}
	default:
		return shedding.Working{}
	}
}

// activityName returns the name of an activity in the state dump.
func activityName(a shedding.Activity) string {
	switch a.(type) {
	case shedding.Silent:
		return "silent"
	case shedding.Idle:
		return "idle"
	case shedding.Sending:
		return "sending"
	case shedding.Answering:
		return "answering"
	case shedding.Linked:
		return "linked"
	case shedding.Working:
		return "working"
	default:
		return "unknown"
	}
}

// enter changes the phase.
func (c *conn) enter(p phase) {
	c.since.Store(int64(c.budget.now()))
	c.unmarked.Store(0)
	c.phase.Store(int32(p))
}

// Read implements net.Conn. It sets memory aside for the head of a request as it grows.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	current := phase(c.phase.Load())
	if n > 0 && current != working {
		if current < head {
			c.headCost, c.headHeld = 0, 0
			c.enter(head)
			current = head
		}
		if c.unmarked.Add(int64(n)) >= progressSize || current == linked {
			c.unmarked.Store(0)
			c.since.Store(int64(c.budget.now()))
		}
		if current == head {
			if refused := c.takeHead(p[:n]); refused != nil {
				c.refuse(refused)
				return 0, &net.OpError{Op: "read", Net: "tcp", Err: refused} // net/http answers other errors with 400
			}
		}
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && (current == silent || current == head) {
		c.budget.meters.timeout(slowHead)
	}
	return n, err
}

// takeHead sets memory aside for more bytes of a head.
func (c *conn) takeHead(data []byte) error {
	if c.listener.secure {
		c.headCost += secureByteCost * int64(len(data))
	} else {
		c.headCost += headByteCost*int64(len(data)) + headLineCost*int64(bytes.Count(data, []byte{'\n'}))
	}
	more := c.headCost - freeHead - c.headHeld
	if more <= 0 {
		return nil
	}
	if c.headCost > maxHead {
		c.budget.meters.refused(refusedHead, 1)
		return errLargeHead
	}
	c.headHeld += more
	return c.hold(more)
}

// refuse answers a request whose head is not read to its end. net/http closes the connection after a network error without
// an answer of its own. Over TLS the caller gets no answer.
func (c *conn) refuse(err error) {
	answer := refusal
	if errors.Is(err, errLargeHead) {
		answer = largeHead
	}
	if !c.listener.secure {
		_, _ = c.Write([]byte(answer))
	}
}

// hold sets memory aside until the present request ends.
func (c *conn) hold(size int64) error {
	if err := c.budget.take(c, size); err != nil {
		return err
	}
	c.request.Add(size)
	return nil
}

// Write implements net.Conn. Unless the handler has set a deadline, a write that the client doesn't read fails after the
// timeout for answers.
func (c *conn) Write(p []byte) (int, error) {
	if phase(c.phase.Load()) == linked {
		return c.Conn.Write(p) // peers have timeouts of their own
	}
	now := c.budget.now()
	deadline := now + c.listener.timeouts.Write.Value()
	if deadline > now && !c.ownDeadline.Load() && (c.deadline.Load() == 0 || deadline-time.Duration(c.deadline.Load()) > min(time.Second, c.listener.timeouts.Write.Value()/4)) {
		c.deadline.Store(int64(deadline))
		_ = c.Conn.SetWriteDeadline(c.budget.epoch.Add(deadline))
	}
	c.writing.Store(int64(now))
	n, err := c.Conn.Write(p)
	c.writing.Store(0)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.budget.meters.timeout(slowReader)
	}
	return n, err
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.ownDeadline.Store(!t.IsZero())
	c.deadline.Store(0)
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. While a request is handled, the deadline is the handler's, and that of the body stays
// in force if it is earlier.
func (c *conn) SetReadDeadline(t time.Time) error {
	if current := phase(c.phase.Load()); current != working && current != body {
		return c.Conn.SetReadDeadline(t)
	}
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	c.handlerDeadline = t
	return c.Conn.SetReadDeadline(earlier(t, c.bodyDeadline))
}

// setBodyDeadline sets the deadline of the body. That of the handler stays in force if it is earlier.
func (c *conn) setBodyDeadline(t time.Time) {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	c.bodyDeadline = t
	_ = c.Conn.SetReadDeadline(earlier(t, c.handlerDeadline))
}

// resetReadDeadlines forgets the deadlines of a request, without a change of the one that applies.
func (c *conn) resetReadDeadlines() {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	c.handlerDeadline, c.bodyDeadline = time.Time{}, time.Time{}
}

// earlier returns the earlier of two deadlines, of which zero ones mean none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.budget.mutex.Lock()
	c.budget.forget(c)
	c.budget.mutex.Unlock()
	c.finish()
	return c.Conn.Close()
}

// CloseWrite ends the answer without closing the connection, which net/http does when the client is still sending.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// finish gives back what the request holds that has ended.
func (c *conn) finish() { c.budget.release(c, c.request.Swap(0)) }

type connKey struct{}

// connOf returns the connection of a request, or nil if it did not come through a Server.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// unwrap returns the connection below TLS.
func unwrap(c net.Conn) *conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	tracked, _ := c.(*conn)
	return tracked
}

// connState follows the state of a connection in net/http.
func connState(raw net.Conn, state http.ConnState) {
	c := unwrap(raw)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive: // before net/http begins to read in the background
		c.resetReadDeadlines()
		c.enter(working)
	case http.StateIdle:
		c.enter(idle)
	case http.StateHijacked:
		c.enter(linked)
	default:
	}
}
