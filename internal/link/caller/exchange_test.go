package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselloft/internal/model/message"

	qt "github.com/frankban/quicktest"
)

// chain answers the n-th verdict of each request.
func chain(verdicts ...message.Verdict) func(message.Request, int) message.Verdict {
	return func(_ message.Request, n int) message.Verdict { return verdicts[n-1] }
}

func sendTo(address string) message.Send {
	return message.Send{Executor: message.Executor{ID: "e", Address: address}, Service: "s", Config: 7, Owner: "o"}
}

// closed returns an address that refuses connections.
func closed(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// cutting answers each request with the head of an answer and closes the connection.
func cutting(t *testing.T, answer string) string {
	return rawExecutor(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, answer)
		}
	})
}

type ended struct {
	Outcome message.Outcome
	Retry   bool
}

// ends waits until the router got n reports of sends.
func ends(c *qt.C, r *router, n int) []ended {
	eventually(c, "reports of sends", func() bool { return len(r.finishes()) >= n })
	var all []ended
	for _, f := range r.finishes() {
		all = append(all, ended{f.Outcome, f.Retry})
	}
	return all
}

// Guards invariant 4 and 5: the outcome of a failed send must be true, and half an answer never reaches the caller.
func TestFailedSends(t *testing.T) {
	c := qt.New(t)
	whole := executor(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	down := closed(t)
	for _, cut := range []string{
		"",
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"HTTP/1.1 200 OK\r\n\r\nno end",
		"HTTP/1.1 200 OK\r\nContent-",
	} {
		address := cutting(t, cut)
		for _, test := range []struct {
			name, method string
			verdicts     []message.Verdict
			status       int
			outcome      string
			ends         []ended
		}{
			{"post", "POST", []message.Verdict{sendTo(address)}, 502, "unknown", []ended{{message.Unknown, false}}},
			{"get", "GET", []message.Verdict{sendTo(address), sendTo(whole)}, 200, "answered", []ended{{message.Unknown, true}, {message.Answered, false}}},
			{"settle", "GET", []message.Verdict{sendTo(address), message.NoRetry{}}, 502, "unknown", []ended{{message.Unknown, true}}},
			{"refuse", "GET", []message.Verdict{sendTo(address), message.Refuse{Refusal: message.Refusal{Reason: message.ReasonOverload}}}, 502, "unknown", []ended{{message.Unknown, true}}},
			{"down", "POST", []message.Verdict{sendTo(down), sendTo(whole)}, 200, "answered", []ended{{message.NotRun, true}, {message.Answered, false}}},
			{"down, settle", "POST", []message.Verdict{sendTo(down), message.NoRetry{}}, 503, "not-run", []ended{{message.NotRun, true}}},
			{"down, cut", "POST", []message.Verdict{sendTo(down), sendTo(address)}, 502, "unknown", []ended{{message.NotRun, true}, {message.Unknown, false}}},
			{"cut, down", "GET", []message.Verdict{sendTo(address), sendTo(down), message.NoRetry{}}, 502, "unknown", []ended{{message.Unknown, true}, {message.NotRun, true}}},
		} {
			c.Run(fmt.Sprintf("%s/%q", test.name, cut), func(c *qt.C) {
				r := &router{decide: chain(test.verdicts...)}
				p := start(c.TB.(*testing.T), r, plain)
				a, err := do(t, test.method, p.url+"/s/x", "")
				c.Assert(err, qt.IsNil)
				c.Check(a.status, qt.Equals, test.status)
				c.Check(a.header.Get("Teaselloft-Outcome"), qt.Equals, test.outcome)
				if test.status == 200 {
					c.Check(a.body, qt.Equals, "whole")
				}
				c.Check(ends(c, r, len(test.ends)), qt.DeepEquals, test.ends)
			})
		}
	}
}

// Guards against a large answer that ends early and looks whole to the caller.
func TestCutOfLargeAnswerAbortsConnection(t *testing.T) {
	c := qt.New(t)
	large := strings.Repeat("x", 3<<20)
	for i, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n" + large,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n300000\r\n" + large + "\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n300000\r\n" + large + "\r\n0\r\n\r\n",
	} {
		r := &router{decide: chain(sendTo(cutting(t, answer)))}
		c.Run(fmt.Sprint(i), func(c *qt.C) {
			p := start(c.TB.(*testing.T), r, plain)
			a, err := do(t, "POST", p.url+"/s", "")
			eventually(c, "one finish", func() bool { return len(r.finishes()) == 1 })
			if i == 2 {
				c.Check(err, qt.IsNil)
				c.Check(a.body == large, qt.IsTrue)
				c.Check(ends(c, r, 1), qt.DeepEquals, []ended{{message.Answered, false}})
				return
			}
			c.Check(err, qt.IsNotNil)
			c.Check(ends(c, r, 1), qt.DeepEquals, []ended{{message.Unknown, false}})
		})
	}
}

// Guards against a stored answer that differs from the first one, or one too large for a frame.
func TestReplayAndKeptAnswer(t *testing.T) {
	c := qt.New(t)
	r := &router{decide: chain(message.Replay{Config: 8, Answer: message.Answer{
		Status: 201, Header: map[string][]string{"Etag": {"x"}}, Body: []byte("stored"),
	}})}
	p := start(t, r, plain)
	a := must(t, "POST", p.url+"/s", "")
	c.Check(a.status, qt.Equals, 201)
	c.Check(a.body, qt.Equals, "stored")
	c.Check(a.header.Get("Etag"), qt.Equals, "x")
	c.Check(a.header.Get("Teaselloft-Outcome"), qt.Equals, "answered")
	c.Check(r.finishes(), qt.HasLen, 0)

	for size, kept := range map[int]bool{1 << 10: true, 64 << 10: false} {
		r := &router{decide: to(executor(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("a", size))
		}))}
		c.Run(fmt.Sprint(size), func(c *qt.C) {
			p := start(c.TB.(*testing.T), r, plain)
			c.Check(len(must(t, "POST", p.url+"/s", "").body), qt.Equals, size)
			ends(c, r, 1)
			c.Check(r.finishes()[0].Answer != nil, qt.Equals, kept)
		})
	}
}

// Guards against a request that stays queued after its caller left or its deadline passed.
func TestAbandon(t *testing.T) {
	c := qt.New(t)
	r := &router{decide: func(message.Request, int) message.Verdict { return nil }}
	p := start(t, r, plain)
	a := must(t, "POST", p.url+"/s", "", "Request-Timeout", "0.05")
	c.Check(a.status, qt.Equals, http.StatusGatewayTimeout)
	c.Check(a.header.Get("Teaselloft-Outcome"), qt.Equals, "not-run")
	eventually(c, "abandon at the deadline", func() bool { return r.abandons() == 1 })

	ctx, cancel := context.WithCancel(context.Background())
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+"/s", strings.NewReader("body"))
	c.Assert(err, qt.IsNil)
	go func() {
		if resp, err := http.DefaultClient.Do(q); err == nil {
			_ = resp.Body.Close()
		}
	}()
	eventually(c, "second arrival", func() bool { return len(r.arrivals()) == 2 })
	cancel()
	eventually(c, "abandon after the departure", func() bool { return r.abandons() == 2 })
	c.Check(r.finishes(), qt.HasLen, 0)
}

// Guards against an answer after the deadline that claims the request did not run.
func TestDeadlineDuringSend(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	address := executor(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	for _, method := range []string{"GET", "POST"} {
		r := &router{decide: chain(sendTo(address))}
		c.Run(method, func(c *qt.C) {
			p := start(c.TB.(*testing.T), r, plain)
			a := must(t, method, p.url+"/s", "", "Request-Timeout", "0.05")
			c.Check(a.status, qt.Equals, http.StatusBadGateway)
			c.Check(a.header.Get("Teaselloft-Outcome"), qt.Equals, "unknown")
			c.Check(ends(c, r, 1), qt.DeepEquals, []ended{{message.Unknown, false}})
		})
	}
}

// Guards against the loss of an answer whose caller left: a repeated key must get it.
func TestKeepsAnswerAfterDeparture(t *testing.T) {
	c := qt.New(t)
	running, release, cancelled := make(chan struct{}), make(chan struct{}), make(chan struct{})
	address := executor(t, func(w http.ResponseWriter, r *http.Request) {
		close(running)
		select {
		case <-release:
			_, _ = io.WriteString(w, "kept")
		case <-r.Context().Done():
			close(cancelled)
		}
	})
	r := &router{decide: chain(sendTo(address))}
	p := start(t, r, plain)
	ctx, cancel := context.WithCancel(context.Background())
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+"/s", strings.NewReader("body"))
	c.Assert(err, qt.IsNil)
	left := make(chan struct{})
	go func() {
		defer close(left)
		if resp, err := http.DefaultClient.Do(q); err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-running
	cancel()
	<-left
	select {
	case <-cancelled:
		c.Fatal("the caller's departure cancelled the send")
	case <-time.After(200 * time.Millisecond): // in which the listener notices the departure
	}
	close(release)
	eventually(c, "one finish", func() bool { return len(r.finishes()) == 1 })
	f := r.finishes()[0]
	c.Check(f.Outcome, qt.Equals, message.Answered)
	c.Check(string(f.Answer.Body), qt.Equals, "kept")
}

// Guards invariant 7: a planned stop interrupts no request in flight, and readiness turns false before the listener closes.
func TestStopWithRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	const requests = 20
	running, release := make(chan struct{}, requests), make(chan struct{})
	free := sync.OnceFunc(func() { close(release) })
	address := executor(t, func(w http.ResponseWriter, _ *http.Request) {
		running <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "done")
	})
	defer free()
	r := &router{decide: to(address)}
	p := start(t, r, `{"listen":{"address":"127.0.0.1:0"},"grace":"300ms"}`)
	c.Check(must(t, "GET", p.url+"/healthz", "").status, qt.Equals, 200)
	c.Check(must(t, "GET", p.url+"/readyz", "").status, qt.Equals, 503)
	p.configure(c)
	c.Check(must(t, "GET", p.url+"/readyz", "").status, qt.Equals, 200)

	type reply struct {
		result
		err error
	}
	replies := make(chan reply, requests)
	for i := range requests {
		go func() {
			a, err := do(t, []string{"GET", "POST"}[i%2], p.url+"/s", "b")
			replies <- reply{a, err}
		}()
	}
	for range requests {
		<-running
	}
	p.stop()
	eventually(c, "not ready", func() bool {
		a, err := do(t, "GET", p.url+"/readyz", "")
		c.Assert(err, qt.IsNil, qt.Commentf("the listener closed before readiness turned false"))
		return a.status == 503
	})
	c.Check(must(t, "GET", p.url+"/healthz", "").status, qt.Equals, 200)
	eventually(c, "listener closed", func() bool {
		_, err := do(t, "GET", p.url+"/readyz", "")
		return err != nil
	})
	free()
	for range requests {
		a := <-replies
		c.Assert(a.err, qt.IsNil)
		c.Check(a.status, qt.Equals, 200)
		c.Check(a.body, qt.Equals, "done")
	}
	p.wait(c)
}

// Guards against a request that waits for ever when the routing duty's ring is full.
func TestFullRing(t *testing.T) {
	c := qt.New(t)
	stuck, free := make(chan struct{}), make(chan struct{})
	first := true
	r := &router{decide: func(message.Request, int) message.Verdict {
		if first {
			first = false
			close(stuck)
			<-free
		}
		return message.NoRetry{}
	}}
	p := start(t, r, plain)
	go func() { _, _ = do(t, "GET", p.url+"/s", "") }()
	<-stuck
	events := routeRing(p)
	for events.Push(context.Background(), message.RequestCanceled{}) == nil {
		continue
	}
	a := must(t, "GET", p.url+"/s", "")
	c.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(a.header.Get("Teaselloft-Outcome"), qt.Equals, "not-run")
	c.Check(a.header.Get("Retry-After"), qt.Equals, "1")
	c.Check(strings.Contains(a.body, string(message.ReasonBusy)), qt.IsTrue)
	close(free)
}

// Guards against a slow reader that keeps its connection for ever.
func TestSlowReader(t *testing.T) {
	c := qt.New(t)
	address := executor(t, func(w http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 1<<20)
		for range 64 {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	r := &router{decide: chain(sendTo(address))}
	p := start(t, r, `{"listen":{"address":"127.0.0.1:0","timeouts":{"write":"200ms"}},"grace":"0s"}`)
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /s HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(err, qt.IsNil)
	started := time.Now()
	eventually(c, "one finish", func() bool { return len(r.finishes()) == 1 })
	c.Check(ends(c, r, 1), qt.DeepEquals, []ended{{message.Unknown, false}})
	c.Check(time.Since(started) < 9*time.Second, qt.IsTrue, qt.Commentf("the send ended only with the deadline of 10 s"))
}

// Guards against bodies of slow senders that together take all memory.
func TestMemoryForBodiesIsBounded(t *testing.T) {
	c := qt.New(t)
	r := &router{decide: to(executor(t, func(http.ResponseWriter, *http.Request) {}))}
	p := start(t, r, `{"listen":{"address":"127.0.0.1:0"},"memory":1000,"grace":"0s"}`)
	slow, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(slow, "POST /s HTTP/1.1\r\nHost: a\r\nContent-Length: 600\r\n\r\n")
	c.Assert(err, qt.IsNil)
	eventually(c, "slow request", func() bool { return dump(c, p.kernel)["open"].(float64) == 1 })
	body := strings.Repeat("b", 600)
	eventually(c, "refusal", func() bool {
		a := must(t, "POST", p.url+"/s", body)
		return a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") == "1" && a.header.Get("Teaselloft-Outcome") == "not-run"
	})
	c.Check(must(t, "POST", p.url+"/s", "small").status, qt.Equals, http.StatusOK)
	c.Assert(slow.Close(), qt.IsNil)
	eventually(c, "memory given back", func() bool { return must(t, "POST", p.url+"/s", body).status == http.StatusOK })
}
