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

// encodedWrite is a compare-and-swap with an encoded value.
type encodedWrite struct {
	key      string
	value    []byte
	expected int64
	lease    int64
	deletes  bool
}

// pendingWrite is a compare-and-swap whose outcome is not known yet.
type pendingWrite struct {
	encodedWrite
	store   *Store
	state   cas.State
	backoff *backoff.ExponentialBackOff
	cause   error // of the last failed call
}

// resolveWrite repeats the write and reads the key back until the outcome is known or the resolve timeout has passed.
func (s *Store) resolveWrite(ctx context.Context, w encodedWrite) (int64, error) {
	p := &pendingWrite{
		encodedWrite: w,
		store:        s,
		state:        cas.New(w.expected, w.deletes, time.Now().Add(s.resolveTimeout)),
		backoff:      newBackoff(),
	}
	m := cas.Message(cas.Begin{})
	for {
		state, effects := cas.Step(p.state, m)
		p.state = state
		for _, e := range effects {
			switch e := e.(type) {
			case cas.Pause:
				if err := sleep(ctx, p.backoff.NextBackOff()); err != nil {
					return 0, fmt.Errorf("write key %q: %w: %w", p.key, message.ErrUnavailable, err)
				}
			case cas.Attempt:
				m = p.send(ctx)
			case cas.ReadBack:
				m = p.readBack(ctx)
			case cas.Finish:
				return p.finish(e)
			default:
				panic(fmt.Sprintf("platform: unknown effect %T", e))
			}
		}
	}
}

// send makes one attempt to write.
func (p *pendingWrite) send(ctx context.Context) cas.Message {
	key := p.store.fullKey(p.key)
	var revision int64
	var done bool
	var err error
	if p.deletes {
		revision, done, err = p.store.client.Delete(ctx, key, p.expected)
	} else {
		revision, done, err = p.store.client.Put(ctx, key, p.value, p.expected, p.lease)
	}
	if err != nil {
		p.cause = err
		p.store.counters.failedCalls.Inc(1)
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
func (p *pendingWrite) readBack(ctx context.Context) cas.Message {
	pair, ok, err := p.store.client.Get(ctx, p.store.fullKey(p.key))
	switch {
	case err != nil:
		p.cause = err
		p.store.counters.failedCalls.Inc(1)
		return cas.ReadFailed{Now: time.Now()}
	case !ok:
		return cas.KeyMissing{Now: time.Now()}
	default:
		return cas.KeyFound{Now: time.Now(), Revision: pair.ModRevision, SameValue: bytes.Equal(pair.Value, p.value)}
	}
}

// finish converts the outcome of a write to a revision or an error of the message package.
func (p *pendingWrite) finish(f cas.Finish) (int64, error) {
	switch f.Result {
	case cas.Done:
		return f.Revision, nil
	case cas.Conflict:
		p.store.counters.conflicts.Inc(1)
		return 0, fmt.Errorf("write key %q at revision %d: %w", p.key, p.expected, message.ErrConflict)
	case cas.Unresolved, cas.Invalid:
		p.store.counters.unresolved.Inc(1)
		return 0, fmt.Errorf("write key %q: %w: %w", p.key, message.ErrUnavailable, p.cause)
	default:
		panic(fmt.Sprintf("platform: unknown result %d", f.Result))
	}
}
