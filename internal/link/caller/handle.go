package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"teaselloft/internal/core/listen"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"
)

var (
	errDeadline = errors.New("deadline of the request passed")
	errSlowBody = errors.New("body did not arrive in time")
	errMemory   = errors.New("bodies of other requests take all memory set aside for them")
)

// handle reads a whole request and takes it to its answer.
func (l *link) handle(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if size := listen.HeaderSize(r); size > l.settings.Listen.Limits.Header {
		l.turnAway(w, reasonHeader, fmt.Errorf("header has %d bytes, more than %d", size, l.settings.Listen.Limits.Header))
		return
	}
	q, timeout, err := parse(r)
	if err != nil {
		l.turnAway(w, reasonMalformed, err)
		return
	}
	deadline := arrived.Add(timeout)
	size := l.bodySize(r)
	defer l.held.Add(-size)
	if l.held.Add(size) > l.settings.Memory {
		l.turnAway(w, message.ReasonBusy, errMemory)
		return
	}
	body, err := l.readBody(w, r, deadline)
	if err != nil {
		l.refuseBody(w, err)
		return
	}
	q.ID = message.ID{Entry: l.host.Settings.Name, Incarnation: l.incarnation, Sequence: l.sequence.Add(1)}
	q.Zone = l.host.Settings.Zone
	q.Arrived = arrived
	ctx, cancel := context.WithDeadlineCause(r.Context(), deadline, errDeadline)
	defer cancel()
	x := &exchange{
		link:    l,
		writer:  w,
		caller:  r,
		request: q.WithDeadline(deadline),
		body:    body,
		reply:   ring.NewReply[message.Verdict](),
		origin:  origin{config: l.config.Load()},
	}
	x.run(ctx)
}

// bodySize returns the bytes to set aside for a body; one of unknown length may have the limit.
func (l *link) bodySize(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > l.settings.Body {
		return l.settings.Body
	}
	return r.ContentLength
}

// refuseBody answers a request whose body was not read to its end.
func (l *link) refuseBody(w http.ResponseWriter, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		l.turnAway(w, reasonTooLarge, fmt.Errorf("body has more than %d bytes", large.Limit))
		return
	}
	l.turnAway(w, reasonMalformed, err)
}

// readBody reads the body before the request asks for a slot, so that a slow sender holds none.
func (l *link) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return nil, nil
	}
	limit := l.settings.Body
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if t := time.Now().Add(l.settings.Listen.Timeouts.Body.Value()); t.Before(deadline) {
		deadline = t
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set read deadline: %w", err)
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	if _, err := io.Copy(&buffer, http.MaxBytesReader(w, r.Body, limit)); err != nil {
		if !time.Now().Before(deadline) {
			return nil, errSlowBody
		}
		return nil, fmt.Errorf("read body: %w", err)
	}
	// The server's watch for the caller's departure reads on under the same deadline.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("clear read deadline: %w", err)
	}
	return buffer.Bytes(), nil
}

// turnAway refuses a request that the routing duty never sees and ends its connection, whose rest was not read.
func (l *link) turnAway(w http.ResponseWriter, reason message.Reason, cause error) {
	l.meters.notRun.Inc(1)
	w.Header().Set("Connection", "close")
	refusal := message.Refusal{Reason: reason, Detail: cause.Error()}
	if reason == message.ReasonBusy {
		refusal.RetryAfter = busyRetry
	}
	f := refused(refusal)
	if err := f.write(w, origin{config: l.config.Load()}); err != nil {
		l.log.Debug("refusal was not delivered", "event", "caller.write", "error", err)
	}
}
