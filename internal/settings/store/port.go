package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// Store is what the package needs of the platform's key-value store; message.Store describes the errors.
type Store interface {
	CompareAndSwap(ctx context.Context, w message.Write) (revision int64, err error)
	Read(ctx context.Context, key string) (record.Record, int64, error)
	List(ctx context.Context, prefix string) ([]message.RecordChanged, error)
	ReadRaw(ctx context.Context, key string) ([]byte, int64, error)
	WriteRaw(ctx context.Context, key string, value []byte) error
}

var (
	// ErrStale means that another configuration came into force since the change was made.
	ErrStale = errors.New("configuration was changed by another operator")
	// ErrCorrupt means that a stored value cannot be decoded or does not belong to its key.
	ErrCorrupt = errors.New("stored configuration cannot be decoded")
	// ErrTooLarge means that a value exceeds the platform's limit.
	ErrTooLarge = errors.New("configuration is too large for the platform")
	// ErrOtherContent means that the id of a change was used before for another change.
	ErrOtherContent = errors.New("change id was used with other content")
	// ErrNoVersion means that the history does not hold a version.
	ErrNoVersion = errors.New("configuration version does not exist")
)

// Damaged reports whether an error means that a stored configuration is lost, so that reading it again is of no use.
func Damaged(err error) bool {
	return errors.Is(err, ErrCorrupt) || errors.Is(err, message.ErrNotFound)
}

// StaleError names the version in force and the version that a refused change was made from.
type StaleError struct {
	Base    uint64 // version that the change was made from
	Current uint64 // version in force
	Author  string // of the version in force
	Time    time.Time
}

// Error returns both versions and the author of the one in force.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%v: version %d of %s is in force since %s, the change was made from version %d",
		ErrStale, e.Current, e.Author, e.Time.Format(time.RFC3339), e.Base)
}

// Unwrap returns ErrStale.
func (e *StaleError) Unwrap() error {
	return ErrStale
}
