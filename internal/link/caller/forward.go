package caller

import (
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"teaselloft/internal/model/message"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// ownPrefix starts the names of the headers that only entry instances set in answers.
const ownPrefix = "Teaselloft-"

// endToEnd returns a copy of h without the headers of one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// outgoing returns the request to the executor; the first path segment becomes the corrected service name.
func outgoing(r *http.Request, q message.Request, service string, body []byte, left time.Duration) (*http.Request, error) {
	target, err := url.ParseRequestURI("/" + url.PathEscape(service) + q.Path)
	if err != nil {
		return nil, err
	}
	h := endToEnd(r.Header)
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			delete(h, name)
		}
	}
	if q.Key != "" && h.Get(headerKey) == "" {
		h.Set(headerKey, strconv.Quote(q.Key))
	}
	h.Set(headerTimeout, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	out := &http.Request{Method: q.Method, URL: target, Header: h, ContentLength: int64(len(body))}
	if len(body) > 0 {
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	}
	return out, nil
}

// answerHeader returns the headers of an executor's answer that go to the caller.
func answerHeader(h http.Header) http.Header {
	out := endToEnd(h)
	for name := range out {
		if strings.HasPrefix(name, ownPrefix) {
			delete(out, name)
		}
	}
	return out
}
