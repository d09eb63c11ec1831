package peer

import (
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"

	"github.com/fxamacker/cbor/v2"
)

// call is what a request asks for.
type call int

const (
	callSubmit call = iota + 1
	callState
	callCancel
	callPending
	callVacate
	callLoad
)

type request struct {
	Number     uint64          `cbor:"number"`
	Call       call            `cbor:"call"`
	Pool       string          `cbor:"pool"`
	Limit      time.Duration   `cbor:"limit"` // for which the caller waits
	Submission *job.Submission `cbor:"job,omitempty"`
	ID         job.ID          `cbor:"id,omitempty"`
	Queue      string          `cbor:"queue,omitempty"`
	Executors  []string        `cbor:"executors,omitempty"`
	Length     time.Duration   `cbor:"length,omitempty"`
}

type response struct {
	Number uint64     `cbor:"number"`
	Code   int        `cbor:"code,omitempty"`
	State  job.State  `cbor:"state,omitempty"`
	Count  int        `cbor:"count,omitempty"`
	Empty  []string   `cbor:"empty,omitempty"`
	Load   *port.Load `cbor:"load,omitempty"`
}

// codes are the errors that travel between daemons; a code is the index and never changes its meaning.
var codes = []error{
	nil, port.ErrNotOwner, port.ErrNoJob, port.ErrIDConflict, port.ErrNotAccepted, port.ErrUnknownOutcome, port.ErrUnavailable,
}

func codeOf(err error) int {
	if err == nil {
		return 0
	}
	for i, known := range codes {
		if known != nil && errors.Is(err, known) {
			return i
		}
	}
	return len(codes) // read as an unknown outcome
}

func errorOf(code int) error {
	if code >= 0 && code < len(codes) {
		return codes[code]
	}
	return fmt.Errorf("%w: peer answered with the code %d", port.ErrUnknownOutcome, code)
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // frames hold only types that encode
	}
	return data
}
