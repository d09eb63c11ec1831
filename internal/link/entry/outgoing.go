package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"teaselloft/internal/core/listen"

	"github.com/coder/websocket"
)

var errNoPong = errors.New("no pong arrived in time")

// outgoing is an open link that this entry instance opened.
type outgoing struct {
	link       *link
	hello      hello // sent to the peer
	conn       *websocket.Conn
	broken     chan struct{} // closed when the connection has failed or was closed
	unregister func()
}

// dial opens a link to an entry instance and exchanges hellos, both within the handshake timeout.
func (l *link) dial(name string) (*outgoing, error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.settings.HandshakeTimeout.Value())
	defer cancel()
	directory := l.directory.Load()
	own, err := directory.helloTo(name)
	if err != nil {
		return nil, err
	}
	if l.partitions.dropsTo(name) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	member, _ := directory.Member(name)
	header := http.Header{}
	listen.SetBearer(header, l.settings.Credential)
	conn, _, err := websocket.Dial(ctx, l.scheme+"://"+member.Address+handshakePath, &websocket.DialOptions{ //nolint:bodyclose // the library replaces the body
		HTTPClient:   l.client,
		HTTPHeader:   header,
		Subprotocols: []string{subprotocol},
	})
	if err != nil {
		return nil, err
	}
	if err := exchangeHellos(ctx, conn, own); err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	o := &outgoing{link: l, hello: own, conn: conn, broken: make(chan struct{})}
	o.unregister = l.links.add(LinkInfo{
		Entry: name, Incarnation: own.Target, Direction: "out", Since: time.Now(),
	})
	go o.keepAlive()
	return o, nil
}

// exchangeHellos sends a hello and checks that the answer comes from the expected incarnation of the peer.
func exchangeHellos(ctx context.Context, conn *websocket.Conn, own hello) error {
	data, err := encodeHello(own)
	if err != nil {
		return err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return err
	}
	_, data, err = conn.Read(ctx)
	if err != nil {
		return err
	}
	answer, err := decodeHello(data)
	if err != nil {
		return err
	}
	if answer.Entry != own.Peer || answer.Incarnation != own.Target {
		return fmt.Errorf("answer of %q: %w", answer.Entry, errIncarnation)
	}
	return nil
}

// keepAlive is the duty that pings the peer until the connection is closed or a ping is not answered in time.
func (o *outgoing) keepAlive() {
	defer close(o.broken)
	closed := o.conn.CloseRead(context.Background())
	ticker := time.NewTicker(o.link.settings.PingInterval.Value())
	defer ticker.Stop()
	for {
		select {
		case <-closed.Done():
			return
		case <-ticker.C:
			if err := o.ping(closed); err != nil {
				_ = o.conn.CloseNow()
				return
			}
		}
	}
}

func (o *outgoing) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, o.link.settings.PongTimeout.Value())
	defer cancel()
	if o.link.partitions.dropsTo(o.hello.Peer) {
		<-ctx.Done()
		return errNoPong
	}
	return o.conn.Ping(ctx)
}

// write sends the bytes of one frame.
func (o *outgoing) write(data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), o.link.settings.PongTimeout.Value())
	defer cancel()
	return o.conn.Write(ctx, websocket.MessageBinary, data)
}

// close closes the connection without a closing handshake.
func (o *outgoing) close() {
	_ = o.conn.CloseNow()
	<-o.broken
	o.unregister()
}

// drain closes the link after the peer has read everything written. An error means that frames may be lost.
func (o *outgoing) drain() error {
	timeout := time.AfterFunc(o.link.settings.PongTimeout.Value(), func() { _ = o.conn.CloseNow() })
	defer timeout.Stop()
	err := o.conn.Close(websocket.StatusNormalClosure, "")
	o.close()
	return err
}
