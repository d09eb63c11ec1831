package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

// accept serves the calls of one link until it breaks.
func (l *link) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		l.log.Debug("link was not opened", "event", "peer.refused", "from", r.RemoteAddr, "error", err)
		return
	}
	conn.SetReadLimit(maxFrame)
	ctx, cancel := context.WithCancel(context.Background()) // a link outlives the HTTP request that opened it
	defer cancel()
	var calls sync.WaitGroup
	defer calls.Wait()
	defer func() { _ = conn.CloseNow() }()
	slots := make(chan struct{}, callsAtOnce)
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		var q request
		if err := cbor.Unmarshal(data, &q); err != nil {
			l.log.Warn("frame cannot be read", "event", "peer.unreadable", "from", r.RemoteAddr, "error", err)
			return
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			limit, cancel := context.WithTimeout(ctx, q.Limit)
			defer cancel()
			write(ctx, conn, encode(l.serve(limit, q)))
		})
	}
}

// write sends a frame; a link that does not take it breaks.
func write(ctx context.Context, conn *websocket.Conn, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		_ = conn.CloseNow()
	}
}

// keep pings a link and breaks it when no answer comes.
func keep(ctx context.Context, conn *websocket.Conn) {
	pause := time.NewTicker(pingEvery)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
			ping, cancel := context.WithTimeout(ctx, pingTimeout)
			err := conn.Ping(ping)
			cancel()
			if err != nil {
				_ = conn.CloseNow()
				return
			}
		}
	}
}
