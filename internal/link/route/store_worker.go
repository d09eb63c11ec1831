package route

import (
	"context"
	"errors"
	"fmt"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/entry"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// storeWorker executes store calls, one at a time.
type storeWorker struct {
	host    *kernel.Host
	calls   *ring.Ring[entry.Effect]
	control *ring.Ring[entry.Message]
}

func newStoreWorker(h *kernel.Host, control *ring.Ring[entry.Message]) *storeWorker {
	return &storeWorker{host: h, calls: kernel.Open(h, storePort), control: control}
}

func (w *storeWorker) run(ctx context.Context) error {
	store, ok := kernel.Use[message.Store](w.host)
	if !ok {
		return errors.New("no plug-in provides the platform's store")
	}
	for {
		call, err := w.calls.Pull(ctx)
		if err != nil {
			return err
		}
		if err := w.control.Push(ctx, w.execute(ctx, store, call)); err != nil {
			return err
		}
	}
}

func (w *storeWorker) execute(ctx context.Context, store message.Store, call entry.Effect) entry.Message {
	switch c := call.(type) {
	case entry.Write:
		return write(ctx, store, c)
	case entry.Verify:
		return verify(ctx, store, c)
	case entry.ReadClaim:
		return readClaim(ctx, store, c)
	case entry.Verdict, entry.SendFrame, entry.Notice:
		panic(fmt.Sprintf("route: %T is not a store call", c))
	default:
		panic(fmt.Sprintf("route: unknown store call %T", c))
	}
}

// write does the compare-and-swap of a record. After a conflict it reads the record that the store holds.
func write(ctx context.Context, store message.Store, c entry.Write) entry.Message {
	revision, err := store.CompareAndSwap(ctx, message.Write{Record: c.Record, Expected: c.ExpectedRevision, Delete: c.Delete})
	result := entry.WriteResult{Write: c, Revision: revision, Err: err}
	if !errors.Is(err, message.ErrConflict) {
		return result
	}
	found, revision, err := store.Read(ctx, c.Record.Key())
	if err != nil && !errors.Is(err, message.ErrNotFound) {
		result.Err = errors.Join(message.ErrUnavailable, err)
		return result
	}
	result.Found = found
	result.FoundRevision = revision
	return result
}

// verify reports a member as dead only if the store shows that its record is gone or has another incarnation; a failed
// read counts as alive.
func verify(ctx context.Context, store message.Store, c entry.Verify) entry.Message {
	result := entry.VerifyResult{Service: c.Service, Epoch: c.Epoch, Alive: true}
	found, _, err := store.Read(ctx, record.Member{Entry: c.Entry}.Key())
	switch {
	case errors.Is(err, message.ErrNotFound):
		result.Alive = false
	case err == nil:
		m, ok := found.(record.Member)
		result.Alive = !ok || m.Incarnation == c.Incarnation
	}
	return result
}

// readClaim reads the claim of a service and the entries in its segments.
func readClaim(ctx context.Context, store message.Store, c entry.ReadClaim) entry.Message {
	result := entry.ReadClaimResult{Service: c.Service, Epoch: c.Epoch}
	found, revision, err := store.Read(ctx, record.Claim{Service: c.Service}.Key())
	if errors.Is(err, message.ErrNotFound) {
		return result
	}
	if err != nil {
		result.Err = err
		return result
	}
	claim, ok := found.(record.Claim)
	if !ok {
		result.Err = fmt.Errorf("key %q holds a %T", record.Claim{Service: c.Service}.Key(), found)
		return result
	}
	result.Claim = claim
	result.Revision = revision
	for _, key := range claim.Segments {
		older, err := readSegment(ctx, store, key)
		if err != nil {
			result.Err = err
			return result
		}
		result.SegmentEntries = append(result.SegmentEntries, older...)
	}
	return result
}

func readSegment(ctx context.Context, store message.Store, key string) ([]record.ClaimEntry, error) {
	found, _, err := store.Read(ctx, key)
	if errors.Is(err, message.ErrNotFound) {
		return nil, nil // deleted after its retention period
	}
	if err != nil {
		return nil, err
	}
	s, ok := found.(record.ClaimSegment)
	if !ok {
		return nil, fmt.Errorf("key %q holds a %T", key, found)
	}
	return s.Entries, nil
}

// failedCall returns the result of a store call that was not executed because of err.
func failedCall(call entry.Effect, err error) entry.Message {
	switch c := call.(type) {
	case entry.Write:
		return entry.WriteResult{Write: c, Err: err}
	case entry.Verify:
		return entry.VerifyResult{Service: c.Service, Epoch: c.Epoch, Alive: true}
	case entry.ReadClaim:
		return entry.ReadClaimResult{Service: c.Service, Epoch: c.Epoch, Err: err}
	case entry.Verdict, entry.SendFrame, entry.Notice:
		panic(fmt.Sprintf("route: %T is not a store call", c))
	default:
		panic(fmt.Sprintf("route: unknown store call %T", c))
	}
}
