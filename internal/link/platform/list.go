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

// listDuty publishes the instance list whenever it has changed.
type listDuty struct {
	host   *kernel.Host
	client *instances.Client
	log    *slog.Logger
	poll   time.Duration
}

func newListDuty(h *kernel.Host, client *instances.Client, poll time.Duration) *listDuty {
	return &listDuty{host: h, client: client, log: h.Log, poll: poll}
}

// run reads the list at every interval until ctx ends; failures do not shorten the interval.
func (d *listDuty) run(ctx context.Context) error {
	defer d.client.Close()
	var tag string
	for {
		tag = d.read(ctx, tag)
		// Jitter of a tenth keeps the entry instances from reading at the same moment.
		jitter := time.Duration(rand.Int64N(int64(d.poll/5) + 1))
		if err := sleep(ctx, d.poll-d.poll/10+jitter); err != nil {
			return err
		}
	}
}

// read returns the tag of the list that every subscriber has.
func (d *listDuty) read(ctx context.Context, tag string) string {
	list, next, changed, err := d.client.List(ctx, tag)
	if err != nil {
		d.log.Debug("instance list not read", "event", "list.failed", "error", err)
		return tag
	}
	if !changed {
		if err := kernel.Publish(ctx, d.host, message.ListConfirmedTopic, message.ListConfirmed{Time: time.Now()}); err != nil {
			d.log.Debug("confirmation not delivered", "event", "list.undelivered", "error", err)
		}
		return tag
	}
	if err := kernel.Publish(ctx, d.host, message.InstancesTopic, message.InstancesListed{Instances: list}); err != nil {
		d.log.Warn("instance list not delivered", "event", "list.undelivered", "error", err)
		return tag
	}
	return next
}
