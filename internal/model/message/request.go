package message

import (
	"fmt"
	"net/http"
	"time"
)

// ID identifies a request within a site.
type ID struct {
	Entry       string // entry instance that accepted the request
	Incarnation string
	Sequence    uint64
}

// String returns the ID as ENTRY.INCARNATION.SEQUENCE, the form used in logs.
func (i ID) String() string {
	return fmt.Sprintf("%s.%s.%d", i.Entry, i.Incarnation, i.Sequence)
}

// Class is the urgency class of a request.
type Class int

// Urgency classes, most urgent first. They correspond to RFC 9218 urgency 0-1, 2-5 and 6-7.
const (
	Urgent Class = iota
	Normal
	Background
)

// Request is the metadata of a caller's request, without its body.
type Request struct {
	ID         ID
	Name       string // service name as the caller sent it
	Service    string // service name after correction
	Method     string
	Path       string // path after the service name
	Fleet      string // fleet that the caller requested; may be empty
	Caller     string
	Key        string // idempotency key
	Idempotent bool
	Class      Class
	Zone       string // of the accepting entry instance
	Arrived    time.Time
	Deadline   time.Time // on the clock of the accepting entry instance
}

// Idempotent reports whether the HTTP method is idempotent (RFC 9110, section 9.2.2), so that a request may run twice.
func Idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// WithService returns a copy with the given service name after correction.
func (r Request) WithService(name string) Request {
	r.Service = name
	return r
}

// WithDeadline returns a copy with the given deadline.
func (r Request) WithDeadline(t time.Time) Request {
	r.Deadline = t
	return r
}

// Kind returns the key under which run times are learned: service, method and first path segment.
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

// Executor is a destination for requests.
type Executor struct {
	ID      string
	Address string
	Zone    string
}

// Outcome is the result of sending a request to an executor.
type Outcome int

// Outcomes of a send.
const (
	Answered Outcome = iota // the complete answer arrived
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

// Reason is the reason why a request was refused.
type Reason string

// Reasons for refusing a request. No byte of a refused request reaches an executor.
const (
	ReasonUnknownName   Reason = "unknown-name"
	ReasonAmbiguousName Reason = "ambiguous-name"
	ReasonNoConfig      Reason = "no-config"
	ReasonNoOwner       Reason = "no-owner"
	ReasonNoClaim       Reason = "no-claim" // the platform could not record a non-idempotent request
	ReasonOverload      Reason = "overload"
	ReasonFairShare     Reason = "fair-share"
	ReasonDeadline      Reason = "deadline"
	ReasonDuplicate     Reason = "duplicate" // the key is claimed and its first run is unfinished or its outcome unknown
	ReasonStopping      Reason = "stopping"
	ReasonBusy          Reason = "busy" // an internal ring buffer is full
)

// Refusal is the answer to a request that is refused.
type Refusal struct {
	Reason     Reason
	Detail     string
	Candidates []string
	RetryAfter time.Duration
}
