package shedding

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Activity is what a connection is doing.
type Activity interface{ activity() }

type (
	// Silent is a connection on which nothing has been received yet.
	Silent struct{ Since time.Duration }
	// Idle is a connection between two requests.
	Idle struct{ Since time.Duration }
	// Sending is a connection on which a request is being received. Progress is when the last substantial part of it came.
	Sending struct{ Progress time.Duration }
	// Answering is a connection to which an answer is being written.
	Answering struct{ Since time.Duration }
	// Working is a connection whose request has been received and is being handled.
	Working struct{}
	// Linked is a connection of a peer between two messages. Since is when something came, also a ping.
	Linked struct{ Since time.Duration }
)

func (Silent) activity()    {}
func (Idle) activity()      {}
func (Sending) activity()   {}
func (Answering) activity() {}
func (Working) activity()   {}
func (Linked) activity()    {}

// Connection is an open connection.
type Connection struct {
	ID       uint64
	Address  string // of the client, without port
	Held     int64  // bytes that its end frees
	Activity Activity
}

// Reason tells why a connection is closed.
type Reason int

// The reasons, in the order in which connections are chosen for memory: first those that delay a request of their own.
const (
	Stalled    Reason = iota // it sends too slowly
	NotReading               // it doesn't read its answer
	Unused                   // it has sent nothing yet
	Waiting                  // it is idle between two requests
)

// isIdle reports whether no request is under way on a connection that is closed for the reason.
func (r Reason) isIdle() bool { return r >= Unused }

// Reasons lists all reasons.
var Reasons = []Reason{Stalled, NotReading, Unused, Waiting}

// String returns the name of the reason in metrics and log lines.
func (r Reason) String() string {
	switch r {
	case Stalled:
		return "stalled"
	case NotReading:
		return "unread"
	case Unused:
		return "silent"
	case Waiting:
		return "idle"
	default:
		return fmt.Sprintf("Reason(%d)", int(r))
	}
}

// Cut is a connection that is to be closed.
type Cut struct {
	ID     uint64
	Reason Reason
}

// crowd is the least number of connections from which an address may count as one with many.
const crowd = 16

// candidate is a connection that may be closed.
type candidate struct {
	Connection
	reason Reason
	since  time.Duration
}

// Choose returns the connections to close so that a shortage ends, or as many as may be closed. Requests that are handled and
// links of peers in use are never among them.
//
// When memory is short, those that delay requests of their own go first. They are closed for all requests that wait, idle ones
// for the first only: they free little memory each, and many large requests would otherwise close all of them. When
// connections are short, idle ones go first, since a client whose request is slow loses more.
//
// Connections of the same rank are chosen by age, or by how long they have made no progress. Idle ones of an address with
// more than twice the average number go first; callers behind a load balancer share an address, so that the number of
// connections alone is no reason.
func Choose(l Limits, now time.Duration, open []Connection, missing Shortage) []Cut {
	var candidates []candidate
	perAddress := map[string]int{}
	for _, c := range open {
		if reason, since, ok := closable(l, now, c.Activity); ok {
			candidates = append(candidates, candidate{Connection: c, reason: reason, since: since})
		}
		perAddress[c.Address]++
	}
	many := max(crowd, 2*len(open)/max(1, len(perAddress)))
	crowded := func(c candidate) bool { return c.reason.isIdle() && perAddress[c.Address] > many }
	slices.SortFunc(candidates, func(a, b candidate) int {
		if order := cmp.Compare(rank(a.reason, missing), rank(b.reason, missing)); order != 0 {
			return order
		}
		if crowded(a) != crowded(b) {
			if crowded(a) {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.ID, b.ID))
	})
	var cuts []Cut
	for _, c := range candidates {
		memory := missing.Memory
		if c.reason.isIdle() {
			memory = missing.First
		}
		if memory <= 0 && missing.Connections <= 0 {
			continue
		}
		cuts = append(cuts, Cut{ID: c.ID, Reason: c.reason})
		missing.Memory -= c.Held
		missing.First -= c.Held
		missing.Connections--
	}
	return cuts
}

// rank returns the position of a reason in the order in which connections are chosen for a shortage.
func rank(r Reason, missing Shortage) int {
	switch {
	case missing.Connections <= 0:
		return int(r)
	case r.isIdle():
		return 0
	default:
		return 1
	}
}

// closable returns why a connection may be closed and the time by which it is compared with others.
func closable(l Limits, now time.Duration, a Activity) (Reason, time.Duration, bool) {
	switch a := a.(type) {
	case Silent:
		return Unused, a.Since, now-a.Since >= l.Silence
	case Idle:
		return Waiting, a.Since, true
	case Sending:
		return Stalled, a.Progress, now-a.Progress >= l.Stall
	case Answering:
		return NotReading, a.Since, now-a.Since >= l.Unread
	case Linked:
		return Waiting, a.Since, now-a.Since >= l.LostLink
	case Working:
		return 0, 0, false
	default:
		panic(fmt.Sprintf("unknown activity %T", a))
	}
}
