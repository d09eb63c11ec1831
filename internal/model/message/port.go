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
	// ErrConflict is returned when the key of a write does not have the expected revision.
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

// OutgoingFrame is a frame to send to another entry instance.
type OutgoingFrame struct {
	To    string // entry instance
	Frame Frame
}

// Ports between plug-ins.
var (
	// RoutePort delivers events to the routing duty.
	RoutePort = kernel.Port[Event]{Name: "route", Capacity: 8192, Policy: ring.Refuse}
	// FramePort delivers frames to the links with other entry instances.
	FramePort = kernel.Port[OutgoingFrame]{Name: "frame", Capacity: 8192, Policy: ring.Refuse}
)

// Topics that the platform link publishes.
var (
	// ConfigTopic carries each newer configuration.
	ConfigTopic = kernel.Topic[ConfigChanged]{Name: "configured"}
	// RecordTopic carries each change of a platform key.
	RecordTopic = kernel.Topic[RecordChanged]{Name: "changed"}
	// InstancesTopic carries each new instance list.
	InstancesTopic = kernel.Topic[InstancesListed]{Name: "listed"}
	// ListConfirmedTopic carries each read that found the instance list unchanged.
	ListConfirmedTopic = kernel.Topic[ListConfirmed]{Name: "confirmed"}
	// LeaseRenewedTopic carries each answered keep-alive.
	LeaseRenewedTopic = kernel.Topic[LeaseRenewed]{Name: "renewed"}
	// RenewalFailedTopic carries each keep-alive that was not answered.
	RenewalFailedTopic = kernel.Topic[RenewalFailed]{Name: "unanswered"}
)

// Sender sends requests to executors. The endpoint link implements it.
type Sender interface {
	// Send returns the answer. On an error the outcome is NotRun if no byte was written, and Unknown otherwise.
	Send(ctx context.Context, to Executor, r *http.Request) (*http.Response, Outcome, error)
}

// Store reads and writes the platform's keys. The platform link implements it.
type Store interface {
	// CompareAndSwap applies w if its key has the expected revision. The error wraps ErrConflict or ErrUnavailable.
	CompareAndSwap(ctx context.Context, w Write) (revision int64, err error)
	// Read returns a record and its revision. The error wraps ErrNotFound or ErrUnavailable.
	Read(ctx context.Context, key string) (record.Record, int64, error)
	// List returns the records under a prefix.
	List(ctx context.Context, prefix string) ([]RecordChanged, error)
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
