package quota

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"teaselloft/internal/model/quota"
	"teaselloft/internal/model/site"
)

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Owner is the owner of a pool according to the directory.
type Owner struct {
	Epoch    uint64
	Revision int64 // of its record
	Live     bool  // its daemon is still a member
}

// Tick advances the clock and carries the present view of the site.
type Tick struct {
	Now    time.Duration // since boot, like all times in this package
	Config *site.Config
	Owners map[string]Owner // by pool; pools that never had an owner are missing
}

// Reported is the answer to a Call. An answer that comes after the call has timed out is dropped, so that reports arrive in
// the order in which the owner made them.
type Reported struct {
	Now    time.Duration
	Pool   string
	Told   map[string]quota.Limit // of the Call
	Report quota.Report           // made after the owner has applied them
}

// WriteResult is the result of a Write. An error means that the write had no effect and never will have one.
type WriteResult struct {
	Now time.Duration
	Err error // an *OwnersChangedError if a condition on the record of an owner has failed
}

func (Tick) message()        {}
func (Reported) message()    {}
func (WriteResult) message() {}

// ErrOwnersChanged is matched by an *OwnersChangedError.
var ErrOwnersChanged = errors.New("a pool has a new owner")

// OwnersChangedError names the pools whose owner is not the one that a Write requires.
type OwnersChangedError struct{ Pools []string }

// Error names the pools.
func (e *OwnersChangedError) Error() string { return fmt.Sprintf("%v: %v", ErrOwnersChanged, e.Pools) }

// Is reports whether target is ErrOwnersChanged.
func (e *OwnersChangedError) Is(target error) bool { return target == ErrOwnersChanged }

// Effect is an action that Step requests.
//
//sumtype:decl
type Effect interface{ effect() }

// Call passes limits on to the owner of a pool and requests its report. While a call to the same pool is in progress, the
// latest further one waits for it.
type Call struct {
	Pool   string
	Limits map[string]quota.Limit // by account; those that the owner is not known to have
}

// Write stores records. No further Write follows before its WriteResult.
type Write struct {
	Number  uint64
	Records map[string]quota.Record // by account
	Deletes []string                // accounts whose record is deleted
	Owners  map[string]int64        // revisions that the records of pool owners must have, by pool
}

// Note is a log line.
type Note struct {
	Level slog.Level
	Event string
	Attrs []any
}

func (Call) effect()  {}
func (Write) effect() {}
func (Note) effect()  {}
