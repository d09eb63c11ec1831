package soak_test

import (
	"io"
	"net"
	"testing"
	"time"

	"teaselloft/internal/proof/soak"

	qt "github.com/frankban/quicktest"
)

// Guards against a severed proxy that lets bytes through, delivers those of a sender that has given up, or shows a
// closed connection to the other side.
func TestSever(t *testing.T) {
	c := qt.New(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = target.Close() }()
	p, err := soak.NewProxy(target.Addr().String())
	c.Assert(err, qt.IsNil)
	defer p.Close()
	connect := func() (client, server net.Conn) {
		client, err := net.Dial("tcp", p.Address())
		c.Assert(err, qt.IsNil)
		server, err = target.Accept()
		c.Assert(err, qt.IsNil)
		return client, server
	}
	read := func(from net.Conn, wait time.Duration) (string, error) {
		c.Assert(from.SetReadDeadline(time.Now().Add(wait)), qt.IsNil)
		b := make([]byte, 16)
		n, err := from.Read(b)
		return string(b[:n]), err
	}
	write := func(to net.Conn, s string) {
		_, err := io.WriteString(to, s)
		c.Assert(err, qt.IsNil)
	}
	const silence, limit = 200 * time.Millisecond, 5 * time.Second
	client, server := connect()
	gone, peer := connect()

	p.Sever(func(string) bool { return true })
	later, laterPeer := connect()
	write(client, "a")
	write(server, "b")
	write(gone, "c")
	write(later, "d")
	c.Assert(gone.Close(), qt.IsNil)
	for _, x := range []net.Conn{client, server, peer, laterPeer} {
		got, err := read(x, silence)
		c.Check(got, qt.Equals, "")
		var timeout net.Error
		c.Check(err, qt.ErrorAs, &timeout)
		c.Check(timeout != nil && timeout.Timeout(), qt.IsTrue)
	}

	p.Sever(nil)
	for from, want := range map[net.Conn]string{server: "a", client: "b", laterPeer: "d"} {
		got, err := read(from, limit)
		c.Check(err, qt.IsNil)
		c.Check(got, qt.Equals, want)
	}
	got, err := read(peer, limit)
	c.Check(got, qt.Equals, "")
	c.Check(err, qt.Equals, io.EOF)
}
