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

// errNoStore means that no plug-in provides the platform's key-value store.
var errNoStore = fmt.Errorf("no plug-in provides a store: %w", message.ErrUnavailable)

// call is a store call that the planning duty requested.
type call struct{ effect wave.Effect }

// callDuty makes the store calls one after the other, so that the planning duty never waits for the store.
type callDuty struct {
	host    *kernel.Host
	calls   *ring.Ring[call]
	events  *ring.Ring[event]
	timeout time.Duration
	meters  meters
}

func (c *callDuty) run(ctx context.Context) error {
	for {
		next, err := c.calls.Pull(ctx)
		if err != nil {
			return err
		}
		if err := c.events.Push(ctx, callFinished{result: c.execute(ctx, next.effect)}); err != nil {
			return err
		}
	}
}

// execute makes one store call, bounded by the timeout, and returns its result.
func (c *callDuty) execute(ctx context.Context, e wave.Effect) wave.Message {
	store, ok := kernel.Use[message.Store](c.host)
	if !ok {
		return failureResult(e, errNoStore, time.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	switch e := e.(type) {
	case wave.Write:
		return c.write(ctx, store, e)
	case wave.Read:
		return read(ctx, store, e)
	case wave.Load:
		return load(ctx, store)
	case wave.Notice:
		panic("plan: a notice is not a store call")
	default:
		panic(fmt.Sprintf("plan: unknown effect %T", e))
	}
}

func (c *callDuty) write(ctx context.Context, store message.Store, e wave.Write) wave.Message {
	c.meters.writes.Inc(1)
	revision, err := store.CompareAndSwap(ctx, message.Write{Record: e.Record, Expected: e.ExpectedRevision})
	switch {
	case errors.Is(err, message.ErrConflict):
		c.meters.conflicts.Inc(1)
	case err != nil:
		c.meters.unknownOutcomes.Inc(1)
		err = fmt.Errorf("%w: %w", message.ErrUnavailable, err) // the write may have taken effect, whatever the error
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

// failureResult returns the result of a call that was not made.
func failureResult(e wave.Effect, err error, now time.Time) wave.Message {
	switch e := e.(type) {
	case wave.Write:
		return wave.WriteResult{Now: now, Record: e.Record, Err: err}
	case wave.Read:
		return wave.ReadFailed{Now: now, Record: e.Record}
	case wave.Load:
		return wave.LoadFailed{Now: now}
	case wave.Notice:
		panic("plan: a notice is not a store call")
	default:
		panic(fmt.Sprintf("plan: unknown effect %T", e))
	}
}
