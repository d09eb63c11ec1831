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

// answer is a whole answer of an executor.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// size returns the bytes that keeping the answer takes.
func (a answer) size() int {
	size := len(a.body)
	for name, values := range a.header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// readHead reads the answer up to limit bytes; whole tells whether that was all of it.
func readHead(resp *http.Response, limit int64) (head []byte, whole bool, err error) {
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

// kept returns the answer in the form that is stored for a repeated idempotency key, nil when it is not stored.
func (x *exchange) kept(a answer) *message.Answer {
	if x.request.Idempotent || a.size() > x.link.settings.Keep {
		return nil
	}
	return &message.Answer{Status: a.status, Header: a.header.Clone(), Body: a.body}
}

// write passes a whole answer to the caller.
func (x *exchange) write(a answer) {
	x.setHeader(a.header)
	h := x.writer.Header()
	switch {
	case a.status == http.StatusNoContent:
		h.Del("Content-Length")
	case x.request.Method == http.MethodHead || a.status == http.StatusNotModified:
		// The length describes the answer to GET.
	default:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.link.limitWrite(x.writer)
	x.writer.WriteHeader(a.status)
	x.link.meters.answered.Inc(1)
	x.link.meters.took(time.Since(x.request.Arrived))
	if _, err := x.writer.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.departed(err)
	}
}

// stream passes on an answer larger than the buffer; one that is cut ends the caller's connection.
func (x *exchange) stream(resp *http.Response, head []byte, started time.Time) {
	x.setHeader(answerHeader(resp.Header))
	x.link.limitWrite(x.writer)
	x.writer.WriteHeader(resp.StatusCode)
	_, err := x.writer.Write(head)
	if err == nil {
		_, err = io.Copy(x.writer, resp.Body)
	}
	if err != nil {
		x.link.meters.unknown.Inc(1)
		x.finish(message.SendFinished{Outcome: message.Unknown, RunTime: time.Since(started)})
		x.departed(err)
		panic(http.ErrAbortHandler)
	}
	x.link.meters.answered.Inc(1)
	x.link.meters.took(time.Since(x.request.Arrived))
	x.finish(message.SendFinished{Outcome: message.Answered, RunTime: time.Since(started)})
}

func (x *exchange) setHeader(from http.Header) {
	h := x.writer.Header()
	for name, values := range from {
		h[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	x.origin.set(h, message.Answered)
}
