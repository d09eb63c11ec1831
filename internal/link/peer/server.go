package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"teaselloft/internal/core/listen"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

// accept serves the calls of one connection until it breaks.
func (l *link) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		l.log.Debug("connection not accepted", "event", "peer.refused", "from", r.RemoteAddr, "error", err)
		return
	}
	conn.SetReadLimit(maxFrameSize)
	ctx, cancel := context.WithCancel(listen.Attach(context.Background(), r)) // the connection outlives the HTTP request
	defer cancel()
	var calls sync.WaitGroup
	defer calls.Wait()
	defer func() { _ = conn.CloseNow() }()
	slots := make(chan struct{}, maxConcurrentCalls)
	for {
		_, frame, err := conn.Reader(ctx)
		if err != nil {
			return
		}
		message, err := listen.ReadMessage(ctx, frame)
		if err != nil {
			return
		}
		var req request
		if err := cbor.Unmarshal(message.Data, &req); err != nil {
			message.Release()
			l.log.Warn("invalid frame", "event", "peer.unreadable", "from", r.RemoteAddr, "error", err)
			return
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			defer message.Release()
			callCtx, cancel := context.WithTimeout(ctx, min(req.Timeout, maxCallTimeout))
			defer cancel()
			_ = writeFrame(ctx, conn, encode(l.serve(callCtx, req))) // the caller then has an unknown outcome
		})
	}
}

// writeFrame sends a frame and closes the connection if that fails. After an error the other side has no complete frame.
func writeFrame(ctx context.Context, conn *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := conn.Write(ctx, websocket.MessageBinary, data)
	if err != nil {
		_ = conn.CloseNow()
	}
	return err
}

// keepAlive pings a connection and closes it when a ping is not answered.
func keepAlive(ctx context.Context, conn *websocket.Conn) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
			err := conn.Ping(pingCtx)
			cancel()
			if err != nil {
				_ = conn.CloseNow()
				return
			}
		}
	}
}
