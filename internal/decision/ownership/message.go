package ownership

import (
	"time"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// ServicesChanged carries the names of all services of the active configuration.
type ServicesChanged struct {
	Now   time.Time
	Names []string
}

// RecordChanged carries a change of a member or owner record; other records are ignored.
type RecordChanged struct {
	Now    time.Time
	Change message.RecordChanged
}

// LeaseRenewed reports an answered keep-alive of the lease of this entry instance.
type LeaseRenewed struct {
	Now         time.Time
	Incarnation string    // to which the lease belongs
	Until       time.Time // earliest time at which the lease may expire, less the margin
}

// VerifyResult is the result of a Verify effect. Alive is true if the member record still exists or could not be read.
type VerifyResult struct {
	Now     time.Time
	Service string
	Epoch   uint64
	Alive   bool
}

// WriteResult is the result of a Write effect.
type WriteResult struct {
	Now   time.Time
	Owner record.Owner // as written; its Entry is empty for a hand-over
	Err   error
}

// Resign gives up one service because another owner has written the claim record of the service.
type Resign struct {
	Now     time.Time
	Service string
	Epoch   uint64
}

// MemberDead reports that a member is certainly dead and so no longer uses a static share of any service.
type MemberDead struct {
	Now   time.Time
	Entry string
}

// Leave gives up every service and takes over no more, before the process stops.
type Leave struct{ Now time.Time }

// Tick advances the clock.
type Tick struct{ Now time.Time }

func (ServicesChanged) message() {}
func (RecordChanged) message()   {}
func (LeaseRenewed) message()    {}
func (VerifyResult) message()    {}
func (WriteResult) message()     {}
func (Resign) message()          {}
func (MemberDead) message()      {}
func (Leave) message()           {}
func (Tick) message()            {}

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
	Owner            record.Owner
	ExpectedRevision int64
}

// Won reports that this entry instance owns a service from now on, in a new epoch.
type Won struct {
	Service         string
	Epoch           uint64
	PreviousMembers []string // members of the previous owner record, sorted
	CurrentMembers  []string // members of this epoch's owner record, sorted
	Absent          []record.AbsentMember
}

// Lost reports that this entry instance no longer owns a service, which ends the epoch.
type Lost struct {
	Service string
	Epoch   uint64
}

// ValidityExtended reports that all current epochs are valid until a later time.
type ValidityExtended struct{ Until time.Time }

// OwnerChanged reports the owner of a service according to its record, whether or not that owner is alive.
type OwnerChanged struct {
	Service string
	Owner   record.Owner
}

func (Verify) effect()           {}
func (Write) effect()            {}
func (Won) effect()              {}
func (Lost) effect()             {}
func (ValidityExtended) effect() {}
func (OwnerChanged) effect()     {}
