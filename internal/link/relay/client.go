package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/port"
	"teaselloft/internal/protocol/executor"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
)

// Limits after which a relay counts as lost.
const (
	orderOverdue = 700 * time.Millisecond // for the reply to an order, unless other replies arrive
	silenceLimit = 500 * time.Millisecond // without any reply while one is overdue
	callLimit    = 6 * time.Second        // for any reply; an order may wait behind others to a silent executor
)

var (
	errOverdue = errors.New("replies are overdue")
	errClosed  = errors.New("channel is closed")
)

// channel is the owner's end of a connection to a relay.
type channel struct {
	link    *link
	address string
	reply   func(port.ExecutorReply)
	queue   *ring.Ring[*port.ExecutorCall]
	cancel  context.CancelFunc
	failed  chan struct{}

	mutex      sync.Mutex // guards the fields below
	lastSerial uint64
	pending    map[uint64]port.ExecutorCall // by serial
	forgotten  []string                     // executors that the relay has yet to drop
	received   time.Duration                // time of the last reply
	ended      bool
}

// Connect implements port.Relays.
func (l *link) Connect(ctx context.Context, address string, reply func(port.ExecutorReply)) port.RelayChannel {
	c := &channel{
		link: l, address: address, reply: reply, failed: make(chan struct{}), pending: map[uint64]port.ExecutorCall{}, received: clock.SinceBoot(),
		queue: ring.New[*port.ExecutorCall]("relay.calls", callCapacity, ring.Refuse, metrics.NewRegistry()),
	}
	ctx, c.cancel = context.WithCancel(ctx)
	go c.run(ctx)
	return c
}

// Failed implements port.RelayChannel.
func (c *channel) Failed() <-chan struct{} { return c.failed }

// Close implements port.RelayChannel.
func (c *channel) Close() { c.cancel() }

// Send implements port.RelayChannel.
func (c *channel) Send(call port.ExecutorCall) {
	c.mutex.Lock()
	ended := c.ended
	if !ended {
		c.lastSerial++
		call = call.WithSerial(c.lastSerial)
		c.pending[call.Serial] = call
	}
	c.mutex.Unlock()
	if !ended && c.queue.Push(context.Background(), &call) == nil {
		return
	}
	if c.take(call.Serial) || ended {
		c.reply(port.ExecutorReply{Call: call, Err: port.ErrRelayLost})
	}
}

// take removes a pending call and reports whether it was pending.
func (c *channel) take(serial uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, ok := c.pending[serial]
	delete(c.pending, serial)
	return ok
}

func (c *channel) isPending(serial uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, ok := c.pending[serial]
	return ok
}

// Forget implements port.RelayChannel.
func (c *channel) Forget(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for serial, call := range c.pending {
		if call.Executor.ID == id {
			delete(c.pending, serial)
		}
	}
	c.forgotten = append(c.forgotten, id)
}

// run connects and serves the connection until it breaks. The pending calls then get the error ErrRelayLost.
func (c *channel) run(ctx context.Context) {
	defer c.cancel()
	conn, err := c.dial(ctx)
	if err == nil {
		var group run.Group
		cancel := func(error) { c.cancel() }
		group.Add(func() error { return c.write(ctx, conn) }, cancel)
		group.Add(func() error { return c.read(ctx, conn) }, cancel)
		group.Add(func() error { return c.watchReplies(ctx) }, cancel)
		err = group.Run()
		_ = conn.CloseNow()
	}
	c.mutex.Lock()
	c.ended = true
	pending := c.pending
	c.pending = nil
	c.mutex.Unlock()
	close(c.failed)
	c.link.lost.Inc(1)
	c.link.log.Info("relay lost", "event", "relay.lost", "address", c.address, "pending", len(pending), "error", err)
	for _, call := range pending {
		c.reply(port.ExecutorReply{Call: call, Err: port.ErrRelayLost})
	}
}

func (c *channel) dial(ctx context.Context) (*websocket.Conn, error) {
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
	return conn, nil
}

// write sends the queued calls, those that wait together in one frame.
func (c *channel) write(ctx context.Context, conn *websocket.Conn) error {
	keys := map[string]uint32{} // by executor
	var lastKey uint32
	for {
		call, err := c.queue.Pull(ctx)
		if err != nil {
			return fmt.Errorf("%w: %w", errClosed, err)
		}
		began := time.Now()
		var f callFrame
		for _, id := range c.takeForgotten() {
			if key, ok := keys[id]; ok {
				f.Dropped = append(f.Dropped, key)
				delete(keys, id)
			}
		}
		for {
			// A call that was queued before its executor was forgotten must not reach the next incarnation.
			if c.isPending(call.Serial) {
				key, ok := keys[call.Executor.ID]
				if !ok {
					lastKey++
					key = lastKey
					keys[call.Executor.ID] = key
					f.Opened = append(f.Opened, opened{Key: key, ID: call.Executor.ID, Address: call.Executor.Address})
				}
				f.Calls = append(f.Calls, toCall(call.Serial, key, *call))
			}
			if len(f.Calls) == maxBatch || c.queue.Len() == 0 {
				break
			}
			call = <-c.queue.Items()
		}
		data := encode(f)
		c.link.encoded.Inc(time.Since(began).Microseconds())
		if err := write(ctx, conn, data); err != nil {
			return err
		}
	}
}

func (c *channel) takeForgotten() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ids := c.forgotten
	c.forgotten = nil
	return ids
}

// read passes replies on until the connection breaks or a frame cannot be used.
func (c *channel) read(ctx context.Context, conn *websocket.Conn) error {
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return err
		}
		began := time.Now()
		var f replyFrame
		if err := cbor.Unmarshal(data, &f); err != nil {
			return fmt.Errorf("%w: %w", errFrame, err)
		}
		for _, r := range f.Replies {
			if err := c.handleReply(r); err != nil {
				return err
			}
		}
		c.link.decoded.Inc(time.Since(began).Microseconds())
	}
}

func (c *channel) handleReply(r reply) error {
	c.mutex.Lock()
	c.received = clock.SinceBoot()
	call, ok := c.pending[r.Serial]
	c.mutex.Unlock()
	if !ok {
		return nil // its executor was forgotten
	}
	decoded, err := r.model(call)
	if err != nil {
		return err // the call stays pending and gets ErrRelayLost
	}
	if c.take(r.Serial) {
		c.reply(decoded)
	}
	return nil
}

// watchReplies returns an error when replies are overdue.
func (c *channel) watchReplies(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return errClosed
		case <-ticker.C:
			if c.isOverdue(clock.SinceBoot()) {
				return errOverdue
			}
		}
	}
}

func (c *channel) isOverdue(now time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	silent := now-c.received > silenceLimit
	for _, call := range c.pending {
		age := now - call.Sent
		limit := orderOverdue
		if h, ok := call.Order.(port.Heartbeat); ok {
			limit = call.Delay + h.Wait + executor.HeartbeatMargin + replyMargin
		}
		if age > callLimit+limit || silent && age > limit {
			return true
		}
	}
	return false
}
