package endpoint

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"
	"teaselloft/internal/protocol/instances"
)

// Addresses provides the addresses that the stand-in listens on.
type Addresses interface {
	// Control returns the base address of the control listener, such as "http://127.0.0.1:9100".
	Control() string
	// Executors returns the executors with their addresses.
	Executors() []message.Listing
}

// errService is returned for settings that name no service.
var errService = errors.New(`field "service" is missing`)

func init() {
	defaults := Settings{
		Count:             DefaultCount,
		Slots:             DefaultSlots,
		Connections:       DefaultConnections,
		Run:               DefaultRun,
		Control:           "127.0.0.1:0",
		HeartbeatInterval: DefaultHeartbeatInterval,
		TTL:               DefaultTTL,
		GracePeriod:       DefaultGracePeriod,
	}
	kernel.Register("endpoint-standin", defaults, build)
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	if s.Service == "" {
		return nil, errService
	}
	s = s.WithExecutors(h.Settings.Zone)
	control, err := listen(s.Control)
	if err != nil {
		return nil, err
	}
	c := &controller{listener: control, log: h.Log, heartbeats: kernel.Open(h, heartbeatPort)}
	var duties []kernel.Duty
	for _, e := range s.Executors {
		x, err := newExecutor(h, s, e)
		if err != nil {
			return nil, err
		}
		c.executors = append(c.executors, x)
		duties = append(duties, kernel.Duty{Name: "endpoint-standin." + e.ID, Run: x.run})
	}
	duties = append(duties, kernel.Duty{Name: "endpoint-standin.control", Run: c.run})
	if len(s.Platform) > 0 {
		client, err := instances.New(s.Platform)
		if err != nil {
			return nil, fmt.Errorf("addresses of the instance list: %w", err)
		}
		b := &heartbeatDuty{settings: s, client: client, executors: c.executors, wakes: c.heartbeats, log: h.Log}
		duties = append(duties, kernel.Duty{Name: "endpoint-standin.beat", Run: b.run})
	}
	kernel.Provide[Addresses](h, c)
	h.OnStop(kernel.PhaseNotReady, c.leave)
	h.OnStop(kernel.PhaseDrain, func(ctx context.Context) error { return c.drain(ctx, ms(s.GracePeriod)) })
	return duties, nil
}

// heartbeatPort wakes the heartbeat duty; a full port means that a heartbeat is already pending.
var heartbeatPort = kernel.Port[struct{}]{Name: "endpoint-standin.beat", Capacity: 1, Policy: ring.Refuse}

func listen(address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", address, err)
	}
	return l, nil
}

func ms(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
