package message

import "time"

// Frame is a message between two entry instances.
//
//sumtype:decl
type Frame interface{ frame() }

// Ask asks the owner of a service for a grant.
type Ask struct {
	Request Request
	Left    time.Duration // until the deadline, since clocks are not synchronized
	Exclude []string      // executors that failed this request
}

// Grant lets the asking entry instance send a request to an executor.
type Grant struct {
	ID       ID
	Service  string
	Epoch    uint64
	Executor Executor
}

// Deny refuses a request; Holder names the entry instance that may keep the answer of a duplicate.
type Deny struct {
	ID      ID
	Service string
	Epoch   uint64
	Refusal Refusal
	Holder  string
}

// Release returns a grant to the owner.
type Release struct {
	ID       ID
	Service  string
	Epoch    uint64
	Executor string
	Outcome  Outcome
	RunTime  time.Duration
}

// Withdraw takes back an Ask that was not yet granted.
type Withdraw struct {
	ID      ID
	Service string
}

// Gather asks a member for its grants of a service; it refuses lower epochs from then on.
type Gather struct {
	Service  string
	Epoch    uint64
	Sequence uint64 // that the answer repeats, since an answer to an earlier Gather can come late
}

// Holding answers Gather.
type Holding struct {
	Service  string
	Epoch    uint64
	Sequence uint64 // of the Gather
	Grants   []Held
}

// Resync asks an owner to gather again, because releases may have been lost with a broken link.
type Resync struct {
	Service string
	Epoch   uint64
}

// Held is a grant in flight.
type Held struct {
	ID       ID
	Executor string
	Left     time.Duration // until the request's deadline
	Key      string        // idempotency key of a non-idempotent request
}

// Cleared says that an owner's epoch ended and that all its grants came back.
type Cleared struct {
	Service string
	Epoch   uint64
}

// Fetch asks for the stored answer to an idempotency key.
type Fetch struct {
	ID      ID
	Service string
	Key     string
}

// Stored answers Fetch; Found is false when the answer is not kept.
type Stored struct {
	ID     ID
	Found  bool
	Answer Answer
}

// Backup tells another member of a grant that an owner gave to a request of its own,
// so that the next owner learns of it when this one dies or is paused.
type Backup struct {
	Service string
	Epoch   uint64
	Grant   Held
}

// Forget says that the grant of a Backup came back.
type Forget struct {
	Service string
	ID      ID
}

// Inquire asks the owner of a service how many requests are in flight on each executor.
type Inquire struct {
	Service string
}

// Report answers Inquire.
type Report struct {
	Service string
	Loads   map[string]int // by executor
}

func (Inquire) frame()  {}
func (Report) frame()   {}
func (Ask) frame()      {}
func (Grant) frame()    {}
func (Deny) frame()     {}
func (Release) frame()  {}
func (Withdraw) frame() {}
func (Gather) frame()   {}
func (Holding) frame()  {}
func (Cleared) frame()  {}
func (Fetch) frame()    {}
func (Stored) frame()   {}

func (Resync) frame() {}
func (Backup) frame() {}
func (Forget) frame() {}
