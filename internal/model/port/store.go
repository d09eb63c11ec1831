package port

import (
	"context"
	"errors"
	"time"
)

// Errors of a store. After any other error the call may have taken effect, or may still take effect later.
var (
	ErrNotFound  = errors.New("no such item")
	ErrRefused   = errors.New("store did nothing")             // busy or over the rate limit; the call had no effect
	ErrCompacted = errors.New("store dropped that history")    // the watch must restart from a list
	ErrLeaseLost = errors.New("lease has ended")               // returned by renewals and by writes bound to a lease
	ErrConflict  = errors.New("condition of the change fails") // always a *ConflictError
)

// Item is a key and its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of the last change; 0 if the key does not exist
}

// Event is a change of a key.
type Event struct {
	Item
	Deleted bool
}

// Write sets a key. A nonzero Lease binds the key to that lease.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Condition requires that the key was last changed at the revision. Revision 0 requires that the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Txn is a transaction: all writes and deletes are applied if all conditions hold, and none otherwise.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// MaxTxnOps is the maximum total number of conditions, writes and deletes in a transaction.
const MaxTxnOps = 32

// ConflictError holds the current items of the keys in the conditions of a transaction that failed.
type ConflictError struct {
	Items []Item
}

// Error returns the text of ErrConflict.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Find returns the current item of a key. Its Revision is 0 if the key does not exist.
func (e *ConflictError) Find(key string) Item {
	for _, i := range e.Items {
		if i.Key == key {
			return i
		}
	}
	return Item{Key: key}
}

// Store is a linearizable key-value store with transactions, leases and watches.
type Store interface {
	// Get returns an item, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items under a prefix and the revision at which to start a watch without missing changes.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch returns the changes under a prefix after a revision, and the revision at which to continue. If there are
	// none, it waits for up to the given duration.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Apply applies a transaction and returns its revision.
	Apply(ctx context.Context, t Txn) (int64, error)
	// Grant creates a lease and returns its ID.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew extends a lease by its whole TTL, or returns ErrLeaseLost.
	Renew(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes the keys bound to it.
	Revoke(ctx context.Context, lease int64) error
}
