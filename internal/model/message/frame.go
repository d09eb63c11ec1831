package message

import "time"

// Frame is a message between two entry instances.
//
//sumtype:decl
type Frame interface{ frame() }

// GrantRequest requests a grant from the owner of a service.
type GrantRequest struct {
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

// Withdraw cancels a GrantRequest that has not been granted.
type Withdraw struct {
	ID      ID
	Service string
}

// GatherGrants requests a member's grants of a service. The member refuses lower epochs from then on.
type GatherGrants struct {
	Service  string
	Epoch    uint64
	Sequence uint64 // repeated in the answer, because the answer to an earlier GatherGrants can arrive late
}

// HeldGrants answers GatherGrants.
type HeldGrants struct {
	Service  string
	Epoch    uint64
	Sequence uint64 // of the GatherGrants that it answers
	Grants   []HeldGrant
}

// Resync asks an owner to gather grants again, because releases may have been lost with a broken link.
type Resync struct {
	Service string
	Epoch   uint64
}

// HeldGrant is a grant in flight.
type HeldGrant struct {
	ID       ID
	Executor string
	Left     time.Duration // time left until the request's deadline
	Key      string        // idempotency key of a non-idempotent request
}

// EpochCleared announces that an owner's epoch has ended and that all its grants were released.
type EpochCleared struct {
	Service string
	Epoch   uint64
}

// FetchAnswer requests the stored answer for an idempotency key.
type FetchAnswer struct {
	ID      ID
	Service string
	Key     string
}

// StoredAnswer answers FetchAnswer. Found is false if no answer is stored.
type StoredAnswer struct {
	ID     ID
	Found  bool
	Answer Answer
}

// BackupGrant copies a grant that an owner gave to a request of its own to another member.
//
// If the owner stops or is paused, the next owner gathers the grant from that member.
type BackupGrant struct {
	Service string
	Epoch   uint64
	Grant   HeldGrant
}

// DropBackup drops a BackupGrant, because its grant was released.
type DropBackup struct {
	Service string
	ID      ID
}

// LoadRequest requests from the owner of a service the number of requests in flight at each executor.
type LoadRequest struct {
	Service string
}

// LoadReport answers LoadRequest.
type LoadReport struct {
	Service string
	Loads   map[string]int // requests in flight by executor ID
}

func (LoadRequest) frame()  {}
func (LoadReport) frame()   {}
func (GrantRequest) frame() {}
func (Grant) frame()        {}
func (Deny) frame()         {}
func (Release) frame()      {}
func (Withdraw) frame()     {}
func (GatherGrants) frame() {}
func (HeldGrants) frame()   {}
func (EpochCleared) frame() {}
func (FetchAnswer) frame()  {}
func (StoredAnswer) frame() {}

func (Resync) frame()      {}
func (BackupGrant) frame() {}
func (DropBackup) frame()  {}
