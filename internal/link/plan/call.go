package plan

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// errNoStore means that no plug-in provides the platform's keys.
var errNoStore = fmt.Errorf("no plug-in provides a store: %w", message.ErrUnavailable)

// call is one platform call that the planning duty asks for.
type call struct{ effect wave.Effect }

// caller makes the platform calls one after the other, so that the planning duty never waits for the platform.
type caller struct {
	host   *kernel.Host
	calls  *ring.Ring[call]
	events *ring.Ring[event]
	limit  time.Duration
	meters meters
}

func (c *caller) run(ctx context.Context) error {
	for {
		next, err := c.calls.Pull(ctx)
		if err != nil {
			return err
		}
		if err := c.events.Push(ctx, called{result: c.do(ctx, next.effect)}); err != nil {
			return err
		}
	}
}

// do makes one call within the limit and returns its end as a message of the decision.
func (c *caller) do(ctx context.Context, e wave.Effect) wave.Message {
	store, ok := kernel.Use[message.Store](c.host)
	if !ok {
		return failed(e, errNoStore, time.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	switch e := e.(type) {
	case wave.Write:
		return c.write(ctx, store, e)
	case wave.Read:
		return read(ctx, store, e)
	case wave.Load:
		return load(ctx, store)
	case wave.Notice:
		panic("plan: a notice is no platform call")
	default:
		panic(fmt.Sprintf("plan: effect %T", e))
	}
}

func (c *caller) write(ctx context.Context, store message.Store, e wave.Write) wave.Message {
	c.meters.writes.Inc(1)
	revision, err := store.CompareAndSwap(ctx, message.Write{Record: e.Record, Expected: e.ExpectedRevision})
	switch {
	case errors.Is(err, message.ErrConflict):
		c.meters.conflicts.Inc(1)
	case err != nil:
		c.meters.lost.Inc(1)
		err = fmt.Errorf("%w: %w", message.ErrUnavailable, err) // whatever failed, the write may have taken effect
	}
	return wave.WriteResult{Now: time.Now(), Record: e.Record, Revision: revision, Err: err}
}

func read(ctx context.Context, store message.Store, e wave.Read) wave.Message {
	value, revision, err := store.Read(ctx, e.Record.Key())
	switch {
	case errors.Is(err, message.ErrNotFound):
		return wave.RecordChanged{Record: e.Record, Deleted: true, ReadBack: true}
	case err != nil:
		return wave.ReadFailed{Now: time.Now(), Record: e.Record}
	default:
		return wave.RecordChanged{Record: value, Revision: revision, ReadBack: true}
	}
}

func load(ctx context.Context, store message.Store) wave.Message {
	var loaded wave.RecordsLoaded
	for _, prefix := range []string{record.PrefixBudget, record.PrefixWave, record.PrefixInstance} {
		values, err := store.List(ctx, prefix)
		if err != nil {
			return wave.LoadFailed{Now: time.Now()}
		}
		for _, v := range values {
			loaded.Records = append(loaded.Records, wave.RecordChanged{Record: v.Record, Revision: v.Revision, ReadBack: true})
		}
	}
	return loaded
}

// failed returns the end of a call that was not made or not answered.
func failed(e wave.Effect, err error, now time.Time) wave.Message {
	switch e := e.(type) {
	case wave.Write:
		return wave.WriteResult{Now: now, Record: e.Record, Err: err}
	case wave.Read:
		return wave.ReadFailed{Now: now, Record: e.Record}
	case wave.Load:
		return wave.LoadFailed{Now: now}
	case wave.Notice:
		panic("plan: a notice is no platform call")
	default:
		panic(fmt.Sprintf("plan: effect %T", e))
	}
}
