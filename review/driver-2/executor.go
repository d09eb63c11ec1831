//go:build review2

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// executor stands in for an executor of the users' platform. One value stays at one address and under one id through
// several incarnations; everything that an incarnation knows is in life.
type executor struct {
	h        *harness
	id       string
	machine  string
	rack     string
	pool     string
	cpu      int
	maxLease int64         // ms
	stopTime time.Duration // that a run takes to stop

	listener net.Listener
	address  string

	mutex      sync.Mutex
	kind       string
	life       *life
	dark       bool
	unwell     bool // answers starts with 503 and runs none of them
	wake       chan struct{}
	conns      map[net.Conn]bool
	sequence   int
	generation int // of ids
}

// life is one incarnation.
type life struct {
	number   int
	born     time.Time
	fence    uint64
	expires  int64 // ms on its clock, 0 without a lease
	lapse    *time.Timer
	runs     map[string]*run
	finished map[string]uint64 // highest run that has ended or was stopped, by task
	ends     []end
	lastEnd  uint64
	changed  chan struct{}
	over     bool
}

type run struct {
	number   uint64
	timer    *time.Timer
	stopping bool
}

type end struct {
	number uint64
	task   string
	run    uint64
	how    string
}

func newLife(number int) *life {
	return &life{number: number, born: time.Now(), runs: map[string]*run{}, finished: map[string]uint64{}, changed: make(chan struct{})}
}

// clock returns the time on the incarnation's clock in ms.
func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

func (h *harness) newExecutor(pool, id, machine, rack, kind string, cpu int) *executor {
	e := &executor{
		h: h, id: id, machine: machine, rack: rack, pool: pool, cpu: cpu, kind: kind, maxLease: holdMax, stopTime: stopTimeout,
		life: newLife(1), wake: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	h.executors = append(h.executors, e)
	e.listen("127.0.0.1:0")
	e.publish()
	go e.report(time.Duration(len(h.executors)) * heartbeat / 10)
	return e
}

func (e *executor) listen(address string) {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		e.h.fatal("executor cannot listen: %v", err)
	}
	e.listener, e.address = l, l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.order("start"))
	mux.HandleFunc("POST /run-stop", e.order("stop"))
	mux.HandleFunc("POST /pace", e.order("pace"))
	mux.HandleFunc("POST /hold", e.order("hold"))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{Handler: mux, ConnState: func(c net.Conn, s http.ConnState) {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if s == http.StateNew {
			e.conns[c] = true
		} else if s == http.StateClosed {
			delete(e.conns, c)
		}
	}}
	go func() { _ = server.Serve(&darkListener{Listener: l, e: e}) }()
}

// darkListener accepts nothing while the executor has no power.
type darkListener struct {
	net.Listener
	e *executor
}

func (d *darkListener) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		d.e.mutex.Lock()
		dark, wake := d.e.dark, d.e.wake
		d.e.mutex.Unlock()
		if !dark {
			return c, nil
		}
		<-wake
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// powerOff ends the incarnation. Until powerOn the executor answers nothing, and new connections get no answer either.
func (e *executor) powerOff() {
	e.mutex.Lock()
	e.dark, e.wake = true, make(chan struct{})
	l := e.life
	e.endLife(l)
	e.mutex.Unlock()
	if raw, err := e.listener.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	for range 3 { // fill the queue of new connections, so that the kernel drops the next ones
		go func() {
			c, err := net.DialTimeout("tcp", e.address, 100*time.Millisecond)
			if err == nil {
				time.AfterFunc(30*time.Second, func() { _ = c.Close() })
			}
		}()
	}
	e.h.note("executor %s loses power", e.id)
}

func (e *executor) endLife(l *life) {
	l.over = true
	for task, r := range l.runs {
		r.timer.Stop()
		e.h.event(event{Kind: "gone", Executor: e.id, Life: l.number, Task: task, Run: r.number})
	}
	l.runs = map[string]*run{}
	if l.lapse != nil {
		l.lapse.Stop()
	}
}

// crash ends the incarnation. Until powerOn the machine refuses connections.
func (e *executor) crash() {
	_ = e.listener.Close()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.dark, e.wake = true, make(chan struct{})
	e.endLife(e.life)
	for c := range e.conns {
		reset(c)
	}
	e.conns = map[net.Conn]bool{}
	e.h.note("executor %s crashes", e.id)
}

// powerOn starts the next incarnation at the same address and under the same id.
func (e *executor) powerOn(kind string) {
	_ = e.listener.Close()
	e.mutex.Lock()
	e.life = newLife(e.life.number + 1)
	e.kind, e.dark = kind, false
	close(e.wake)
	for c := range e.conns {
		reset(c)
	}
	e.conns = map[net.Conn]bool{}
	e.mutex.Unlock()
	e.listen(e.address)
	e.h.note("executor %s starts again, life %d, kind %s", e.id, e.life.number, kind)
	e.publish()
}

// report renews the executor's entry in the store. The executors of a site do so at different times.
func (e *executor) report(delay time.Duration) {
	time.Sleep(delay)
	for range time.Tick(heartbeat) {
		e.publish()
	}
}

func (e *executor) publish() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.dark {
		return
	}
	e.sequence++
	data, _ := json.Marshal(map[string]any{
		"service": e.pool, "address": e.address, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
		"capacity": map[string]int{"cpu": e.cpu, "mem-mb": 65536, "gpu": 0}, "labels": []string{e.kind, e.rack}, "machine": e.machine,
		"born": e.life.born.UnixMilli(), "clock-ms": e.life.clock(), "sequence": e.sequence,
	})
	e.h.store.Put("servers/"+e.id, data)
}

type orderBody struct {
	Task    string `json:"task"`
	Run     uint64 `json:"run-id"`
	Spec    string `json:"spec"`
	Fence   uint64 `json:"fencing-token"`
	Expires int64  `json:"expires-ms"`
	Ack     uint64 `json:"ack-seq"`
	Wait    int64  `json:"wait-ms"`
	Ticket  string `json:"ticket"`
}

func (e *executor) order(what string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var b orderBody
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("X-Teaselloft-Expect-Instance"); id != "" && id != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.mutex.Lock()
		if e.dark {
			e.mutex.Unlock()
			<-r.Context().Done()
			return
		}
		l := e.life
		if what == "start" && e.unwell {
			e.mutex.Unlock()
			e.h.event(event{Kind: "refuse", Executor: e.id, Life: l.number, Task: b.Task, Run: b.Run})
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		reason := ""
		if b.Fence < l.fence {
			reason = "fence"
		} else {
			l.fence = b.Fence
			switch what {
			case "start":
				reason = e.start(l, b)
			case "stop":
				e.stop(l, b)
			case "hold":
				e.extend(l, b.Expires)
				e.acknowledge(l, b.Ack)
			}
		}
		e.mutex.Unlock()
		if reason != "" {
			e.answer(w, l, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		if what != "hold" {
			e.answer(w, l, http.StatusOK, map[string]any{})
			return
		}
		e.hold(w, r, l, b)
	}
}

func (e *executor) answer(w http.ResponseWriter, l *life, status int, body map[string]any) {
	e.mutex.Lock()
	over := l.over
	e.mutex.Unlock()
	if over {
		panic(http.ErrAbortHandler) // an incarnation that has ended answers nothing
	}
	body["clock-ms"], body["born"] = l.clock(), l.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *executor) extend(l *life, expires int64) {
	if expires == 0 {
		return
	}
	now := l.clock()
	l.expires = max(l.expires, min(expires, now+e.maxLease))
	if l.lapse != nil {
		l.lapse.Stop()
	}
	l.lapse = time.AfterFunc(time.Duration(l.expires-now)*time.Millisecond, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if l.over || l.clock() < l.expires {
			return
		}
		e.h.event(event{Kind: "lapse", Executor: e.id, Life: l.number})
		for task, r := range l.runs {
			e.end(l, task, r.number, "lapsed")
		}
	})
}

func (e *executor) start(l *life, b orderBody) string {
	if b.Expires < l.clock() {
		return "late"
	}
	e.extend(l, b.Expires)
	if r, ok := l.runs[b.Task]; ok && r.number == b.Run {
		return ""
	}
	if b.Run <= l.finished[b.Task] {
		return "old"
	}
	if e.h.adviser.refuses(e.id, b) {
		e.h.event(event{Kind: "refuse", Executor: e.id, Life: l.number, Task: b.Task, Run: b.Run, How: "ticket"})
		return "ticket"
	}
	length, how := lengthOf(b.Spec)
	r := &run{number: b.Run}
	r.timer = time.AfterFunc(length, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if !r.stopping {
			e.end(l, b.Task, b.Run, how)
		}
	})
	l.runs[b.Task] = r
	e.h.event(event{Kind: "start", Executor: e.id, Life: l.number, Task: b.Task, Run: b.Run, Label: e.kind})
	return ""
}

func (e *executor) stop(l *life, b orderBody) {
	l.finished[b.Task] = max(l.finished[b.Task], b.Run)
	r, ok := l.runs[b.Task]
	if !ok || r.number != b.Run || r.stopping {
		return
	}
	r.stopping = true
	r.timer.Stop()
	time.AfterFunc(e.stopTime, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.end(l, b.Task, b.Run, "stopped")
	})
}

func (e *executor) end(l *life, task string, number uint64, how string) {
	r, ok := l.runs[task]
	if !ok || r.number != number || l.over {
		return
	}
	r.timer.Stop()
	delete(l.runs, task)
	l.lastEnd++
	l.finished[task] = max(l.finished[task], number)
	l.ends = append(l.ends, end{number: l.lastEnd, task: task, run: number, how: how})
	e.h.event(event{Kind: "end", Executor: e.id, Life: l.number, Task: task, Run: number, How: how})
	close(l.changed)
	l.changed = make(chan struct{})
}

func (e *executor) acknowledge(l *life, ack uint64) {
	for len(l.ends) > 0 && l.ends[0].number <= ack {
		x := l.ends[0]
		l.ends = l.ends[1:]
		e.h.event(event{Kind: "noted", Executor: e.id, Life: l.number, Task: x.task, Run: x.run, How: x.how})
	}
}

// hold answers with the lists of runs once there is an end to list, or after the requested wait.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, l *life, b orderBody) {
	limit := time.NewTimer(time.Duration(min(b.Wait, 2000)) * time.Millisecond)
	defer limit.Stop()
	waited := b.Wait == 0
	for {
		e.mutex.Lock()
		active, finished := [][]any{}, [][]any{}
		for task, r := range l.runs {
			active = append(active, []any{task, r.number, "", 100, 0})
		}
		for _, x := range l.ends[:min(len(l.ends), 500)] {
			finished = append(finished, []any{x.number, x.task, x.run, x.how, ""})
		}
		changed, over := l.changed, l.over
		e.mutex.Unlock()
		if over {
			<-r.Context().Done()
			return
		}
		if waited || len(finished) > 0 {
			e.answer(w, l, http.StatusOK, map[string]any{"active": active, "finished": finished})
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// lengthOf returns how long a task runs and how it ends. The spec is a duration, or "fail" and a duration.
func lengthOf(spec string) (length time.Duration, how string) {
	length, how = 200*time.Millisecond, "done"
	words := strings.Fields(spec)
	if len(words) == 0 {
		return length, how
	}
	d, err := time.ParseDuration(words[len(words)-1])
	if err != nil {
		return length, how
	}
	if words[0] == "fail" {
		return d, "failed"
	}
	return d, "done"
}
