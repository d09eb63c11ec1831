package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// errSilent ends a watch that brought nothing, not even progress, for the idle time.
var errSilent = errors.New("watch is silent")

// Watch delivers the changes below a prefix from revision start on, until the stream breaks or sink fails.
//
// Each call of sink brings the events up to a revision, which may be none. It returns the error of sink as it is,
// ErrCompacted when start is no longer kept, and otherwise ErrUnavailable; the caller resumes after the last revision.
func (c *Client) Watch(ctx context.Context, prefix string, start int64, sink func(revision int64, events []Event) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.idle, func() { cancel(errSilent) })
	defer silence.Stop()
	turn := c.current.Load()
	stream, err := c.open(ctx, turn, WatchCreate{
		Key: []byte(prefix), End: []byte(PrefixEnd(prefix)), Start: start, Progress: true,
	})
	if err != nil {
		c.next(turn)
		return fmt.Errorf("watch prefix %q: %w", prefix, err)
	}
	defer func() { _ = stream.Body.Close() }()
	decoder := json.NewDecoder(stream.Body)
	for {
		var m WatchMessage
		if err := decoder.Decode(&m); err != nil {
			return fmt.Errorf("watch prefix %q: %w: %w", prefix, ErrUnavailable, errors.Join(err, context.Cause(ctx)))
		}
		silence.Stop() // a slow sink is no silence of the store
		if err := deliver(m, sink); err != nil {
			return err
		}
		silence.Reset(c.idle)
	}
}

// open sends the create request and returns the stream of messages.
func (c *Client) open(ctx context.Context, turn uint64, create WatchCreate) (*http.Response, error) {
	request, err := c.sling(turn).Post(PathWatch).BodyJSON(WatchRequest{Create: create}).Request()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return nil, unanswered(PathWatch, false, err)
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		var failure Failure
		// The status alone classifies a failure whose body cannot be decoded.
		_ = json.NewDecoder(response.Body).Decode(&failure)
		return nil, refused(PathWatch, false, response.StatusCode, failure)
	}
	return response, nil
}

func deliver(m WatchMessage, sink func(int64, []Event) error) error {
	switch {
	case m.Error != nil:
		return refused(PathWatch, false, http.StatusInternalServerError, *m.Error)
	case m.Result == nil:
		return fmt.Errorf("%w: watch message without a result", ErrUnavailable)
	case m.Result.Compacted > 0:
		return fmt.Errorf("%w: oldest kept revision is %d", ErrCompacted, m.Result.Compacted)
	case m.Result.Canceled:
		return fmt.Errorf("%w: watch was cancelled", ErrUnavailable)
	case m.Result.Created:
		return nil
	default:
		return sink(m.Result.Header.Revision, m.Result.Events)
	}
}
