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
	// ErrUndelimited means that the end of the answer cannot be told from a cut connection.
	ErrUndelimited = errors.New("answer has neither a length nor a chunked end")
	// ErrPremature means that the executor answered before it got a byte of the request.
	ErrPremature = errors.New("executor answered before the request was written")
)

// Sender sends requests to executors; it implements message.Sender.
type Sender struct {
	transport http.RoundTripper
	scheme    string
	table     *table
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

// Send sends r once; a request with a body needs GetBody, since a connection that closed before a byte was written is passed over.
//
// The end of the answer's body is io.EOF only when the whole answer arrived.
func (s *Sender) Send(ctx context.Context, to message.Executor, r *http.Request) (*http.Response, message.Outcome, error) {
	for try := 1; ; try++ {
		resp, outcome, stale, err := s.try(ctx, to, r)
		switch {
		case err == nil:
			return resp, message.Answered, nil
		case outcome == message.NotRun && stale && try < maxStale && ctx.Err() == nil:
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

// try sends r over one connection; stale means that the connection was an old one that closed.
func (s *Sender) try(ctx context.Context, to message.Executor, r *http.Request) (resp *http.Response, o message.Outcome, stale bool, err error) {
	body, err := onceBody(r)
	if err != nil {
		return nil, message.NotRun, false, err
	}
	a := &attempt{table: s.table, address: to.Address, head: r.Method == http.MethodHead}
	s.table.wait(to.Address, to.ID)
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	resp, err = s.transport.RoundTrip(s.prepare(httptrace.WithClientTrace(ctx, trace), to, r, body)) //nolint:bodyclose // closed by the caller of Send or by check
	if err == nil {
		err = a.check(r, resp)
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

// onceBody returns a body that the transport cannot obtain a second time.
//
// The transport resends a request without a body, or with GetBody, when a reused
// connection closes before the first byte of the answer and the method is GET,
// HEAD, OPTIONS or TRACE or there is an Idempotency-Key. A body that is neither
// nil nor http.NoBody and has no GetBody is never sent twice.
func onceBody(r *http.Request) (io.ReadCloser, error) {
	switch {
	case r.GetBody != nil:
		return r.GetBody()
	case r.Body == nil || r.Body == http.NoBody:
		return io.NopCloser(eof{}), nil
	default:
		return nil, errors.New("request has a body without GetBody")
	}
}

// eof is an empty body.
type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }

func (s *Sender) prepare(ctx context.Context, to message.Executor, r *http.Request, body io.ReadCloser) *http.Request {
	out := r.WithContext(ctx)
	target := *r.URL
	target.Scheme, target.Host = s.scheme, to.Address
	out.URL = &target
	out.Body, out.GetBody = body, nil
	if out.ContentLength == 0 {
		// Without this the transport would wrap the empty body in chunks, or look into it first.
		out.TransferEncoding = []string{"identity"}
	}
	return out
}

// check refuses answers that cannot be this request's whole answer.
func (a *attempt) check(r *http.Request, resp *http.Response) error {
	var err error
	switch {
	case !a.wrote():
		err = ErrPremature
	case r.Method == http.MethodHead || resp.Body == http.NoBody:
		return nil
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		err = ErrUndelimited
	default:
		return nil
	}
	_ = resp.Body.Close()
	return err
}
