package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// errIdle cancels a watch that received no message, not even a progress notification, within the idle timeout.
var errIdle = errors.New("watch received no message within the idle timeout")

// Watch passes the changes of keys with the prefix to sink until the stream ends or sink fails. It begins at revision
// start, or at the next change when start is 0.
//
// Each call of sink delivers the events up to a revision, possibly none. Watch returns the error of sink unwrapped,
// and otherwise a call error such as ErrCompacted, when start was compacted, or ErrUnavailable. To resume, the caller
// starts a watch at the revision after the last delivered one.
func (c *Client) Watch(ctx context.Context, prefix string, start int64, sink func(revision int64, events []Event) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(c.idleTimeout, func() { cancel(errIdle) })
	defer idleTimer.Stop()
	index := c.current.Load()
	stream, err := c.openWatch(ctx, index, WatchCreate{
		Key: []byte(prefix), RangeEnd: []byte(PrefixEnd(prefix)), StartRevision: start, ProgressNotify: true,
	})
	if err != nil {
		c.nextAddress(index)
		return fmt.Errorf("watch prefix %q: %w", prefix, err)
	}
	defer func() { _ = stream.Body.Close() }()
	decoder := json.NewDecoder(stream.Body)
	for {
		var m WatchMessage
		if err := decoder.Decode(&m); err != nil {
			return fmt.Errorf("watch prefix %q: %w: %w", prefix, ErrUnavailable, errors.Join(err, context.Cause(ctx)))
		}
		idleTimer.Stop() // the time spent in sink does not count as idle
		if err := deliver(m, sink); err != nil {
			return err
		}
		idleTimer.Reset(c.idleTimeout)
	}
}

// openWatch sends the create request and returns the response whose body is the message stream.
func (c *Client) openWatch(ctx context.Context, index uint64, create WatchCreate) (*http.Response, error) {
	request, err := c.sling(index).Post(PathWatch).BodyJSON(WatchRequest{Create: create}).Request()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return nil, transportError(PathWatch, false, err)
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		var failure ErrorResponse
		// The status alone determines the error when the body cannot be decoded.
		_ = json.NewDecoder(response.Body).Decode(&failure)
		return nil, responseError(PathWatch, false, response.StatusCode, failure)
	}
	return response, nil
}

// deliver passes the events of a message to sink, or returns the error that the message reports.
func deliver(m WatchMessage, sink func(int64, []Event) error) error {
	switch {
	case m.Error != nil:
		return responseError(PathWatch, false, http.StatusInternalServerError, *m.Error)
	case m.Result == nil:
		return fmt.Errorf("%w: watch message without a result", ErrUnavailable)
	case m.Result.CompactRevision > 0:
		return fmt.Errorf("%w: oldest kept revision is %d", ErrCompacted, m.Result.CompactRevision)
	case m.Result.Canceled:
		return fmt.Errorf("%w: watch was cancelled", ErrUnavailable)
	case m.Result.Created:
		return nil
	default:
		return sink(m.Result.Header.Revision, m.Result.Events)
	}
}
