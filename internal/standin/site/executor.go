package site

import (
	"fmt"
	"net"
	"net/http"
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
