package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// DefaultRunTime is the run time of a task whose spec is not a duration.
const DefaultRunTime = 200 * time.Millisecond

// Fault is an injected failure mode of an executor.
type Fault int

// Failure modes of an executor.
const (
	FaultNone   Fault = iota
	FaultSilent       // neither answers nor executes orders
	FaultLate         // executes orders after lateAfter without an answer
	FaultFail         // fails every task that it starts
	FaultHang         // pauses the tasks that it starts until the fault is cleared
)

// lateAfter is the delay of FaultLate, the shortest that the published API names.
const lateAfter = 2 * time.Second

// Executor is one incarnation of an instance, or several in succession that have the same ID and address. The spec of a task
// is its duration, or starts with "fail" if it is to fail.
//
// It ends its runs when its lease expires on its own clock, which may be slow.
type Executor struct {
	ID       string
	CPU      int // millicores
	server   *http.Server
	address  string
	born     atomic.Pointer[time.Time]
	rate     float64 // speed of its clock relative to real time
	maxLease time.Duration
	observe  Observer

	mutex       sync.Mutex
	fence       uint64
	endSequence uint64
	expires     int64 // lease expiry in ms on its clock; 0 if no lease was granted since the last one expired
	lease       *time.Timer
	runs        map[string]*taskRun
	ends        []ended
	finished    map[string]uint64
	changed     chan struct{}
	fault       Fault
	closed      bool
	up          chan struct{} // closed while the executor is not down
}

type taskRun struct {
	run    uint64
	length time.Duration
	timer  *time.Timer // stopped while the task is paused
	paused bool
}

type ended struct {
	sequence uint64
	task     string
	run      uint64
	how      string
}

// ExecutorOptions configures an incarnation of an executor.
type ExecutorOptions struct {
	ID      string
	CPU     int           // millicores
	Rate    float64       // of its clock; 0 means 1
	Lease   time.Duration // longest lease that it grants
	Observe Observer
}

// NewExecutor starts an executor on a loopback port.
func NewExecutor(o ExecutorOptions) (*Executor, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // binding an address does not wait
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if o.Rate == 0 {
		o.Rate = 1
	}
	e := &Executor{
		ID: o.ID, CPU: o.CPU, address: listener.Addr().String(), rate: o.Rate, maxLease: o.Lease, observe: o.Observe,
		runs: map[string]*taskRun{}, finished: map[string]uint64{}, changed: make(chan struct{}), up: make(chan struct{}),
	}
	e.begin()
	e.lease = time.AfterFunc(time.Hour, e.expireLease)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.order(e.start))
	mux.HandleFunc("POST /run-stop", e.order(e.stop))
	mux.HandleFunc("POST /pace", e.order(func(orderBody) answer { return answer{status: http.StatusOK} }))
	mux.HandleFunc("POST /hold", e.heartbeat)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(listener) }() // returns after Close
	return e, nil
}

// Close stops the executor and all its runs.
func (e *Executor) Close() {
	_ = e.server.Close() // dropping open connections is intended
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	e.lease.Stop()
	e.endIncarnation()
	select {
	case <-e.up:
	default:
		close(e.up) // its waiting calls are refused
	}
}

// endIncarnation drops all runs and ends. The caller holds the mutex.
func (e *Executor) endIncarnation() {
	for _, w := range e.runs {
		w.timer.Stop()
	}
	e.runs, e.finished, e.ends = map[string]*taskRun{}, map[string]uint64{}, nil
	e.fence, e.endSequence, e.expires = 0, 0, 0
	e.observe(Gone{Executor: e.ID, At: time.Now()})
}

// begin starts an incarnation.
func (e *Executor) begin() {
	now := time.Now()
	e.born.Store(&now)
	close(e.up)
}

// restart ends the incarnation and starts the next one under the same ID and address after a downtime. The calls that come
// meanwhile get no answer in time, and the next incarnation carries them out. It calls done at its start.
func (e *Executor) restart(down time.Duration, done func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	select {
	case <-e.up:
	default:
		return // it is down
	}
	if e.closed {
		return
	}
	e.up = make(chan struct{})
	e.endIncarnation()
	time.AfterFunc(down, func() {
		e.mutex.Lock()
		closed := e.closed
		if !closed {
			e.begin()
		}
		e.mutex.Unlock()
		if !closed {
			done()
		}
	})
}

// Break sets the failure mode; FaultNone resumes the paused tasks.
func (e *Executor) Break(f Fault) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.fault = f
	for _, w := range e.runs {
		if w.paused && f == FaultNone {
			w.paused = false
			w.timer.Reset(w.length)
		}
	}
}

// Address returns the address that the executor listens on.
func (e *Executor) Address() string { return e.address }

// entry returns the executor's record in the store; address is where clients reach it.
func (e *Executor) entry(pool, instance, rack, address string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,`+
		`"capacity":{"cpu":%d,"mem-mb":65536,"gpu":0},"labels":["a",%q],"machine":%q,"born":%d,"sequence":1}`,
		pool, address, e.CPU, rack, instance, e.born.Load().UnixMilli())
}

// now returns the time on the executor's clock in ms.
func (e *Executor) now() int64 {
	return int64(float64(time.Since(*e.born.Load()).Milliseconds()) * e.rate)
}

func (e *Executor) clock() map[string]any {
	return map[string]any{"clock-ms": e.now(), "born": e.born.Load().UnixMilli()}
}

type orderBody struct {
	Task    string `json:"task"`
	Run     uint64 `json:"run-id"`
	Spec    string `json:"spec"`
	Fence   uint64 `json:"fencing-token"`
	Expires int64  `json:"expires-ms"`
	Ack     uint64 `json:"ack-seq"`
	Wait    int64  `json:"wait-ms"`
}

// answer is the result of an order; reason is set if the order is refused.
type answer struct {
	status int
	reason string
}

// decodeOrder decodes an order; ok is false if the request needs no further handling.
func (e *Executor) decodeOrder(w http.ResponseWriter, r *http.Request) (b orderBody, fault Fault, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return b, FaultNone, false
	}
	if incarnation := r.Header.Get("X-Teaselloft-Expect-Instance"); incarnation != "" && incarnation != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return b, FaultNone, false
	}
	e.awaitUp()
	e.mutex.Lock()
	fault = e.fault
	e.mutex.Unlock()
	if fault == FaultSilent {
		<-r.Context().Done()
		return b, fault, false
	}
	return b, fault, true
}

// awaitUp waits while the executor is down.
func (e *Executor) awaitUp() {
	e.mutex.Lock()
	up := e.up
	e.mutex.Unlock()
	<-up
}

// order returns a handler that executes an order at once, or late and without an answer under FaultLate.
func (e *Executor) order(do func(orderBody) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, fault, ok := e.decodeOrder(w, r)
		if !ok {
			return
		}
		if fault == FaultLate {
			time.AfterFunc(lateAfter, func() {
				e.awaitUp()
				e.execute(b, do)
			})
			<-r.Context().Done()
			return
		}
		a := e.execute(b, do)
		body := e.clock()
		if a.reason != "" {
			body["reason"] = a.reason
		}
		reply(w, a.status, body)
	}
}

// execute checks the fencing token of an order and executes it.
func (e *Executor) execute(b orderBody, do func(orderBody) answer) answer {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if b.Fence < e.fence || e.closed {
		return answer{status: http.StatusConflict, reason: "fence"}
	}
	e.fence = b.Fence
	return do(b)
}

// extend extends the lease up to the expiry that an order carries; it never shortens the lease.
func (e *Executor) extend(expires int64) {
	if e.expires != 0 && e.expires <= e.now() {
		e.lapse() // the timer is late
	}
	if expires == 0 {
		return
	}
	e.expires = max(e.expires, min(expires, e.now()+e.maxLease.Milliseconds()))
	e.lease.Reset(time.Duration(float64(e.expires-e.now())/e.rate) * time.Millisecond)
}

// expireLease ends all runs once the lease has expired.
func (e *Executor) expireLease() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.expires == 0 || e.closed {
		return
	}
	if left := e.expires - e.now(); left > 0 {
		e.lease.Reset(time.Duration(left) * time.Millisecond)
		return
	}
	e.lapse()
}

func (e *Executor) lapse() {
	e.expires = 0
	for task, w := range e.runs {
		e.end(task, w.run, "lapsed")
	}
	e.observe(Lapse{Executor: e.ID, At: time.Now()})
}

func (e *Executor) start(b orderBody) answer {
	if b.Expires < e.now() {
		return answer{status: http.StatusConflict, reason: "late"}
	}
	e.extend(b.Expires)
	if x, ok := e.runs[b.Task]; ok && x.run == b.Run {
		return answer{status: http.StatusOK}
	}
	if b.Run <= e.finished[b.Task] {
		return answer{status: http.StatusConflict, reason: "old"}
	}
	length, err := time.ParseDuration(b.Spec)
	if err != nil {
		length = DefaultRunTime
	}
	how := "done"
	if strings.HasPrefix(b.Spec, "fail") || e.fault == FaultFail {
		how = "failed"
	}
	w := &taskRun{run: b.Run, length: length, timer: time.AfterFunc(length, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.end(b.Task, b.Run, how)
	})}
	if e.fault == FaultHang {
		w.paused = w.timer.Stop()
	}
	e.runs[b.Task] = w
	e.observe(Start{Executor: e.ID, Task: b.Task, Run: b.Run, At: time.Now()})
	return answer{status: http.StatusOK}
}

func (e *Executor) end(task string, run uint64, how string) {
	x, ok := e.runs[task]
	if !ok || x.run != run || e.closed {
		return
	}
	x.timer.Stop()
	delete(e.runs, task)
	e.endSequence++
	e.finished[task] = run
	e.ends = append(e.ends, ended{sequence: e.endSequence, task: task, run: run, how: how})
	e.observe(End{Executor: e.ID, Task: task, Run: run, How: how, At: time.Now()})
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Executor) stop(b orderBody) answer {
	e.end(b.Task, b.Run, "stopped")
	e.finished[b.Task] = max(e.finished[b.Task], b.Run)
	return answer{status: http.StatusOK}
}

// acknowledgeEnds discards the ended runs that an owner has acknowledged.
func (e *Executor) acknowledgeEnds(b orderBody) answer {
	e.extend(b.Expires)
	for len(e.ends) > 0 && e.ends[0].sequence <= b.Ack {
		x := e.ends[0]
		e.ends = e.ends[1:]
		e.observe(Noted{Executor: e.ID, Task: x.task, Run: x.run, How: x.how, At: time.Now()})
	}
	return answer{status: http.StatusOK}
}

// report returns the active and the ended runs for a heartbeat's answer.
func (e *Executor) report() (body map[string]any, news bool, changed chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	body = e.clock()
	active, finished := [][]any{}, [][]any{}
	for task, x := range e.runs {
		active = append(active, []any{task, x.run, "", 50, 0})
	}
	for _, x := range e.ends {
		finished = append(finished, []any{x.sequence, x.task, x.run, x.how, ""})
	}
	body["active"], body["finished"] = active, finished
	return body, len(finished) > 0, e.changed
}

func (e *Executor) heartbeat(w http.ResponseWriter, r *http.Request) {
	b, _, ok := e.decodeOrder(w, r)
	if !ok {
		return
	}
	born := e.born.Load()
	if a := e.execute(b, e.acknowledgeEnds); a.reason != "" {
		body := e.clock()
		body["reason"] = a.reason
		reply(w, a.status, body)
		return
	}
	limit := time.NewTimer(time.Duration(b.Wait) * time.Millisecond)
	defer limit.Stop()
	for {
		body, news, changed := e.report()
		if e.born.Load() != born {
			<-r.Context().Done() // the connection was to the former incarnation
			return
		}
		if news {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			reply(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}
