package message

import (
	"context"
	"errors"
	"net/http"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/record"
)

// Errors of platform calls.
var (
	// ErrConflict is returned when the key does not have the expected revision.
	ErrConflict = errors.New("key was changed by another writer")
	// ErrUnavailable is returned when the platform did not answer. A write may have taken effect.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrNotFound is returned when the key does not exist.
	ErrNotFound = errors.New("key does not exist")
)

// Write is a compare-and-swap of one key.
type Write struct {
	Record   record.Record
	Expected int64 // revision of the key; 0 if the key must not exist
	Leased   bool  // bind the key to the entry instance's lease
	Delete   bool
}

// Outgoing is a frame to send to another entry instance.
type Outgoing struct {
	To    string // entry instance
	Frame Frame
}

// Ports between plug-ins.
var (
	// RoutePort delivers events to the routing duty.
	RoutePort = kernel.Port[Event]{Name: "route", Capacity: 8192, Policy: ring.Refuse}
	// FramePort delivers frames to the links with other entry instances.
	FramePort = kernel.Port[Outgoing]{Name: "frame", Capacity: 8192, Policy: ring.Refuse}
)

// Topics that the platform link publishes.
var (
	// ConfiguredTopic carries each newer configuration.
	ConfiguredTopic = kernel.Topic[Configured]{Name: "configured"}
	// ChangedTopic carries each change of a platform key.
	ChangedTopic = kernel.Topic[Changed]{Name: "changed"}
	// ListedTopic carries each new instance list.
	ListedTopic = kernel.Topic[Listed]{Name: "listed"}
	// ConfirmedTopic carries each read that found the instance list unchanged.
	ConfirmedTopic = kernel.Topic[Confirmed]{Name: "confirmed"}
	// RenewedTopic carries each answered keep-alive.
	RenewedTopic = kernel.Topic[Renewed]{Name: "renewed"}
	// UnansweredTopic carries each keep-alive that was not answered.
	UnansweredTopic = kernel.Topic[Unanswered]{Name: "unanswered"}
)

// Sender sends requests to executors. The endpoint link implements it.
type Sender interface {
	// Send returns the answer. On an error the outcome is NotRun if no byte was written, and Unknown otherwise.
	Send(ctx context.Context, to Executor, r *http.Request) (*http.Response, Outcome, error)
}

// Store reads and writes the platform's keys. The platform link implements it.
type Store interface {
	// Swap applies w if its key has the expected revision. The error wraps ErrConflict or ErrUnavailable.
	Swap(ctx context.Context, w Write) (revision int64, err error)
	// Read returns a record and its revision. The error wraps ErrNotFound or ErrUnavailable.
	Read(ctx context.Context, key string) (record.Record, int64, error)
	// List returns the records under a prefix.
	List(ctx context.Context, prefix string) ([]Changed, error)
	// ReadRaw returns the undecoded value of a key and its revision. The error wraps ErrNotFound or ErrUnavailable.
	ReadRaw(ctx context.Context, key string) (value []byte, revision int64, err error)
	// WriteRaw creates a key that has no other writer. The error wraps ErrConflict if the key has a different value.
	WriteRaw(ctx context.Context, key string, value []byte) error
}

// Identity returns the registration of this entry instance. The platform link implements it.
type Identity interface {
	// Self returns the member record. Its incarnation changes when the lease is lost.
	Self() record.Member
}
