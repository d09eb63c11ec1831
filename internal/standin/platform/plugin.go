package platform

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/model/message"
)

// Defaults of the settings.
const (
	DefaultWrites   = 400  // a second
	DefaultReads    = 2000 // a second
	DefaultLag      = 1000 // ms
	DefaultProgress = 1000 // ms
	DefaultHistory  = 10_000
	DefaultReboot   = 2000 // ms
)

const readHeaderTimeout = 5 * time.Second

// Settings are the plug-in's settings section.
type Settings struct {
	Listen   string `json:"listen"`
	Writes   int    `json:"writes"`   // a second
	Reads    int    `json:"reads"`    // a second
	Lag      int    `json:"lag"`      // ms that the instance list lags behind
	Progress int    `json:"progress"` // ms between the progress messages of a watch
	History  int    `json:"history"`  // events kept for watches
	Reboot   int    `json:"reboot"`   // ms that an instance is away once its record says that it reboots
	// Instances are on the list until a heartbeat changes them.
	Instances []message.Listing `json:"instances"`
}

// Address tells where a stand-in listens.
type Address interface {
	// Address returns the base address, such as "http://127.0.0.1:2379".
	Address() string
}

func init() {
	defaults := Settings{
		Listen:   "127.0.0.1:0",
		Writes:   DefaultWrites,
		Reads:    DefaultReads,
		Lag:      DefaultLag,
		Progress: DefaultProgress,
		History:  DefaultHistory,
		Reboot:   DefaultReboot,
	}
	kernel.Register("platform-standin", defaults, build)
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", s.Listen, err)
	}
	counted := &countingListener{Listener: listener}
	calls := kernel.Open(h, callPort)
	store := newStore(s, calls, counted)
	server := &server{
		listener: counted,
		calls:    calls,
		progress: time.Duration(s.Progress) * time.Millisecond,
		nonce:    rand.Text(),
		log:      h.Log,
	}
	kernel.Provide[Address](h, server)
	return []kernel.Duty{
		{Name: "platform-standin.store", Run: store.run},
		{Name: "platform-standin.listen", Run: server.run},
	}, nil
}

// run serves until ctx ends.
func (s *server) run(ctx context.Context) error {
	hs := &http.Server{
		Handler:           s.handler(ctx),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = hs.Close() })
	defer stop()
	s.log.Info("platform stand-in listens", "event", "listen", "address", s.Address())
	if err := hs.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve platform stand-in: %w", err)
	}
	return ctx.Err()
}

// Address returns the base address of the listener.
func (s *server) Address() string {
	return "http://" + s.listener.Addr().String()
}
