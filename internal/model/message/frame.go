package message

import "time"

// Frame is a message between two entry instances.
//
//sumtype:decl
type Frame interface{ frame() }

// Ask requests a grant from the owner of a service.
type Ask struct {
	Request Request
	Left    time.Duration // time left until the deadline; relative, because clocks are not synchronized
	Exclude []string      // executors on which this request failed
}

// Grant permits the requesting entry instance to send a request to an executor.
type Grant struct {
	ID       ID
	Service  string
	Epoch    uint64
	Executor Executor
}

// Deny refuses a request. For a duplicate, Holder names the entry instance that may have its answer.
type Deny struct {
	ID      ID
	Service string
	Epoch   uint64
	Refusal Refusal
	Holder  string
}

// Release returns a grant to the owner and reports the outcome of the send.
type Release struct {
	ID       ID
	Service  string
	Epoch    uint64
	Executor string
	Outcome  Outcome
	RunTime  time.Duration
}

// Withdraw cancels an Ask that has not been granted.
type Withdraw struct {
	ID      ID
	Service string
}

// Gather requests a member's grants of a service. The member refuses lower epochs from then on.
type Gather struct {
	Service  string
	Epoch    uint64
	Sequence uint64 // repeated in the answer, because the answer to an earlier Gather can arrive late
}

// Holding answers Gather.
type Holding struct {
	Service  string
	Epoch    uint64
	Sequence uint64 // of the Gather that it answers
	Grants   []Held
}

// Resync asks an owner to gather grants again, because releases may have been lost with a broken link.
type Resync struct {
	Service string
	Epoch   uint64
}

// Held is a grant in flight.
type Held struct {
	ID       ID
	Executor string
	Left     time.Duration // time left until the request's deadline
	Key      string        // idempotency key of a non-idempotent request
}

// Cleared announces that an owner's epoch has ended and that all its grants were released.
type Cleared struct {
	Service string
	Epoch   uint64
}

// Fetch requests the stored answer for an idempotency key.
type Fetch struct {
	ID      ID
	Service string
	Key     string
}

// Stored answers Fetch. Found is false if no answer is stored.
type Stored struct {
	ID     ID
	Found  bool
	Answer Answer
}

// Backup copies a grant that an owner gave to one of its own requests to another member.
//
// The next owner gathers it from there if this one stops or is paused.
type Backup struct {
	Service string
	Epoch   uint64
	Grant   Held
}

// Forget drops a Backup, because its grant was released.
type Forget struct {
	Service string
	ID      ID
}

// Inquire requests from the owner of a service the number of requests in flight at each executor.
type Inquire struct {
	Service string
}

// Report answers Inquire.
type Report struct {
	Service string
	Loads   map[string]int // requests in flight by executor ID
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
