package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/quota"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

// client sends calls to one other daemon. It connects on the first call, and again after the connection has broken.
type client struct {
	address string
	log     *slog.Logger

	mutex       sync.Mutex // guards session and lastFailure
	session     *session
	lastFailure time.Duration // when the last dial failed, on the boot clock; 0 after one that succeeded
	dialMutex   sync.Mutex    // held while dialing, so that concurrent callers share one connection
}

// redialInterval is the least time between a failed dial and the next one. Without it, callers that wait
// for the connection would dial an unreachable daemon one after the other.
const redialInterval = 200 * time.Millisecond

// session is a connection and its pending calls. A closed session is not reopened.
type session struct {
	conn   *websocket.Conn
	cancel context.CancelFunc
	writer chan struct{} // holds an item while a frame is written
	slots  chan struct{} // holds an item for each call that is sent or about to be

	lastReceived atomic.Int64 // time of the last answer, also to a ping, on the boot clock

	mutex      sync.Mutex // guards the fields below
	lastNumber uint64
	pending    map[uint64]*ring.Ring[response] // by request number
	closed     bool
}

// open returns the open session, or dials.
func (c *client) open(ctx context.Context) (*session, error) {
	c.dialMutex.Lock()
	defer c.dialMutex.Unlock()
	c.mutex.Lock()
	s, lastFailure := c.session, c.lastFailure
	c.mutex.Unlock()
	if s != nil && !s.isClosed() {
		return s, nil
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", port.ErrNotConnected, context.Cause(ctx))
	}
	if lastFailure != 0 && clock.SinceBoot()-lastFailure < redialInterval {
		return nil, port.ErrNotConnected
	}
	s, err := c.dial(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) { // the end of a caller says nothing about the peer
			c.lastFailure = clock.SinceBoot()
		}
		c.log.Info("connecting to peer failed", "event", "peer.lost", "address", c.address, "error", err)
		return nil, fmt.Errorf("%w: %w", port.ErrNotConnected, err)
	}
	c.session, c.lastFailure = s, 0
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
	conn.SetReadLimit(maxFrameSize)
	s := &session{conn: conn, writer: make(chan struct{}, 1), slots: make(chan struct{}, maxConcurrentCalls), pending: map[uint64]*ring.Ring[response]{}}
	s.markReceived()
	sessionCtx, stop := context.WithCancel(context.Background())
	s.cancel = stop
	go s.readLoop(sessionCtx)
	go keepAlive(sessionCtx, conn)
	return s, nil
}

func (s *session) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

func (s *session) markReceived() { s.lastReceived.Store(int64(clock.SinceBoot())) }

// checkPeer returns an error if the peer has sent nothing for quietTime and doesn't answer a ping. A call that is written to
// a connection whose peer is suspended or cut off has an unknown outcome.
func (s *session) checkPeer(ctx context.Context) error {
	if clock.SinceBoot()-time.Duration(s.lastReceived.Load()) < quietTime {
		return nil
	}
	result := ring.NewReply[error]()
	go func() { // the library closes the connection if the context of a ping ends while it is written
		pingCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
		defer cancel()
		_ = result.Push(pingCtx, s.conn.Ping(pingCtx)) // never full: a reply ring receives one answer
	}()
	err, waitErr := result.Pull(ctx)
	if err = errors.Join(err, waitErr); err != nil {
		return fmt.Errorf("peer does not answer a ping: %w", err)
	}
	s.markReceived()
	return nil
}

// readLoop passes answers on to their callers until the connection breaks or a frame is invalid.
func (s *session) readLoop(ctx context.Context) {
	defer s.close()
	for {
		_, data, err := s.conn.Read(ctx)
		if err != nil {
			return
		}
		s.markReceived()
		var resp response
		if err := cbor.Unmarshal(data, &resp); err != nil {
			return
		}
		s.mutex.Lock()
		reply, ok := s.pending[resp.Number]
		delete(s.pending, resp.Number)
		s.mutex.Unlock()
		if ok {
			_ = reply.Push(ctx, resp) // never full: a reply ring receives one answer
		}
	}
}

// close closes the connection and answers pending calls with ErrUnknownOutcome.
func (s *session) close() {
	s.cancel()
	_ = s.conn.CloseNow()
	s.mutex.Lock()
	s.closed = true
	pending := s.pending
	s.pending = nil
	s.mutex.Unlock()
	for number, reply := range pending {
		_ = reply.Push(context.Background(), response{Number: number, Code: errorCode(port.ErrUnknownOutcome)}) // never full: a reply ring receives one answer
	}
}

// call sends a request and waits for its answer. It returns ErrNotConnected if the peer can't have received all of the
// request, and ErrUnknownOutcome if the connection breaks or ctx ends after it was sent.
func (c *client) call(ctx context.Context, req request) (response, error) {
	s, err := c.open(ctx)
	if err != nil {
		return response{}, err
	}
	select { // the peer reads neither calls nor pings while it handles as many as it may
	case <-ctx.Done():
		return response{}, fmt.Errorf("%w: %w", port.ErrNotConnected, context.Cause(ctx))
	case s.slots <- struct{}{}:
	}
	defer func() { <-s.slots }()
	reply := ring.NewReply[response]()
	if req.Number, err = s.send(ctx, req, reply); err != nil {
		return response{}, fmt.Errorf("%w: %w", port.ErrNotConnected, err)
	}
	resp, err := reply.Pull(ctx)
	if err != nil {
		s.drop(req.Number)
		return resp, port.ErrUnknownOutcome
	}
	return resp, decodeError(resp.Code)
}

// send writes a request and returns its number. An error means that the peer can't decode the request, since its last bytes
// were not passed to the operating system.
//
// The end of ctx ends the wait for other writes but not the write itself: the library then closes the connection, on which
// other calls wait for their answers.
func (s *session) send(ctx context.Context, req request, reply *ring.Ring[response]) (uint64, error) {
	if err := s.checkPeer(ctx); err != nil {
		return 0, err
	}
	select {
	case <-ctx.Done():
		return 0, context.Cause(ctx)
	case s.writer <- struct{}{}:
	}
	defer func() { <-s.writer }()
	if ctx.Err() != nil {
		return 0, context.Cause(ctx)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Timeout = peerTimeout(time.Until(deadline))
	}
	s.mutex.Lock()
	if s.closed {
		s.mutex.Unlock()
		return 0, net.ErrClosed
	}
	s.lastNumber++
	req.Number = s.lastNumber
	s.pending[req.Number] = reply
	s.mutex.Unlock()
	if err := writeFrame(context.WithoutCancel(ctx), s.conn, encode(req)); err != nil {
		s.drop(req.Number)
		return 0, err
	}
	return req.Number, nil
}

// drop forgets a call that no longer waits for its answer.
func (s *session) drop(number uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.pending, number)
}

// remoteOwner is the owner of a pool in another process.
type remoteOwner struct {
	client *client
	pool   string
}

// Submit implements port.PoolOwner.
func (r remoteOwner) Submit(ctx context.Context, s job.Submission, version int64) error {
	_, err := r.client.call(ctx, request{Call: callSubmit, Pool: r.pool, Submission: &s, Version: version})
	return err
}

// Relinquish implements port.PoolOwner.
func (r remoteOwner) Relinquish(ctx context.Context, s job.Submission, version int64) error {
	_, err := r.client.call(ctx, request{Call: callRelinquish, Pool: r.pool, Submission: &s, Version: version})
	return err
}

// State implements port.PoolOwner.
func (r remoteOwner) State(ctx context.Context, id job.ID, account string) (job.State, error) {
	resp, err := r.client.call(ctx, request{Call: callState, Pool: r.pool, ID: id, Account: account})
	return resp.State, err
}

// Cancel implements port.PoolOwner.
func (r remoteOwner) Cancel(ctx context.Context, id job.ID, account string) error {
	_, err := r.client.call(ctx, request{Call: callCancel, Pool: r.pool, ID: id, Account: account})
	return err
}

// Pending implements port.PoolOwner.
func (r remoteOwner) Pending(ctx context.Context, queue string) (int, error) {
	resp, err := r.client.call(ctx, request{Call: callPending, Pool: r.pool, Queue: queue})
	return resp.Count, err
}

// Vacate implements port.PoolOwner.
func (r remoteOwner) Vacate(ctx context.Context, executors []string, duration time.Duration) ([]string, error) {
	resp, err := r.client.call(ctx, request{Call: callVacate, Pool: r.pool, Executors: executors, Duration: duration})
	return resp.Empty, err
}

// Load implements port.PoolOwner.
func (r remoteOwner) Load(ctx context.Context) (port.Load, error) {
	resp, err := r.client.call(ctx, request{Call: callLoad, Pool: r.pool})
	if err == nil && resp.Load == nil {
		return port.Load{}, port.ErrUnavailable
	}
	if err != nil {
		return port.Load{}, err
	}
	return *resp.Load, resp.Load.Validate()
}

// Quota implements port.PoolOwner.
func (r remoteOwner) Quota(ctx context.Context, limits map[string]quota.Limit) (quota.Report, error) {
	resp, err := r.client.call(ctx, request{Call: callQuota, Pool: r.pool, Limits: limits})
	if err == nil && resp.Quota == nil {
		return quota.Report{}, port.ErrUnavailable
	}
	if err != nil {
		return quota.Report{}, err
	}
	return *resp.Quota, nil
}
