package cas

import "time"

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Begin starts the write.
type Begin struct{}

// Succeeded reports that an attempt wrote the key at the revision.
type Succeeded struct{ Revision int64 }

// CompareFailed reports that the key did not have the expected revision.
type CompareFailed struct{}

// AnswerLost reports that an attempt got no answer and may have taken effect.
type AnswerLost struct{ Now time.Time }

// NotApplied reports that an attempt did not take effect and may succeed when repeated.
type NotApplied struct{ Now time.Time }

// Rejected reports that the store can never accept the write.
type Rejected struct{}

// KeyFound is the result of a read: the key's revision, and whether it holds the value to write.
type KeyFound struct {
	Now       time.Time
	Revision  int64
	SameValue bool
}

// KeyMissing is the result of a read that found no key.
type KeyMissing struct{ Now time.Time }

// ReadFailed reports that a read failed.
type ReadFailed struct{ Now time.Time }

func (Begin) message()         {}
func (Succeeded) message()     {}
func (CompareFailed) message() {}
func (AnswerLost) message()    {}
func (NotApplied) message()    {}
func (Rejected) message()      {}
func (KeyFound) message()      {}
func (KeyMissing) message()    {}
func (ReadFailed) message()    {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Attempt sends the compare-and-swap.
type Attempt struct{}

// ReadBack reads the key.
type ReadBack struct{}

// Pause waits before the next effect.
type Pause struct{}

// Finish ends the write. Revision is the revision at which a write with the result Done took effect; it is 0 if that is
// known only from a read that found the key deleted, and for the other results.
type Finish struct {
	Result   Result
	Revision int64
}

func (Attempt) effect()  {}
func (ReadBack) effect() {}
func (Pause) effect()    {}
func (Finish) effect()   {}

// Result is the outcome of a write.
type Result int

// The results of a write.
const (
	Done       Result = iota // the key was written or deleted
	Conflict                 // another writer changed the key; this write may have been overwritten by it
	Unresolved               // the write may have taken effect or may still do so
	Invalid                  // the store never accepts the write
)
