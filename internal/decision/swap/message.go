package swap

import "time"

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Begin starts the write.
type Begin struct{}

// Accepted says that an attempt wrote the key at a revision.
type Accepted struct{ Revision int64 }

// Refused says that an attempt found another revision than expected.
type Refused struct{}

// Lost says that an attempt got no answer and may have taken effect.
type Lost struct{ Now time.Time }

// Failed says that an attempt did not take effect and may succeed later.
type Failed struct{ Now time.Time }

// Rejected says that no attempt can succeed.
type Rejected struct{}

// Found brings the revision of the key, and whether its value is the one to write.
type Found struct {
	Now      time.Time
	Revision int64
	Same     bool
}

// Missing says that the key does not exist.
type Missing struct{ Now time.Time }

// Unread says that the key could not be read.
type Unread struct{ Now time.Time }

func (Begin) message()    {}
func (Accepted) message() {}
func (Refused) message()  {}
func (Lost) message()     {}
func (Failed) message()   {}
func (Rejected) message() {}
func (Found) message()    {}
func (Missing) message()  {}
func (Unread) message()   {}

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

// Finish ends the write; the revision is set on success.
type Finish struct {
	Result   Result
	Revision int64
}

func (Attempt) effect()  {}
func (ReadBack) effect() {}
func (Pause) effect()    {}
func (Finish) effect()   {}

// Result is how a write ended.
type Result int

// The results of a write.
const (
	Done       Result = iota // the key has the new value, or is deleted
	Conflict                 // another writer changed the key; this write may have been overwritten by it
	Unresolved               // the write may have taken effect
	Impossible               // the store never accepts the write
)
