package site

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a key-value store with conditional transactions, leases and watches.
type Store struct {
	mutex      sync.Mutex
	revision   int64
	items      map[string]item
	history    []item
	dropped    int64 // revision up to which the history was compacted
	leases     map[int64]*lease
	changed    chan struct{}
	refuse     bool
	slow       time.Duration // delay before each call
	applyDelay time.Duration // delay after which an unanswered change is applied if its condition still holds
	loseCount  int           // number of answers to changes still to be lost
	losePrefix string        // lose only answers to changes that write a key with this prefix
	holdPrefix string        // leave changes that write a key with this prefix unanswered, unless it is ""
	writes     int
	reads      map[string]int // calls that read a single item, by key
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), reads: map[string]int{}}
}

// Put writes an item without a condition, as operators and executors do.
func (s *Store) Put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.notifyWatchers()
}

// Remove removes an item.
func (s *Store) Remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.unset(key)
	s.notifyWatchers()
}

// Get returns the value of an item.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

// Refuse sets whether the store answers every call with 503.
func (s *Store) Refuse(refuse bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refuse = refuse
}

// Slow sets the delay before each call.
func (s *Store) Slow(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slow = d
}

// LoseLate makes the store leave the next n changes unanswered and apply them after d if their conditions still hold.
func (s *Store) LoseLate(n int, d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loseCount, s.applyDelay, s.losePrefix = n, d, ""
}

// LoseAnswers makes the store apply the next n changes without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loseCount, s.applyDelay, s.losePrefix = n, 0, ""
}

// LoseAnswersTo is like LoseAnswers but only affects changes that write a key with the given prefix.
func (s *Store) LoseAnswersTo(prefix string, n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loseCount, s.applyDelay, s.losePrefix = n, 0, prefix
}

// Hold makes the store neither apply nor answer changes that write a key with the given prefix. With "", it holds none.
func (s *Store) Hold(prefix string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.holdPrefix = prefix
}

// DropHistory compacts the history, so that watches from an earlier revision get 410 and must list again.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.dropped = nil, s.revision
	s.notifyWatchers()
}

// Writes returns the number of changes that calls have applied.
func (s *Store) Writes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.writes
}

// Reads returns the number of calls that have read the item of a key alone.
func (s *Store) Reads(key string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reads[key]
}

func (s *Store) set(key string, value []byte, id int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: id}
	if before, ok := s.items[key]; ok {
		i.Created = before.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Store) unset(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the handler of the store's HTTP API.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.change)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		refuse, slow := s.refuse, s.slow
		s.mutex.Unlock()
		time.Sleep(slow)
		if refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	s.mutex.Lock()
	s.reads[key]++
	i, ok := s.items[key]
	s.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

// pageSize is the number of items in an answer; it is small so that tests exercise the clients' paging.
const pageSize = 50

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	var found []item
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

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mutex.Lock()
		compacted := after < s.dropped
		var events []item
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
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

type change struct {
	Expected []item   `json:"expected-revision"`
	Write    []item   `json:"write"`
	Remove   []string `json:"remove"`
}

const maxEntries = 32

func (s *Store) change(w http.ResponseWriter, r *http.Request) {
	var c change
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || len(c.Expected)+len(c.Write)+len(c.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	if s.holdPrefix != "" && c.writes(s.holdPrefix) {
		s.mutex.Unlock()
		<-r.Context().Done()
		return
	}
	if s.loseCount > 0 && s.applyDelay > 0 {
		s.loseCount--
		time.AfterFunc(s.applyDelay, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.apply(c)
		})
		s.mutex.Unlock()
		<-r.Context().Done()
		return
	}
	status, answer := s.apply(c)
	lost := s.loseCount > 0 && status == http.StatusOK && c.writes(s.losePrefix)
	if lost {
		s.loseCount--
	}
	s.mutex.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	reply(w, status, answer)
}

// writes reports whether the change writes a key with the given prefix.
func (c change) writes(prefix string) bool {
	return slices.ContainsFunc(c.Write, func(i item) bool { return strings.HasPrefix(i.Key, prefix) })
}

func (s *Store) apply(c change) (int, any) {
	current := []item{}
	holds := true
	for _, e := range c.Expected {
		i, ok := s.items[e.Key]
		holds = holds && i.Revision == e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, x := range c.Write {
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	s.writes++
	for _, x := range c.Write {
		s.set(x.Key, x.Value, x.Lease)
	}
	for _, key := range c.Remove {
		s.unset(key)
	}
	s.notifyWatchers()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

type leaseBody struct {
	Lease int64 `json:"lease"`
	TTL   int64 `json:"ttl-ms"`
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var b leaseBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	s.revision++
	b.Lease = s.revision
	ttl := time.Duration(b.TTL) * time.Millisecond
	s.leases[b.Lease] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expireLease(b.Lease) })}
	s.mutex.Unlock()
	reply(w, http.StatusOK, b)
}

func (s *Store) expireLease(id int64) {
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
	s.notifyWatchers()
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	l, ok := s.leases[id]
	if ok {
		l.timer.Reset(l.ttl)
	}
	s.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, leaseBody{TTL: l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.expireLease(id)
	reply(w, http.StatusOK, nil)
}
