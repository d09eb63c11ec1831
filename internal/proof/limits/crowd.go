package limits

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// sendTimeout limits how long a client of a crowd tries to send, in case the daemon doesn't read.
const sendTimeout = 5 * time.Second

// Sender sends what the n-th client of a crowd sends.
type Sender func(conn net.Conn, n int)

// Kind is what the clients of a crowd do: the number of connections that they open, and what the n-th one sends. All stay
// open without reading until the crowd is closed.
type Kind struct {
	Address string
	Clients int
	Send    Sender
}

// Crowd is a number of client connections.
type Crowd struct {
	mutex sync.Mutex
	conns []net.Conn
}

// Open starts the clients of some kinds side by side and waits until each has sent what it sends.
func Open(kinds ...Kind) *Crowd {
	var crowd Crowd
	var clients sync.WaitGroup
	for _, k := range kinds {
		for n := range k.Clients {
			clients.Go(func() { crowd.run(k, n) })
		}
	}
	clients.Wait()
	return &crowd
}

func (c *Crowd) run(k Kind, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", k.Address)
	if err != nil {
		return // the daemon may refuse
	}
	c.mutex.Lock()
	c.conns = append(c.conns, conn)
	c.mutex.Unlock()
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	k.Send(conn, n)
}

// Close closes all connections.
func (c *Crowd) Close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Silent sends nothing.
func Silent(net.Conn, int) {}

// LongHead sends a head of 90 KB that doesn't end, of many short fields.
func LongHead(conn net.Conn, _ int) {
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
	for n := 0; head.Len() < 90<<10; n++ {
		fmt.Fprintf(&head, "%x:\r\n", n)
	}
	_, _ = conn.Write([]byte(head.String()))
}

// EmptyLines sends empty lines until the connection ends.
func EmptyLines(conn net.Conn, _ int) {
	lines := []byte(strings.Repeat("\r\n", 16<<10))
	for range 256 {
		if _, err := conn.Write(lines); err != nil {
			return
		}
	}
}

// Body returns a kind of client that sends a request whose body stops just short of its declared length. It is sent in
// one piece, or in pieces.
func Body(head string, size, piece int) Sender {
	return func(conn net.Conn, n int) {
		fmt.Fprintf(conn, head+"Content-Length: %d\r\n\r\n", n, size)
		sendPieces(conn, []byte(strings.Repeat(" ", size-3)), piece)
	}
}

// Chunked returns a kind of client that sends a request with a body of chunks of a size, without the last chunk.
func Chunked(head string, size, chunk int) Sender {
	return func(conn net.Conn, n int) {
		fmt.Fprintf(conn, head+"Transfer-Encoding: chunked\r\n\r\n", n)
		one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk))
		sendPieces(conn, []byte(strings.Repeat(one, size/chunk)), 0)
	}
}

func sendPieces(conn net.Conn, data []byte, piece int) {
	if piece == 0 {
		piece = len(data)
	}
	for len(data) > 0 {
		n := min(piece, len(data))
		if _, err := conn.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
}

// Whole returns a kind of client that sends a complete request.
func Whole(head, body string) Sender {
	return func(conn net.Conn, n int) {
		fmt.Fprintf(conn, head+"Content-Length: %d\r\n\r\n%s", n, len(body), body)
	}
}

// Unread returns a kind of client that sends many requests without reading the answers.
func Unread(request string, count int) Sender {
	return func(conn net.Conn, _ int) { _, _ = conn.Write([]byte(strings.Repeat(request, count))) }
}

// Frame returns a kind of client that opens a WebSocket and sends a frame that stops just short of its length.
func Frame(path string, size int) Sender {
	return func(conn net.Conn, _ int) {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"+
			"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n", path)
		// A final binary frame with a length of 64 bits and a mask of zeroes.
		frame := []byte{0x82, 0xff, 0, 0, 0, 0, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size), 0, 0, 0, 0}
		_, _ = conn.Write(append(frame, make([]byte, size-3)...))
	}
}
