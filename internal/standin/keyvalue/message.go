package keyvalue

import "time"

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Range reads the keys from Key up to but not including End, or Key alone when End is empty.
type Range struct {
	Key   string
	End   string
	Limit int // 0 for no limit
}

// Swap writes or deletes a key if it has the expected revision, 0 for a missing key.
type Swap struct {
	Key      string
	Expected int64
	Value    string
	Lease    int64 // 0 for none
	Delete   bool
}

// Grant asks for a lease.
type Grant struct {
	Now time.Time
	TTL time.Duration
}

// KeepAlive renews a lease.
type KeepAlive struct {
	Now time.Time
	ID  int64
}

// Revoke ends a lease and deletes its keys.
type Revoke struct{ ID int64 }

// Watch delivers the changes of a range from revision Start on; Start 0 stands for the next change.
type Watch struct {
	ID    uint64 // chosen by the caller
	Key   string
	End   string
	Start int64
}

// Unwatch ends a watch.
type Unwatch struct{ ID uint64 }

// Progress asks for a Notify without events, behind all events that the watch is due.
type Progress struct{ ID uint64 }

// Compact forgets the history before a revision.
type Compact struct{ Revision int64 }

// Tick lets time pass, which expires leases.
type Tick struct{ Now time.Time }

func (Range) message()     {}
func (Swap) message()      {}
func (Grant) message()     {}
func (KeepAlive) message() {}
func (Revoke) message()    {}
func (Watch) message()     {}
func (Unwatch) message()   {}
func (Progress) message()  {}
func (Compact) message()   {}
func (Tick) message()      {}

// Effect is an output of Step; the first effect of a message with an answer is the answer.
//
//sumtype:decl
type Effect interface{ effect() }

// Pair is a key with its value.
type Pair struct {
	Key      string
	Value    string
	Created  int64 // revision
	Modified int64 // revision
	Version  int64 // number of writes since it was created
	Lease    int64
}

// Event is one change of a key; only the key and the revision are set on a deletion.
type Event struct {
	Pair    Pair
	Deleted bool
}

// Pairs answers Range; Count includes the keys beyond the limit.
type Pairs struct {
	Revision int64
	Pairs    []Pair
	Count    int
}

// Swapped answers Swap.
type Swapped struct {
	Revision  int64
	Succeeded bool
}

// Leased answers Grant and KeepAlive; TTL 0 means that the lease does not exist.
type Leased struct {
	Revision int64
	ID       int64
	TTL      time.Duration
}

// Revoked answers Revoke.
type Revoked struct{ Revision int64 }

// Failed answers a message that cannot be served.
type Failed struct{ Reason Reason }

// Opened answers Watch.
type Opened struct{ Revision int64 }

// Cancelled answers a Watch whose start was compacted.
type Cancelled struct{ Compacted int64 }

// Notify brings a watch the events up to a revision.
type Notify struct {
	Watch    uint64
	Revision int64
	Events   []Event
}

func (Pairs) effect()     {}
func (Swapped) effect()   {}
func (Leased) effect()    {}
func (Revoked) effect()   {}
func (Failed) effect()    {}
func (Opened) effect()    {}
func (Cancelled) effect() {}
func (Notify) effect()    {}

// Reason says why a message cannot be served.
type Reason string

// The reasons for a Failed answer.
const (
	ReasonTooLarge Reason = "value is too large"
	ReasonNoLease  Reason = "lease does not exist"
)
