package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/protocol/etcd"
	"teaselloft/internal/protocol/instances"
	"teaselloft/internal/standin/roster"
)

// serveList answers with the lagging list, or 304 when the caller's version is current.
func (s *server) serveList(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.admit(w, r, KindList); !ok {
		return
	}
	view, err := ask(r.Context(), s, func(reply *ring.Ring[roster.View]) call {
		return look{reply: reply}
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	tag := fmt.Sprintf("%q", fmt.Sprintf("%s-%d", s.nonce, view.Version))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	write(w, http.StatusOK, view.Instances)
}

func (s *server) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.admit(w, r, KindHeartbeat); !ok {
		return
	}
	var body instances.Heartbeat
	if !decodeBody(w, r, &body) {
		return
	}
	beat := roster.Heartbeat{
		Now:       time.Now(),
		TTL:       time.Duration(body.TTL) * time.Millisecond,
		Instances: body.Instances,
	}
	s.push(w, r, heartbeat{beat: beat})
}

func (s *server) serveControl(w http.ResponseWriter, r *http.Request) {
	var body Control
	if decodeBody(w, r, &body) {
		s.push(w, r, control{change: body})
	}
}

func (s *server) serveCounters(w http.ResponseWriter, r *http.Request) {
	counters, err := ask(r.Context(), s, func(reply *ring.Ring[Counters]) call {
		return count{reply: reply}
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	write(w, http.StatusOK, counters)
}

// decodeBody decodes a body without unknown fields, so that a misspelled fault is noticed.
func decodeBody(w http.ResponseWriter, r *http.Request, body any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(body); err != nil {
		fail(w, etcd.ErrorResponse{Code: etcd.CodeInvalidArgument, Message: err.Error()})
		return false
	}
	return true
}

// push hands a call without an answer to the store duty; later calls see its effect.
func (s *server) push(w http.ResponseWriter, r *http.Request, c call) {
	if err := s.calls.Push(r.Context(), c); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}
