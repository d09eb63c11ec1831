package listen

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// drainTime is the time that a client whose body is refused has to send the rest of it, so that it reads the answer before
// the connection is closed.
const drainTime = 300 * time.Millisecond

// tracked serves requests and gives back what they hold when they are answered.
type tracked struct {
	handler http.Handler
	budget  *Budget
	body    time.Duration // timeout for bodies, without the time for their length
}

// ServeHTTP implements http.Handler.
func (t tracked) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil {
		t.handler.ServeHTTP(w, r)
		return
	}
	defer c.finish()
	if r.Body == nil || r.Body == http.NoBody {
		t.handler.ServeHTTP(w, r)
		return
	}
	b := &trackedBody{ReadCloser: r.Body, conn: c, writer: w, timeout: t.body, length: r.ContentLength}
	b.extend(max(0, r.ContentLength))
	// net/http looks at the body of its own request when the handler has returned.
	r = r.WithContext(r.Context())
	r.Body = b
	t.handler.ServeHTTP(w, r)
	if !b.ended && b.err == nil {
		c.enter(body) // net/http reads the rest before it answers
	}
}

// trackedBody is a body for which memory is set aside: its declared length before the first byte is read, or twice what was
// read so far if the length isn't known.
type trackedBody struct {
	io.ReadCloser
	conn    *conn
	writer  http.ResponseWriter
	timeout time.Duration
	length  int64 // declared; negative if unknown
	room    int64 // bytes that may be read before more memory is set aside
	read    int64
	err     error // of a refusal
	ended   bool
}

// extend sets the deadline for the next bytes.
func (b *trackedBody) extend(size int64) {
	seconds := time.Duration(size) * time.Second / time.Duration(b.conn.budget.settings.Rate)
	b.conn.setBodyDeadline(time.Now().Add(b.timeout + seconds))
}

// reserve sets memory aside for the next bytes.
func (b *trackedBody) reserve() error {
	if b.err != nil || b.read < b.room {
		return b.err
	}
	next, cost := b.length, b.length
	if b.length < 0 {
		next = max(firstChunk, b.room)
		cost = chunkedCost * next
	}
	b.conn.enter(body)
	if err := b.conn.hold(cost); err != nil {
		b.refuse(err)
		return err
	}
	if b.length < 0 {
		b.extend(next)
	}
	b.room += next
	return nil
}

// refuse makes the connection end with the answer.
func (b *trackedBody) refuse(err error) {
	b.err = err
	b.conn.enter(working)
	b.writer.Header().Set("Connection", "close")
	b.conn.resetReadDeadlines() // the handler reads no more
	b.conn.setBodyDeadline(time.Now().Add(drainTime))
}

// Read implements io.Reader. Its error is ErrNoRoom or ErrSlow if the request is to be refused.
func (b *trackedBody) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if err := b.reserve(); err != nil {
		return 0, err
	}
	if b.length < 0 && int64(len(p)) > b.room-b.read {
		p = p[:b.room-b.read]
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.ended = true
		b.conn.enter(working)
		b.conn.resetReadDeadlines()
		b.conn.setBodyDeadline(time.Time{}) // an expired one would cancel the request while it is handled
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.budget.meters.timeout(slowBody)
		b.refuse(ErrSlow)
		err = ErrSlow
	}
	return n, err
}

// ReadBody reads the body of a request, of at most limit bytes. Its error is a *http.MaxBytesError for a larger one, and
// ErrNoRoom or ErrSlow if the request is to be refused.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	b, ok := r.Body.(*trackedBody)
	if ok && r.ContentLength > limit {
		err := &http.MaxBytesError{Limit: limit}
		b.refuse(err)
		return nil, err
	}
	if !ok || r.ContentLength <= 0 {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	if err := b.reserve(); err != nil { // before the buffer exists
		return nil, err
	}
	data := make([]byte, r.ContentLength)
	_, err := io.ReadFull(b, data)
	return data, err
}

// Hold sets memory aside for a request until it is answered, for what is made from its body or for a large answer. It
// returns ErrNoRoom if there is none.
func Hold(ctx context.Context, size int64) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	return c.hold(size)
}

// Encode encodes a large answer and sets memory aside for it until it was written. Answers are encoded one at a time. It
// returns ErrNoRoom if there is no memory.
func Encode(ctx context.Context, encode func() ([]byte, error)) ([]byte, error) {
	encoding.Lock()
	defer encoding.Unlock()
	data, err := encode()
	if err != nil {
		return nil, err
	}
	return data, Hold(ctx, int64(len(data)))
}

// encoding is held while a large answer is encoded: the process has one budget, and the memory is not set aside before the
// length is known.
var encoding sync.Mutex

// Message is a message of a peer on a connection that was taken over from HTTP. Memory is set aside for it until Release.
type Message struct {
	Data []byte
	conn *conn
	held int64
}

// Release gives the memory back.
func (m *Message) Release() {
	if m.conn != nil {
		m.conn.budget.release(m.conn, m.held)
	}
	m.held = 0
}

// Attach returns a context for the messages on the connection of a request, which outlives the request.
func Attach(ctx context.Context, r *http.Request) context.Context {
	return context.WithValue(ctx, connKey{}, connOf(r.Context()))
}

// ReadMessage reads a message to its end. The context is one that Attach returned.
func ReadMessage(ctx context.Context, r io.Reader) (*Message, error) {
	m := &Message{conn: connOf(ctx)}
	if m.conn != nil {
		m.conn.enter(body)
		defer m.conn.enter(linked)
	}
	for {
		if len(m.Data) == cap(m.Data) {
			if err := m.grow(); err != nil {
				m.Release()
				return nil, err
			}
		}
		n, err := r.Read(m.Data[len(m.Data):cap(m.Data)])
		m.Data = m.Data[:len(m.Data)+n]
		if errors.Is(err, io.EOF) {
			return m, nil
		}
		if err != nil {
			m.Release()
			return nil, err
		}
	}
}

// grow makes the first buffer, or one of twice the size, once memory is set aside for it. Small messages count, too: peers may
// send many of them on one connection before the first is handled.
func (m *Message) grow() error {
	size := max(firstMessage, 2*cap(m.Data))
	if m.conn != nil {
		more := chunkedCost*int64(size) - m.held
		if err := m.conn.budget.take(m.conn, more); err != nil {
			return err
		}
		m.held += more
	}
	m.Data = append(make([]byte, 0, size), m.Data...)
	return nil
}
