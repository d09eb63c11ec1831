package site

import (
	"context"
	"net/http"
	"sync"
)

// Gate is an access to a store that can be closed while others stay open, so that the store refuses only some daemons.
type Gate struct {
	handler http.Handler

	mutex  sync.Mutex // guards the fields below
	closed bool
	open   context.Context // ends when the gate closes
	end    context.CancelFunc
}

// NewGate returns an open gate in front of the store.
func (s *Store) NewGate() *Gate {
	g := &Gate{handler: s.Handler()}
	g.open, g.end = context.WithCancel(context.Background())
	return g
}

// Refuse sets whether each call, and each watch that waits, is answered with 503.
func (g *Gate) Refuse(refuse bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.end()
	g.closed = refuse
	g.open, g.end = context.WithCancel(context.Background())
	if refuse {
		g.end()
	}
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mutex.Lock()
	closed, open := g.closed, g.open
	g.mutex.Unlock()
	if closed {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(open, cancel)()
	answer := &gateWriter{ResponseWriter: w, open: open}
	g.handler.ServeHTTP(answer, r.WithContext(ctx))
	if !answer.begun {
		answer.WriteHeader(http.StatusOK)
	}
}

// gateWriter refuses an answer that begins after the gate has closed.
type gateWriter struct {
	http.ResponseWriter
	open  context.Context
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (g *gateWriter) WriteHeader(status int) {
	g.begun = true
	if g.open.Err() != nil {
		status = http.StatusServiceUnavailable
	}
	g.ResponseWriter.WriteHeader(status)
}
