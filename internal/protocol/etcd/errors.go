package etcd

import (
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Errors of calls; a call wraps exactly one of the first five, and ErrUncertain in addition where it applies.
var (
	// ErrUnavailable means that the store did not answer in time or answered that it cannot serve.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrLimited means that the store refused the call because of its rate limit; it did not take effect.
	ErrLimited = errors.New("store limits the call rate")
	// ErrCompacted means that the requested revision is no longer kept.
	ErrCompacted = errors.New("revision was compacted")
	// ErrLease means that the lease does not exist.
	ErrLease = errors.New("lease does not exist")
	// ErrInvalid means that the store can never serve the call; it did not take effect.
	ErrInvalid = errors.New("store refused the call")
	// ErrUncertain is wrapped in addition by an error after which the write may have taken effect.
	ErrUncertain = errors.New("write may have taken effect")
)

// unanswered classifies the error of a call that got no usable answer.
func unanswered(path string, write bool, err error) error {
	var op *net.OpError
	if !write || errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%s: %w: %w", path, ErrUnavailable, err)
	}
	return fmt.Errorf("%s: %w: %w: %w", path, ErrUnavailable, ErrUncertain, err)
}

// refused classifies an unsuccessful answer.
func refused(path string, write bool, status int, f Failure) error {
	switch {
	case status == http.StatusTooManyRequests || f.Code == CodeExhausted:
		return fmt.Errorf("%s: %w", path, ErrLimited)
	case f.Code == CodeNotFound:
		return fmt.Errorf("%s: %w", path, ErrLease)
	case f.Code == CodeOutOfRange:
		return fmt.Errorf("%s: %w", path, ErrCompacted)
	case status >= http.StatusInternalServerError:
		return unanswered(path, write, fmt.Errorf("status %d: %s", status, f.Message))
	default:
		return fmt.Errorf("%s: %w: status %d: %s", path, ErrInvalid, status, f.Message)
	}
}
