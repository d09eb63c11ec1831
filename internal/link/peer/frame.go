package peer

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/quota"

	"github.com/fxamacker/cbor/v2"
)

// call identifies the method of port.PoolOwner that a request calls.
type call int

const (
	callSubmit call = iota + 1
	callState
	callCancel
	callPending
	callVacate
	callLoad
	callRelinquish
	callQuota
	callTakeOver
	callConfig // of port.ConfigSource
	callOwners // of port.OwnerPeers
)

type request struct {
	Number     uint64                 `cbor:"number"`
	Call       call                   `cbor:"call"`
	Pool       string                 `cbor:"pool"`
	Timeout    time.Duration          `cbor:"limit"` // time for which the caller waits
	Submission *job.Submission        `cbor:"job,omitempty"`
	Version    int64                  `cbor:"version,omitempty"` // of the caller's configuration
	ID         job.ID                 `cbor:"id,omitempty"`
	Queue      string                 `cbor:"queue,omitempty"`
	Executors  []string               `cbor:"executors,omitempty"`
	Duration   time.Duration          `cbor:"length,omitempty"`  // of callVacate
	Limits     map[string]quota.Limit `cbor:"limits,omitempty"`  // of callQuota
	Epoch      uint64                 `cbor:"epoch,omitempty"`   // of the present owner, for callTakeOver
	Epochs     map[string]uint64      `cbor:"epochs,omitempty"`  // by duty, that the caller knows, for callOwners
	Account    string                 `cbor:"account,omitempty"` // of the caller, for callState and callCancel
}

type response struct {
	Number uint64              `cbor:"number"`
	Code   int                 `cbor:"code,omitempty"`
	State  job.State           `cbor:"state,omitempty"`
	Count  int                 `cbor:"count,omitempty"`
	Empty  []string            `cbor:"empty,omitempty"`
	Load   *port.Load          `cbor:"load,omitempty"`
	Quota  *quota.Report       `cbor:"quota,omitempty"`
	Owner  *cluster.Owner      `cbor:"owner,omitempty"`  // the new one, for callTakeOver
	Owners []cluster.Owner     `cbor:"owners,omitempty"` // for callOwners
	Config *port.ConfirmedItem `cbor:"config,omitempty"`
}

// errorCodes lists the errors that are sent between daemons. An error is encoded as its index, so entries may only be
// appended.
var errorCodes = []error{
	nil, port.ErrNotOwner, port.ErrNoJob, port.ErrIDConflict, port.ErrNotAccepted, port.ErrUnknownOutcome, port.ErrUnavailable,
	port.ErrOverloaded, port.ErrNoConfig,
}

func errorCode(err error) int {
	if err == nil {
		return 0
	}
	for i, known := range slices.Backward(errorCodes) { // ErrOverloaded is an ErrNotAccepted, too
		if known != nil && errors.Is(err, known) {
			return i
		}
	}
	return len(errorCodes) // decoded as an unknown outcome
}

func decodeError(code int) error {
	if code >= 0 && code < len(errorCodes) {
		return errorCodes[code]
	}
	return fmt.Errorf("%w: peer answered with unknown error code %d", port.ErrUnknownOutcome, code)
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // all frame types can be encoded
	}
	return data
}
