package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// DefaultWork is how long a task runs whose spec is not a duration.
const DefaultWork = 200 * time.Millisecond

// Start is a task that an executor has begun.
type Start struct {
	Executor string
	Task     string
	Run      uint64
	At       time.Time
}

// Executor is one life of an instance; a task's spec says how long it runs, and "fail" that it fails.
type Executor struct {
	ID      string
	server  *http.Server
	address string
	born    time.Time
	started func(Start)

	mutex    sync.Mutex
	fence    uint64
	number   uint64
	runs     map[string]*work
	ends     [][]any
	finished map[string]uint64
	changed  chan struct{}
	silent   bool
}

type work struct {
	run   uint64
	timer *time.Timer
}

// NewExecutor starts an executor on a loopback port; started is called at each start of a task.
func NewExecutor(id string, started func(Start)) (*Executor, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // binding an address does not wait
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e := &Executor{
		ID: id, address: listener.Addr().String(), born: time.Now(), started: started,
		runs: map[string]*work{}, finished: map[string]uint64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.start)
	mux.HandleFunc("POST /run-stop", e.stop)
	mux.HandleFunc("POST /pace", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, e.clock()) })
	mux.HandleFunc("POST /hold", e.hold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(listener) }() // ends with Close
	return e, nil
}

// Close ends the executor and all that runs on it.
func (e *Executor) Close() {
	_ = e.server.Close() // its connections are dropped on purpose
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, w := range e.runs {
		w.timer.Stop()
	}
	e.runs = map[string]*work{}
}

// Silence makes the executor leave all calls unanswered, or answer again.
func (e *Executor) Silence(silent bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.silent = silent
}

// Entry returns what the executor writes to the store about itself.
func (e *Executor) Entry(pool, instance, rack string, cpu int) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,`+
		`"capacity":{"cpu":%d,"mem-mb":65536,"gpu":0},"labels":["a",%q],"machine":%q,"born":%d,"sequence":1}`,
		pool, e.address, cpu, rack, instance, e.born.UnixMilli())
}

func (e *Executor) clock() map[string]any {
	return map[string]any{"clock-ms": time.Since(e.born).Milliseconds(), "born": e.born.UnixMilli()}
}

type orderBody struct {
	Task  string `json:"task"`
	Run   uint64 `json:"run-id"`
	Spec  string `json:"spec"`
	Fence uint64 `json:"fencing-token"`
	Ack   uint64 `json:"ack-seq"`
	Wait  int64  `json:"wait-ms"`
}

// take decodes an order and checks its fence; it has answered when ok is false.
func (e *Executor) take(w http.ResponseWriter, r *http.Request) (b orderBody, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return b, false
	}
	if life := r.Header.Get("X-Teaselloft-Expect-Instance"); life != "" && life != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return b, false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.silent {
		e.mutex.Unlock()
		<-r.Context().Done()
		e.mutex.Lock()
		return b, false
	}
	if b.Fence < e.fence {
		e.refuse(w, "fence")
		return b, false
	}
	e.fence = b.Fence
	return b, true
}

func (e *Executor) refuse(w http.ResponseWriter, reason string) {
	answer := e.clock()
	answer["reason"] = reason
	reply(w, http.StatusConflict, answer)
}

func (e *Executor) start(w http.ResponseWriter, r *http.Request) {
	b, ok := e.take(w, r)
	if !ok {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if x, ok := e.runs[b.Task]; ok && x.run == b.Run {
		reply(w, http.StatusOK, e.clock())
		return
	}
	if b.Run <= e.finished[b.Task] {
		e.refuse(w, "old")
		return
	}
	length, err := time.ParseDuration(b.Spec)
	if err != nil {
		length = DefaultWork
	}
	how := "done"
	if strings.HasPrefix(b.Spec, "fail") {
		how = "failed"
	}
	e.runs[b.Task] = &work{run: b.Run, timer: time.AfterFunc(length, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.end(b.Task, b.Run, how)
	})}
	e.started(Start{Executor: e.ID, Task: b.Task, Run: b.Run, At: time.Now()})
	reply(w, http.StatusOK, e.clock())
}

func (e *Executor) end(task string, run uint64, how string) {
	x, ok := e.runs[task]
	if !ok || x.run != run {
		return
	}
	x.timer.Stop()
	delete(e.runs, task)
	e.number++
	e.finished[task] = run
	e.ends = append(e.ends, []any{e.number, task, run, how, ""})
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Executor) stop(w http.ResponseWriter, r *http.Request) {
	b, ok := e.take(w, r)
	if !ok {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.end(b.Task, b.Run, "stopped")
	e.finished[b.Task] = max(e.finished[b.Task], b.Run)
	reply(w, http.StatusOK, e.clock())
}

func (e *Executor) hold(w http.ResponseWriter, r *http.Request) {
	b, ok := e.take(w, r)
	if !ok {
		return
	}
	limit := time.NewTimer(time.Duration(b.Wait) * time.Millisecond)
	defer limit.Stop()
	for {
		e.mutex.Lock()
		for len(e.ends) > 0 && e.ends[0][0].(uint64) <= b.Ack {
			e.ends = e.ends[1:]
		}
		answer := e.clock()
		active := [][]any{}
		for task, x := range e.runs {
			active = append(active, []any{task, x.run, "", 50, 0})
		}
		answer["active"], answer["finished"] = active, append([][]any{}, e.ends...)
		ended, changed := len(e.ends) > 0, e.changed
		e.mutex.Unlock()
		if ended {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}
