package wave

import (
	"log/slog"
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// ConfigChanged brings a newer fleet.
type ConfigChanged struct{ Fleet fleet.Fleet }

// RecordChanged brings a record of an instance, a ledger or a wave; other records are ignored.
type RecordChanged struct {
	Record   record.Record // its identifying field alone is set on a deletion
	Revision int64
	Deleted  bool
	ReadBack bool // the answer to a Read effect, which may show the known revision again
}

// RecordsLoaded brings every instance, ledger and wave record, in answer to a Load effect.
//
// The ledgers have to be read before the instances, as headroom is counted by instance records that
// are at least as new as the ledger.
type RecordsLoaded struct {
	Records []RecordChanged
}

// InstancesListed brings the instance list.
type InstancesListed struct {
	Now       time.Time
	Instances []message.Listing
}

// ListConfirmed says that the instance list was read again and is unchanged.
type ListConfirmed struct{ Now time.Time }

// InFlight brings the requests in flight at draining instances, -1 for unknown.
type InFlight struct {
	Now    time.Time
	Counts map[string]int
}

// WriteResult reports the end of a Write effect.
type WriteResult struct {
	Now      time.Time
	Record   record.Record // as written
	Revision int64
	Err      error // nil, or wraps message.ErrConflict or message.ErrUnavailable
}

// ReadFailed reports that the platform did not answer a Read effect.
type ReadFailed struct {
	Now    time.Time
	Record record.Record
}

// LoadFailed reports that the records could not be listed.
type LoadFailed struct{ Now time.Time }

// RunCommand brings an operator's command for a wave.
type RunCommand struct {
	Now     time.Time
	Wave    string
	Command Command
}

// Move asks to move an instance to another pool.
type Move struct {
	Now      time.Time
	Instance string
	Pool     string
}

// OwnershipWon says that this process is the planner until the given time; it also extends the time within an epoch.
type OwnershipWon struct {
	Now   time.Time
	Epoch uint64
	Until time.Time
}

// OwnershipLost says that this process is no longer the planner.
type OwnershipLost struct{ Now time.Time }

// Tick lets time pass and makes the planner decide on what it knows.
type Tick struct{ Now time.Time }

func (ConfigChanged) message()   {}
func (RecordChanged) message()   {}
func (RecordsLoaded) message()   {}
func (InstancesListed) message() {}
func (ListConfirmed) message()   {}
func (InFlight) message()        {}
func (WriteResult) message()     {}
func (ReadFailed) message()      {}
func (LoadFailed) message()      {}
func (RunCommand) message()      {}
func (Move) message()            {}
func (OwnershipWon) message()    {}
func (OwnershipLost) message()   {}
func (Tick) message()            {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Write asks for a compare-and-swap; its end comes back as Written.
type Write struct {
	Record   record.Record
	Expected int64 // revision, 0 for a key that must not exist
}

// Read asks for the present value of a record's key; it comes back as Changed or ReadFailed.
type Read struct{ Record record.Record }

// Load asks for all instance, ledger and wave records; they come back as Loaded or LoadFailed.
type Load struct{}

// Notice is an event worth a log line.
type Notice struct {
	Level slog.Level
	Event string
	Text  string
	Attrs []any // alternating keys and values
}

func (Write) effect()  {}
func (Read) effect()   {}
func (Load) effect()   {}
func (Notice) effect() {}
