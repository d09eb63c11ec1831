package listen

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"teaselloft/internal/core/kernel"
)

// headerSlack is the number of bytes beyond the header limit that are read, so that a handler can reject the request
// with its own response.
const headerSlack = 64 << 10

// Server is an HTTP/1.1 server that limits its open connections, the header size and the time that it waits for a
// header or for the next request of a connection.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// Open opens a listener for clients, which counts in the budget of the process. Call it from a plug-in's build function.
func Open(h *kernel.Host, s Settings, handler http.Handler, log *slog.Logger) (*Server, error) {
	b, err := SharedBudget(h)
	if err != nil {
		return nil, err
	}
	return OpenWith(b, s, handler, log)
}

// OpenPeers opens a listener for other daemons, for whose connections and memory a part of the budget is reserved.
func OpenPeers(h *kernel.Host, s Settings, handler http.Handler, log *slog.Logger) (*Server, error) {
	b, err := SharedBudget(h)
	if err != nil {
		return nil, err
	}
	return open(b, true, s, handler, log)
}

// OpenWith opens a listener for clients that counts in a budget.
func OpenWith(b *Budget, s Settings, handler http.Handler, log *slog.Logger) (*Server, error) {
	return open(b, false, s, handler, log)
}

// open binds the address; connections wait in the operating system's backlog until Run accepts them.
func open(b *Budget, peers bool, s Settings, handler http.Handler, log *slog.Logger) (*Server, error) {
	if s.Address == "" {
		return nil, errors.New("listener has no address")
	}
	reloader, err := NewCertReloader(s.TLS, log)
	if err != nil {
		return nil, err
	}
	if reloader != nil && s.TLS.Certificate == "" {
		return nil, errors.New("tls of a listener needs a certificate")
	}
	bound, err := net.Listen("tcp", s.Address) //nolint:noctx // binding an IP address does not block
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", s.Address, err)
	}
	address := bound.Addr()
	var tracking net.Listener = &listener{
		Listener: bound, budget: b, peers: peers, secure: reloader != nil, limit: s.Limits.Connections, timeouts: s.Timeouts,
	}
	if reloader != nil {
		tracking = tls.NewListener(tracking, reloader.ServerConfig())
	}
	log.Info("listening", "event", "listen", "address", address.String(), "tls", reloader != nil)
	return &Server{listener: tracking, http: &http.Server{
		Handler:   tracked{handler: handler, budget: b, body: s.Timeouts.Body.Value()},
		ConnState: connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, unwrap(c))
		},
		ReadHeaderTimeout: s.Timeouts.Header.Value(),
		IdleTimeout:       s.Timeouts.Idle.Value(),
		// Handlers reject requests over the header limit; net/http rejects those beyond the slack with status 431.
		MaxHeaderBytes: s.Limits.Header + headerSlack,
		Protocols:      onlyHTTP1(),
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}, nil
}

func onlyHTTP1() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

// Address returns the bound address.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run accepts connections until ctx is done; after Drain it waits for ctx, since the process stops when a duty returns.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %q: %w", s.Address(), err)
	}
	<-ctx.Done()
	return ctx.Err()
}

// Drain stops accepting connections and waits for the requests in flight.
func (s *Server) Drain(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close closes the listener and its connections without waiting for requests.
func (s *Server) Close() error {
	return errors.Join(s.http.Close(), s.listener.Close())
}
