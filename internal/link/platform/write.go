package platform

import (
	"context"
	"log/slog"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"
)

// writeDuty carries out the writes that the routing duty asks for.
type writeDuty struct {
	store  *Store
	log    *slog.Logger
	writes *ring.Ring[message.Write]
	route  *ring.Ring[message.Event]
}

func newWriteDuty(h *kernel.Host, store *Store) *writeDuty {
	return &writeDuty{
		store:  store,
		log:    h.Log,
		writes: kernel.Open(h, message.WritePort),
		route:  kernel.Open(h, message.RoutePort),
	}
}

// run carries out one write after the other until ctx ends.
func (d *writeDuty) run(ctx context.Context) error {
	for {
		w, err := d.writes.Pull(ctx)
		if err != nil {
			return ctx.Err()
		}
		revision, err := d.store.Swap(ctx, w)
		written := message.Written{Key: w.Record.Key(), Revision: revision, Err: err}
		if err := d.report(ctx, written); err != nil {
			return err
		}
	}
}

// report repeats while the routing duty has no room, since it waits for the end of each write.
func (d *writeDuty) report(ctx context.Context, w message.Written) error {
	pauses := newBackoff()
	for {
		err := d.route.Push(ctx, w)
		if err == nil {
			return nil
		}
		d.log.Warn("end of a write not delivered", "event", "write.undelivered", "key", w.Key, "error", err)
		if err := sleep(ctx, pauses.NextBackOff()); err != nil {
			return err
		}
	}
}
