package message

import (
	"time"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// Event is an input of the routing duty.
//
//sumtype:decl
type Event interface{ event() }

// Arrive delivers a caller's request. Its verdicts are sent to Reply.
type Arrive struct {
	Request Request
	Reply   *ring.Ring[Verdict]
}

// Finish reports the outcome of a send. Retry requests another verdict after a failed send.
type Finish struct {
	ID      ID
	Outcome Outcome
	RunTime time.Duration
	Retry   bool
	Answer  *Answer // of a non-idempotent request; nil if too large to keep
}

// Abandon reports that the caller of a request disconnected before the request was sent.
type Abandon struct {
	ID ID
}

// Received delivers a frame from another entry instance.
type Received struct {
	From  string // entry instance
	Frame Frame
}

// Linked reports that the link to another entry instance came up or went down.
type Linked struct {
	Entry       string
	Incarnation string
	Up          bool
}

// Configured delivers a newer configuration.
type Configured struct {
	Fleet fleet.Fleet
}

// Changed delivers the new value of a platform key, or its deletion.
type Changed struct {
	Record   record.Record // after a deletion only its identifying field is set
	Revision int64         // of the key, for the next compare-and-swap
	Deleted  bool
}

// Listed delivers the platform's instance list, which lags behind the instances' real state.
type Listed struct {
	Instances []Listing
}

// Listing is an entry of the instance list.
type Listing struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	State   string `json:"state"` // live or leaving
}

// Renewed reports that the platform renewed the entry instance's lease.
type Renewed struct {
	Incarnation string        // to which the lease belongs
	Sent        time.Time     // when the keep-alive was sent
	TTL         time.Duration // granted
}

// Unanswered reports a keep-alive that the platform did not answer.
type Unanswered struct {
	Sent time.Time
}

// Inspect requests a current report of the requests in flight at an instance.
type Inspect struct {
	Instance string
}

func (Unanswered) event() {}
func (Inspect) event()    {}
func (Arrive) event()     {}
func (Finish) event()     {}
func (Abandon) event()    {}
func (Received) event()   {}
func (Linked) event()     {}
func (Configured) event() {}
func (Changed) event()    {}
func (Listed) event()     {}
func (Renewed) event()    {}
