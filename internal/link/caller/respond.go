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

// The headers of every answer.
const (
	headerOutcome    = "Teaselloft-Outcome"
	headerCorrection = "Teaselloft-Correction"
	headerConfig     = "Teaselloft-Config"
	headerOwner      = "Teaselloft-Owner"
)

// origin says which decision an answer follows from.
type origin struct {
	config     uint64
	owner      string
	correction string
}

func (o origin) set(h http.Header, outcome message.Outcome) {
	h.Set(headerOutcome, outcome.String())
	h.Set(headerConfig, strconv.FormatUint(o.config, 10))
	if o.owner != "" {
		h.Set(headerOwner, o.owner)
	}
	if o.correction != "" {
		h.Set(headerCorrection, o.correction)
	}
}

// problem is the JSON body of every answer that does not come from an executor.
type problem struct {
	Outcome    string   `json:"outcome"`
	Reason     string   `json:"reason"`
	Detail     string   `json:"detail,omitempty"`
	Candidates []string `json:"candidates,omitempty"`
}

// The reasons that only the caller link gives.
const (
	reasonMalformed message.Reason = "malformed"
	reasonTooLarge  message.Reason = "too-large"
	reasonHeader    message.Reason = "header-too-large"
	reasonSend      message.Reason = "send-failed"
)

// failure is an answer that does not come from an executor.
type failure struct {
	status  int
	outcome message.Outcome
	refusal message.Refusal
}

func (f failure) write(w http.ResponseWriter, o origin) error {
	body, err := json.Marshal(problem{
		Outcome:    f.outcome.String(),
		Reason:     string(f.refusal.Reason),
		Detail:     f.refusal.Detail,
		Candidates: f.refusal.Candidates,
	})
	if err != nil {
		return fmt.Errorf("encode refusal: %w", err)
	}
	h := w.Header()
	o.set(h, f.outcome)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f.refusal.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(f.refusal.RetryAfter))
	}
	w.WriteHeader(f.status)
	_, err = w.Write(body)
	return err
}

// retryAfter rounds up, since the header takes whole seconds.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// refused returns the answer to a refusal before any send.
func refused(r message.Refusal) failure {
	f := failure{status: http.StatusServiceUnavailable, outcome: message.NotRun, refusal: r}
	switch r.Reason {
	case message.ReasonUnknownName, message.ReasonAmbiguousName:
		f.status = http.StatusNotFound
	case message.ReasonFairShare:
		f.status = http.StatusTooManyRequests
	case message.ReasonDeadline:
		f.status = http.StatusGatewayTimeout
	case message.ReasonDuplicate:
		// The first request with the key may have run.
		f.status, f.outcome = http.StatusConflict, message.Unknown
	case reasonMalformed:
		f.status = http.StatusBadRequest
	case reasonTooLarge:
		f.status = http.StatusRequestEntityTooLarge
	case reasonHeader:
		f.status = http.StatusRequestHeaderFieldsTooLarge
	default:
	}
	return f
}

// unknown returns the answer when a send may have run and its answer is lost.
func unknown(detail string) failure {
	return failure{
		status:  http.StatusBadGateway,
		outcome: message.Unknown,
		refusal: message.Refusal{Reason: reasonSend, Detail: detail},
	}
}
