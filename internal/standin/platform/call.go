package platform

import (
	"context"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/standin/keyvalue"
	"teaselloft/internal/standin/roster"
)

// call is what the HTTP requests ask of the store duty.
//
//sumtype:decl
type call interface{ call() }

// admit asks whether a call is served.
type admit struct {
	kind  Kind
	reply *ring.Ring[Verdict]
}

// apply asks for one step of the store.
type apply struct {
	message keyvalue.Message
	reply   *ring.Ring[keyvalue.Effect]
}

// open opens a watch whose effects go to a sink; cancel ends it when the sink is full or the store breaks it.
type open struct {
	watch  keyvalue.Watch
	sink   *ring.Ring[keyvalue.Effect]
	cancel context.CancelCauseFunc
}

// progress asks for a progress message of a watch.
type progress struct{ watch uint64 }

// leave ends a watch.
type leave struct{ watch uint64 }

// heartbeat registers instances.
type heartbeat struct{ beat roster.Heartbeat }

// look asks for the instance list.
type look struct{ reply *ring.Ring[roster.View] }

// control changes the faults and limits.
type control struct{ change Control }

// count asks for the counters.
type count struct{ reply *ring.Ring[Counters] }

func (admit) call()     {}
func (apply) call()     {}
func (open) call()      {}
func (progress) call()  {}
func (leave) call()     {}
func (heartbeat) call() {}
func (look) call()      {}
func (control) call()   {}
func (count) call()     {}

// callPort leads to the store duty; it blocks, as HTTP requests are the only producers.
var callPort = kernel.Port[call]{Name: "platform-standin", Capacity: 1024, Policy: ring.Block}

// Counters is the body of GET /counters.
type Counters struct {
	Calls    map[Kind]int64 `json:"calls"`    // by kind, without refused ones; an opened watch counts once
	Limited  int64          `json:"limited"`  // refused by a rate limit
	Dropped  int64          `json:"dropped"`  // not answered during an outage
	Lost     int64          `json:"lost"`     // answers dropped after the write took effect
	Watching int            `json:"watching"` // open watches
	Keys     int            `json:"keys"`
	Leases   int            `json:"leases"`
	Revision int64          `json:"revision"`
	Received int64          `json:"received"` // bytes
	Sent     int64          `json:"sent"`     // bytes
	Accepted int64          `json:"accepted"` // connections
}
