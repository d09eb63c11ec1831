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
	host         *kernel.Host
	client       *instances.Client
	log          *slog.Logger
	pollInterval time.Duration
}

func newListDuty(h *kernel.Host, client *instances.Client, pollInterval time.Duration) *listDuty {
	return &listDuty{host: h, client: client, log: h.Log, pollInterval: pollInterval}
}

// run reads the list at every interval until ctx ends. Failures do not shorten the interval.
func (d *listDuty) run(ctx context.Context) error {
	defer d.client.Close()
	var etag string
	for {
		etag = d.read(ctx, etag)
		// Jitter of up to a tenth of the interval either way keeps the entry instances from reading at the same time.
		jitter := time.Duration(rand.Int64N(int64(d.pollInterval/5) + 1))
		if err := sleep(ctx, d.pollInterval-d.pollInterval/10+jitter); err != nil {
			return err
		}
	}
}

// read publishes the list if its entity tag is not etag, else only confirms it. It returns the entity tag of the last
// list that every subscriber has received.
func (d *listDuty) read(ctx context.Context, etag string) string {
	list, newETag, changed, err := d.client.List(ctx, etag)
	if err != nil {
		d.log.Debug("failed to read instance list", "event", "list.failed", "error", err)
		return etag
	}
	if !changed {
		if err := kernel.Publish(ctx, d.host, message.ListConfirmedTopic, message.ListConfirmed{Time: time.Now()}); err != nil {
			d.log.Debug("failed to publish confirmation of the instance list", "event", "list.undelivered", "error", err)
		}
		return etag
	}
	if err := kernel.Publish(ctx, d.host, message.InstancesTopic, message.InstancesListed{Instances: list}); err != nil {
		d.log.Warn("failed to publish instance list", "event", "list.undelivered", "error", err)
		return etag
	}
	return newETag
}
