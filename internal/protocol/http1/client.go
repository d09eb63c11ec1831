package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrNotSent is wrapped by the error of a call that was not sent, because no connection could be opened.
var ErrNotSent = errors.New("call was not sent")

// Limits of a connection.
const (
	maxResponseSize = 16 << 20 // bytes
	bufferSize      = 2 << 10  // bytes; most calls and answers fit
	checkAfter      = 1 * time.Second
)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client makes calls to one address. It is safe for concurrent use; concurrent calls use a connection each.
type Client struct {
	dialer  Dialer
	address string
	header  http.Header
	maxIdle int

	mutex  sync.Mutex // guards the fields below
	idle   []*conn
	closed bool
}

// conn is a connection that serves one call at a time.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
}

// NewClient returns a client that sends the header with each call and keeps up to maxIdle connections open.
func NewClient(d Dialer, address string, header http.Header, maxIdle int) *Client {
	return &Client{dialer: d, address: address, header: header, maxIdle: maxIdle}
}

// Post sends a body and returns the status and the body of the response. The context's deadline limits the whole call.
// An error that does not wrap ErrNotSent leaves open whether the call was carried out.
func (c *Client) Post(ctx context.Context, path string, body []byte) (int, []byte, error) {
	x, err := c.open(ctx)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = x.SetDeadline(time.Unix(1, 0)) }) // ends the call at once
	status, data, reusable, err := x.exchange(c.request(path, body))
	if !stop() || err != nil || !reusable {
		_ = x.Close()
		if err != nil && ctx.Err() != nil {
			err = ctx.Err()
		}
		return status, data, err
	}
	c.put(x)
	return status, data, nil
}

func (c *Client) request(path string, body []byte) *http.Request {
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: c.address, Path: path}, Host: c.address, Header: c.header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
}

// exchange writes a request and reads the response. The connection can be used again if reusable is set.
func (x *conn) exchange(r *http.Request) (status int, body []byte, reusable bool, err error) {
	if err := r.Write(x.writer); err != nil {
		return 0, nil, false, err
	}
	if err := x.writer.Flush(); err != nil {
		return 0, nil, false, err
	}
	response, err := http.ReadResponse(x.reader, r)
	if err != nil {
		return 0, nil, false, fmt.Errorf("read response: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1))
	if err != nil {
		return 0, nil, false, fmt.Errorf("read response: %w", err)
	}
	if len(body) > maxResponseSize {
		return 0, nil, false, fmt.Errorf("response has more than %d bytes", maxResponseSize)
	}
	return response.StatusCode, body, !response.Close && x.reader.Buffered() == 0, nil
}

// open returns an idle connection or a new one.
func (c *Client) open(ctx context.Context) (*conn, error) {
	for {
		x := c.takeIdle()
		if x == nil {
			break
		}
		if time.Since(x.lastUsed) < checkAfter || x.isOpen() {
			return x, nil
		}
		_ = x.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize), writer: bufio.NewWriterSize(raw, bufferSize)}, nil
}

func (c *Client) takeIdle() *conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil
	}
	x := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return x
}

// put keeps a connection for the next call.
func (c *Client) put(x *conn) {
	x.lastUsed = time.Now()
	c.mutex.Lock()
	keep := !c.closed && len(c.idle) < c.maxIdle
	if keep {
		c.idle = append(c.idle, x)
	}
	c.mutex.Unlock()
	if !keep {
		_ = x.Close()
	}
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.mutex.Lock()
	idle := c.idle
	c.idle = nil
	c.mutex.Unlock()
	for _, x := range idle {
		_ = x.Close()
	}
}

// Close closes the idle connections now and the others after their calls.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.CloseIdle()
}

// isOpen reports whether the peer has neither closed the connection nor sent anything while it was idle.
func (x *conn) isOpen() bool {
	source, ok := x.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}
