package message

import (
	"fmt"
	"net/http"
	"time"
)

// ID identifies a request within a site.
type ID struct {
	Entry       string // entry instance that took the request
	Incarnation string
	Sequence    uint64
}

// String returns the identifier in the form that logs show.
func (i ID) String() string {
	return fmt.Sprintf("%s.%s.%d", i.Entry, i.Incarnation, i.Sequence)
}

// Class orders requests by urgency.
type Class int

// The classes, most urgent first; RFC 9218 urgency 0-1, 2-5 and 6-7.
const (
	Urgent Class = iota
	Normal
	Background
)

// Request is a caller's request without its body.
type Request struct {
	ID         ID
	Name       string // service name as the caller wrote it
	Service    string // service name after correction
	Method     string
	Path       string // below the service name
	Fleet      string // fleet that the caller asked for, may be empty
	Caller     string
	Key        string // idempotency key
	Idempotent bool
	Class      Class
	Zone       string // of the entry instance that took it
	Arrived    time.Time
	Deadline   time.Time // by the clock of the entry instance that took it
}

// Idempotent says whether a request with the given HTTP method may run twice (RFC 9110, section 9.2.2).
func Idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// WithService returns a copy corrected to the given service.
func (r Request) WithService(name string) Request {
	r.Service = name
	return r
}

// WithDeadline returns a copy with the given deadline.
func (r Request) WithDeadline(t time.Time) Request {
	r.Deadline = t
	return r
}

// Kind returns the group of requests whose run times are learned together.
func (r Request) Kind() string {
	segment := r.Path
	for i := 1; i < len(segment); i++ {
		if segment[i] == '/' || segment[i] == '?' {
			segment = segment[:i]
			break
		}
	}
	return r.Service + " " + r.Method + " " + segment
}

// Executor is one place to send a request.
type Executor struct {
	ID      string
	Address string
	Zone    string
}

// Outcome says what became of a request that was sent to an executor.
type Outcome int

// The outcomes of a send.
const (
	Answered Outcome = iota // the whole answer arrived
	NotRun                  // no byte of the request was written
	Unknown                 // the request may have run
)

// String returns the value of the Teaselloft-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Reason says why a request was refused.
type Reason string

// The reasons for refusing a request; none of them lets a byte reach an executor.
const (
	ReasonUnknownName   Reason = "unknown-name"
	ReasonAmbiguousName Reason = "ambiguous-name"
	ReasonNoConfig      Reason = "no-config"
	ReasonNoOwner       Reason = "no-owner"
	ReasonNoClaim       Reason = "no-claim" // the platform could not record a non-idempotent request
	ReasonOverload      Reason = "overload"
	ReasonFairShare     Reason = "fair-share"
	ReasonDeadline      Reason = "deadline"
	ReasonDuplicate     Reason = "duplicate" // the key is claimed; its first run is unknown or unfinished
	ReasonStopping      Reason = "stopping"
	ReasonBusy          Reason = "busy" // an internal ring is full
)

// Refusal is the answer to a request that is not sent.
type Refusal struct {
	Reason     Reason
	Detail     string
	Candidates []string
	RetryAfter time.Duration
}
