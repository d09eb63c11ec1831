package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Properties of the stand-in workers.
const (
	beatEvery    = 1500 * time.Millisecond // between two reports to the store
	maxLease     = 6 * time.Second         // hold-max-ms
	gangTimeout  = 3 * time.Second         // gang-timeout-ms
	startupTime  = 300 * time.Millisecond  // until a task that lasts is at work
	maxListed    = 500                     // ended runs in one answer
	workerMemory = 32768                   // MB
)

// work is what the tasks of a step do.
type work struct {
	Length  time.Duration // until a task ends as done
	Lasting bool          // a task works until it is stopped
	Gang    int           // number of tasks that work only together; 0 for none
	Slow    bool          // the first task of the step takes tailFactor times as long
}

// tailFactor is how much longer a task of the tail takes: tail_x of the site file.
const tailFactor = 7

// spec is what the tasks of a submission do, by step. Clients send it as the submission's spec, which the system passes
// on unchanged.
type spec []work

func (s spec) String() string {
	data, _ := json.Marshal(s)
	return string(data)
}

// of returns what a task does. Its name has the form ID.K.STEP.INDEX.
func (s spec) of(task string) work {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return work{}
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n >= len(s) {
		return work{}
	}
	w := s[n]
	if w.Slow && parts[3] == "0" {
		w.Length *= tailFactor
	}
	return w
}

// taskRun is a run of a task on a worker.
type taskRun struct {
	task    string
	run     int64
	work    work
	started time.Time
	timer   *time.Timer
}

// ended is an ended run.
type ended struct {
	number int64
	task   string
	run    int64
	how    string
	at     time.Time
}

// worker stands in for an executor: a machine's address and id, with one life at a time.
type worker struct {
	site    *site
	id      string
	machine string
	pool    string
	rack    string
	cpu     int64
	address string

	mutex     sync.Mutex
	kind      string
	server    *http.Server
	born      time.Time
	up        bool
	moving    bool
	moveFence int64
	cut       chan struct{} // closed when the cut ends; nil if the worker is reachable
	lastBeat  time.Time
	sequence  int
	fence     int64
	expires   int64 // on the worker's clock
	lease     *time.Timer
	runs      map[string]*taskRun
	highest   map[string]int64 // highest run that was stopped or has ended, by task
	ends      []ended
	lastEnd   int64
	changed   chan struct{}
}

// event is something that a worker did. The checks of the rules read the events.
type event struct {
	at     time.Time
	what   string // start, end, noted, lapse, crash, up
	worker string
	pool   string
	kind   string
	task   string
	run    int64
	how    string
	token  int64
}

// start begins a life of the worker.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.id, err)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.address = listener.Addr().String()
	w.born, w.up = time.Now(), true
	w.fence, w.expires, w.lastEnd, w.sequence = 0, 0, 0, 0
	w.runs, w.highest, w.ends, w.changed = map[string]*taskRun{}, map[string]int64{}, nil, make(chan struct{})
	born := w.born
	w.lease = time.AfterFunc(time.Hour, func() { w.endLease(born) })
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.order(w.handleStart))
	mux.HandleFunc("POST /run-stop", w.order(w.handleStop))
	mux.HandleFunc("POST /pace", w.order(func(orderBody) string { return "" }))
	mux.HandleFunc("POST /hold", w.handleHold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	w.site.observe(event{what: "up", worker: w.id, pool: w.pool, kind: w.kind})
	if w.cut == nil {
		w.beat()
	}
	return nil
}

// crash ends the life of the worker with everything that runs on it.
func (w *worker) crash() {
	w.mutex.Lock()
	if !w.up {
		w.mutex.Unlock()
		return
	}
	w.up = false
	w.lease.Stop()
	runs := w.runs
	w.runs = map[string]*taskRun{}
	for _, r := range runs {
		r.timer.Stop()
	}
	server := w.server
	close(w.changed)
	w.changed = make(chan struct{})
	w.site.observe(event{what: "crash", worker: w.id, pool: w.pool, kind: w.kind})
	w.mutex.Unlock()
	_ = server.Close()
	for _, r := range runs {
		w.site.breakGang(r)
	}
}

// setCut cuts the worker off from the daemons and the store, or ends the cut. Its runs go on.
func (w *worker) setCut(cut bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if cut {
		w.cut = make(chan struct{})
		close(w.changed) // waiting calls notice the cut
		w.changed = make(chan struct{})
	} else {
		close(w.cut)
		w.cut = nil
		if w.up {
			w.beat()
		}
	}
}

// beat writes the worker's entry. The caller holds the mutex.
func (w *worker) beat() {
	w.sequence++
	w.lastBeat = time.Now()
	entry, _ := json.Marshal(map[string]any{
		"service": w.pool, "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
		"capacity": map[string]int64{"cpu": w.cpu, "mem-mb": workerMemory, "gpu": 0}, "labels": []string{w.kind, w.rack},
		"machine": w.machine, "born": w.born.UnixMilli(), "clock-ms": w.now(), "sequence": w.sequence,
	})
	w.site.store.put("servers/"+w.id, entry)
}

// now returns the worker's clock in ms. The caller holds the mutex.
func (w *worker) now() int64 { return time.Since(w.born).Milliseconds() }

type orderBody struct {
	Task    string `json:"task"`
	Run     int64  `json:"run-id"`
	Spec    string `json:"spec"`
	Expires int64  `json:"expires-ms"`
	Token   int64  `json:"fencing-token"`
	Ack     int64  `json:"ack-seq"`
	Wait    int64  `json:"wait-ms"`
}

// read decodes a call. It drops the calls that arrive while the worker is cut off.
func (w *worker) read(rw http.ResponseWriter, r *http.Request) (b orderBody, ok bool) {
	w.mutex.Lock()
	cut := w.cut
	w.mutex.Unlock()
	if cut != nil {
		hang(r, cut)
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		reply(rw, http.StatusBadRequest, nil)
		return b, false
	}
	if id := r.Header.Get("X-Teaselloft-Expect-Instance"); id != "" && id != w.id {
		reply(rw, http.StatusMisdirectedRequest, nil)
		return b, false
	}
	return b, true
}

// order returns the handler of an order. The function returns the reason of a refusal.
func (w *worker) order(do func(orderBody) string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		b, ok := w.read(rw, r)
		if !ok {
			return
		}
		w.mutex.Lock()
		reason := "fence"
		if b.Token >= w.fence {
			w.fence = b.Token
			reason = do(b)
		}
		answer := w.clock()
		cut := w.cut
		w.mutex.Unlock()
		if cut != nil {
			hang(r, cut)
		}
		status := http.StatusOK
		if reason != "" {
			status = http.StatusConflict
			answer["reason"] = reason
		}
		reply(rw, status, answer)
	}
}

func (w *worker) clock() map[string]any {
	return map[string]any{"clock-ms": w.now(), "born": w.born.UnixMilli()}
}

// extend renews the lease of everything that runs. It never shortens it.
func (w *worker) extend(expires int64) {
	if expires == 0 {
		return
	}
	w.expires = max(w.expires, min(expires, w.now()+maxLease.Milliseconds()))
	w.lease.Reset(time.Duration(w.expires-w.now()) * time.Millisecond)
}

func (w *worker) endLease(born time.Time) {
	w.mutex.Lock()
	if !w.up || w.born != born {
		w.mutex.Unlock()
		return
	}
	if left := w.expires - w.now(); left > 0 {
		w.lease.Reset(time.Duration(left) * time.Millisecond)
		w.mutex.Unlock()
		return
	}
	w.site.observe(event{what: "lapse", worker: w.id, pool: w.pool, kind: w.kind})
	var lapsed []*taskRun
	for _, r := range w.runs {
		lapsed = append(lapsed, r)
	}
	for _, r := range lapsed {
		w.end(r.task, r.run, "lapsed")
	}
	w.mutex.Unlock()
	for _, r := range lapsed {
		w.site.breakGang(r)
	}
}

func (w *worker) handleStart(b orderBody) string {
	if b.Expires < w.now() {
		return "late"
	}
	w.extend(b.Expires)
	if r, ok := w.runs[b.Task]; ok && r.run == b.Run {
		return ""
	}
	if b.Run <= w.highest[b.Task] {
		return "old"
	}
	r := &taskRun{task: b.Task, run: b.Run, started: time.Now()}
	var s spec
	_ = json.Unmarshal([]byte(b.Spec), &s)
	r.work = s.of(b.Task)
	length := r.work.Length
	if r.work.Lasting || r.work.Gang > 0 {
		length = time.Hour
	}
	r.timer = time.AfterFunc(length, func() { w.finish(r, "done") })
	w.runs[b.Task] = r
	w.site.observe(event{what: "start", worker: w.id, pool: w.pool, kind: w.kind, task: b.Task, run: b.Run, token: b.Token})
	if r.work.Gang > 0 {
		w.site.gangJoined(w, r)
	}
	return ""
}

func (w *worker) handleStop(b orderBody) string {
	if r, ok := w.runs[b.Task]; ok && r.run == b.Run {
		w.end(b.Task, b.Run, "stopped")
		go w.site.breakGang(r)
	}
	w.highest[b.Task] = max(w.highest[b.Task], b.Run)
	return ""
}

// finish ends a run by itself.
func (w *worker) finish(r *taskRun, how string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.runs[r.task] == r {
		w.end(r.task, r.run, how)
	}
}

// endByItself ends the run of a task.
func (w *worker) endByItself(task, how string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if r, ok := w.runs[task]; ok {
		w.end(task, r.run, how)
	}
}

// end lists the end of a run. The caller holds the mutex.
func (w *worker) end(task string, run int64, how string) {
	r := w.runs[task]
	r.timer.Stop()
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], run)
	w.lastEnd++
	w.ends = append(w.ends, ended{number: w.lastEnd, task: task, run: run, how: how, at: time.Now()})
	w.site.observe(event{what: "end", worker: w.id, pool: w.pool, kind: w.kind, task: task, run: run, how: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	b, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mutex.Lock()
	if b.Token < w.fence {
		answer := w.clock()
		w.mutex.Unlock()
		answer["reason"] = "fence"
		reply(rw, http.StatusConflict, answer)
		return
	}
	w.fence = b.Token
	w.extend(b.Expires)
	for len(w.ends) > 0 && w.ends[0].number <= b.Ack {
		e := w.ends[0]
		w.ends = w.ends[1:]
		w.site.observe(event{what: "noted", worker: w.id, pool: w.pool, kind: w.kind, task: e.task, run: e.run, how: e.how})
	}
	w.mutex.Unlock()
	limit := time.NewTimer(time.Duration(min(b.Wait, 2000)) * time.Millisecond)
	defer limit.Stop()
	expired := b.Wait == 0
	for {
		w.mutex.Lock()
		cut, up, changed := w.cut, w.up, w.changed
		answer, ends := w.lists(), len(w.ends)
		w.mutex.Unlock()
		switch {
		case cut != nil:
			hang(r, cut)
		case !up:
			panic(http.ErrAbortHandler)
		case ends > 0 || expired:
			reply(rw, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// lists returns the active runs and up to maxListed ended runs. The caller holds the mutex.
func (w *worker) lists() map[string]any {
	answer := w.clock()
	active, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 50
		if r.work.Lasting {
			percent = 0
			if time.Since(r.started) > startupTime {
				percent = 100
			}
		}
		active = append(active, []any{r.task, r.run, "", percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListed)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer["active"], answer["finished"] = active, finished
	return answer
}

// gang is a run of tasks that work only together.
type gang struct {
	members map[*taskRun]*worker
	ended   bool
	timer   *time.Timer
}

// gangKey identifies the run of a gang: the task's name without its index, and the number of the run.
func gangKey(r *taskRun) string {
	step := r.task[:strings.LastIndex(r.task, ".")]
	return step + "#" + strconv.FormatInt(r.run, 10)
}

// gangJoined adds a member to its gang. Once all are there they work, and end as done together.
func (s *site) gangJoined(w *worker, r *taskRun) {
	s.gangMutex.Lock()
	defer s.gangMutex.Unlock()
	key := gangKey(r)
	g := s.gangs[key]
	if g == nil {
		g = &gang{members: map[*taskRun]*worker{}}
		g.timer = time.AfterFunc(gangTimeout, func() { s.endGang(g, "alone") })
		s.gangs[key] = g
	}
	g.members[r] = w
	if len(g.members) == r.work.Gang {
		g.timer.Stop()
		g.timer = time.AfterFunc(r.work.Length, func() { s.endGang(g, "done") })
	}
}

func (s *site) endGang(g *gang, how string) {
	s.gangMutex.Lock()
	if g.ended {
		s.gangMutex.Unlock()
		return
	}
	g.ended = true
	members := g.members
	s.gangMutex.Unlock()
	for r, w := range members {
		w.finish(r, how)
	}
}

// breakGang ends the gang of a run that has ended in another way than done.
func (s *site) breakGang(r *taskRun) {
	if r.work.Gang == 0 {
		return
	}
	s.gangMutex.Lock()
	g := s.gangs[gangKey(r)]
	s.gangMutex.Unlock()
	if g != nil {
		g.timer.Stop()
		s.endGang(g, "broken")
	}
}

// active returns the names of the tasks that run on the worker.
func (w *worker) active() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var tasks []string
	for task := range w.runs {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}
