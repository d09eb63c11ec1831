package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"teaselloft/internal/model/message"
)

// answer is the complete answer of an executor.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// size returns the size of the header and body in bytes.
func (a answer) size() int {
	size := len(a.body)
	for name, values := range a.header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// readUpTo reads the body up to and including one byte more than limit. complete reports whether the body fits the
// limit.
func readUpTo(resp *http.Response, limit int64) (prefix []byte, complete bool, err error) {
	var buffer bytes.Buffer
	if n := resp.ContentLength; n > 0 && n <= limit {
		buffer.Grow(int(n) + bytes.MinRead)
	}
	n, err := io.Copy(&buffer, io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, false, err
	}
	return buffer.Bytes(), n <= limit, nil
}

// storedAnswer returns the answer to store for requests that repeat the idempotency key. It returns nil for an
// idempotent request and for an answer that is too large to store.
func (x *exchange) storedAnswer(a answer) *message.Answer {
	if x.request.Idempotent || a.size() > x.link.settings.MaxStoredAnswer {
		return nil
	}
	return &message.Answer{Status: a.status, Header: a.header.Clone(), Body: a.body}
}

// writeAnswer writes a complete answer to the caller.
func (x *exchange) writeAnswer(a answer) {
	x.setHeader(a.header)
	h := x.writer.Header()
	switch {
	case a.status == http.StatusNoContent:
		h.Del("Content-Length")
	case x.request.Method == http.MethodHead || a.status == http.StatusNotModified:
		// The executor's Content-Length describes the answer to a GET and stays.
	default:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.link.limitWrite(x.writer)
	x.writer.WriteHeader(a.status)
	x.link.meters.answered.Inc(1)
	x.link.meters.recordLatency(time.Since(x.request.Arrived))
	if _, err := x.writer.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.writeFailed(err)
	}
}

// stream forwards an answer that is larger than the buffer. If the answer breaks off, it aborts the caller's
// connection, so that the caller does not take the part for a complete answer.
func (x *exchange) stream(resp *http.Response, prefix []byte, started time.Time) {
	x.setHeader(answerHeader(resp.Header))
	x.link.limitWrite(x.writer)
	x.writer.WriteHeader(resp.StatusCode)
	_, err := x.writer.Write(prefix)
	if err == nil {
		_, err = io.Copy(x.writer, resp.Body)
	}
	if err != nil {
		x.link.meters.unknown.Inc(1)
		x.reportFinished(message.SendFinished{Outcome: message.Unknown, RunTime: time.Since(started)})
		x.writeFailed(err)
		panic(http.ErrAbortHandler)
	}
	x.link.meters.answered.Inc(1)
	x.link.meters.recordLatency(time.Since(x.request.Arrived))
	x.reportFinished(message.SendFinished{Outcome: message.Answered, RunTime: time.Since(started)})
}

func (x *exchange) setHeader(from http.Header) {
	h := x.writer.Header()
	for name, values := range from {
		h[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		h["Content-Type"] = nil // stops net/http from detecting one
	}
	x.decision.set(h, message.Answered)
}
