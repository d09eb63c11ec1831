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

// Services brings the names of all services of the configuration in force.
type Services struct {
	Now   time.Time
	Names []string
}

// Changed brings a change of a member or owner record; other records are ignored.
type Changed struct {
	Now    time.Time
	Change message.RecordChanged
}

// Renewed brings an answered keep-alive of this entry instance's lease.
type Renewed struct {
	Now         time.Time
	Incarnation string    // that the lease belongs to
	Until       time.Time // when the lease can have expired, less the margin
}

// Verified answers a Verify effect; Alive is true when the member record still exists or could not be read.
type Verified struct {
	Now     time.Time
	Service string
	Epoch   uint64
	Alive   bool
}

// Written reports the end of the write of an owner record.
type Written struct {
	Now   time.Time
	Owner record.Owner // its Entry is empty for a hand-over
	Err   error
}

// Resign gives up one service, whose claim was written by another owner.
type Resign struct {
	Now     time.Time
	Service string
	Epoch   uint64
}

// Gone says that a member is certainly dead, so that it uses no static share.
type Gone struct {
	Now   time.Time
	Entry string
}

// Leave gives up every service and takes no more, before a stop.
type Leave struct{ Now time.Time }

// Tick lets time pass.
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

// Verify asks for a read of the member record of a service's last owner.
type Verify struct {
	Service     string
	Epoch       uint64 // of the owner record that the verification is about
	Entry       string
	Incarnation string
}

// Write asks for a compare-and-swap of an owner record.
type Write struct {
	Owner    record.Owner
	Expected int64
}

// Won starts an epoch.
type Won struct {
	Service string
	Epoch   uint64
	Shared  []string // members of the previous owner record, sorted
	Current []string // members of this epoch's owner record, sorted
	Absent  []record.AbsentMember
}

// Lost ends an epoch.
type Lost struct {
	Service string
	Epoch   uint64
}

// Proved extends all current epochs.
type Proved struct{ Until time.Time }

// Owned names a service's owner as its record says, whether or not it is alive.
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
