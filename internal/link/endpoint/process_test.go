package endpoint_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/link/endpoint"
	"teaselloft/internal/model/message"

	qt "github.com/frankban/quicktest"
)

// waitTimeout limits each wait in these tests.
const waitTimeout = 20 * time.Second

// process is a running process with the endpoint plug-in.
type process struct {
	kernel *kernel.Kernel
	sender message.Sender
}

func start(t *testing.T, section string) *process {
	t.Helper()
	c := qt.New(t)
	s, err := kernel.ParseSettings([]byte(fmt.Sprintf(`{"name":%q,"plugins":{"endpoint":%s}}`, t.Name(), section)))
	c.Assert(err, qt.IsNil)
	k, err := kernel.New(s, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	sender, ok := kernel.Use[message.Sender](k.Host())
	c.Assert(ok, qt.IsTrue)
	return &process{kernel: k, sender: sender}
}

// usage returns the link's section of the state dump.
func (p *process) usage(c *qt.C, address string) endpoint.Usage {
	data, err := json.Marshal(p.kernel.Host().DumpState()[endpoint.Name])
	c.Assert(err, qt.IsNil)
	var all map[string]endpoint.Usage
	c.Assert(json.Unmarshal(data, &all), qt.IsNil)
	return all[address]
}

// request returns a request as the caller link passes it to the sender.
func request(method, path string, body []byte, key string) *http.Request {
	r := &http.Request{Method: method, URL: &url.URL{Path: path}, Header: http.Header{}, ContentLength: int64(len(body))}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	if len(body) > 0 {
		r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	}
	return r
}

// send sends a request and reads the complete answer.
func (p *process) send(address string, r *http.Request) (string, message.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return p.sendContext(ctx, address, r)
}

func (p *process) sendContext(ctx context.Context, address string, r *http.Request) (string, message.Outcome, error) {
	resp, outcome, err := p.sender.Send(ctx, message.Executor{ID: "e", Address: address}, r)
	if err != nil {
		return "", outcome, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return string(data), message.Unknown, err
	}
	return string(data), message.Answered, nil
}

func serve(t *testing.T, handle http.HandlerFunc, configure func(*http.Server)) string {
	server := httptest.NewUnstartedServer(handle)
	if configure != nil {
		configure(server.Config)
	}
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// serveRaw starts a TCP server that runs handle for each connection. It returns the server's address.
func serveRaw(t *testing.T, handle func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}

// eventually waits until ok returns true.
func eventually(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("timed out waiting for: %s", what)
		}
	}
}
