package port

import (
	"context"
	"errors"
	"net/http"
	"time"

	"teaselloft/internal/model/site"
)

// ErrRelayLost is returned for a call whose relay did not answer in time. The executor may have carried the call out.
var ErrRelayLost = errors.New("relay did not answer")

// Order is what a call asks an executor to do: a Start, a Stop, a Throttle or a Heartbeat.
//
//sumtype:decl
type Order interface{ order() }

func (Start) order()     {}
func (Stop) order()      {}
func (Throttle) order()  {}
func (Heartbeat) order() {}

// ExecutorCall is a call to an executor.
type ExecutorCall struct {
	Serial   uint64 // identifies the call on a channel between daemons, which assigns it
	Executor site.Executor
	Order    Order
	Sent     time.Duration // on the boot clock
	InDoubt  bool          // an earlier attempt may have been carried out, so that a refusal does not prove that it wasn't
	Reset    bool          // close the open connections first, which may be dead
	Delay    time.Duration // wait before a heartbeat is sent
}

// WithSerial returns a copy with the serial.
func (c ExecutorCall) WithSerial(serial uint64) ExecutorCall {
	c.Serial = serial
	return c
}

// WithDoubt returns a copy for another attempt at a call whose outcome is unknown.
func (c ExecutorCall) WithDoubt() ExecutorCall {
	c.InDoubt = true
	return c
}

// ExecutorReply is the result of a call. Report is set for a heartbeat that succeeded.
type ExecutorReply struct {
	Call   ExecutorCall
	Report ExecutorReport
	Err    error
}

// Relays carries calls to executors over other daemons. A relay holds the connections to its executors and sends and
// receives many calls in one frame, which costs the owner of a large pool a fraction of a connection for each executor.
type Relays interface {
	// Connect returns a channel to the relay at an address, which connects in the background. Each call gets one reply,
	// which is passed to reply.
	Connect(ctx context.Context, address string, reply func(ExecutorReply)) RelayChannel
}

// RelayChannel is a channel to one relay. Its methods do not block.
type RelayChannel interface {
	// Send queues a call. After the channel has failed, the reply has the error ErrRelayLost.
	Send(c ExecutorCall)
	// Forget releases what the relay holds for an executor. Its pending calls get no reply.
	Forget(executor string)
	// Failed returns a channel that is closed when the relay did not answer in time or the connection broke.
	Failed() <-chan struct{}
	Close()
}

// PeerHandlers registers handlers on the listener for other daemons.
type PeerHandlers interface {
	// HandlePeer registers a handler. Call it only from a plug-in's build function.
	HandlePeer(pattern string, h http.Handler)
}
