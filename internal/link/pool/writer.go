package pool

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// Times of a write. A write without an answer is sent again under the same condition, so that it takes effect once.
const (
	writeTimeout = 300 * time.Millisecond // of the first attempt; each further one has twice as long
	writeLongest = 1200 * time.Millisecond
	writePause   = 50 * time.Millisecond
	writeRefused = 100 * time.Millisecond // for which a refusing store is tried again
)

var errSuperseded = errors.New("another daemon has written a newer epoch")

// writer makes the writes of one owner, one after the other.
type writer struct {
	store    port.Store
	key      string
	revision int64 // of the chain record
	chain    cluster.WriteFence
}

// write is the duty that stores what the owner decides.
func (o *owner) write(ctx context.Context) {
	for {
		c, err := o.commits.Pull(ctx)
		if err != nil {
			return
		}
		began := clock.SinceBoot()
		err = o.writer.apply(ctx, c, o.link.log, func() {
			o.tell(ctx, schedule.CommitStalled{Now: clock.SinceBoot(), Number: c.Number})
		})
		o.link.meters.commit.Update((clock.SinceBoot() - began).Milliseconds())
		switch {
		case errors.Is(err, errSuperseded):
			o.link.drop(o, err.Error())
			return
		case ctx.Err() != nil:
			return
		case err != nil:
			o.link.log.Warn("write had no effect", "event", "store.refused", "pool", o.duty, "number", c.Number, "writes", len(c.Writes), "error", err)
		}
		o.tell(ctx, schedule.CommitResult{Now: clock.SinceBoot(), Number: c.Number, Err: err})
	}
}

// apply returns nil once the write is stored, or an error that wraps port.ErrRefused if it never will be;
// it calls stalled once when an attempt gets no answer.
func (w *writer) apply(ctx context.Context, c schedule.Commit, log *slog.Logger, stalled func()) error {
	next := w.chain
	next.Number = c.Number
	return w.put(ctx, next, c, log, stalled)
}

// put makes a write that sets the chain record, as apply does.
func (w *writer) put(ctx context.Context, next cluster.WriteFence, c schedule.Commit, log *slog.Logger, stalled func()) error {
	change := port.Txn{
		Conditions: []port.Condition{{Key: w.key, Revision: w.revision}},
		Writes:     append([]port.Write{{Key: w.key, Value: job.Encode(next)}}, c.Writes...),
		Deletes:    c.Deletes,
	}
	began := clock.SinceBoot()
	unsure := false
	for timeout := writeTimeout; ctx.Err() == nil; timeout = min(2*timeout, writeLongest) {
		call, cancel := context.WithTimeout(ctx, timeout)
		revision, err := w.store.Apply(call, change)
		cancel()
		var conflict *port.ConflictError
		switch {
		case err == nil:
			w.revision, w.chain = revision, next
			return nil
		case errors.As(err, &conflict):
			return w.resolve(conflict.Find(w.key), next)
		case errors.Is(err, port.ErrRefused):
			if !unsure && clock.SinceBoot()-began > writeRefused {
				return err
			}
		default:
			if !unsure {
				stalled()
			}
			unsure = true
		}
		log.Info("write is tried again", "event", "store.retry", "key", w.key, "number", c.Number, "writes", len(c.Writes),
			"timeout", timeout, "unsure", unsure, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(writePause):
		}
	}
	return ctx.Err()
}

// resolve tells an earlier attempt of the same write from a write of another owner.
func (w *writer) resolve(item port.Item, next cluster.WriteFence) error {
	if item.Revision == 0 {
		return errSuperseded
	}
	current, err := job.Decode[cluster.WriteFence](item.Value)
	if err != nil {
		return fmt.Errorf("%w: %w", errSuperseded, err)
	}
	if current != next {
		return errSuperseded
	}
	w.revision, w.chain = item.Revision, next
	return nil
}

// adviceTimeout is above the longest time that a call for a dozen executors takes on the users' sheets.
const adviceTimeout = 2 * time.Second

// ask is the duty that gets advice, one call at a time.
func (o *owner) ask(ctx context.Context) {
	for {
		a, err := o.advice.Pull(ctx)
		if err != nil {
			return
		}
		answer := schedule.AdviceResult{Step: a.Step}
		if adviser, ok := kernel.Use[port.Adviser](o.link.host); ok {
			call, cancel := context.WithTimeout(ctx, adviceTimeout)
			answer.Grants, answer.ValidFor, answer.Err = adviser.Advise(call, a.Step, a.Executors)
			cancel()
		} else {
			answer.Err = errors.New("no plug-in gives advice")
		}
		answer.Now = clock.SinceBoot()
		o.tell(ctx, answer)
	}
}
