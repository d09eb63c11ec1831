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

// ConfigChanged carries the fleet of a newer configuration.
type ConfigChanged struct{ Fleet fleet.Fleet }

// RecordChanged carries a record of an instance, a ledger or a wave. Other records are ignored.
type RecordChanged struct {
	Record   record.Record // on a deletion only the identifying field is set
	Revision int64
	Deleted  bool
	ReadBack bool // answers a Read effect, possibly at the revision that is already known
}

// RecordsLoaded carries all instance, ledger and wave records, in answer to a Load effect.
//
// The ledgers must be read before the instances, because headroom is computed from instance records that are at
// least as new as the ledger.
type RecordsLoaded struct {
	Records []RecordChanged
}

// InstancesListed carries a new instance list.
type InstancesListed struct {
	Now       time.Time
	Instances []message.Listing
}

// ListConfirmed reports that the instance list was read again and has not changed.
type ListConfirmed struct{ Now time.Time }

// InFlight carries the number of requests in flight at each draining instance, -1 if unknown.
type InFlight struct {
	Now    time.Time
	Counts map[string]int
}

// WriteResult is the result of a Write effect.
type WriteResult struct {
	Now      time.Time
	Record   record.Record // as written
	Revision int64
	Err      error // nil, or wraps message.ErrConflict or message.ErrUnavailable
}

// ReadFailed reports that a Read effect got no answer.
type ReadFailed struct {
	Now    time.Time
	Record record.Record
}

// LoadFailed reports that a Load effect failed.
type LoadFailed struct{ Now time.Time }

// RunCommand carries an operator's command for a wave.
type RunCommand struct {
	Now     time.Time
	Wave    string
	Command Command
}

// Move requests that an instance move to another pool.
type Move struct {
	Now      time.Time
	Instance string
	Pool     string
}

// OwnershipWon reports that this process owns the planner in the epoch, at least until the given time. Repeated
// within an epoch, it extends that time.
type OwnershipWon struct {
	Now   time.Time
	Epoch uint64
	Until time.Time
}

// OwnershipLost reports that this process no longer owns the planner.
type OwnershipLost struct{ Now time.Time }

// Tick advances the time and makes the planner decide.
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

// Write requests a compare-and-swap. Its result comes back as WriteResult.
type Write struct {
	Record           record.Record
	ExpectedRevision int64 // 0 if the key must not exist
}

// Read requests the current value of a record's key. It comes back as RecordChanged or ReadFailed.
type Read struct{ Record record.Record }

// Load requests all instance, ledger and wave records. They come back as RecordsLoaded or LoadFailed.
type Load struct{}

// Notice requests a log line.
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
