package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/decision/cas"
	"teaselloft/internal/model/message"
	"teaselloft/internal/protocol/etcd"

	"github.com/cenkalti/backoff/v5"
)

// attempt is one compare-and-swap with encoded values.
type attempt struct {
	key      string
	value    []byte
	expected int64
	lease    int64
	deletes  bool
}

// carrying is a compare-and-swap on its way.
type carrying struct {
	attempt
	store  *Store
	state  cas.State
	pauses *backoff.ExponentialBackOff
	cause  error // of the last call without an answer
}

// carry repeats and reads back until the end of a write is known or its time is over.
func (s *Store) carry(ctx context.Context, a attempt) (int64, error) {
	c := &carrying{
		attempt: a,
		store:   s,
		state:   cas.New(a.expected, a.deletes, time.Now().Add(s.resolve)),
		pauses:  newBackoff(),
	}
	m := cas.Message(cas.Begin{})
	for {
		state, effects := cas.Step(c.state, m)
		c.state = state
		for _, e := range effects {
			switch e := e.(type) {
			case cas.Pause:
				if err := sleep(ctx, c.pauses.NextBackOff()); err != nil {
					return 0, fmt.Errorf("write key %q: %w: %w", c.key, message.ErrUnavailable, err)
				}
			case cas.Attempt:
				m = c.send(ctx)
			case cas.ReadBack:
				m = c.readBack(ctx)
			case cas.Finish:
				return c.finish(e)
			default:
				panic(fmt.Sprintf("platform: unknown effect %T", e))
			}
		}
	}
}

// send makes one attempt.
func (c *carrying) send(ctx context.Context) cas.Message {
	key := c.store.full(c.key)
	var revision int64
	var done bool
	var err error
	if c.deletes {
		revision, done, err = c.store.client.Delete(ctx, key, c.expected)
	} else {
		revision, done, err = c.store.client.Put(ctx, key, c.value, c.expected, c.lease)
	}
	if err != nil {
		c.cause = err
		c.store.counters.failed.Inc(1)
	}
	switch {
	case err == nil && done:
		return cas.Succeeded{Revision: revision}
	case err == nil:
		return cas.CompareFailed{}
	case errors.Is(err, etcd.ErrUncertain):
		return cas.AnswerLost{Now: time.Now()}
	case errors.Is(err, etcd.ErrLeaseNotFound), errors.Is(err, etcd.ErrInvalid):
		return cas.Rejected{}
	default:
		return cas.NotApplied{Now: time.Now()}
	}
}

// readBack reads the key after an attempt whose answer was lost.
func (c *carrying) readBack(ctx context.Context) cas.Message {
	p, ok, err := c.store.client.Get(ctx, c.store.full(c.key))
	switch {
	case err != nil:
		c.cause = err
		c.store.counters.failed.Inc(1)
		return cas.ReadFailed{Now: time.Now()}
	case !ok:
		return cas.KeyMissing{Now: time.Now()}
	default:
		return cas.KeyFound{Now: time.Now(), Revision: p.ModRevision, SameValue: bytes.Equal(p.Value, c.value)}
	}
}

// finish translates the end of a write into the errors of the message package.
func (c *carrying) finish(f cas.Finish) (int64, error) {
	switch f.Result {
	case cas.Done:
		return f.Revision, nil
	case cas.Conflict:
		c.store.counters.conflicts.Inc(1)
		return 0, fmt.Errorf("write key %q at revision %d: %w", c.key, c.expected, message.ErrConflict)
	case cas.Unresolved, cas.Invalid:
		c.store.counters.unresolved.Inc(1)
		return 0, fmt.Errorf("write key %q: %w: %w", c.key, message.ErrUnavailable, c.cause)
	default:
		panic(fmt.Sprintf("platform: unknown result %d", f.Result))
	}
}
