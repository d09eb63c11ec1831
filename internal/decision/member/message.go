package member

import (
	"time"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Services carries the names of all services of the active configuration.
type Services struct {
	Now   time.Time
	Names []string
}

// Changed carries a change of a member or owner record; other records are ignored.
type Changed struct {
	Now    time.Time
	Change message.RecordChanged
}

// Renewed reports an answered keep-alive of the lease of this entry instance.
type Renewed struct {
	Now         time.Time
	Incarnation string    // to which the lease belongs
	Until       time.Time // earliest time at which the lease may expire, less the margin
}

// Verified is the result of a Verify effect. Alive is true if the member record still exists or could not be read.
type Verified struct {
	Now     time.Time
	Service string
	Epoch   uint64
	Alive   bool
}

// Written is the result of a Write effect.
type Written struct {
	Now   time.Time
	Owner record.Owner // as written; its Entry is empty for a hand-over
	Err   error
}

// Resign gives up one service because another owner has written its claim.
type Resign struct {
	Now     time.Time
	Service string
	Epoch   uint64
}

// Gone reports that a member is certainly dead and so no longer uses a static share.
type Gone struct {
	Now   time.Time
	Entry string
}

// Leave gives up every service and takes over no more, before the process stops.
type Leave struct{ Now time.Time }

// Tick advances the clock.
type Tick struct{ Now time.Time }

func (Services) message() {}
func (Changed) message()  {}
func (Renewed) message()  {}
func (Verified) message() {}
func (Written) message()  {}
func (Resign) message()   {}
func (Gone) message()     {}
func (Leave) message()    {}
func (Tick) message()     {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Verify requests a read of the member record of the last owner of a service.
type Verify struct {
	Service     string
	Epoch       uint64 // of the owner record to verify
	Entry       string
	Incarnation string
}

// Write requests a compare-and-swap of an owner record.
type Write struct {
	Owner    record.Owner
	Expected int64
}

// Won reports that this entry instance owns a service from now on, in a new epoch.
type Won struct {
	Service string
	Epoch   uint64
	Shared  []string // members of the previous owner record, sorted
	Current []string // members of this epoch's owner record, sorted
	Absent  []record.AbsentMember
}

// Lost reports that this entry instance no longer owns a service, which ends the epoch.
type Lost struct {
	Service string
	Epoch   uint64
}

// Proved extends the time for which all current epochs are valid.
type Proved struct{ Until time.Time }

// Owned reports the owner of a service according to its record, whether or not that owner is alive.
type Owned struct {
	Service string
	Owner   record.Owner
}

func (Verify) effect() {}
func (Write) effect()  {}
func (Won) effect()    {}
func (Lost) effect()   {}
func (Proved) effect() {}
func (Owned) effect()  {}
