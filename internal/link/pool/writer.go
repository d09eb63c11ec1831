package pool

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// Timeouts of a write. A write without an answer is repeated under the same condition, so that it takes effect at most
// once.
const (
	initialWriteTimeout = 300 * time.Millisecond // of the first attempt to a store that answers fast; doubled for each further one
	maxWriteTimeout     = 1200 * time.Millisecond
	writeRetryInterval  = 50 * time.Millisecond
	refusedRetryTime    = 100 * time.Millisecond // after which a write that the store refuses fails
)

var errSuperseded = errors.New("another daemon has written a newer epoch")

// writer applies the writes of one lane of an owner, one at a time, each under the conditions on the lane's write fence
// and on the record of the owner. The fence orders the writes of the lane; the record changes with each takeover.
type writer struct {
	store         port.Store
	key           string
	revision      int64 // of the write fence
	fence         cluster.WriteFence
	ownerKey      string
	ownerRevision int64         // 0 for the write that takes a duty over
	sentAt        time.Duration // when the last attempt was sent
	health        *storeHealth  // shared by the lanes of a duty
}

// commitLoop applies the commits of a lane.
func (o *poolOwner) commitLoop(ctx context.Context, commits *ring.Ring[schedule.Commit], w writer) {
	for {
		c, err := commits.Pull(ctx)
		if err != nil {
			return
		}
		start := clock.SinceBoot()
		err = w.apply(ctx, c, o.link.log, func() {
			o.enqueue(ctx, schedule.CommitStalled{Now: clock.SinceBoot(), Number: c.Number})
		})
		o.link.meters.commit.Update((clock.SinceBoot() - start).Milliseconds())
		switch {
		case errors.Is(err, errSuperseded):
			o.link.stepDown(o, err.Error())
			return
		case ctx.Err() != nil:
			return
		case err != nil:
			o.link.log.Warn("write refused by the store", "event", "store.refused", "pool", o.duty, "number", c.Number, "writes", len(c.Writes), "error", err)
		}
		o.enqueue(ctx, schedule.CommitResult{Now: clock.SinceBoot(), Number: c.Number, Err: err})
	}
}

// apply returns nil once the commit is stored, an error that wraps port.ErrRefused if it had no effect and never will
// have one, errSuperseded if another owner has written, or the error of ctx. It calls stalled once if an attempt gets no
// answer.
func (w *writer) apply(ctx context.Context, c schedule.Commit, log *slog.Logger, stalled func()) error {
	next := w.fence
	next.Number = c.Number
	return w.applyWithFence(ctx, next, c, log, stalled)
}

// applyWithFence applies a commit as apply does and sets the write fence to next. If one of further conditions fails, it
// returns a *conditionError: the commit had no effect and never will have one, since revisions only increase.
func (w *writer) applyWithFence(ctx context.Context, next cluster.WriteFence, c schedule.Commit, log *slog.Logger, stalled func(), further ...port.Condition) error {
	txn := port.Txn{
		Conditions: append(w.conditions(), further...),
		Writes:     append([]port.Write{{Key: w.key, Value: job.Encode(next)}}, c.Writes...),
		Deletes:    c.Deletes,
	}
	start := clock.SinceBoot()
	inDoubt := false
	for ctx.Err() == nil {
		timeout := w.health.timeout()
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		w.sentAt = clock.SinceBoot()
		revision, err := w.store.Apply(callCtx, txn)
		expired := callCtx.Err() != nil
		cancel()
		var conflict *port.ConflictError
		switch {
		case err == nil:
			w.health.answered(clock.SinceBoot() - w.sentAt)
			w.revision, w.fence = revision, next
			return nil
		case errors.As(err, &conflict):
			w.health.answered(clock.SinceBoot() - w.sentAt)
			return w.resolveConflict(conflict, next, further)
		case errors.Is(err, port.ErrRefused):
			// After an attempt without an answer, a refusal is not final, because that attempt may have taken effect.
			if !inDoubt && clock.SinceBoot()-start > refusedRetryTime {
				w.health.failed(ctx, true)
				return err
			}
		default:
			if !inDoubt {
				stalled()
			}
			inDoubt = true
		}
		w.health.failed(ctx, errors.Is(err, port.ErrRefused))
		if expired {
			w.health.expired(timeout)
		}
		log.Info("retrying write", "event", "store.retry", "key", w.key, "number", c.Number, "writes", len(c.Writes),
			"timeout", timeout, "unsure", inDoubt, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(writeRetryInterval):
		}
	}
	return ctx.Err()
}

func (w *writer) conditions() []port.Condition {
	conditions := []port.Condition{{Key: w.key, Revision: w.revision}}
	if w.ownerRevision != 0 {
		conditions = append(conditions, port.Condition{Key: w.ownerKey, Revision: w.ownerRevision})
	}
	return conditions
}

// conditionError names the keys that do not have the revision that a further condition requires.
type conditionError struct{ keys []string }

// Error names the keys.
func (e *conditionError) Error() string { return fmt.Sprintf("condition fails for %v", e.keys) }

// resolveConflict returns nil if the stored write fence shows that an earlier attempt of the same write was applied.
// It returns errSuperseded if the owner's record has changed, or if the fence is another owner's, missing or invalid, and
// a *conditionError if only further conditions have failed.
func (w *writer) resolveConflict(conflict *port.ConflictError, next cluster.WriteFence, further []port.Condition) error {
	item := conflict.Find(w.key)
	if item.Revision == 0 || w.ownerRevision != 0 && conflict.Find(w.ownerKey).Revision != w.ownerRevision {
		return errSuperseded
	}
	if item.Revision == w.revision {
		var failed conditionError
		for _, c := range further {
			if conflict.Find(c.Key).Revision != c.Revision {
				failed.keys = append(failed.keys, c.Key)
			}
		}
		if len(failed.keys) > 0 {
			return &failed
		}
	}
	current, err := job.Decode[cluster.WriteFence](item.Value)
	if err != nil {
		return fmt.Errorf("%w: %w", errSuperseded, err)
	}
	if current != next {
		return errSuperseded
	}
	w.revision, w.fence = item.Revision, next
	return nil
}

// adviceTimeout exceeds the longest time that a call for a dozen executors takes according to the users' documentation.
const adviceTimeout = 2 * time.Second

// adviceLoop gets the requested advice, one call at a time.
func (o *poolOwner) adviceLoop(ctx context.Context) {
	for {
		request, err := o.advice.Pull(ctx)
		if err != nil {
			return
		}
		result := schedule.AdviceResult{Step: request.Step}
		if adviser, ok := kernel.Use[port.Adviser](o.link.host); ok {
			callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
			result.Grants, result.ValidFor, result.Err = adviser.Advise(callCtx, request.Step, request.Executors)
			cancel()
		} else {
			result.Err = errors.New("no plug-in provides an adviser")
		}
		result.Now = clock.SinceBoot()
		o.enqueue(ctx, result)
	}
}
