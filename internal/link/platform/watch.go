package platform

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/listwatch"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/protocol/etcd"

	"github.com/cenkalti/backoff/v5"
)

// watchDuty publishes the changes of the site's records.
type watchDuty struct {
	host    *kernel.Host
	store   *Store
	log     *slog.Logger
	state   listwatch.State
	backoff *backoff.ExponentialBackOff

	revision atomic.Int64 // of the listwatch state, read by the state dump
	keys     atomic.Int64 // number of keys of the listwatch state, read by the state dump
}

func newWatchDuty(h *kernel.Host, store *Store) *watchDuty {
	return &watchDuty{
		host:    h,
		store:   store,
		log:     h.Log,
		state:   listwatch.New(record.KeyConfigHead),
		backoff: newBackoff(),
	}
}

// run executes the effects one after the other until ctx ends.
func (d *watchDuty) run(ctx context.Context) error {
	defer d.store.Close()
	queue := d.step(listwatch.Start{})
	for len(queue) > 0 {
		m, err := d.runEffect(ctx, queue[0])
		if err != nil {
			return err
		}
		queue = queue[1:]
		if m != nil {
			queue = append(d.step(m), queue...)
		}
	}
	return errors.New("watch duty has no effects left to run")
}

func (d *watchDuty) step(m listwatch.Message) []listwatch.Effect {
	state, effects := listwatch.Step(d.state, m)
	d.state = state
	d.revision.Store(state.Revision())
	d.keys.Store(int64(state.Len()))
	return effects
}

// runEffect executes an effect and returns the resulting message, or nil.
func (d *watchDuty) runEffect(ctx context.Context, e listwatch.Effect) (listwatch.Message, error) {
	switch e := e.(type) {
	case listwatch.List:
		return d.list(ctx), ctx.Err()
	case listwatch.Get:
		return d.get(ctx, e.Key), ctx.Err()
	case listwatch.Watch:
		return d.watch(ctx, e.Start), ctx.Err()
	case listwatch.Backoff:
		return nil, sleep(ctx, d.backoff.NextBackOff())
	case listwatch.Publish:
		return nil, d.publish(ctx, e.Change)
	default:
		panic(fmt.Sprintf("platform: unknown effect %T", e))
	}
}

// list reads the records only. The values of old configurations grow without bound and are read on demand.
func (d *watchDuty) list(ctx context.Context) listwatch.Message {
	d.store.counters.fullReads.Inc(1)
	var listed listwatch.ListResult
	for i, prefix := range prefixes() {
		pairs, revision, err := d.store.client.ListPrefix(ctx, d.store.fullKey(prefix))
		if err != nil {
			d.log.Debug("failed to list keys", "event", "platform.unlisted", "error", err)
			d.store.counters.failedCalls.Inc(1)
			return listwatch.ListFailed{}
		}
		if i == 0 {
			listed.Revision = revision
		}
		for _, p := range pairs {
			listed.Keys = append(listed.Keys, d.change(p, false))
		}
	}
	return listed
}

// get reads a key. A failure is ignored, since the watch that follows reports the change too.
func (d *watchDuty) get(ctx context.Context, key string) listwatch.Message {
	p, ok, err := d.store.client.Get(ctx, d.store.fullKey(key))
	if err != nil || !ok {
		return nil
	}
	return listwatch.GetResult{Change: d.change(p, false)}
}

func (d *watchDuty) change(p etcd.KeyValue, deleted bool) listwatch.Change {
	return listwatch.Change{Key: d.store.localKey(p.Key), Value: p.Value, Revision: p.ModRevision, Deleted: deleted}
}

// watch publishes changes until the watch stream ends.
func (d *watchDuty) watch(ctx context.Context, start int64) listwatch.Message {
	err := d.store.client.Watch(ctx, d.store.fullKey(""), start, func(revision int64, events []etcd.Event) error {
		d.backoff.Reset()
		changed := listwatch.WatchResponse{Revision: revision}
		for _, e := range events {
			changed.Changes = append(changed.Changes, d.change(e.Pair, e.Type == etcd.EventDelete))
		}
		for _, e := range d.step(changed) {
			if _, err := d.runEffect(ctx, e); err != nil {
				return err
			}
		}
		return nil
	})
	d.store.counters.endedWatches.Inc(1)
	d.log.Debug("watch ended", "event", "platform.unwatched", "error", err)
	if errors.Is(err, etcd.ErrCompacted) {
		return listwatch.WatchCompacted{}
	}
	return listwatch.WatchInterrupted{}
}

// publish retries until every subscriber has accepted the change, so a subscriber may receive it more than once.
func (d *watchDuty) publish(ctx context.Context, c listwatch.Change) error {
	r, err := decodeChange(c)
	if err != nil {
		d.store.skipValue(err)
		return nil
	}
	m := message.RecordChanged{Record: r, Revision: c.Revision, Deleted: c.Deleted}
	retry := newBackoff()
	for {
		err := kernel.Publish(ctx, d.host, message.RecordTopic, m)
		if err == nil {
			d.store.counters.published.Inc(1)
			return nil
		}
		d.log.Warn("failed to publish change, retrying", "event", "platform.undelivered", "key", c.Key, "error", err)
		if err := sleep(ctx, retry.NextBackOff()); err != nil {
			return err
		}
	}
}

func decodeChange(c listwatch.Change) (record.Record, error) {
	if c.Deleted {
		return deletedRecord(c.Key)
	}
	return decode(c.Key, c.Value)
}
