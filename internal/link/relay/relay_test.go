package relay_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	_ "teaselloft/internal/link/relay"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
)

// fakeExecutors dials executors that record their calls.
type fakeExecutors struct {
	mutex  sync.Mutex
	calls  []string
	dialed int
	hang   chan struct{} // if set, calls wait until it is closed or their context ends
	err    error
}

func (f *fakeExecutors) Open(e site.Executor) port.ExecutorClient {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.dialed++
	return &fakeClient{fakeExecutors: f, id: e.ID}
}

type fakeClient struct {
	*fakeExecutors
	id string
}

func (f *fakeClient) record(ctx context.Context, call string) error {
	f.mutex.Lock()
	f.calls = append(f.calls, f.id+" "+call)
	hang, err := f.hang, f.err
	f.mutex.Unlock()
	if hang != nil {
		select {
		case <-hang:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}

func (f *fakeClient) Start(ctx context.Context, s port.Start) (int64, error) {
	return 5, f.record(ctx, fmt.Sprintf("start %+v", s))
}

func (f *fakeClient) Stop(ctx context.Context, s port.Stop) (int64, error) {
	return 5, f.record(ctx, fmt.Sprintf("stop %+v", s))
}

func (f *fakeClient) Throttle(ctx context.Context, t port.Throttle) (int64, error) {
	return 5, f.record(ctx, fmt.Sprintf("throttle %+v", t))
}

func (f *fakeClient) Heartbeat(ctx context.Context, h port.Heartbeat) (port.ExecutorReport, error) {
	return report, f.record(ctx, fmt.Sprintf("heartbeat %+v", h))
}

func (f *fakeClient) Reset() {}
func (f *fakeClient) Close() {}

func (f *fakeExecutors) recorded() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.calls...)
}

var (
	task   = job.Task{Job: "00000000000000a1", Occurrence: 1, Step: 2, Index: 3}
	report = port.ExecutorReport{
		Clock: 77, Born: 99,
		Runs:  []port.ActiveRun{{Task: task, Run: 4, Checkpoint: "c", Percent: 50, Metric: 1.5}},
		Ended: []port.EndedRun{{Number: 6, Task: task, Run: 3, Outcome: job.OutcomeFailed, Checkpoint: "d"}},
	}
	orders = []port.Order{
		port.Start{Task: task, Run: 4, Spec: "s", Expires: 1000, FencingToken: 7, Checkpoint: "c", Ticket: "t"},
		port.Stop{Task: task, Run: 4, FencingToken: 7},
		port.Throttle{Task: task, Run: 4, FencingToken: 7, Percent: 25},
		port.Heartbeat{FencingToken: 7, Ack: 5, Expires: 2000, Wait: 20 * time.Millisecond},
	}
)

// mux provides the listener for other daemons.
type mux struct{ *http.ServeMux }

func (m mux) HandlePeer(pattern string, h http.Handler) { m.Handle(pattern, h) }

var current struct {
	mux       mux
	executors *fakeExecutors
}

func init() {
	kernel.Register("fakes", struct{}{}, func(h *kernel.Host, _ struct{}) ([]kernel.Duty, error) {
		kernel.Provide[port.PeerHandlers](h, current.mux)
		kernel.Provide[port.ExecutorDialer](h, current.executors)
		return nil, nil
	})
}

// listener records the accepted connections, so that they can be cut.
type listener struct {
	net.Listener
	mutex sync.Mutex
	conns []net.Conn
}

func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conns = append(l.conns, conn)
	return conn, err
}

func (l *listener) cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, conn := range l.conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// relaySystem is a relay and an owner's side in one process, connected over loopback.
type relaySystem struct {
	relays    port.Relays
	server    *httptest.Server
	listener  *listener
	executors *fakeExecutors
	replies   chan port.ExecutorReply
}

func newRelaySystem(c *qt.C) *relaySystem {
	s := &relaySystem{executors: &fakeExecutors{}, replies: make(chan port.ExecutorReply, 100)}
	current.mux, current.executors = mux{http.NewServeMux()}, s.executors
	k, err := kernel.New(kernel.Settings{Name: "a", Plugins: map[string]json.RawMessage{"fakes": nil, "relay": nil}}, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	s.relays, _ = kernel.Use[port.Relays](k.Host())
	s.server = httptest.NewUnstartedServer(current.mux)
	s.listener = &listener{Listener: s.server.Listener}
	s.server.Listener = s.listener
	s.server.Start()
	c.Cleanup(func() {
		s.listener.cut()
		s.server.Close()
	})
	return s
}

func (s *relaySystem) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

func (s *relaySystem) connect(c *qt.C) port.RelayChannel {
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	return s.relays.Connect(ctx, s.address(), func(r port.ExecutorReply) { s.replies <- r })
}

func (s *relaySystem) next(c *qt.C) port.ExecutorReply {
	c.Helper()
	select {
	case r := <-s.replies:
		return r
	case <-time.After(30 * time.Second):
		c.Fatal("no reply")
		return port.ExecutorReply{}
	}
}

func call(id string, o port.Order) port.ExecutorCall {
	return port.ExecutorCall{Executor: site.Executor{ID: id, Address: "10.0.0.1:80"}, Order: o, Sent: clock.SinceBoot()}
}

// Guards against a part of a call or of its reply that is lost on the way over a relay.
func TestCallsAndReplies(t *testing.T) {
	c := qt.New(t)
	s := newRelaySystem(c)
	channel := s.connect(c)
	var want []string
	for _, o := range orders {
		channel.Send(call("x", o))
		r := s.next(c)
		c.Assert(r.Err, qt.IsNil)
		c.Assert(r.Call.Order, qt.DeepEquals, o)
		name := strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", o), "port."))
		want = append(want, fmt.Sprintf("x %s %+v", name, o))
		if _, ok := o.(port.Heartbeat); ok {
			c.Assert(r.Report, qt.DeepEquals, report)
		}
	}
	c.Assert(s.executors.recorded(), qt.DeepEquals, want)
}

// Guards against an error that loses its meaning on the way: a refusal proves that a task does not run, an unknown
// outcome does not.
func TestErrors(t *testing.T) {
	c := qt.New(t)
	s := newRelaySystem(c)
	channel := s.connect(c)
	for _, err := range []error{
		port.ErrFenced, port.ErrStaleRun, port.ErrExpired, port.ErrNoCapacity, port.ErrTicketRejected, port.ErrWrongIncarnation,
		port.ErrUnhealthy, port.ErrRejected, port.ErrNotConnected,
	} {
		s.executors.err = err
		channel.Send(call("x", orders[0]))
		r := s.next(c)
		c.Check(r.Err, qt.ErrorIs, err)
		c.Check(r.Err, qt.Not(qt.ErrorIs), port.ErrUnknownOutcome)
		if errors.Is(err, port.ErrFenced) {
			continue
		}
		channel.Send(call("x", orders[0]).WithDoubt())
		c.Check(s.next(c).Err, qt.ErrorIs, port.ErrUnknownOutcome, qt.Commentf("%v after an attempt of unknown outcome", err))
	}
}

// Guards against calls without a reply after their relay has ended, and against a wait for a relay that never was there.
func TestLostRelay(t *testing.T) {
	c := qt.New(t)
	s := newRelaySystem(c)
	s.executors.hang = make(chan struct{})
	channel := s.connect(c)
	channel.Send(call("x", orders[0]))
	channel.Send(call("y", port.Heartbeat{Wait: 20 * time.Second}))
	for len(s.executors.recorded()) < 2 {
		time.Sleep(time.Millisecond)
	}
	s.listener.cut()
	for range 2 {
		c.Assert(s.next(c).Err, qt.ErrorIs, port.ErrRelayLost)
	}
	<-channel.Failed()
	channel.Send(call("x", orders[1]))
	c.Assert(s.next(c).Err, qt.ErrorIs, port.ErrRelayLost)

	s.server.Close()
	absent := s.connect(c)
	absent.Send(call("x", orders[0]))
	c.Assert(s.next(c).Err, qt.ErrorIs, port.ErrRelayLost)
}

// Guards against a relay that has stopped answering without closing the connection, as a suspended machine does.
func TestSilentRelay(t *testing.T) {
	c := qt.New(t)
	s := newRelaySystem(c)
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		_, _, _ = conn.Read(r.Context())
		<-r.Context().Done()
	}))
	defer silent.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	channel := s.relays.Connect(ctx, strings.TrimPrefix(silent.URL, "http://"), func(r port.ExecutorReply) { s.replies <- r })
	channel.Send(call("x", orders[0]))
	c.Assert(s.next(c).Err, qt.ErrorIs, port.ErrRelayLost)
}

// Guards against a call to an executor that reaches its next incarnation, which would accept a start that the owner has
// given up.
func TestForgottenExecutor(t *testing.T) {
	c := qt.New(t)
	s := newRelaySystem(c)
	s.executors.hang = make(chan struct{})
	channel := s.connect(c)
	channel.Send(call("x", orders[0]))
	for len(s.executors.recorded()) < 1 {
		time.Sleep(time.Millisecond)
	}
	channel.Send(call("x", orders[1])) // waits in the relay behind the first
	channel.Forget("x")
	s.executors.mutex.Lock()
	s.executors.hang = nil
	s.executors.mutex.Unlock()
	channel.Send(call("x", orders[3]))
	r := s.next(c)
	c.Assert(r.Err, qt.IsNil)
	c.Assert(r.Call.Order, qt.DeepEquals, orders[3])
	for _, recorded := range s.executors.recorded() {
		c.Check(recorded, qt.Not(qt.Contains), "stop")
	}
}

// Guards against new connections to all executors when the owner of a pool changes.
func TestConnectionsOutliveOwner(t *testing.T) {
	c := qt.New(t)
	s := newRelaySystem(c)
	for range 3 {
		channel := s.connect(c)
		channel.Send(call("x", orders[1]))
		c.Assert(s.next(c).Err, qt.IsNil)
		channel.Close()
		<-channel.Failed()
	}
	c.Assert(s.executors.dialed, qt.Equals, 1)
}

// Guards against a frame from another program that ends the relay's process or its other sessions.
func TestInvalidFrames(t *testing.T) {
	c := qt.New(t)
	s := newRelaySystem(c)
	channel := s.connect(c)
	for _, frame := range []string{"", "\xff", "\x83\x80\x80\x81\x80", "\x83\x81\x83\x01\x61x\x60\x80\x81\x8d\x01\x01\x09\x00\x00\x84\x60\x00\x00\x00\x00\x00\x00\x00\x00\x60\x60\x60", strings.Repeat("\x81", 5000)} {
		conn, _, err := websocket.Dial(context.Background(), "ws://"+s.address()+"/orders", nil) //nolint:bodyclose // the library replaces the body
		c.Assert(err, qt.IsNil)
		c.Assert(conn.Write(context.Background(), websocket.MessageBinary, []byte(frame)), qt.IsNil)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		_, _, err = conn.Read(ctx)
		cancel()
		c.Check(err, qt.IsNotNil)
		c.Check(ctx.Err(), qt.Not(qt.Equals), context.DeadlineExceeded, qt.Commentf("frame %q does not end its session", frame))
	}
	channel.Send(call("x", orders[1]))
	c.Assert(s.next(c).Err, qt.IsNil)
}
