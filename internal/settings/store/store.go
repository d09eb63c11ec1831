package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// Store is the part of the platform's key-value store that this package uses; see message.Store for the errors.
type Store interface {
	CompareAndSwap(ctx context.Context, w message.Write) (revision int64, err error)
	Read(ctx context.Context, key string) (record.Record, int64, error)
	List(ctx context.Context, prefix string) ([]message.RecordChanged, error)
	ReadRaw(ctx context.Context, key string) ([]byte, int64, error)
	WriteRaw(ctx context.Context, key string, value []byte) error
}

var (
	// ErrStale means that the change is not based on the current version.
	ErrStale = errors.New("configuration was changed by another operator")
	// ErrCorrupt means that a stored value cannot be decoded or does not match its key.
	ErrCorrupt = errors.New("stored configuration cannot be decoded")
	// ErrTooLarge means that a value exceeds the platform's size limit.
	ErrTooLarge = errors.New("configuration is too large for the platform")
	// ErrChangeIDReused means that the ID of a change was already used for another change.
	ErrChangeIDReused = errors.New("change ID was already used with different content")
	// ErrVersionNotFound means that the history does not hold the requested version.
	ErrVersionNotFound = errors.New("configuration version does not exist")
)

// IsDamaged reports whether an error means that a stored configuration is lost or corrupt, so that a retry cannot succeed.
func IsDamaged(err error) bool {
	return errors.Is(err, ErrCorrupt) || errors.Is(err, message.ErrNotFound)
}

// StaleError names the current version and the version that a rejected change is based on.
type StaleError struct {
	Base    uint64    // version that the change is based on
	Current uint64    // current version
	Author  string    // of the current version
	Time    time.Time // of the current version
}

// Error returns a message with both versions and the author and time of the current one.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%v: version %d by %s is current since %s, the change is based on version %d",
		ErrStale, e.Current, e.Author, e.Time.Format(time.RFC3339), e.Base)
}

// Unwrap returns ErrStale.
func (e *StaleError) Unwrap() error {
	return ErrStale
}
