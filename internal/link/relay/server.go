package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"teaselloft/internal/core/guard"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/listen"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
	"teaselloft/internal/protocol/executor"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
)

// session serves the calls of one owner.
type session struct {
	link     *link
	conn     *websocket.Conn
	dialer   dialer
	channels map[uint32]*executor.Channel // by key; used only by read
	replies  *ring.Ring[*port.ExecutorReply]
}

var errNoDialer = errors.New("no plug-in provides an executor dialer")

// accept serves an owner until its connection breaks.
func (l *link) accept(w http.ResponseWriter, r *http.Request) {
	platform, ok := kernel.Use[port.ExecutorDialer](l.host)
	if !ok {
		http.Error(w, errNoDialer.Error(), http.StatusServiceUnavailable)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		l.log.Debug("connection not accepted", "event", "relay.refused", "from", r.RemoteAddr, "error", err)
		return
	}
	conn.SetReadLimit(maxFrameSize)
	s := &session{
		link: l, conn: conn, dialer: dialer{executors: l.executors, platform: platform}, channels: map[uint32]*executor.Channel{},
		replies: ring.New[*port.ExecutorReply]("relay.replies", replyCapacity, ring.Block, metrics.NewRegistry()),
	}
	ctx, cancel := context.WithCancel(listen.Attach(context.Background(), r)) // the connection outlives the HTTP request
	var group run.Group
	group.Add(func() error { return s.read(ctx) }, func(error) { cancel() })
	group.Add(func() error { return s.write(ctx) }, func(error) { cancel() })
	err = group.Run()
	_ = conn.CloseNow()
	l.log.Info("owner disconnected", "event", "relay.closed", "from", r.RemoteAddr, "executors", len(s.channels), "reason", err)
}

// read passes calls on to their executors. A frame that cannot be used ends the session, and its owner then calls the
// executors in another way.
func (s *session) read(ctx context.Context) error {
	defer func() {
		for _, c := range s.channels {
			c.Close()
		}
	}()
	for {
		if err := s.readFrame(ctx); err != nil {
			return err
		}
	}
}

func (s *session) readFrame(ctx context.Context) error {
	_, frame, err := s.conn.Reader(ctx)
	if err != nil {
		return err
	}
	message, err := listen.ReadMessage(ctx, frame)
	if err != nil {
		return err
	}
	defer message.Release()
	var f callFrame
	if err := cbor.Unmarshal(message.Data, &f); err != nil {
		return fmt.Errorf("%w: %w", errFrame, err)
	}
	var handleErr error
	if err := guard.Call(func() { handleErr = s.handle(ctx, f) }); err != nil {
		return err
	}
	return handleErr
}

func (s *session) handle(ctx context.Context, f callFrame) error {
	for _, key := range f.Dropped {
		if c, ok := s.channels[key]; ok {
			c.Close()
			delete(s.channels, key)
		}
	}
	for _, o := range f.Opened {
		if c, ok := s.channels[o.Key]; ok {
			c.Close()
		}
		s.channels[o.Key] = executor.Open(ctx, s.dialer, site.Executor{ID: o.ID, Address: o.Address}, func(r port.ExecutorReply) { s.reply(ctx, r) })
	}
	for _, x := range f.Calls {
		c, err := x.model()
		if err != nil {
			return err
		}
		c = c.WithSerial(x.Serial)
		channel, ok := s.channels[x.Key]
		if !ok {
			s.reply(ctx, port.ExecutorReply{Call: c, Err: port.ErrNotConnected})
			continue
		}
		if err := channel.Send(c); err != nil {
			s.reply(ctx, port.ExecutorReply{Call: c, Err: err})
		}
	}
	s.link.calls.Inc(int64(len(f.Calls)))
	return nil
}

// reply queues a reply. It waits while the owner does not read.
func (s *session) reply(ctx context.Context, r port.ExecutorReply) {
	_ = s.replies.PushWait(ctx, &r) // fails only when the session ends
}

// write sends the queued replies, those that wait together in one frame.
func (s *session) write(ctx context.Context) error {
	for {
		r, err := s.replies.Pull(ctx)
		if err != nil {
			return err
		}
		f := replyFrame{Replies: []reply{toReply(r.Call.Serial, *r)}}
		for len(f.Replies) < maxBatch && s.replies.Len() > 0 {
			r := <-s.replies.Items()
			f.Replies = append(f.Replies, toReply(r.Call.Serial, *r))
		}
		if err := write(ctx, s.conn, encode(f)); err != nil {
			return err
		}
	}
}

func write(ctx context.Context, conn *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}
