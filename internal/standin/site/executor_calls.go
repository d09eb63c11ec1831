package site

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

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
