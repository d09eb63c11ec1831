package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"teaselloft/internal/model/message"
)

// Headers of answers. The outcome and the configuration version are set in every answer.
const (
	headerOutcome    = "Teaselloft-Outcome"
	headerCorrection = "Teaselloft-Correction"
	headerConfig     = "Teaselloft-Config"
	headerOwner      = "Teaselloft-Owner"
)

// decisionHeaders holds the values of the answer headers that describe the routing decision.
type decisionHeaders struct {
	config     uint64
	owner      string
	correction string
}

func (d decisionHeaders) set(h http.Header, outcome message.Outcome) {
	h.Set(headerOutcome, outcome.String())
	h.Set(headerConfig, strconv.FormatUint(d.config, 10))
	if d.owner != "" {
		h.Set(headerOwner, d.owner)
	}
	if d.correction != "" {
		h.Set(headerCorrection, d.correction)
	}
}

// problem is the JSON body of an errorAnswer.
type problem struct {
	Outcome    string   `json:"outcome"`
	Reason     string   `json:"reason"`
	Detail     string   `json:"detail,omitempty"`
	Candidates []string `json:"candidates,omitempty"`
}

// Reasons for error answers that only the caller link gives.
const (
	reasonMalformed      message.Reason = "malformed"
	reasonTooLarge       message.Reason = "too-large"
	reasonHeaderTooLarge message.Reason = "header-too-large"
	reasonSendFailed     message.Reason = "send-failed"
)

// errorAnswer is an answer of the entry instance itself, used when no executor's answer is available.
type errorAnswer struct {
	status  int
	outcome message.Outcome
	refusal message.Refusal
}

func (a errorAnswer) write(w http.ResponseWriter, d decisionHeaders) error {
	body, err := json.Marshal(problem{
		Outcome:    a.outcome.String(),
		Reason:     string(a.refusal.Reason),
		Detail:     a.refusal.Detail,
		Candidates: a.refusal.Candidates,
	})
	if err != nil {
		return fmt.Errorf("encode refusal: %w", err)
	}
	h := w.Header()
	d.set(h, a.outcome)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if a.refusal.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(a.refusal.RetryAfter))
	}
	w.WriteHeader(a.status)
	_, err = w.Write(body)
	return err
}

// retryAfter returns the value of the Retry-After header, rounded up to whole seconds.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// refusalAnswer returns the answer to a request that is refused before any send.
func refusalAnswer(r message.Refusal) errorAnswer {
	a := errorAnswer{status: http.StatusServiceUnavailable, outcome: message.NotRun, refusal: r}
	switch r.Reason {
	case message.ReasonUnknownName, message.ReasonAmbiguousName:
		a.status = http.StatusNotFound
	case message.ReasonFairShare:
		a.status = http.StatusTooManyRequests
	case message.ReasonDuplicate:
		// The first request with the key may have run.
		a.status, a.outcome = http.StatusConflict, message.Unknown
	case reasonMalformed:
		a.status = http.StatusBadRequest
	case reasonTooLarge:
		a.status = http.StatusRequestEntityTooLarge
	case reasonHeaderTooLarge:
		a.status = http.StatusRequestHeaderFieldsTooLarge
	default:
	}
	return a
}

// unknownAnswer returns the answer to a request that may have run but whose answer was lost.
func unknownAnswer(detail string) errorAnswer {
	return errorAnswer{
		status:  http.StatusBadGateway,
		outcome: message.Unknown,
		refusal: message.Refusal{Reason: reasonSendFailed, Detail: detail},
	}
}
