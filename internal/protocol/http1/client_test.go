package http1_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselloft/internal/protocol/http1"

	qt "github.com/frankban/quicktest"
)

// countingDialer counts the connections that it opens.
type countingDialer struct {
	net.Dialer
	opened atomic.Int64
}

func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.opened.Add(1)
	return d.Dialer.DialContext(ctx, network, address)
}

func newClient(c *qt.C, handler http.HandlerFunc) (*http1.Client, *countingDialer, *httptest.Server) {
	server := httptest.NewServer(handler)
	c.Cleanup(server.Close)
	d := &countingDialer{}
	client := http1.NewClient(d, strings.TrimPrefix(server.URL, "http://"), http.Header{"X-Test": {"yes"}}, 2)
	c.Cleanup(client.Close)
	return client, d, server
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.WriteHeader(http.StatusAccepted)
	fmt.Fprintf(w, "%s %s %s %s", r.Method, r.URL.Path, r.Header.Get("X-Test"), body)
}

// Guards against a response that is given to another call, and against a connection for each call.
func TestConcurrentCalls(t *testing.T) {
	c := qt.New(t)
	client, d, _ := newClient(c, echo)
	var calls sync.WaitGroup
	for caller := range 2 {
		calls.Go(func() {
			for n := range 200 {
				body := fmt.Sprintf("%d-%d-%s", caller, n, strings.Repeat("x", 37*n))
				status, data, err := client.Post(context.Background(), "/a", []byte(body))
				c.Check(err, qt.IsNil)
				c.Check(status, qt.Equals, http.StatusAccepted)
				c.Check(string(data), qt.Equals, "POST /a yes "+body)
			}
		})
	}
	calls.Wait()
	c.Assert(d.opened.Load() <= 2, qt.IsTrue, qt.Commentf("%d connections", d.opened.Load()))
}

// Guards against a call that waits beyond its deadline, and against the late response reaching the next call.
func TestDeadline(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	client, _, _ := newClient(c, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		echo(w, r)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, _, err := client.Post(ctx, "/slow", []byte("1"))
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(err, qt.Not(qt.ErrorIs), http1.ErrNotSent)
	close(release)
	_, data, err := client.Post(context.Background(), "/fast", []byte("2"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "POST /fast yes 2")
}

// Guards against a call on a connection that the server has closed or will close.
func TestClosedConnections(t *testing.T) {
	c := qt.New(t)
	client, d, server := newClient(c, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/last" {
			w.Header().Set("Connection", "close")
		}
		echo(w, r)
	})
	post := func(path string) error {
		_, _, err := client.Post(context.Background(), path, []byte("1"))
		return err
	}
	c.Assert(post("/last"), qt.IsNil)
	c.Assert(post("/a"), qt.IsNil)
	c.Assert(d.opened.Load(), qt.Equals, int64(2), qt.Commentf("the first connection was closed by its response"))
	server.CloseClientConnections()
	time.Sleep(1100 * time.Millisecond) // an idle connection is checked after 1 s
	c.Assert(post("/a"), qt.IsNil)
	server.Close()
	client.CloseIdle()
	c.Assert(post("/a"), qt.ErrorIs, http1.ErrNotSent)
}

// Guards against a response that is cut short and taken for a complete one, and against one that is not HTTP.
func TestInvalidResponses(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"", "x", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", "HTTP/1.1 999999 ?\r\n\r\n"} {
		client, _, _ := newClient(c, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			c.Check(err, qt.IsNil)
			_, _ = conn.Write([]byte(text))
			_ = conn.Close()
		})
		_, _, err := client.Post(context.Background(), "/", []byte("1"))
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", text))
		c.Check(err, qt.Not(qt.ErrorIs), http1.ErrNotSent)
	}
}
