package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"teaselloft/internal/link/entry"
	"teaselloft/internal/model/record"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
)

type helloBody struct{ Entry, Incarnation, Peer, Target string }

func hello(c *qt.C, from, incarnation, to, target string) []byte {
	return marshal(c, envelope{Kind: "hello", Body: helloBody{from, incarnation, to, target}})
}

// dial opens a WebSocket connection to a node without a hello and returns the HTTP status of the handshake.
func dial(c *qt.C, n *node, token string) (*websocket.Conn, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, "ws://"+n.address+"/entry", &websocket.DialOptions{
		HTTPHeader:   http.Header{"Authorization": {"Bearer " + token}},
		Subprotocols: []string{"teaselloft.1"},
	})
	if err == nil {
		c.Cleanup(func() { _ = conn.CloseNow() })
	}
	if resp == nil {
		return conn, 0, err
	}
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	return conn, resp.StatusCode, err
}

// closeStatus reads until the link closes and returns the status of the close.
func closeStatus(c *qt.C, conn *websocket.Conn) websocket.StatusCode {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		if _, _, err := conn.Read(ctx); err != nil {
			c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("the link stayed open"))
			return websocket.CloseStatus(err)
		}
	}
}

// Guards against links from processes that do not belong to the site.
func TestCredentialIsRequired(t *testing.T) {
	c := qt.New(t)
	_, b := startPair(t, "")
	for _, token := range []string{"", "wrong", credential + "x", credential[:len(credential)-1]} {
		_, code, err := dial(c, b, token)
		c.Assert(err, qt.IsNotNil)
		c.Check(code, qt.Equals, http.StatusUnauthorized)
	}
	c.Check(b.count("unauthorized"), qt.Equals, int64(4))
}

// Guards against frames from a peer whose hello does not match the member records.
func TestHelloIsChecked(t *testing.T) {
	c := qt.New(t)
	a, b := startPair(t, `,"handshake":"300ms"`)
	frame, err := entry.Encode(gather(1), time.Now())
	c.Assert(err, qt.IsNil)
	for name, first := range map[string][]byte{
		"no hello":          frame,
		"unknown entry":     hello(c, "x", "1", b.name, "1"),
		"other incarnation": hello(c, a.name, "0", b.name, "1"),
		"other peer":        hello(c, a.name, "1", "x", "1"),
		"other target":      hello(c, a.name, "1", b.name, "0"),
		"silence":           nil,
	} {
		conn, _, err := dial(c, b, credential)
		c.Assert(err, qt.IsNil)
		if first != nil {
			c.Assert(conn.Write(context.Background(), websocket.MessageBinary, first), qt.IsNil)
			_ = conn.Write(context.Background(), websocket.MessageBinary, frame)
		}
		code := closeStatus(c, conn)
		c.Check(code == websocket.StatusPolicyViolation || first == nil, qt.IsTrue, qt.Commentf("%s: %v", name, code))
	}
	c.Check(b.received(a.name), qt.HasLen, 0)
	eventually(c, "refusals counted", func() bool { return b.count("refused") == 6 })
}

// Guards against invalid frames that are ignored, which the sender would treat as delivered.
func TestInvalidFramesCloseTheLink(t *testing.T) {
	c := qt.New(t)
	a, b := startPair(t, "")
	for name, test := range map[string]struct {
		data    []byte
		code    websocket.StatusCode
		counter string
	}{
		"malformed": {[]byte("not a frame"), websocket.StatusInvalidFramePayloadData, "malformed"},
		"unknown":   {marshal(c, envelope{Kind: "other", Body: 1}), websocket.StatusUnsupportedData, "unknown"},
		"hello":     {hello(c, a.name, "1", b.name, "1"), websocket.StatusUnsupportedData, "unknown"},
		"oversized": {[]byte(strings.Repeat("x", 64<<10+1)), websocket.StatusMessageTooBig, "oversized"},
	} {
		conn, _, err := dial(c, b, credential)
		c.Assert(err, qt.IsNil)
		before := b.count(test.counter)
		c.Assert(conn.Write(context.Background(), websocket.MessageBinary, hello(c, a.name, "1", b.name, "1")), qt.IsNil)
		_ = conn.Write(context.Background(), websocket.MessageBinary, test.data)
		c.Check(closeStatus(c, conn), qt.Equals, test.code, qt.Commentf("%s", name))
		eventually(c, "count of "+name, func() bool { return b.count(test.counter) == before+1 })
	}
	c.Check(b.received(a.name), qt.HasLen, 0)
}

// Guards against a link to a frozen peer, as under SIGSTOP, that stays up. Pings detect the peer within 1 s; the test
// allows 5 s.
func TestFrozenPeerIsDetected(t *testing.T) {
	c := qt.New(t)
	a := start(t, t.Name(), "")
	frozen, thaw := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{"teaselloft.1"}})
		if err != nil {
			return
		}
		defer func() { _ = conn.CloseNow() }()
		if _, _, err := conn.Read(r.Context()); err != nil {
			return
		}
		_ = conn.Write(r.Context(), websocket.MessageBinary, marshal(c, envelope{Kind: "hello", Body: helloBody{"frozen", "1", a.name, "1"}}))
		select {
		case frozen <- struct{}{}:
		default:
		}
		<-thaw // reads nothing, so it answers no ping
	}))
	defer server.Close()
	defer close(thaw)
	a.publish(c, false, a.member("1"), record.Member{Entry: "frozen", Incarnation: "1", Address: strings.TrimPrefix(server.URL, "http://")})
	a.send(c, "frozen", gather(1))
	<-frozen
	started := time.Now()
	eventually(c, "down", func() bool { return len(a.linkReports("frozen")) >= 2 })
	c.Logf("detected after %s", time.Since(started))
	c.Check(a.linkReports("frozen")[:2], qt.DeepEquals, []bool{true, false})
	c.Check(time.Since(started) < 5*time.Second, qt.IsTrue, qt.Commentf("detected only after %s", time.Since(started)))
}

// Guards against a link that stays open although nothing arrives on it.
func TestSilentLinkIsClosed(t *testing.T) {
	c := qt.New(t)
	a, b := startPair(t, `,"silence":"200ms"`)
	conn, _, err := dial(c, b, credential)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.Write(context.Background(), websocket.MessageBinary, hello(c, a.name, "1", b.name, "1")), qt.IsNil)
	closeStatus(c, conn)
	eventually(c, "no link", func() bool { return len(links(c, b)) == 0 })
}
