package relay

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/model/port"

	"github.com/rcrowley/go-metrics"
)

// Name is the plug-in's name in the settings.
const Name = "relay"

// Settings of the plug-in.
type Settings struct {
	IdleTimeout kernel.Duration `json:"idle"` // after which a relay closes its connections to an executor that no owner calls
}

// Defaults of the settings. Connections outlive a change of owner, because new ones are costly.
var Defaults = Settings{IdleTimeout: kernel.Duration(20 * time.Second)}

// Timeouts, capacities and limits of the connections between owners and relays.
const (
	path           = "/orders"
	dialTimeout    = 400 * time.Millisecond
	writeTimeout   = 500 * time.Millisecond
	replyMargin    = 300 * time.Millisecond // added to the time that a relay has for a call before the relay counts as lost
	expiryInterval = 100 * time.Millisecond // between two searches for calls without a reply
	callCapacity   = 4096                   // calls queued for one relay
	replyCapacity  = 4096                   // replies queued for one owner
	maxBatch       = 256                    // calls or replies in a frame
	maxFrameSize   = 8 << 20                // bytes
)

func init() {
	kernel.Register(Name, Defaults, build)
}

type link struct {
	host      *kernel.Host
	log       *slog.Logger
	settings  Settings
	executors *executors
	lost      metrics.Counter
	calls     metrics.Counter

	encoded, decoded metrics.Counter // microseconds spent on the frames of this daemon's own relays
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	handlers, ok := kernel.Use[port.PeerHandlers](h)
	if !ok {
		return nil, errors.New("no plug-in provides a listener for other daemons")
	}
	l := &link{
		host: h, log: h.Log.With("plugin", Name), settings: s, executors: newExecutors(),
		lost:  metrics.GetOrRegisterCounter("relay.lost", h.Metrics),
		calls: metrics.GetOrRegisterCounter("relay.calls", h.Metrics),

		encoded: metrics.GetOrRegisterCounter("relay.encode.us", h.Metrics),
		decoded: metrics.GetOrRegisterCounter("relay.decode.us", h.Metrics),
	}
	handlers.HandlePeer("GET "+path, http.HandlerFunc(l.accept))
	kernel.Provide[port.Relays](h, l)
	return []kernel.Duty{{Name: "relay.sweep", Run: l.sweep}}, nil
}

// sweep closes the connections to executors that no owner has called for a while.
func (l *link) sweep(ctx context.Context) error {
	ticker := time.NewTicker(l.settings.IdleTimeout.Value() / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.executors.close()
			return ctx.Err()
		case <-ticker.C:
			l.executors.closeIdle(l.settings.IdleTimeout.Value())
		}
	}
}
