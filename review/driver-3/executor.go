//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment that executors keep to, as in the settings file.
const (
	holdMax         = 10 * time.Second
	stopTime        = 50 * time.Millisecond // at most stop-timeout-ms
	checkpointEvery = 2 * time.Second
	beatEvery       = 1500 * time.Millisecond
	maxEnds         = 500 // in one answer
)

// start is a task that an executor has begun on an order.
type start struct {
	executor   string
	kind       string // of the executor's present lifetime
	task       string
	run        uint64
	checkpoint string
	at         time.Time
}

// taskRun is a run on an executor.
type taskRun struct {
	task   string
	run    uint64
	began  time.Time
	saved  string
	timer  *time.Timer // ends a run that has a length
	lasts  bool
	checks *time.Ticker
}

type end struct {
	number uint64
	task   string
	run    uint64
	how    string
	saved  string
}

// executor is a stand-in for an executor. It may end and start again under its id and address, as another lifetime.
type executor struct {
	w       *world
	id      string
	machine string
	rack    string
	address string

	mutex    sync.Mutex // guards the fields below
	pool     string
	kind     string
	up       bool
	gone     bool // it never returns
	server   *http.Server
	born     time.Time
	fence    uint64
	expires  int64 // end of the lease on the clock of the executor, in ms; 0 if there is none
	lease    *time.Timer
	runs     map[string]*taskRun
	highest  map[string]uint64 // highest run of a task that was stopped or has ended
	ends     []end
	sequence uint64
	beats    int
	saves    int
	changed  chan struct{}
}

// specLength returns the run time of the tasks of a submission by its spec; 0 means that they last.
func specLength(spec string) time.Duration {
	for _, word := range strings.Fields(spec) {
		if text, ok := strings.CutPrefix(word, "work="); ok {
			if d, err := time.ParseDuration(text); err == nil {
				return d
			}
		}
	}
	return 0
}

// begin starts a lifetime: it listens, and reports itself in the store. The caller holds the mutex.
func (e *executor) begin() error {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	e.up, e.born, e.fence, e.expires, e.sequence, e.ends = true, time.Now(), 0, 0, 0, nil
	e.runs, e.highest, e.changed = map[string]*taskRun{}, map[string]uint64{}, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.order(e.start))
	mux.HandleFunc("POST /run-stop", e.order(e.stop))
	mux.HandleFunc("POST /pace", e.order(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /hold", e.hold)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	server := e.server
	go func() { _ = server.Serve(listener) }() // returns after Close
	e.report()
	return nil
}

// report writes the entry of the executor to the store. The caller holds the mutex.
func (e *executor) report() {
	e.beats++
	entry, err := json.Marshal(map[string]any{
		"service": e.pool, "address": e.address, "zone": "z", "version": "1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
		"sequence": e.beats, "capacity": map[string]int{"cpu": machineCPU, "mem-mb": machineMemory, "gpu": 0}, "labels": []string{e.kind, e.rack},
		"machine": e.machine, "born": e.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	e.w.store.Put("servers/"+e.id, entry)
}

// beat reports the executor until it is gone.
func (e *executor) beat() {
	for range time.Tick(beatEvery) {
		e.mutex.Lock()
		if e.up {
			e.report()
		}
		gone := e.gone
		e.mutex.Unlock()
		if gone {
			return
		}
	}
}

// crash ends the lifetime with everything that runs. The entry stays in the store.
func (e *executor) crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.endLifetime()
	e.w.record.add("executor %s crashes", e.id)
}

// endLifetime does the same. The caller holds the mutex.
func (e *executor) endLifetime() {
	if !e.up {
		return
	}
	e.up = false
	for _, r := range e.runs {
		r.cancel()
		e.w.observeEnd(e, r.task, r.run, "lost")
	}
	e.runs = map[string]*taskRun{}
	close(e.changed)
	e.changed = make(chan struct{})
	_ = e.server.Close()
}

func (r *taskRun) cancel() {
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.checks != nil {
		r.checks.Stop()
	}
}

// restart begins the next lifetime, of a kind.
func (e *executor) restart(kind string) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.kind = kind
	if err := e.begin(); err != nil {
		return err
	}
	e.w.record.add("executor %s starts again as kind %s, born %d", e.id, kind, e.born.UnixMilli())
	return nil
}

// lose ends the executor for good. Its entry stays in the store until three reports are missing.
func (e *executor) lose() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.endLifetime()
	e.gone = true
	e.w.record.add("executor %s is lost for good", e.id)
	time.AfterFunc(3*beatEvery, func() { e.w.store.Remove("servers/" + e.id) })
}

// remove ends the executor for good.
func (e *executor) remove() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.endLifetime()
	e.gone = true
	e.w.store.Remove("servers/" + e.id)
}

// now returns the clock of the executor. The caller holds the mutex.
func (e *executor) now() int64 { return time.Since(e.born).Milliseconds() + 1000 }

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run-id"`
	Spec       string `json:"spec"`
	Fence      uint64 `json:"fencing-token"`
	Expires    int64  `json:"expires-ms"`
	Checkpoint string `json:"checkpoint"`
	Ack        uint64 `json:"ack-seq"`
	Wait       int64  `json:"wait-ms"`
}

// decode reads a call and checks for which executor it is meant.
func (e *executor) decode(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if id := r.Header.Get("X-Teaselloft-Expect-Instance"); id != "" && id != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	return o, true
}

// admit checks the fence number of a call. The caller holds the mutex.
func (e *executor) admit(o order) bool {
	if o.Fence < e.fence {
		return false
	}
	e.fence = o.Fence
	return true
}

func (e *executor) order(do func(order) (status int, reason string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := e.decode(w, r)
		if !ok {
			return
		}
		e.mutex.Lock()
		defer e.mutex.Unlock()
		status, reason := http.StatusConflict, "fence"
		if e.admit(o) {
			status, reason = do(o)
		}
		answer := e.head()
		if reason != "" {
			answer["reason"] = reason
		}
		writeJSON(w, status, answer)
	}
}

// head returns the fields of every answer. The caller holds the mutex.
func (e *executor) head() map[string]any {
	return map[string]any{"clock-ms": e.now(), "born": e.born.UnixMilli()}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have gone
}

// extend extends the lease up to a time on the executor's clock. The caller holds the mutex.
func (e *executor) extend(expires int64) {
	if expires == 0 {
		return
	}
	e.expires = max(e.expires, min(expires, e.now()+holdMax.Milliseconds()))
	if e.lease != nil {
		e.lease.Stop()
	}
	born := e.born
	e.lease = time.AfterFunc(time.Duration(e.expires-e.now())*time.Millisecond, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if !e.born.Equal(born) || !e.up || e.now() < e.expires {
			return
		}
		for _, r := range e.runs {
			e.end(r, "lapsed")
		}
	})
}

// start handles an order to start a task. The caller holds the mutex.
func (e *executor) start(o order) (int, string) {
	if o.Expires < e.now() {
		return http.StatusConflict, "late"
	}
	e.extend(o.Expires)
	if r, ok := e.runs[o.Task]; ok && r.run == o.Run {
		return http.StatusOK, ""
	}
	if o.Run <= e.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	length := specLength(o.Spec)
	r := &taskRun{task: o.Task, run: o.Run, began: time.Now(), saved: o.Checkpoint, lasts: length == 0}
	if length > 0 {
		born := e.born
		r.timer = time.AfterFunc(length, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			if e.born.Equal(born) && e.up && e.runs[o.Task] == r {
				e.end(r, "done")
			}
		})
	}
	e.runs[o.Task] = r
	if strings.Contains(o.Spec, "saves") {
		r.checks = time.NewTicker(checkpointEvery)
		go e.save(r)
	}
	e.w.observeStart(start{executor: e.id, kind: e.kind, task: o.Task, run: o.Run, checkpoint: o.Checkpoint, at: r.began})
	return http.StatusOK, ""
}

// save gives a run a new checkpoint at each interval of work.
func (e *executor) save(r *taskRun) {
	for range r.checks.C {
		e.mutex.Lock()
		if e.runs[r.task] != r {
			e.mutex.Unlock()
			return
		}
		e.newCheckpoint(r)
		e.mutex.Unlock()
	}
}

// newCheckpoint gives a run a checkpoint. The caller holds the mutex.
func (e *executor) newCheckpoint(r *taskRun) {
	e.saves++
	r.saved = fmt.Sprintf("%s-%s-%d", e.id, r.task, e.saves)
	e.w.record.add("checkpoint %s of task %s run %d", r.saved, r.task, r.run)
}

// stop handles an order to stop a task. The caller holds the mutex.
func (e *executor) stop(o order) (int, string) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	r, ok := e.runs[o.Task]
	if !ok || r.run > o.Run {
		return http.StatusOK, ""
	}
	born := e.born
	time.AfterFunc(stopTime, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if !e.born.Equal(born) || !e.up || e.runs[o.Task] != r {
			return
		}
		if r.checks != nil {
			e.newCheckpoint(r)
		}
		e.end(r, "stopped")
	})
	return http.StatusOK, ""
}

// end ends a run. The caller holds the mutex.
func (e *executor) end(r *taskRun, how string) {
	r.cancel()
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.sequence++
	e.ends = append(e.ends, end{number: e.sequence, task: r.task, run: r.run, how: how, saved: r.saved})
	close(e.changed)
	e.changed = make(chan struct{})
	e.w.observeEnd(e, r.task, r.run, how)
}

// hold answers with all runs and ends, at once if there are ends.
func (e *executor) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := e.decode(w, r)
	if !ok {
		return
	}
	e.mutex.Lock()
	if !e.admit(o) {
		answer := e.head()
		answer["reason"] = "fence"
		e.mutex.Unlock()
		writeJSON(w, http.StatusConflict, answer)
		return
	}
	e.extend(o.Expires)
	for len(e.ends) > 0 && e.ends[0].number <= o.Ack {
		e.ends = e.ends[1:]
	}
	born := e.born
	limit := time.NewTimer(time.Duration(o.Wait) * time.Millisecond)
	defer limit.Stop()
	for waiting := true; waiting && len(e.ends) == 0 && e.born.Equal(born) && e.up; {
		changed := e.changed
		e.mutex.Unlock()
		select {
		case <-changed:
		case <-limit.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.mutex.Lock()
	}
	answer := e.head()
	active, finished := [][]any{}, [][]any{}
	for _, x := range e.runs {
		percent := 50
		if x.lasts && time.Since(x.began) > 500*time.Millisecond {
			percent = 100
		}
		active = append(active, []any{x.task, x.run, x.saved, percent, 1})
	}
	for _, x := range e.ends[:min(len(e.ends), maxEnds)] {
		finished = append(finished, []any{x.number, x.task, x.run, x.how, x.saved})
	}
	answer["active"], answer["finished"] = active, finished
	lost := !e.born.Equal(born) || !e.up
	e.mutex.Unlock()
	if lost {
		return // the connection belonged to an earlier lifetime
	}
	writeJSON(w, http.StatusOK, answer)
}

// jobOf returns the submission that a task belongs to.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
