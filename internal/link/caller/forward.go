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

// hopByHopHeaders are not forwarded, since they apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// reservedPrefix is the prefix of the headers that only entry instances read in requests and set in answers. Such
// headers are never forwarded.
const reservedPrefix = "Teaselloft-"

// endToEndHeaders returns a copy of h without the hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// executorRequest returns the request to send to the executor, with the corrected service name as first path segment.
func executorRequest(r *http.Request, q message.Request, service string, body []byte, left time.Duration) (*http.Request, error) {
	target, err := url.ParseRequestURI("/" + url.PathEscape(service) + q.Path)
	if err != nil {
		return nil, err
	}
	h := endToEndHeaders(r.Header)
	for name := range h {
		if strings.HasPrefix(name, reservedPrefix) {
			delete(h, name)
		}
	}
	if q.Key != "" && h.Get(headerKey) == "" {
		h.Set(headerKey, strconv.Quote(q.Key))
	}
	h.Set(headerTimeout, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // stops net/http from adding its own
	}
	out := &http.Request{Method: q.Method, URL: target, Header: h, ContentLength: int64(len(body))}
	if len(body) > 0 {
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	}
	return out, nil
}

// answerHeader returns the headers of an executor's answer to forward to the caller.
func answerHeader(h http.Header) http.Header {
	out := endToEndHeaders(h)
	for name := range out {
		if strings.HasPrefix(name, reservedPrefix) {
			delete(out, name)
		}
	}
	return out
}
