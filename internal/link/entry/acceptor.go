package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"teaselloft/internal/core/listen"
	"teaselloft/internal/model/message"

	"github.com/coder/websocket"
)

// acceptor serves the links that other entry instances open.
type acceptor struct {
	link    *link
	base    context.Context // parent of the readers' contexts; canceled when the accepting duty ends
	cancel  context.CancelFunc
	readers sync.WaitGroup
}

func newAcceptor(l *link) *acceptor {
	a := &acceptor{link: l}
	a.base, a.cancel = context.WithCancel(context.Background())
	return a
}

// stop ends the readers and waits for them, since the HTTP server no longer tracks their hijacked connections.
func (a *acceptor) stop() {
	a.cancel()
	a.readers.Wait()
}

// ServeHTTP performs the WebSocket handshake; its goroutine is then the reader duty of the link.
func (a *acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != handshakePath {
		http.NotFound(w, r)
		return
	}
	if !listen.Authorized(r, a.link.settings.Credential) {
		a.link.meters.unauthorized.Inc(1)
		a.link.log.Warn("rejected a link: credential missing or wrong", "event", "entry.unauthorized", "remote", r.RemoteAddr)
		http.Error(w, "credential is missing or wrong", http.StatusUnauthorized)
		return
	}
	a.readers.Add(1)
	defer a.readers.Done()
	in := &incoming{link: a.link, remote: r.RemoteAddr}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		Subprotocols:   []string{subprotocol},
		OnPingReceived: in.onPing,
	})
	if err != nil {
		a.link.meters.refused.Inc(1)
		return
	}
	in.conn = conn
	in.readTimer = time.AfterFunc(a.link.settings.ReadIdleTimeout.Value(), func() { _ = conn.CloseNow() })
	defer in.readTimer.Stop()
	defer func() { _ = conn.CloseNow() }()
	in.serve(a.base)
}

// incoming is an open link that another entry instance opened.
type incoming struct {
	link      *link
	remote    string
	conn      *websocket.Conn
	readTimer *time.Timer
	hello     hello // sent by the peer; zero until the handshake is complete
}

// serve reads frames in order until the link closes.
func (i *incoming) serve(ctx context.Context) {
	if err := i.handshake(ctx); err != nil {
		i.link.meters.refused.Inc(1)
		i.link.log.Warn("rejected a link: handshake failed", "event", "entry.refused", "remote", i.remote, "error", err)
		_ = i.conn.Close(websocket.StatusPolicyViolation, "hello refused")
		return
	}
	unregister := i.link.links.add(LinkInfo{
		Entry: i.hello.Entry, Incarnation: i.hello.Incarnation, Direction: "in", Since: time.Now(),
	})
	defer unregister()
	for {
		status, err := i.readFrame(ctx)
		if err == nil {
			continue
		}
		if status != 0 {
			i.link.log.Warn("rejected a frame: closing the link", "event", "entry.closed", "peer", i.hello.Entry, "error", err)
			_ = i.conn.Close(status, "")
		}
		return
	}
}

// handshake reads the peer's hello, checks it against the member records and answers it.
func (i *incoming) handshake(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, i.link.settings.HandshakeTimeout.Value())
	defer cancel()
	i.conn.SetReadLimit(maxFrame)
	_, data, err := i.conn.Read(ctx)
	if err != nil {
		return err
	}
	h, err := decodeHello(data)
	if err != nil {
		return err
	}
	answer, err := i.link.directory.Load().checkHello(h)
	if err != nil {
		return err
	}
	if i.link.partitions.dropsFrom(h.Entry) {
		<-ctx.Done()
		return ctx.Err()
	}
	if data, err = encodeHello(answer); err != nil {
		return err
	}
	i.hello = h
	return i.conn.Write(ctx, websocket.MessageBinary, data)
}

// readFrame reads one frame and passes it to the routing duty. On an error, a status other than 0 is the status
// with which to close the link; with 0 the link is already unusable.
func (i *incoming) readFrame(ctx context.Context) (websocket.StatusCode, error) {
	_, data, err := i.conn.Read(ctx)
	if err != nil {
		if errors.Is(err, websocket.ErrMessageTooBig) {
			i.link.meters.oversized.Inc(1)
			return websocket.StatusMessageTooBig, err
		}
		return 0, err
	}
	i.readTimer.Reset(i.link.settings.ReadIdleTimeout.Value())
	if i.link.directory.Load().outdated(i.hello) {
		i.link.meters.refused.Inc(1)
		return websocket.StatusPolicyViolation, errIncarnation
	}
	f, err := Decode(data, time.Now())
	if err != nil {
		return i.closeStatus(err), err
	}
	if i.link.partitions.dropsFrom(i.hello.Entry) {
		i.link.meters.partitioned.Inc(1)
		return 0, nil
	}
	i.link.meters.received.Inc(1)
	// A full ring blocks the reader and so slows the peer down; dropping the frame would lose it.
	if err := i.link.route.PushWait(ctx, message.FrameReceived{From: i.hello.Entry, Frame: f}); err != nil {
		i.link.meters.lost.Inc(1)
		return 0, err
	}
	return 0, nil
}

// closeStatus counts an invalid frame and returns the status with which to close the link.
func (i *incoming) closeStatus(err error) websocket.StatusCode {
	if errors.Is(err, ErrUnknownKind) {
		i.link.meters.unknown.Inc(1)
		return websocket.StatusUnsupportedData
	}
	i.link.meters.malformed.Inc(1)
	return websocket.StatusInvalidFramePayloadData
}

// onPing restarts the read timer and reports whether to answer the ping: a partitioned peer gets no pong.
func (i *incoming) onPing(context.Context, []byte) bool {
	if i.readTimer != nil {
		i.readTimer.Reset(i.link.settings.ReadIdleTimeout.Value())
	}
	return i.hello.Entry == "" || !i.link.partitions.dropsFrom(i.hello.Entry)
}
