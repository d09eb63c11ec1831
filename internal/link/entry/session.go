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

// session is an open link that this entry instance dialed.
type session struct {
	link   *link
	hello  hello // sent to the peer
	conn   *websocket.Conn
	broken chan struct{} // closed when the link is dead
	unlist func()
}

// dial opens a link to an entry instance and exchanges hellos within the handshake time.
func (l *link) dial(name string) (*session, error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.settings.Handshake.Value())
	defer cancel()
	directory := l.directory.Load()
	greeting, err := directory.greet(name)
	if err != nil {
		return nil, err
	}
	if l.cuts.to(name) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	member, _ := directory.Member(name)
	header := http.Header{}
	listen.SetBearer(header, l.settings.Credential)
	conn, _, err := websocket.Dial(ctx, l.scheme+"://"+member.Address+path, &websocket.DialOptions{ //nolint:bodyclose // the library replaces the body
		HTTPClient:   l.client,
		HTTPHeader:   header,
		Subprotocols: []string{protocol},
	})
	if err != nil {
		return nil, err
	}
	if err := exchange(ctx, conn, greeting); err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	s := &session{link: l, hello: greeting, conn: conn, broken: make(chan struct{})}
	s.unlist = l.sessions.add(Session{
		Entry: name, Incarnation: greeting.Target, Direction: "out", Since: time.Now(),
	})
	go s.watch()
	return s, nil
}

// exchange sends a hello and checks that the answer comes from whom it was meant for.
func exchange(ctx context.Context, conn *websocket.Conn, greeting hello) error {
	data, err := encodeHello(greeting)
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
	if answer.Entry != greeting.Peer || answer.Incarnation != greeting.Target {
		return fmt.Errorf("answer of %q: %w", answer.Entry, errIncarnation)
	}
	return nil
}

// watch is the duty that pings the peer until the link is dead.
func (s *session) watch() {
	defer close(s.broken)
	ended := s.conn.CloseRead(context.Background())
	pause := time.NewTicker(s.link.settings.Ping.Value())
	defer pause.Stop()
	for {
		select {
		case <-ended.Done():
			return
		case <-pause.C:
			if err := s.ping(ended); err != nil {
				_ = s.conn.CloseNow()
				return
			}
		}
	}
}

func (s *session) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.link.settings.Pong.Value())
	defer cancel()
	if s.link.cuts.to(s.hello.Peer) {
		<-ctx.Done()
		return errNoPong
	}
	return s.conn.Ping(ctx)
}

// write sends the bytes of one frame.
func (s *session) write(data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.link.settings.Pong.Value())
	defer cancel()
	return s.conn.Write(ctx, websocket.MessageBinary, data)
}

// close ends the link at once.
func (s *session) close() {
	_ = s.conn.CloseNow()
	<-s.broken
	s.unlist()
}

// drain ends the link after the peer has read everything that was written; an error means that frames may be lost.
func (s *session) drain() error {
	limit := time.AfterFunc(s.link.settings.Pong.Value(), func() { _ = s.conn.CloseNow() })
	defer limit.Stop()
	err := s.conn.Close(websocket.StatusNormalClosure, "")
	s.close()
	return err
}
