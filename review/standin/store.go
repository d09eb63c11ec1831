package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store.
const (
	pageSize   = 500
	maxEntries = 32
	storeDelay = 4 * time.Millisecond // of an answer
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store stands in for the platform's metadata store.
type store struct {
	mutex    sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
	silent   chan struct{} // closed when the outage ends; nil if the store answers
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// put writes an item as the operator and the workers do.
func (s *store) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.notify()
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.unset(key)
	s.notify()
}

func (s *store) set(key string, value []byte, id int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: id}
	if before, ok := s.items[key]; ok {
		i.Created = before.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// goSilent begins an outage in which no call is answered or carried out. Leases pause.
func (s *store) goSilent() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = make(chan struct{})
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.notify()
}

// answerAgain ends an outage.
func (s *store) answerAgain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.silent)
	s.silent = nil
	for _, l := range s.leases {
		l.timer.Reset(l.ttl)
	}
}

func (s *store) outage() chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silent
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.handleKey)
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	mux.HandleFunc("POST /kv-txn", s.handleTxn)
	mux.HandleFunc("POST /kv-lease", s.handleGrant)
	mux.HandleFunc("POST /kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.handleEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		if end := s.outage(); end != nil {
			hang(r, end)
		}
		mux.ServeHTTP(w, r)
	})
}

// hang leaves a request unanswered until the client gives up or the channel is closed, and then drops the connection.
func hang(r *http.Request, end <-chan struct{}) {
	select {
	case <-r.Context().Done():
	case <-end:
	}
	panic(http.ErrAbortHandler)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mutex.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"at": at})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{i, at})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	at := s.revision
	s.mutex.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageSize
	reply(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageSize)], "has-more": more, "at": at})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mutex.Lock()
		events := []item{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(i item, revision int64) int { return int(i.Revision - revision) })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed, end := s.revision, s.changed, s.silent
		s.mutex.Unlock()
		if end != nil {
			hang(r, end)
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type txn struct {
	Expected []item   `json:"expected-revision"`
	Write    []item   `json:"write"`
	Remove   []string `json:"remove"`
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Write)+len(t.Remove) > maxEntries {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mutex.Lock()
	status, answer := s.apply(t)
	s.mutex.Unlock()
	reply(w, status, answer)
}

func (s *store) apply(t txn) (int, any) {
	current, holds := []item{}, true
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		holds = holds && i.Revision == e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, x := range t.Write {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, x := range t.Write {
		s.set(x.Key, x.Value, x.Lease)
	}
	for _, key := range t.Remove {
		s.unset(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

type leaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttl-ms"`
}

func (s *store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var b leaseBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.TTL < 1000 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mutex.Lock()
	s.revision++
	b.Lease = s.revision
	ttl := time.Duration(b.TTL) * time.Millisecond
	s.leases[b.Lease] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(b.Lease) })}
	s.mutex.Unlock()
	reply(w, http.StatusOK, b)
}

func (s *store) endLease(id int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.unset(key)
		}
	}
	s.notify()
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	l, ok := s.leases[id]
	if ok {
		l.timer.Reset(l.ttl)
	}
	s.mutex.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, leaseBody{TTL: l.ttl.Milliseconds()})
}

func (s *store) handleEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.endLease(id)
	reply(w, http.StatusOK, nil)
}
