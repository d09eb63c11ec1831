package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"

	"teaselloft/internal/model/message"

	"github.com/rcrowley/go-metrics"
)

var (
	// ErrCloseDelimited is returned for an answer that ends with the connection, since its end cannot be distinguished
	// from a broken connection.
	ErrCloseDelimited = errors.New("answer has neither a length nor a chunked end")
	// ErrEarlyAnswer is returned for an answer that arrived before a byte of the request was written.
	ErrEarlyAnswer = errors.New("executor answered before the request was written")
)

// Sender sends requests to executors. It implements message.Sender.
type Sender struct {
	transport http.RoundTripper
	scheme    string
	table     *connTable
	counters  counters
}

type counters struct {
	answered, notRun, unknown, stale, truncated metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("endpoint."+name, r) }
	return counters{
		answered:  counter("answered"),
		notRun:    counter("notrun"),
		unknown:   counter("unknown"),
		stale:     counter("stale"),
		truncated: counter("truncated"),
	}
}

// Send sends r at most once. It tries another connection if a reused one was closed before a byte was written, so a
// request with a body needs GetBody.
//
// Reading the answer's body returns io.EOF only if the complete answer has arrived.
func (s *Sender) Send(ctx context.Context, to message.Executor, r *http.Request) (*http.Response, message.Outcome, error) {
	for try := 1; ; try++ {
		resp, outcome, stale, err := s.trySend(ctx, to, r)
		switch {
		case err == nil:
			return resp, message.Answered, nil
		case outcome == message.NotRun && stale && try < maxStaleConns && ctx.Err() == nil:
			s.counters.stale.Inc(1)
			continue
		case outcome == message.NotRun:
			s.counters.notRun.Inc(1)
		default:
			s.counters.unknown.Inc(1)
		}
		return nil, outcome, fmt.Errorf("send to executor %q at %s: %w", to.ID, to.Address, err)
	}
}

// trySend sends r over one connection. stale reports that the connection was a reused one that had been closed, or one
// that must not be used.
func (s *Sender) trySend(ctx context.Context, to message.Executor, r *http.Request) (resp *http.Response, o message.Outcome, stale bool, err error) {
	body, err := nonReplayableBody(r)
	if err != nil {
		return nil, message.NotRun, false, err
	}
	a := &attempt{table: s.table, address: to.Address, headRequest: r.Method == http.MethodHead}
	s.table.addWaiting(to.Address, to.ID)
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	resp, err = s.transport.RoundTrip(s.transportRequest(httptrace.WithClientTrace(ctx, trace), to, r, body)) //nolint:bodyclose // closed by the caller of Send or by checkAnswer
	if err == nil {
		err = a.checkAnswer(r, resp)
	}
	if err != nil {
		if a.fail() {
			return nil, message.Unknown, false, err
		}
		return nil, message.NotRun, a.stale, err
	}
	if resp.Body == http.NoBody {
		s.counters.answered.Inc(1)
		a.finish()
		return resp, message.Answered, false, nil
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, attempt: a, counters: s.counters}
	return resp, message.Answered, false, nil
}

// nonReplayableBody returns the body of r in a form that the transport cannot send again.
//
// If a reused connection closes before the first byte of the answer, the transport resends requests that have no body
// or have GetBody, and whose method is GET, HEAD, OPTIONS or TRACE or that have an Idempotency-Key. It never resends a
// request without GetBody whose body is neither nil nor http.NoBody.
func nonReplayableBody(r *http.Request) (io.ReadCloser, error) {
	switch {
	case r.GetBody != nil:
		return r.GetBody()
	case r.Body == nil || r.Body == http.NoBody:
		return io.NopCloser(emptyBody{}), nil
	default:
		return nil, errors.New("request has a body without GetBody")
	}
}

// emptyBody is an empty body that is not http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// transportRequest returns a copy of r for the transport, addressed to the executor.
func (s *Sender) transportRequest(ctx context.Context, to message.Executor, r *http.Request, body io.ReadCloser) *http.Request {
	out := r.WithContext(ctx)
	target := *r.URL
	target.Scheme, target.Host = s.scheme, to.Address
	out.URL = &target
	out.Body, out.GetBody = body, nil
	if out.ContentLength == 0 {
		// Otherwise the transport would probe the empty body or send it with chunked encoding.
		out.TransferEncoding = []string{"identity"}
	}
	return out
}

// checkAnswer closes an answer that cannot be a complete answer to this request and returns the reason as error.
func (a *attempt) checkAnswer(r *http.Request, resp *http.Response) error {
	var err error
	switch {
	case !a.mayHaveWritten():
		err = ErrEarlyAnswer
	case r.Method == http.MethodHead || resp.Body == http.NoBody:
		return nil
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		err = ErrCloseDelimited
	default:
		return nil
	}
	_ = resp.Body.Close()
	return err
}
