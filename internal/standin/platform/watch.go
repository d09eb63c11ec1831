package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/protocol/etcd"
	"teaselloft/internal/standin/keyvalue"

	"github.com/rcrowley/go-metrics"
)

// sinkCapacity is the number of undelivered messages after which a watch is ended.
const sinkCapacity = 1024

// serveWatch streams the messages of one watch until either side ends it.
func (s *server) serveWatch(process context.Context, w http.ResponseWriter, r *http.Request) {
	serve, ok := s.admit(w, r, KindWatch)
	if !ok {
		return
	}
	var request etcd.WatchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&request); err != nil {
		fail(w, decodeFailure(err))
		return
	}
	if !delay(r.Context(), serve.Delay) {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancelCause(r.Context()) // ends with the process too
	defer cancel(nil)
	o := open{
		watch: keyvalue.Watch{
			ID:    s.watches.Add(1),
			Key:   string(request.Create.Key),
			End:   string(request.Create.RangeEnd),
			Start: request.Create.StartRevision,
		},
		sink:   ring.New[keyvalue.Effect]("watch", sinkCapacity, ring.Refuse, metrics.NewRegistry()),
		cancel: cancel,
	}
	if err := s.calls.Push(ctx, o); err != nil {
		panic(http.ErrAbortHandler)
	}
	// The watch must leave the store even though its own context has ended.
	defer func() { _ = s.calls.Push(process, leave{watch: o.watch.ID}) }()
	w.Header().Set("Content-Type", "application/json")
	s.stream(ctx, w, o, request.Create.ProgressNotify)
}

// stream returns when the watch was cancelled by the store and aborts the connection when it broke.
func (s *server) stream(ctx context.Context, w http.ResponseWriter, o open, notify bool) {
	ticker := time.NewTicker(s.progress)
	defer ticker.Stop()
	ticks := ticker.C
	if !notify {
		ticks = nil
	}
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	for {
		select {
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-ticks:
			if err := s.calls.Push(ctx, progress{watch: o.watch.ID}); err != nil {
				panic(http.ErrAbortHandler)
			}
		case e := <-o.sink.Items():
			m := encodeWatch(e)
			if encoder.Encode(etcd.WatchMessage{Result: &m}) != nil || controller.Flush() != nil {
				panic(http.ErrAbortHandler)
			}
			if m.Canceled {
				return
			}
		}
	}
}

func encodeWatch(e keyvalue.Effect) etcd.WatchResponse {
	switch e := e.(type) {
	case keyvalue.Opened:
		return etcd.WatchResponse{Header: header(e.Revision), Created: true}
	case keyvalue.Cancelled:
		return etcd.WatchResponse{Canceled: true, CompactRevision: e.Compacted}
	case keyvalue.Notify:
		r := etcd.WatchResponse{Header: header(e.Revision)}
		for _, event := range e.Events {
			r.Events = append(r.Events, encodeEvent(event))
		}
		return r
	case keyvalue.Pairs, keyvalue.Swapped, keyvalue.Leased, keyvalue.Revoked, keyvalue.Failed:
		panic(fmt.Sprintf("platform stand-in: %T answers no watch", e))
	default:
		panic(fmt.Sprintf("platform stand-in: unknown effect %T", e))
	}
}

func encodeEvent(e keyvalue.Event) etcd.Event {
	wire := etcd.Event{Pair: encodePair(e.Pair)}
	if e.Deleted {
		wire.Type = etcd.EventDelete
	}
	return wire
}
