package etcd

import (
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Errors of calls; a call's error wraps exactly one of the first five, and ErrUncertain where it applies.
var (
	// ErrUnavailable means that the store did not respond in time or reported that it cannot serve.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrRateLimited means that the store rejected the call because of its rate limit; the call had no effect.
	ErrRateLimited = errors.New("store limits the call rate")
	// ErrCompacted means that the requested revision was compacted away.
	ErrCompacted = errors.New("revision was compacted")
	// ErrLeaseNotFound means that the lease does not exist.
	ErrLeaseNotFound = errors.New("lease does not exist")
	// ErrInvalid means that the call is invalid and a retry would fail too; the call had no effect.
	ErrInvalid = errors.New("store refused the call")
	// ErrUncertain is wrapped in addition when a failed write may have taken effect.
	ErrUncertain = errors.New("write may have taken effect")
)

// transportError wraps the error of a call without a usable response; a write that failed to connect is not uncertain.
func transportError(path string, write bool, err error) error {
	var op *net.OpError
	if !write || errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%s: %w: %w", path, ErrUnavailable, err)
	}
	return fmt.Errorf("%s: %w: %w: %w", path, ErrUnavailable, ErrUncertain, err)
}

// responseError returns the error for an error response.
func responseError(path string, write bool, status int, failure ErrorResponse) error {
	switch {
	case status == http.StatusTooManyRequests || failure.Code == CodeResourceExhausted:
		return fmt.Errorf("%s: %w", path, ErrRateLimited)
	case failure.Code == CodeNotFound:
		return fmt.Errorf("%s: %w", path, ErrLeaseNotFound)
	case failure.Code == CodeOutOfRange:
		return fmt.Errorf("%s: %w", path, ErrCompacted)
	case status >= http.StatusInternalServerError:
		return transportError(path, write, fmt.Errorf("status %d: %s", status, failure.Message))
	default:
		return fmt.Errorf("%s: %w: status %d: %s", path, ErrInvalid, status, failure.Message)
	}
}
