package port

import (
	"context"
	"errors"
	"time"
)

// Errors of a store. Any other error leaves open whether the call took effect, now or later.
var (
	ErrNotFound  = errors.New("no such item")
	ErrNotDone   = errors.New("store did nothing")             // it refused the call: busy, over its rate
	ErrHistory   = errors.New("store dropped that history")    // a watch must start again from a list
	ErrLeaseGone = errors.New("lease has ended")               // of a renewal or a write bound to a lease
	ErrConflict  = errors.New("condition of the change fails") // always a *ConflictError
)

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of its last change; 0 when the key does not exist
}

// Event is a change of a key.
type Event struct {
	Item
	Deleted bool
}

// Write sets a key; Lease binds it to a lease unless it is 0.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Condition holds if the key was last changed at the revision; 0 if the key must not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Change is applied whole if all conditions hold.
type Change struct {
	Conditions []Condition
	Writes     []Write
	Removes    []string
}

// MaxChange is how many conditions, writes and removals a change may have together.
const MaxChange = 32

// ConflictError holds the items of a change's conditions as they are.
type ConflictError struct {
	Items []Item
}

// Error describes the conflict.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Find returns the current item of a key; its Revision is 0 when the key does not exist.
func (e *ConflictError) Find(key string) Item {
	for _, i := range e.Items {
		if i.Key == key {
			return i
		}
	}
	return Item{Key: key}
}

// Store is a linearizable key-value store with conditional changes, leases and watches.
type Store interface {
	// Get returns an item, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items under a prefix and a revision from which a watch misses no later change.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits for changes under a prefix after a revision and returns the revision to go on from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Apply makes a change and returns its revision.
	Apply(ctx context.Context, c Change) (int64, error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew makes a lease run for its whole time again, or returns ErrLeaseGone.
	Renew(ctx context.Context, lease int64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease int64) error
}
