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

// RequestArrived delivers a caller's request. Its verdicts are sent to Reply.
type RequestArrived struct {
	Request Request
	Reply   *ring.Ring[Verdict]
}

// SendFinished reports the outcome of a send. Retry requests another verdict after a failed send.
type SendFinished struct {
	ID      ID
	Outcome Outcome
	RunTime time.Duration
	Retry   bool
	Answer  *Answer // of a non-idempotent request; nil if too large to keep
}

// RequestCanceled reports that the caller of a request disconnected before the request was sent.
type RequestCanceled struct {
	ID ID
}

// FrameReceived delivers a frame from another entry instance.
type FrameReceived struct {
	From  string // entry instance
	Frame Frame
}

// LinkChanged reports that the link to another entry instance came up or went down.
type LinkChanged struct {
	Entry       string
	Incarnation string
	Up          bool
}

// ConfigChanged delivers a newer configuration.
type ConfigChanged struct {
	Fleet fleet.Fleet
}

// RecordChanged delivers the new value of a platform key, or its deletion.
type RecordChanged struct {
	Record   record.Record // after a deletion, only the fields that form its key are set
	Revision int64         // of the key, for the next compare-and-swap
	Deleted  bool
}

// InstancesListed delivers the platform's instance list, which lags behind the instances' real state.
type InstancesListed struct {
	Instances []Listing
}

// Listing is one instance in the instance list.
type Listing struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	State   string `json:"state"` // live or leaving
}

// LeaseRenewed reports that the platform renewed the entry instance's lease.
type LeaseRenewed struct {
	Incarnation string        // to which the lease belongs
	Sent        time.Time     // when the keep-alive was sent
	TTL         time.Duration // as granted by the platform
}

// RenewalFailed reports a keep-alive that the platform did not answer.
type RenewalFailed struct {
	Sent time.Time
}

// InspectInstance requests current load reports from the owners of the services that an instance runs.
type InspectInstance struct {
	Instance string
}

func (RenewalFailed) event()   {}
func (InspectInstance) event() {}
func (RequestArrived) event()  {}
func (SendFinished) event()    {}
func (RequestCanceled) event() {}
func (FrameReceived) event()   {}
func (LinkChanged) event()     {}
func (ConfigChanged) event()   {}
func (RecordChanged) event()   {}
func (InstancesListed) event() {}
func (LeaseRenewed) event()    {}
