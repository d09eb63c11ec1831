package shedding

import "time"

// Class tells which part of the memory a request may use.
type Class int

const (
	// Bulk is a large request.
	Bulk Class = iota
	// Small is a small request or a new connection.
	Small
	// Peer is a request of another daemon.
	Peer
)

// Limits bounds what the clients of a process use together. Memory is in bytes.
type Limits struct {
	Memory      int64         // for what clients have sent and has not been answered
	SmallOnly   int64         // part of Memory that large requests may not use, so that they can't displace all others
	PeersOnly   int64         // part of Memory that only peers may use
	Connections int           // open connections of clients
	Peers       int           // open connections of peers
	Wait        time.Duration // longest time that a request waits for memory
	Stall       time.Duration // time without progress after which a sender may be cut off
	Unread      time.Duration // time for which an answer was not read after which its reader may be cut off
	LostLink    time.Duration // time for which a peer has sent nothing after which its link may be closed
	Silence     time.Duration // age from which a connection that has sent nothing may be closed
}

// Bound returns the amount that all requests together may use for one more of a class to be admitted.
func (l Limits) Bound(c Class) int64 {
	switch c {
	case Peer:
		return l.Memory
	case Small:
		return l.Memory - l.PeersOnly
	default:
		return l.Memory - l.PeersOnly - l.SmallOnly
	}
}

// Fits reports whether a request that needs an amount may be admitted while others use an amount.
func (l Limits) Fits(c Class, used, need int64) bool { return used+need <= l.Bound(c) }

// Waiter is a request that waits for memory.
type Waiter struct {
	ID    uint64
	Class Class
	Need  int64         // bytes
	Since time.Duration // when it began to wait
}

// Admission tells what becomes of requests that wait.
type Admission struct {
	Granted []uint64
	Refused []uint64
	Missing Shortage // what those which go on waiting lack
}

// Shortage is what is to become free.
type Shortage struct {
	Memory      int64 // bytes, for all requests that wait
	First       int64 // bytes, for the first ones
	Connections int
}

// Admit decides about requests that wait, in their order of arrival. No large request overtakes another one, so that the
// largest is not starved. A request that has waited too long, or that can never be admitted, is refused.
func Admit(l Limits, now time.Duration, used int64, waiting []Waiter) Admission {
	var a Admission
	behind := map[Class]bool{} // classes of which a request goes on waiting
	var lacking int64
	for _, w := range waiting {
		switch {
		case w.Need > l.Bound(w.Class):
			a.Refused = append(a.Refused, w.ID)
		case !behind[w.Class] && l.Fits(w.Class, used, w.Need):
			a.Granted = append(a.Granted, w.ID)
			used += w.Need
		case now-w.Since >= l.Wait:
			a.Refused = append(a.Refused, w.ID)
		default:
			lacking += w.Need
			a.Missing.Memory = max(a.Missing.Memory, used+lacking-l.Bound(w.Class))
			if !behind[w.Class] {
				a.Missing.First = max(a.Missing.First, used+w.Need-l.Bound(w.Class))
			}
			behind[w.Class] = true
		}
	}
	a.Missing.Memory, a.Missing.First = min(a.Missing.Memory, l.Memory), min(a.Missing.First, l.Memory)
	return a
}
