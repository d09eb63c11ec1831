package endpoint

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/standin/executor"
)

const (
	readHeaderTimeout = 5 * time.Second
	listenPause       = 100 * time.Millisecond
)

// newServer returns a server that passes requests and connection changes to the duty until ctx ends.
func (x *runner) newServer(ctx context.Context) *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { x.answer(ctx, w, r) }),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          slog.NewLogLogger(x.log.Handler(), slog.LevelDebug),
		ConnState:         func(conn net.Conn, s http.ConnState) { x.track(ctx, conn, s) },
	}
}

// track counts connections and closes those beyond the limit.
func (x *runner) track(ctx context.Context, conn net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		allowed, err := ask(ctx, x, func(reply *ring.Ring[bool]) call { return admitConn{reply: reply} })
		if err != nil || !allowed {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		_ = x.calls.Push(ctx, applyMessage{message: executor.ConnClosed{}})
	case http.StateActive, http.StateIdle:
	}
}

// open serves a listener on a goroutine that ends when the listener is closed.
func (x *runner) open(l net.Listener) {
	x.listener = l
	server := x.server
	x.serving.Go(func() {
		err := server.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			x.log.Warn("executor stopped listening", "event", "listen.ended", "error", err)
		}
	})
}

// refuse closes the listener, so that callers get "connection refused" instead of a connection that is closed
// after a write.
//
// Without cut, requests in flight finish and idle connections are closed.
func (x *runner) refuse(ctx context.Context, cut bool) {
	_ = x.listener.Close()
	server := x.server
	if !cut {
		server.SetKeepAlivesEnabled(false)
		return
	}
	// Close waits for the accepting goroutine, which may wait for this duty.
	x.serving.Go(func() { _ = server.Close() })
	x.server = x.newServer(ctx)
}

// listen binds the same port again; it retries while another process holds the port.
func (x *runner) listen(ctx context.Context) {
	for {
		l, err := listen(x.address)
		if err == nil {
			x.server.SetKeepAlivesEnabled(true)
			x.open(l)
			return
		}
		x.log.Warn("cannot reopen the listener", "event", "listen.failed", "error", err)
		select {
		case <-time.After(listenPause):
		case <-ctx.Done():
			return
		}
	}
}

// drain waits for requests in flight on a separate goroutine, because they need this duty to finish.
func (x *runner) drain(d drain) {
	server := x.server
	x.serving.Go(func() {
		err := server.Shutdown(d.ctx)
		_ = d.reply.Push(d.ctx, err)
	})
}

// close closes the listener and all connections and waits for the serving goroutines.
func (x *runner) close() {
	_ = x.listener.Close()
	_ = x.server.Close()
	x.serving.Wait()
}
