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

// Configure brings a newer fleet.
type Configure struct{ Fleet fleet.Fleet }

// Changed brings a record of an instance, a ledger or a wave; other records are ignored.
type Changed struct {
	Record   record.Record // its identifying field alone is set on a deletion
	Revision int64
	Deleted  bool
	Read     bool // the answer to a Read effect, which may show the known revision again
}

// Loaded brings every instance, ledger and wave record, in answer to a Load effect.
//
// The ledgers have to be read before the instances, as headroom is counted by instance records that
// are at least as new as the ledger.
type Loaded struct {
	Records []Changed
}

// Listed brings the instance list.
type Listed struct {
	Now       time.Time
	Instances []message.Listing
}

// Confirmed says that the instance list was read again and is unchanged.
type Confirmed struct{ Now time.Time }

// Flights brings the requests in flight at draining instances, -1 for unknown.
type Flights struct {
	Now    time.Time
	Counts map[string]int
}

// Written reports the end of a Write effect.
type Written struct {
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

// Operate brings an operator's command for a wave.
type Operate struct {
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

// Won says that this process is the planner until the given time; it also extends the time within an epoch.
type Won struct {
	Now   time.Time
	Epoch uint64
	Until time.Time
}

// Lost says that this process is no longer the planner.
type Lost struct{ Now time.Time }

// Time lets time pass and makes the planner decide on what it knows.
type Time struct{ Now time.Time }

func (Configure) message()  {}
func (Changed) message()    {}
func (Loaded) message()     {}
func (Listed) message()     {}
func (Confirmed) message()  {}
func (Flights) message()    {}
func (Written) message()    {}
func (ReadFailed) message() {}
func (LoadFailed) message() {}
func (Operate) message()    {}
func (Move) message()       {}
func (Won) message()        {}
func (Lost) message()       {}
func (Time) message()       {}

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
