package peer

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

// client is the link to one other daemon; it is opened by the first call and again after it broke.
type client struct {
	address string
	log     *slog.Logger

	mutex   sync.Mutex
	session *session
	failed  time.Duration // of the last dial, on the boot clock
	dialing sync.Mutex
}

// redialPause keeps callers from waiting one after the other for a daemon that does not answer.
const redialPause = 200 * time.Millisecond

// session is an open link.
type session struct {
	conn   *websocket.Conn
	cancel context.CancelFunc

	mutex   sync.Mutex
	number  uint64
	waiting map[uint64]*ring.Ring[response]
	broken  bool
}

// open returns the open link, or dials.
func (c *client) open(ctx context.Context) (*session, error) {
	c.dialing.Lock()
	defer c.dialing.Unlock()
	c.mutex.Lock()
	s, failed := c.session, c.failed
	c.mutex.Unlock()
	if s != nil && !s.isBroken() {
		return s, nil
	}
	if failed != 0 && clock.SinceBoot()-failed < redialPause {
		return nil, port.ErrNotConnected
	}
	s, err := c.dial(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.failed = clock.SinceBoot()
		c.log.Info("peer cannot be reached", "event", "peer.lost", "address", c.address, "error", err)
		return nil, fmt.Errorf("%w: %w", port.ErrNotConnected, err)
	}
	c.session, c.failed = s, 0
	return s, nil
}

func (c *client) dial(ctx context.Context) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+c.address+path, &websocket.DialOptions{ //nolint:bodyclose // the library replaces the body
		HTTPClient:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxFrame)
	s := &session{conn: conn, waiting: map[uint64]*ring.Ring[response]{}}
	base, stop := context.WithCancel(context.Background())
	s.cancel = stop
	go s.read(base)
	go keep(base, conn)
	return s, nil
}

func (s *session) isBroken() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.broken
}

// read hands answers to their callers until the link breaks.
func (s *session) read(ctx context.Context) {
	defer s.breakUp()
	for {
		_, data, err := s.conn.Read(ctx)
		if err != nil {
			return
		}
		var r response
		if err := cbor.Unmarshal(data, &r); err != nil {
			return
		}
		s.mutex.Lock()
		reply, ok := s.waiting[r.Number]
		delete(s.waiting, r.Number)
		s.mutex.Unlock()
		if ok {
			_ = reply.Push(ctx, r) // the ring of one answer has room
		}
	}
}

// breakUp ends the link; calls without an answer have an unknown outcome.
func (s *session) breakUp() {
	s.cancel()
	_ = s.conn.CloseNow()
	s.mutex.Lock()
	s.broken = true
	waiting := s.waiting
	s.waiting = nil
	s.mutex.Unlock()
	for number, reply := range waiting {
		_ = reply.Push(context.Background(), response{Number: number, Code: codeOf(port.ErrUnknownOutcome)}) // the ring of one answer has room
	}
}

// call sends a request and waits for its answer.
func (c *client) call(ctx context.Context, q request) (response, error) {
	s, err := c.open(ctx)
	if err != nil {
		return response{}, err
	}
	reply := ring.NewReply[response]()
	s.mutex.Lock()
	if s.broken {
		s.mutex.Unlock()
		return response{}, port.ErrNotConnected
	}
	s.number++
	q.Number = s.number
	s.waiting[q.Number] = reply
	s.mutex.Unlock()
	if deadline, ok := ctx.Deadline(); ok {
		q.Limit = time.Until(deadline)
	}
	write(ctx, s.conn, encode(q))
	r, err := reply.Pull(ctx)
	if err != nil {
		s.mutex.Lock()
		delete(s.waiting, q.Number)
		s.mutex.Unlock()
		return r, port.ErrUnknownOutcome
	}
	return r, errorOf(r.Code)
}

// remote is the owner of a pool in another process.
type remote struct {
	client *client
	pool   string
}

// Submit implements port.PoolOwner.
func (r remote) Submit(ctx context.Context, s job.Submission) error {
	_, err := r.client.call(ctx, request{Call: callSubmit, Pool: r.pool, Submission: &s})
	return err
}

// State implements port.PoolOwner.
func (r remote) State(ctx context.Context, id job.ID) (job.State, error) {
	a, err := r.client.call(ctx, request{Call: callState, Pool: r.pool, ID: id})
	return a.State, err
}

// Cancel implements port.PoolOwner.
func (r remote) Cancel(ctx context.Context, id job.ID) error {
	_, err := r.client.call(ctx, request{Call: callCancel, Pool: r.pool, ID: id})
	return err
}

// Pending implements port.PoolOwner.
func (r remote) Pending(ctx context.Context, queue string) (int, error) {
	a, err := r.client.call(ctx, request{Call: callPending, Pool: r.pool, Queue: queue})
	return a.Count, err
}

// Vacate implements port.PoolOwner.
func (r remote) Vacate(ctx context.Context, executors []string, length time.Duration) ([]string, error) {
	a, err := r.client.call(ctx, request{Call: callVacate, Pool: r.pool, Executors: executors, Length: length})
	return a.Empty, err
}

// Load implements port.PoolOwner.
func (r remote) Load(ctx context.Context) (port.Load, error) {
	a, err := r.client.call(ctx, request{Call: callLoad, Pool: r.pool})
	if err == nil && a.Load == nil {
		return port.Load{}, port.ErrUnavailable
	}
	if err != nil {
		return port.Load{}, err
	}
	return *a.Load, nil
}
