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
	errDeadline    = errors.New("deadline of the request passed")
	errBodyTimeout = errors.New("body did not arrive in time")
	errBodyMemory  = errors.New("bodies of other requests take all memory set aside for them")
)

// handle reads the complete request and answers it.
func (l *link) handle(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if size := listen.HeaderSize(r); size > l.settings.Listen.Limits.Header {
		l.reject(w, reasonHeaderTooLarge, fmt.Errorf("header has %d bytes, more than %d", size, l.settings.Listen.Limits.Header))
		return
	}
	q, timeout, err := parse(r)
	if err != nil {
		l.reject(w, reasonMalformed, err)
		return
	}
	deadline := arrived.Add(timeout)
	reserved := l.bodyReservation(r)
	defer l.bodyMemory.Add(-reserved)
	if l.bodyMemory.Add(reserved) > l.settings.MaxBodyMemory {
		l.reject(w, message.ReasonBusy, errBodyMemory)
		return
	}
	body, err := l.readBody(w, r, deadline)
	if err != nil {
		l.rejectBody(w, err)
		return
	}
	q.ID = message.ID{Entry: l.host.Settings.Name, Incarnation: l.incarnation, Sequence: l.sequence.Add(1)}
	q.Zone = l.host.Settings.Zone
	q.Arrived = arrived
	ctx, cancel := context.WithDeadlineCause(r.Context(), deadline, errDeadline)
	defer cancel()
	x := &exchange{
		link:     l,
		writer:   w,
		incoming: r,
		request:  q.WithDeadline(deadline),
		body:     body,
		verdicts: ring.NewReply[message.Verdict](),
		decision: decisionHeaders{config: l.config.Load()},
	}
	x.run(ctx)
}

// bodyReservation returns the bytes to reserve for a body. These are MaxBody if the length is unknown, or if it exceeds
// MaxBody, in which case readBody returns an error.
func (l *link) bodyReservation(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > l.settings.MaxBody {
		return l.settings.MaxBody
	}
	return r.ContentLength
}

// rejectBody answers a request whose body could not be read completely.
func (l *link) rejectBody(w http.ResponseWriter, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		l.reject(w, reasonTooLarge, fmt.Errorf("body has more than %d bytes", large.Limit))
		return
	}
	if errors.Is(err, listen.ErrNoRoom) {
		l.reject(w, message.ReasonBusy, err)
		return
	}
	l.reject(w, reasonMalformed, err)
}

// readBody reads the body before the request asks for a slot, so that a slow client does not occupy one.
func (l *link) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return nil, nil
	}
	limit := l.settings.MaxBody
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
			return nil, errBodyTimeout
		}
		return nil, fmt.Errorf("read body: %w", err)
	}
	// The server detects the caller's disconnect with a background read, which an expired read deadline would end.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("clear read deadline: %w", err)
	}
	return buffer.Bytes(), nil
}

// reject refuses a request before it reaches the routing duty. It closes the connection, because the rest of the
// request was not read.
func (l *link) reject(w http.ResponseWriter, reason message.Reason, cause error) {
	l.meters.notRun.Inc(1)
	w.Header().Set("Connection", "close")
	refusal := message.Refusal{Reason: reason, Detail: cause.Error()}
	if reason == message.ReasonBusy {
		refusal.RetryAfter = defaultRetryAfter
	}
	a := refusalAnswer(refusal)
	if err := a.write(w, decisionHeaders{config: l.config.Load()}); err != nil {
		l.log.Debug("refusal was not delivered", "event", "caller.write", "error", err)
	}
}
