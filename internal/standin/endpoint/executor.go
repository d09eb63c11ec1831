package endpoint

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"
	"teaselloft/internal/standin/executor"

	"github.com/rcrowley/go-metrics"
)

// call is a request from another goroutine to an executor's duty.
//
//sumtype:decl
type call interface{ call() }

// applyMessage applies a message without returning a result.
type applyMessage struct{ message executor.Message }

// applyRequest applies a message about one request; the effect for that request is pushed to reply.
type applyRequest struct {
	id      uint64
	message executor.Message
	reply   *ring.Ring[executor.Effect]
}

// admitConn counts a new connection and asks whether it is within the limit.
type admitConn struct{ reply *ring.Ring[bool] }

// readState asks for the current state.
type readState struct{ reply *ring.Ring[executor.State] }

// drain asks to close the listener and to finish the requests in flight.
type drain struct {
	ctx   context.Context // bounds the wait
	reply *ring.Ring[error]
}

func (applyMessage) call() {}
func (applyRequest) call() {}
func (admitConn) call()    {}
func (readState) call()    {}
func (drain) call()        {}

// callCapacity lets every connection of an executor have a call waiting in the ring.
const callCapacity = 256

// runner is the duty of one executor; it owns the state and the listener.
type runner struct {
	config  Executor
	service string
	address string
	log     *slog.Logger
	calls   *ring.Ring[call]
	ids     atomic.Uint64

	state    executor.State
	pending  map[uint64]*ring.Ring[executor.Effect]
	listener net.Listener
	server   *http.Server
	serving  sync.WaitGroup // goroutines that serve or close
}

func newExecutor(h *kernel.Host, s Settings, e Executor) (*runner, error) {
	l, err := listen(e.Listen)
	if err != nil {
		return nil, err
	}
	return &runner{
		config:   e,
		service:  s.Service,
		address:  l.Addr().String(),
		log:      h.Log.With("executor", e.ID),
		calls:    ring.New[call]("executor", callCapacity, ring.Block, metrics.NewRegistry()),
		state:    executor.New(s.Slots, s.Connections, ms(s.Run)),
		pending:  map[uint64]*ring.Ring[executor.Effect]{},
		listener: l,
	}, nil
}

// run serves calls and ends freezes and reboots in time, until ctx ends.
func (x *runner) run(ctx context.Context) error {
	x.log.Info("executor listening", "event", "listen", "address", x.address)
	x.server = x.newServer(ctx)
	x.open(x.listener)
	defer x.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case c := <-x.calls.Items():
			x.serve(ctx, c)
		case now := <-timer.C:
			x.step(ctx, executor.Tick{Now: now})
		case <-ctx.Done():
			return ctx.Err()
		}
		if wake, ok := x.state.Wake(); ok {
			timer.Reset(time.Until(wake))
		}
	}
}

func (x *runner) serve(ctx context.Context, c call) {
	switch c := c.(type) {
	case applyMessage:
		x.step(ctx, c.message)
	case applyRequest:
		x.pending[c.id] = c.reply
		x.step(ctx, c.message)
	case admitConn:
		_ = c.reply.Push(ctx, !x.step(ctx, executor.ConnOpened{}))
	case readState:
		_ = c.reply.Push(ctx, x.state)
	case drain:
		x.drain(c)
	default:
		panic(fmt.Sprintf("endpoint stand-in: unknown call %T", c))
	}
}

// step applies a message, carries out its effects and reports whether a connection was rejected.
func (x *runner) step(ctx context.Context, m executor.Message) (rejected bool) {
	state, effects := executor.Step(x.state, m)
	x.state = state
	for _, e := range effects {
		switch e := e.(type) {
		case executor.Start:
			x.reply(ctx, e.ID, e)
		case executor.Reply:
			x.reply(ctx, e.ID, e)
		case executor.Reject:
			rejected = true
		case executor.Listen:
			x.listen(ctx)
		case executor.Refuse:
			x.refuse(ctx, e.CloseConns)
		default:
			panic(fmt.Sprintf("endpoint stand-in: unknown effect %T", e))
		}
	}
	return rejected
}

// reply pushes an effect to the pending call of a request.
func (x *runner) reply(ctx context.Context, id uint64, e executor.Effect) {
	if reply, ok := x.pending[id]; ok {
		delete(x.pending, id)
		_ = reply.Push(ctx, e) // cannot block: the ring holds one item and is used once
	}
}

// listing returns the executor's entry of the instance list, or false while the executor is rebooting.
func (x *runner) listing(ctx context.Context) (message.Listing, bool) {
	s, err := ask(ctx, x, func(reply *ring.Ring[executor.State]) call { return readState{reply: reply} })
	if err != nil || s.Down() {
		return message.Listing{}, false
	}
	state := "live"
	if s.Leaving() {
		state = "leaving"
	}
	return x.config.listing(x.service, x.address, state), true
}

// ask pushes a call and waits for its answer.
func ask[T any](ctx context.Context, x *runner, c func(reply *ring.Ring[T]) call) (T, error) {
	reply := ring.NewReply[T]()
	if err := x.calls.Push(ctx, c(reply)); err != nil {
		var zero T
		return zero, err
	}
	return reply.Pull(ctx)
}
