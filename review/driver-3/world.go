//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"teaselloft/internal/standin/site"
)

// The deployment: figures of a small one in the users' pages.
const (
	daemons       = 3
	machineCPU    = 16000
	machineMemory = 65536
	memoryMB      = 284 // of a daemon
	host          = "flags.example"
	deadline      = 3 * time.Second // of a client's call
	moveTime      = 1500 * time.Millisecond
)

// route is a queue of the manifest.
type route struct {
	name, prefix, pool string
}

// world is the platform with its executors, the daemons and what was seen.
type world struct {
	record *record
	store  *site.Store
	gate   *site.Gate
	client *http.Client
	dir    string
	repo   string
	binary string

	servers []*http.Server
	fronts  []string
	ready   []string
	nodes   []*exec.Cmd
	stop    chan struct{} // closed when the case ends
	guards  sync.WaitGroup
	storeAt string
	cloud   string
	version int

	mutex     sync.Mutex // guards the fields below
	executors []*executor
	starts    []start
	running   map[string]int // runs at work by task
	kills     [daemons]int   // how often a daemon was killed for its memory
	ended     map[string]int // ends as done by task
}

// newWorld starts the store and the instance list.
func newWorld(binary string, r *record) (*world, error) {
	path, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	repo, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "teaselloft-review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		record: r, store: site.NewStore(), dir: dir, repo: repo, binary: path, running: map[string]int{}, ended: map[string]int{}, stop: make(chan struct{}),
		client: &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	w.gate = w.store.NewGate()
	if w.storeAt, err = w.serve(w.gate); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", w.listMachines)
	mux.HandleFunc("POST /machine-move", w.moveMachine)
	w.cloud, err = w.serve(mux)
	return w, err
}

func (w *world) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }() // returns after Close
	return listener.Addr().String(), nil
}

// manifest writes the next version of the manifest.
func (w *world) manifest(pools []string, routes ...route) {
	w.version++
	var list, services []map[string]any
	for _, x := range routes {
		list = append(list, map[string]any{
			"name": x.name, "host": host, "prefix": x.prefix, "service": x.pool, "kind": "non_idempotent", "timeout-ms": 3000,
			"priority": 0, "max-attempts": 3, "stretch-factor": 1.6, "target-latency-ms": 600,
		})
	}
	for _, x := range pools {
		services = append(services, map[string]any{"name": x, "rejects-overload": false})
	}
	data, err := json.Marshal(map[string]any{"version": w.version, "routes": list, "services": services, "limits": map[string]any{}})
	if err != nil {
		panic(err)
	}
	w.store.Put("op/config", data)
	w.record.add("operator: manifest %d, routes %+v", w.version, routes)
}

// addExecutor starts an executor on a machine of its own.
func (w *world) addExecutor(pool, kind string) (*executor, error) {
	w.mutex.Lock()
	n := len(w.executors)
	w.mutex.Unlock()
	return w.startExecutor(fmt.Sprintf("m-%d", n), pool, kind, fmt.Sprintf("r%d", n/4))
}

func (w *world) startExecutor(machine, pool, kind, rack string) (*executor, error) {
	w.mutex.Lock()
	e := &executor{w: w, id: fmt.Sprintf("e-%d", len(w.executors)), machine: machine, rack: rack, pool: pool, kind: kind}
	w.executors = append(w.executors, e)
	w.mutex.Unlock()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err := e.begin(); err != nil {
		return nil, err
	}
	go e.beat()
	w.record.add("executor %s of kind %s on machine %s joins pool %s", e.id, kind, machine, pool)
	return e, nil
}

// present returns the executors that have not left.
func (w *world) present() []*executor {
	w.mutex.Lock()
	all := append([]*executor(nil), w.executors...)
	w.mutex.Unlock()
	var out []*executor
	for _, e := range all {
		e.mutex.Lock()
		if !e.gone {
			out = append(out, e)
		}
		e.mutex.Unlock()
	}
	return out
}

func (w *world) listMachines(rw http.ResponseWriter, _ *http.Request) {
	rows := []map[string]any{}
	for _, e := range w.present() {
		e.mutex.Lock()
		state := "up"
		if !e.up {
			state = "down"
		}
		rows = append(rows, map[string]any{
			"machine": e.machine, "pool": e.pool, "state": state, "zone": "z", "labels": []string{e.kind, e.rack},
			"capacity": map[string]int{"cpu": machineCPU, "mem-mb": machineMemory, "gpu": 0}, "id": e.id,
		})
		e.mutex.Unlock()
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": rows, "next-token": nil})
}

// moveMachine moves a machine to another pool: its executor ends, and another one joins the pool later.
func (w *world) moveMachine(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range w.present() {
		if e.machine != o.Machine {
			continue
		}
		e.mutex.Lock()
		pool, kind, rack, up := e.pool, e.kind, e.rack, e.up
		e.mutex.Unlock()
		switch {
		case pool == o.Pool:
			writeJSON(rw, http.StatusOK, nil)
		case !up:
			writeJSON(rw, http.StatusConflict, map[string]string{"reason": "busy"})
		default:
			w.record.add("machine %s moves from pool %s to %s", o.Machine, pool, o.Pool)
			e.remove()
			time.AfterFunc(moveTime, func() { _, _ = w.startExecutor(o.Machine, o.Pool, kind, rack) }) // a loopback port is free
			writeJSON(rw, http.StatusOK, nil)
		}
		return
	}
	// A machine that is moving has no executor.
	writeJSON(rw, http.StatusConflict, map[string]string{"reason": "busy"})
}

func (w *world) observeStart(s start) {
	w.mutex.Lock()
	w.starts = append(w.starts, s)
	w.running[s.task]++
	w.mutex.Unlock()
	w.record.add("start task %s run %d on %s (kind %s) checkpoint %q", s.task, s.run, s.executor, s.kind, s.checkpoint)
}

func (w *world) observeEnd(e *executor, task string, run uint64, how string) {
	w.mutex.Lock()
	w.running[task]--
	if how == "done" {
		w.ended[task]++
	}
	w.mutex.Unlock()
	w.record.add("end task %s run %d on %s: %s", task, run, e.id, how)
}

// allStarts returns the starts so far.
func (w *world) allStarts() []start {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]start(nil), w.starts...)
}

// runningTasks returns how many runs of a job are at work, and of all jobs.
func (w *world) runningTasks(job string) (ofJob, all int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for task, n := range w.running {
		all += n
		if jobOf(task) == job {
			ofJob += n
		}
	}
	return ofJob, all
}

// runs reports whether a run of a task is at work.
func (w *world) runs(task string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.running[task] > 0
}

// doneTasks returns how many tasks of a job have ended as done.
func (w *world) doneTasks(job string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	n := 0
	for task := range w.ended {
		if jobOf(task) == job {
			n++
		}
	}
	return n
}

// freePorts holds ports that are free now until release is called. They are below those that the system gives to connections and
// to the stand-ins.
func freePorts(n int) (ports []int, release func(), err error) {
	const first, last = 20_000, 30_000
	var held []net.Listener
	release = func() {
		for _, l := range held {
			_ = l.Close()
		}
		held = nil
	}
	for range 100 * n {
		port := first + rand.IntN(last-first)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		held = append(held, l)
		if ports = append(ports, port); len(ports) == n {
			return ports, release, nil
		}
	}
	release()
	return nil, nil, errors.New("no free ports")
}

// startDaemons starts the daemons and waits until all are ready. If one isn't, another program may have taken a port in the
// meantime, so that all are started again on other ports.
func (w *world) startDaemons() error {
	const attempts = 3
	for attempt := 1; ; attempt++ {
		err := w.tryDaemons()
		if err == nil || attempt == attempts {
			return err
		}
		w.record.add("%v; all daemons are started again", err)
		for _, c := range w.nodes {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
		w.nodes, w.fronts, w.ready = nil, nil, nil
		time.Sleep(memberLease)
	}
}

// memberLease exceeds the time after which the daemons see that others have ended.
const memberLease = 3 * time.Second

// tryDaemons starts the daemons and waits until all are ready.
func (w *world) tryDaemons() error {
	ports, release, err := freePorts(4 * daemons)
	if err != nil {
		return err
	}
	defer release()
	address := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	var guards []func()
	for n := range daemons {
		p := ports[4*n : 4*n+4]
		settings, err := json.MarshalIndent(map[string]any{
			"node-name": fmt.Sprintf("frontend-z-%d", n+1), "role": "entry", "machine-class": "frontend", "serves": []string{"frontend"},
			"ip": "127.0.0.1", "zone": "z", "region": "local", "zones": map[string]string{"z": "local"},
			"bind-addresses": map[string]string{"frontend": address(p[0]), "ready": address(p[1])}, "metrics": address(p[2]),
			"port-range": []int{p[3], p[3]}, "seeds": []string{}, "bootstrap": true,
			"limits":       map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": memoryMB, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
			"data-dir":     nil,
			"heartbeat-ms": beatEvery.Milliseconds(),
			"bounds": map[string]any{
				"contact-ms": 3000, "ack-ms": 4000, "grace-s": 6, "hold-max-ms": holdMax.Milliseconds(), "stop-timeout-ms": 200, "gang-timeout-ms": 3000,
				"cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "checkpoint-s": 2, "config-apply-ms": 2000, "lease-ms": 3000,
			},
			"control-mode": "invocation",
			"platform":     map[string]any{"address": w.storeAt, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
			"cloud":        map[string]any{"address": w.cloud, "rate-per-s": 64.0, "duty-per-s": 64.0},
		}, "", "  ")
		if err != nil {
			return err
		}
		path := filepath.Join(w.dir, fmt.Sprintf("daemon-%d.json", n+1))
		if err := os.WriteFile(path, settings, 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(w.dir, fmt.Sprintf("daemon-%d.log", n+1)))
		if err != nil {
			return err
		}
		release() // only the first time
		c, err := w.startDaemon(path, log)
		if err != nil {
			return err
		}
		w.nodes, w.fronts, w.ready = append(w.nodes, c), append(w.fronts, address(p[0])), append(w.ready, address(p[1]))
		guards = append(guards, func() { w.guard(n, path, log) })
		w.record.add("daemon %d starts, process %d", n+1, c.Process.Pid)
	}
	for n, address := range w.ready {
		if !waitFor(5*time.Second, func() bool { return w.isReady(address) }) {
			return fmt.Errorf("daemon %d is not ready", n+1)
		}
	}
	for _, guard := range guards {
		w.guards.Go(guard)
	}
	w.record.add("all daemons are ready")
	return nil
}

// startDaemon starts a process as the deploy file does.
func (w *world) startDaemon(settings string, log *os.File) (*exec.Cmd, error) {
	c := exec.Command(w.binary, "node")
	c.Dir, c.Stdout, c.Stderr = w.repo, log, log
	c.Env = append(os.Environ(), "TEASELLOFT_BOOT="+settings)
	return c, c.Start()
}

// guard does what the platform does: it kills a daemon whose memory exceeds the limit, and starts it again after a delay.
func (w *world) guard(n int, settings string, log *os.File) {
	const interval, delay = 50 * time.Millisecond, 500 * time.Millisecond
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(interval):
		}
		w.mutex.Lock()
		c := w.nodes[n]
		w.mutex.Unlock()
		size := residentMB(c.Process.Pid)
		if size <= memoryMB {
			continue
		}
		_ = c.Process.Kill()
		_ = c.Wait()
		w.mutex.Lock()
		w.kills[n]++
		kills := w.kills[n]
		w.mutex.Unlock()
		w.record.add("daemon %d uses %d MB of %d and is killed, %d times so far", n+1, size, memoryMB, kills)
		select {
		case <-w.stop:
			return
		case <-time.After(delay):
		}
		next, err := w.startDaemon(settings, log)
		if err != nil {
			w.record.add("daemon %d does not start: %v", n+1, err)
			return
		}
		w.mutex.Lock()
		w.nodes[n] = next
		w.mutex.Unlock()
	}
}

// residentMB returns the memory of a process, or 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

func (w *world) isReady(address string) bool {
	r, err := w.client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// waitFor waits until a condition holds, and reports whether it does in time.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// close ends the daemons and the servers.
func (w *world) close() {
	close(w.stop)
	w.guards.Wait()
	for _, c := range w.nodes {
		_ = c.Process.Signal(syscall.SIGKILL)
		_ = c.Wait()
	}
	for _, e := range w.present() {
		e.remove()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}

// call makes a client's call at a daemon. The status is 0 without an answer.
func (w *world) call(daemon int, method, path string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	r, err := http.NewRequest(method, "http://"+w.fronts[daemon%daemons]+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	r.Host, r.GetBody = host, nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Teaselloft-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	answer, err := w.client.Do(r)
	status, text := 0, []byte(nil)
	if err == nil {
		text, _ = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		status = answer.StatusCode
	}
	w.record.add("client: %s %s at daemon %d: %d %s", method, path, daemon%daemons+1, status, bytes.TrimSpace(text))
	return status, text
}

// submit hands a submission in until it is accepted, as clients do: each attempt at another daemon.
func (w *world) submit(daemon int, path string, body any) bool {
	for attempt := range 5 {
		status, _ := w.call(daemon+attempt, http.MethodPost, path, body)
		switch {
		case status >= 200 && status < 300:
			return true
		case status == http.StatusBadRequest || status == http.StatusNotFound:
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a submission, or the status of an answer without one.
func (w *world) state(daemon int, path string) string {
	status, text := w.call(daemon, http.MethodGet, path, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(text, &answer) != nil {
		return fmt.Sprint(status)
	}
	return answer.State
}
