package endpoint

import (
	"context"
	"log/slog"
	"time"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/protocol/instances"
)

// heartbeatDuty keeps the executors on the instance list by sending heartbeats.
type heartbeatDuty struct {
	settings  Settings
	client    *instances.Client
	executors []*runner
	wakes     *ring.Ring[struct{}]
	log       *slog.Logger
}

// run sends a heartbeat at every interval, and immediately after a control change, until ctx ends.
func (b *heartbeatDuty) run(ctx context.Context) error {
	defer b.client.Close()
	ticker := time.NewTicker(ms(b.settings.HeartbeatInterval))
	defer ticker.Stop()
	for {
		b.send(ctx)
		select {
		case <-ticker.C:
		case <-b.wakes.Items():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// send registers the executors that are not rebooting; the entries of the others expire.
func (b *heartbeatDuty) send(ctx context.Context) {
	h := instances.Heartbeat{TTL: b.settings.TTL}
	for _, x := range b.executors {
		if l, ok := x.listing(ctx); ok {
			h.Instances = append(h.Instances, l)
		}
	}
	if err := b.client.SendHeartbeat(ctx, h); err != nil {
		b.log.Warn("heartbeat failed", "event", "beat.failed", "error", err)
	}
}
