package caller

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/listen"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"

	"github.com/google/uuid"
)

func init() {
	kernel.Register(Name, Defaults, build)
}

// link is the listener of an entry instance for callers.
type link struct {
	settings    Settings
	host        *kernel.Host
	log         *slog.Logger
	events      *ring.Ring[message.Event]
	sender      message.Sender
	server      *listen.Server
	incarnation string        // of this entry instance; part of the request IDs
	sequence    atomic.Uint64 // number of the last request ID
	bodyMemory  atomic.Int64  // bytes of the bodies of requests in progress
	config      atomic.Uint64 // version of the current configuration
	configured  atomic.Bool   // a configuration was received
	stopping    atomic.Bool
	meters      meters
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	l := &link{
		settings:    s,
		host:        h,
		log:         h.Log.With("plugin", Name),
		events:      kernel.Open(h, message.RoutePort),
		incarnation: uuid.NewString(),
		meters:      newMeters(h.Metrics),
	}
	kernel.Subscribe(h, message.ConfigTopic, func(_ context.Context, c message.ConfigChanged) error {
		l.config.Store(c.Fleet.Version)
		l.configured.Store(true)
		return nil
	})
	server, err := listen.Open(h, s.Listen, l, l.log)
	if err != nil {
		return nil, err
	}
	l.server = server
	h.RegisterDump(Name, l.dump)
	h.OnStop(kernel.PhaseNotReady, l.delayShutdown)
	h.OnStop(kernel.PhaseDrain, server.Drain)
	return []kernel.Duty{{Name: "caller.accept", Run: l.accept}}, nil
}

func (l *link) accept(ctx context.Context) error {
	sender, ok := kernel.Use[message.Sender](l.host)
	if !ok {
		return fmt.Errorf("plug-in %q requires a plug-in that provides message.Sender", Name)
	}
	l.sender = sender
	return l.server.Run(ctx)
}

// delayShutdown reports the instance as not ready and gives load balancers time to notice.
func (l *link) delayShutdown(ctx context.Context) error {
	l.stopping.Store(true)
	delay := time.NewTimer(l.settings.ShutdownDelay.Value())
	defer delay.Stop()
	select {
	case <-delay.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *link) ready() bool {
	return l.configured.Load() && !l.stopping.Load()
}

// dump returns the link's section of the state dump.
func (l *link) dump() any {
	return struct {
		Address  string `json:"address"`
		Ready    bool   `json:"ready"`
		Stopping bool   `json:"stopping"`
		Config   uint64 `json:"config"`
		Requests uint64 `json:"requests"`
		Open     int64  `json:"open"`
	}{l.server.Address(), l.ready(), l.stopping.Load(), l.config.Load(), l.sequence.Load(), l.meters.open.Count()}
}

// ServeHTTP answers one request.
func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.limitWrite(w)
	if l.stopping.Load() {
		// Connections are closed after an answer, not by the closing listener, so that the shutdown interrupts no
		// request.
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case "/healthz":
		probe(w, true)
	case "/readyz":
		probe(w, l.ready())
	default:
		l.meters.open.Inc(1)
		defer l.meters.open.Dec(1)
		l.handle(w, r)
	}
}

func probe(w http.ResponseWriter, ok bool) {
	w.Header().Set("Content-Type", "text/plain")
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("not ready\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// limitWrite sets a write deadline against callers that read slowly. It replaces the deadline of the previous answer on
// the same connection.
func (l *link) limitWrite(w http.ResponseWriter) {
	limit := time.Now().Add(l.settings.Listen.Timeouts.Write.Value())
	if err := http.NewResponseController(w).SetWriteDeadline(limit); err != nil {
		l.log.Debug("write deadline was not set", "event", "caller.write", "error", err)
	}
}
