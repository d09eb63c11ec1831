package platform

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/model/message"
	"teaselloft/internal/protocol/instances"
)

// listDuty polls the instance list and publishes it when it has changed.
type listDuty struct {
	host   *kernel.Host
	client *instances.Client
	log    *slog.Logger
	poll   time.Duration
}

func newListDuty(h *kernel.Host, client *instances.Client, poll time.Duration) *listDuty {
	return &listDuty{host: h, client: client, log: h.Log, poll: poll}
}

// run reads the list at every interval until ctx ends. Failures do not shorten the interval.
func (d *listDuty) run(ctx context.Context) error {
	defer d.client.Close()
	var tag string
	for {
		tag = d.read(ctx, tag)
		// Jitter of a tenth of the interval keeps the entry instances from reading at the same time.
		jitter := time.Duration(rand.Int64N(int64(d.poll/5) + 1))
		if err := sleep(ctx, d.poll-d.poll/10+jitter); err != nil {
			return err
		}
	}
}

// read reads and publishes the list if it differs from the one with the given tag. It returns the tag of the list that
// every subscriber has received.
func (d *listDuty) read(ctx context.Context, tag string) string {
	list, next, changed, err := d.client.List(ctx, tag)
	if err != nil {
		d.log.Debug("failed to read instance list", "event", "list.failed", "error", err)
		return tag
	}
	if !changed {
		if err := kernel.Publish(ctx, d.host, message.ListConfirmedTopic, message.ListConfirmed{Time: time.Now()}); err != nil {
			d.log.Debug("failed to publish confirmation of the instance list", "event", "list.undelivered", "error", err)
		}
		return tag
	}
	if err := kernel.Publish(ctx, d.host, message.InstancesTopic, message.InstancesListed{Instances: list}); err != nil {
		d.log.Warn("failed to publish instance list", "event", "list.undelivered", "error", err)
		return tag
	}
	return next
}
