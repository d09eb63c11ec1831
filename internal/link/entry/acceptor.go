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

// acceptor serves the links that other entry instances dial.
type acceptor struct {
	link    *link
	base    context.Context // of the readers; it ends with the accepting duty
	cancel  context.CancelFunc
	readers sync.WaitGroup
}

func newAcceptor(l *link) *acceptor {
	a := &acceptor{link: l}
	a.base, a.cancel = context.WithCancel(context.Background())
	return a
}

// wait ends the readers, whose connections the HTTP server no longer knows.
func (a *acceptor) wait() {
	a.cancel()
	a.readers.Wait()
}

// ServeHTTP performs the handshake; its goroutine is then the link's reader duty.
func (a *acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != path {
		http.NotFound(w, r)
		return
	}
	if !listen.Authorized(r, a.link.settings.Credential) {
		a.link.meters.unauthorized.Inc(1)
		a.link.log.Warn("refusing a link without the credential", "event", "entry.unauthorized", "remote", r.RemoteAddr)
		http.Error(w, "credential is missing or wrong", http.StatusUnauthorized)
		return
	}
	a.readers.Add(1)
	defer a.readers.Done()
	in := &incoming{link: a.link, remote: r.RemoteAddr}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		Subprotocols:   []string{protocol},
		OnPingReceived: in.pinged,
	})
	if err != nil {
		a.link.meters.refused.Inc(1)
		return
	}
	in.conn = conn
	in.silence = time.AfterFunc(a.link.settings.Silence.Value(), func() { _ = conn.CloseNow() })
	defer in.silence.Stop()
	defer func() { _ = conn.CloseNow() }()
	in.serve(a.base)
}

// incoming is an open link that another entry instance dialed.
type incoming struct {
	link    *link
	remote  string
	conn    *websocket.Conn
	silence *time.Timer
	hello   hello // received; zero until then
}

// serve reads frames in order until the link ends.
func (i *incoming) serve(ctx context.Context) {
	if err := i.greet(ctx); err != nil {
		i.link.meters.refused.Inc(1)
		i.link.log.Warn("refusing a link", "event", "entry.refused", "remote", i.remote, "error", err)
		_ = i.conn.Close(websocket.StatusPolicyViolation, "hello refused")
		return
	}
	unlist := i.link.sessions.add(Session{
		Entry: i.hello.Entry, Incarnation: i.hello.Incarnation, Direction: "in", Since: time.Now(),
	})
	defer unlist()
	for {
		status, err := i.next(ctx)
		if err == nil {
			continue
		}
		if status != 0 {
			i.link.log.Warn("closing a link", "event", "entry.closed", "peer", i.hello.Entry, "error", err)
			_ = i.conn.Close(status, "")
		}
		return
	}
}

// greet reads the peer's hello, checks it and answers it.
func (i *incoming) greet(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, i.link.settings.Handshake.Value())
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
	answer, err := i.link.directory.Load().accept(h)
	if err != nil {
		return err
	}
	if i.link.cuts.from(h.Entry) {
		<-ctx.Done()
		return ctx.Err()
	}
	if data, err = encodeHello(answer); err != nil {
		return err
	}
	i.hello = h
	return i.conn.Write(ctx, websocket.MessageBinary, data)
}

// next passes on one frame; a status other than 0 says how to close the link.
func (i *incoming) next(ctx context.Context) (websocket.StatusCode, error) {
	_, data, err := i.conn.Read(ctx)
	if err != nil {
		if errors.Is(err, websocket.ErrMessageTooBig) {
			i.link.meters.oversized.Inc(1)
			return websocket.StatusMessageTooBig, err
		}
		return 0, err
	}
	i.silence.Reset(i.link.settings.Silence.Value())
	if i.link.directory.Load().outdated(i.hello) {
		i.link.meters.refused.Inc(1)
		return websocket.StatusPolicyViolation, errIncarnation
	}
	f, err := Decode(data, time.Now())
	if err != nil {
		return i.undecodable(err), err
	}
	if i.link.cuts.from(i.hello.Entry) {
		i.link.meters.cut.Inc(1)
		return 0, nil
	}
	i.link.meters.received.Inc(1)
	// A routing duty that does not keep up slows the peer down instead of losing its frame.
	if err := i.link.route.PushWait(ctx, message.FrameReceived{From: i.hello.Entry, Frame: f}); err != nil {
		i.link.meters.lost.Inc(1)
		return 0, err
	}
	return 0, nil
}

func (i *incoming) undecodable(err error) websocket.StatusCode {
	if errors.Is(err, ErrUnknownKind) {
		i.link.meters.unknown.Inc(1)
		return websocket.StatusUnsupportedData
	}
	i.link.meters.malformed.Inc(1)
	return websocket.StatusInvalidFramePayloadData
}

// pinged notes a sign of life; a peer that is cut off gets no pong.
func (i *incoming) pinged(context.Context, []byte) bool {
	if i.silence != nil {
		i.silence.Reset(i.link.settings.Silence.Value())
	}
	return i.hello.Entry == "" || !i.link.cuts.from(i.hello.Entry)
}
