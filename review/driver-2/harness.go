//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"teaselloft/internal/standin/site"
)

// Bounds of the simulated deployment. They are those of the small sites.
const (
	holdMax     = 10_000 // ms
	heartbeat   = 1500 * time.Millisecond
	contact     = 3 * time.Second
	cancelBound = 3 * time.Second // cancel_ms
	visible     = 3 * time.Second // visible_ms
	stopTimeout = 200 * time.Millisecond
	upkeepTime  = 2 * time.Second  // maintenance-s
	finish      = 14 * time.Second // finish_s
	hostName    = "flags.example"
	caseLimit   = 110 * time.Second
)

// event is something that an executor or the cloud has seen.
type event struct {
	At       time.Duration
	Kind     string // start, end, gone, noted, refuse, lapse, upkeep
	Executor string
	Life     int
	Task     string
	Run      uint64
	How      string
	Label    string
}

type harness struct {
	began     time.Time
	dir       string // temporary
	root      string // of the repository
	trouble   bool
	store     *site.Store
	executors []*executor
	daemons   []*daemon
	cloud     *cloud
	adviser   *adviser

	mutex  sync.Mutex
	events []event
	record *os.File
}

// daemon is one process of the project, with an address of its own for the store.
type daemon struct {
	h        *harness
	name     string
	settings string
	front    string
	ready    string
	command  *exec.Cmd
	exited   chan struct{}
	killed   bool
	gate     *gate
}

// gate passes a daemon's calls on to the store, or leaves them unanswered.
type gate struct {
	next  http.Handler
	mutex sync.Mutex
	cut   bool
	stop  chan struct{}
	mute  string // prefix of the keys whose waiting watches get no answer any more
	muted chan struct{}
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mutex.Lock()
	cut, stop, muted := g.cut, g.stop, g.muted
	watches := r.URL.Path == "/kv-watch" && r.URL.Query().Get("prefix") == g.mute
	g.mutex.Unlock()
	if !watches {
		muted = nil
	}
	if cut {
		<-r.Context().Done()
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	body, _ := io.ReadAll(r.Body)
	r = r.WithContext(ctx)
	r.Body = io.NopCloser(bytes.NewReader(body))
	held := &heldWriter{header: http.Header{}, status: http.StatusOK}
	done := make(chan struct{})
	go func() { defer close(done); g.next.ServeHTTP(held, r) }()
	select {
	case <-done:
	case <-stop: // the link is cut while the call waits
		<-r.Context().Done()
		return
	case <-muted: // the channel falls silent while the call waits
		<-r.Context().Done()
		return
	}
	for k, v := range held.header {
		w.Header()[k] = v
	}
	w.WriteHeader(held.status)
	_, _ = w.Write(held.body.Bytes())
}

type heldWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (h *heldWriter) Header() http.Header         { return h.header }
func (h *heldWriter) WriteHeader(status int)      { h.status = status }
func (h *heldWriter) Write(b []byte) (int, error) { return h.body.Write(b) }

func (g *gate) setCut(cut bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if cut && !g.cut {
		close(g.stop)
	}
	if !cut && g.cut {
		g.stop = make(chan struct{})
	}
	g.cut = cut
}

// silence lets the open channel on which a daemon watches a prefix go silent for good. New channels work.
func (g *gate) silence() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	close(g.muted)
	g.muted = make(chan struct{})
}

// newHarness prepares a site whose record is written to the given folder.
func newHarness(folder string) *harness {
	h := &harness{began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: site.NewStore()}
	var err error
	if h.root, err = os.Getwd(); err != nil {
		h.fatal("%v", err)
	}
	if h.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		h.fatal("%v", err)
	}
	if h.dir, err = os.MkdirTemp("", "teaselloft-review"); err != nil {
		h.fatal("%v", err)
	}
	h.note("disruption: %v", h.trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-signals:
			h.fatal("%v", s)
		case <-time.After(caseLimit):
			h.fatal("the case takes longer than %v", caseLimit)
		}
	}()
	h.cloud = &cloud{h: h}
	h.adviser = &adviser{h: h, tickets: map[string]time.Time{}}
	return h
}

// note adds a line to the record.
func (h *harness) note(format string, args ...any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	fmt.Fprintf(h.record, "%8.3f %s\n", time.Since(h.began).Seconds(), fmt.Sprintf(format, args...))
}

func (h *harness) event(e event) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	e.At = time.Since(h.began)
	h.events = append(h.events, e)
	fmt.Fprintf(h.record, "%8.3f %-6s executor=%s life=%d task=%s run=%d %s %s\n", e.At.Seconds(), e.Kind, e.Executor, e.Life, e.Task, e.Run, e.How, e.Label)
}

func (h *harness) snapshot() []event {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.events)
}

// fatal ends a case that could not run.
func (h *harness) fatal(format string, args ...any) {
	if h.record != nil {
		h.note("could not run: "+format, args...)
	}
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	h.close()
	os.Exit(2)
}

// finish ends the case with its verdict.
func (h *harness) finish(broken []string) {
	for _, d := range h.daemons {
		if d.hasCrashed() {
			broken = append(broken, "daemon "+d.name+" ended by itself")
		}
	}
	h.close()
	for _, b := range broken {
		h.note("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	h.note("the rule held")
	fmt.Println("held")
	os.Exit(0)
}

func (h *harness) close() {
	for _, d := range h.daemons {
		d.end()
	}
	if h.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(h.dir)
	}
}

func (h *harness) serve(handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.fatal("%v", err)
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return l.Addr().String()
}

// freePort returns a port that was free a moment ago. It is below those that the kernel gives to connections.
func (h *harness) freePort() int {
	for range 500 {
		port := 12_000 + rand.IntN(20_000)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = l.Close()
			return port
		}
	}
	h.fatal("there is no free port")
	return 0
}

// route is a queue of the manifest.
func route(name, prefix, pool string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 600,
		"priority": 0, "service": pool, "max-attempts": attempts, "stretch-factor": 1.6,
	}
}

// publish writes a version of the manifest.
func (h *harness) publish(version int, pools []string, routes ...map[string]any) {
	services := []map[string]any{}
	for _, p := range pools {
		services = append(services, map[string]any{"name": p, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "rejects-overload": false, "standby": false})
	}
	data, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{}})
	h.store.Put("op/config", data)
	h.note("manifest %d acknowledged, %d routes", version, len(routes))
}

// startDaemons starts n daemons and waits until they are ready.
func (h *harness) startDaemons(n int) {
	cloud, advice := h.serve(h.cloud), h.serve(h.adviser)
	for i := range n {
		d := &daemon{h: h, name: fmt.Sprintf("front-%d", i+1), gate: &gate{next: h.store.Handler(), stop: make(chan struct{}), mute: "op/", muted: make(chan struct{})}}
		d.settings = filepath.Join(h.dir, d.name+".json")
		h.daemons = append(h.daemons, d)
		store := h.serve(d.gate)
		for attempt := 1; ; attempt++ {
			d.configure(store, cloud, advice)
			d.start()
			time.Sleep(500 * time.Millisecond)
			if !d.hasCrashed() {
				break
			}
			if attempt == 3 {
				h.fatal("daemon %s does not start: %s", d.name, d.log())
			}
			h.note("daemon %s has ended, another process may have one of its ports", d.name)
		}
	}
	h.await(15*time.Second, "the daemons are ready", func() bool {
		for _, d := range h.daemons {
			if status, _ := get("http://" + d.ready + "/readyz"); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// configure writes the daemon's settings, with free ports.
func (d *daemon) configure(store, cloud, advice string) {
	h := d.h
	local := func() string { return fmt.Sprintf("127.0.0.1:%d", h.freePort()) }
	d.front, d.ready = local(), local()
	p := h.freePort()
	data, _ := json.MarshalIndent(map[string]any{
		"node-name": d.name, "role": "entry", "machine-class": "frontend", "serves": []string{"frontend"}, "ip": "127.0.0.1", "zone": "z", "region": "local",
		"zones": map[string]string{"z": "local"}, "bind-addresses": map[string]string{"frontend": d.front, "ready": d.ready}, "metrics": local(),
		"port-range": []int{p, p}, "seeds": []string{}, "bootstrap": true,
		"limits": map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0}, "heartbeat-ms": heartbeat.Milliseconds(),
		"bounds":   map[string]any{"hold-max-ms": holdMax, "grace-s": 6, "stop-timeout-ms": stopTimeout.Milliseconds(), "cancel_ms": cancelBound.Milliseconds(), "visible_ms": visible.Milliseconds(), "contact-ms": contact.Milliseconds()},
		"platform": map[string]any{"address": store, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1 << 20, "ttl-min-ms": 1000},
		"cloud":    map[string]any{"address": cloud, "rate-per-s": 64.0, "duty-per-s": 64.0}, "control-mode": "invocation", "advice": advice,
	}, "", " ")
	if err := os.WriteFile(d.settings, data, 0o600); err != nil {
		h.fatal("%v", err)
	}
}

func (d *daemon) start() {
	log, err := os.OpenFile(filepath.Join(d.h.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.h.fatal("%v", err)
	}
	c := exec.Command(filepath.Join(d.h.root, "target/teaselloft"), "node")
	c.Dir = d.h.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "TEASELLOFT_BOOT=" + d.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		d.h.fatal("start a daemon: %v", err)
	}
	d.command, d.exited, d.killed = c, make(chan struct{}), false
	exited := d.exited
	go func() { _ = c.Wait(); close(exited); _ = log.Close() }()
	d.h.note("daemon %s started, pid %d", d.name, c.Process.Pid)
}

func (d *daemon) signal(s syscall.Signal) {
	d.h.note("daemon %s gets %v", d.name, s)
	d.killed = d.killed || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = d.command.Process.Signal(s)
}

func (d *daemon) hasCrashed() bool {
	select {
	case <-d.exited:
		return !d.killed
	default:
		return false
	}
}

func (d *daemon) end() {
	if d.command == nil {
		return
	}
	d.killed = true
	_ = d.command.Process.Signal(syscall.SIGCONT)
	_ = d.command.Process.Kill()
	<-d.exited
}

// log returns the daemon's log so far.
func (d *daemon) log() string {
	data, _ := os.ReadFile(filepath.Join(d.h.dir, d.name+".log"))
	return string(data)
}

// owner returns the daemon that the stored record of a duty names.
func (h *harness) owner(duty string) *daemon {
	value, _ := h.store.Get("teaselloft/own/owner/" + duty)
	for _, d := range h.daemons {
		if bytes.Contains(value, []byte(d.name)) {
			return d
		}
	}
	return nil
}

// others returns the daemons but one.
func (h *harness) others(d *daemon) []*daemon {
	return slices.DeleteFunc(slices.Clone(h.daemons), func(x *daemon) bool { return x == d })
}

func (h *harness) await(limit time.Duration, what string, done func() bool) {
	for until := time.Now().Add(limit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			h.fatal("waited %v in vain until %s", limit, what)
		}
	}
	h.note("%s", what)
}

var client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

func get(url string) (int, string) { return call(http.MethodGet, url, "") }

func call(method, url, body string) (int, string) {
	r, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Teaselloft-Deadline-Ms", "3000")
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// request sends a client's request to a daemon and records the answer.
func (h *harness) request(d *daemon, method, path, body string) (int, string) {
	h.note("client -> %s: %s %s %s", d.name, method, path, body)
	status, answer := call(method, "http://"+d.front+path, body)
	h.note("client <- %s: %s %s: %d %s", d.name, method, path, status, answer)
	return status, answer
}

// jobBody returns a submission.
func jobBody(spec string, steps ...map[string]any) string {
	data, _ := json.Marshal(map[string]any{"spec": spec, "pipeline-steps": steps})
	return string(data)
}

// submit hands a submission in and repeats it as clients do, until it is accepted.
func (h *harness) submit(d *daemon, path, body string) {
	for range 10 {
		if status, _ := h.request(d, http.MethodPost, path, body); status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	h.fatal("submission %s was not accepted", path)
}

// overlaps returns the tasks that ran twice at the same time, and the starts after a run that has ended as done.
func (h *harness) overlaps() []string {
	type span struct {
		event
		until time.Duration
		how   string
	}
	events := h.snapshot()
	var spans []*span
	var broken []string
	for _, e := range events {
		switch e.Kind {
		case "start":
			for _, s := range spans {
				if s.Task != e.Task {
					continue
				}
				if s.until == 0 {
					broken = append(broken, fmt.Sprintf("task %s: run %d starts on %s at %.3f s while run %d is on %s since %.3f s", e.Task, e.Run, e.Executor, e.At.Seconds(), s.Run, s.Executor, s.At.Seconds()))
				} else if s.how == "done" && h.wasNoted(events, s.event) {
					broken = append(broken, fmt.Sprintf("task %s: run %d starts on %s at %.3f s after run %d has ended as done at %.3f s", e.Task, e.Run, e.Executor, e.At.Seconds(), s.Run, s.until.Seconds()))
				}
			}
			spans = append(spans, &span{event: e})
		case "end", "gone":
			for _, s := range spans {
				if s.Task == e.Task && s.Run == e.Run && s.Executor == e.Executor && s.Life == e.Life && s.until == 0 {
					s.until, s.how = e.At, e.How
				}
			}
		}
	}
	return broken
}

// wasNoted reports whether the end of a run was taken note of. As the rule says, it wasn't if the executor's lease lapsed
// between the two.
func (h *harness) wasNoted(events []event, s event) bool {
	ended := false
	for _, e := range events {
		if e.Executor != s.Executor || e.Life != s.Life {
			continue
		}
		same := e.Task == s.Task && e.Run == s.Run
		switch {
		case e.Kind == "end" && same:
			ended = true
		case e.Kind == "lapse" && ended:
			return false
		case e.Kind == "noted" && same:
			return true
		}
	}
	return false
}

// cloud stands in for the instance list and the orders to instances.
type cloud struct {
	h      *harness
	mutex  sync.Mutex
	down   map[string]bool
	done   map[string]int64  // last wave by machine
	fences map[string]uint64 // by machine
	late   time.Duration     // by which the next order is held
	held   func()            // called when it is
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodGet {
		rows := []map[string]any{}
		c.mutex.Lock()
		for _, e := range c.h.executors {
			e.mutex.Lock()
			state, id := "up", e.id
			switch {
			case c.down[e.machine]:
				state, id = "upkeep", ""
			case e.dark:
				state = "down"
			}
			rows = append(rows, map[string]any{
				"machine": e.machine, "pool": e.pool, "state": state, "zone": "z", "labels": []string{e.kind, e.rack},
				"capacity": map[string]int{"cpu": e.cpu, "mem-mb": 65536, "gpu": 0}, "id": id,
			})
			e.mutex.Unlock()
		}
		c.mutex.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "next-token": nil})
		return
	}
	c.handleOrder(w, r)
}

// handleOrder carries an order out, or leaves it unanswered and carries it out late if it is the one to be held.
func (c *cloud) handleOrder(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("X-Teaselloft-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Teaselloft-Lease-Holder")
	c.h.note("cloud: order for %s, wave %d, by %s under %d", b.Machine, b.Wave, holder, fence)
	c.mutex.Lock()
	late, held := c.late, c.held
	c.late, c.held = 0, nil
	c.mutex.Unlock()
	if late > 0 {
		c.h.note("cloud: the order gets no answer and is carried out %v later", late)
		time.AfterFunc(late, func() { c.h.note("cloud: late order for %s: %s", b.Machine, c.maintain(b.Machine, b.Wave, fence)) })
		held()
		<-r.Context().Done()
		return
	}
	if reason := c.maintain(b.Machine, b.Wave, fence); reason != "" {
		w.WriteHeader(http.StatusConflict)
		_, _ = fmt.Fprintf(w, `{"reason":%q}`, reason)
		return
	}
	_, _ = io.WriteString(w, "{}")
}

// maintain begins the upkeep of a machine, or returns the reason of a refusal.
func (c *cloud) maintain(machine string, wave int64, fence uint64) string {
	i := slices.IndexFunc(c.h.executors, func(e *executor) bool { return e.machine == machine })
	if i < 0 || wave == 0 {
		return "busy"
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.fences == nil {
		c.fences, c.done, c.down = map[string]uint64{}, map[string]int64{}, map[string]bool{}
	}
	switch {
	case fence < c.fences[machine]:
		return "fence"
	case c.done[machine] == wave:
		return ""
	case c.down[machine]:
		return "busy"
	}
	c.fences[machine], c.done[machine], c.down[machine] = fence, wave, true
	c.h.event(event{Kind: "upkeep", Executor: machine, Run: uint64(len(c.down))})
	e := c.h.executors[i]
	e.crash()
	h := c.h
	former := e.id
	time.AfterFunc(3*heartbeat, func() { h.store.Remove("servers/" + former) })
	e.mutex.Lock()
	e.generation++
	e.id = fmt.Sprintf("%s-%d", e.machine, e.generation)
	e.mutex.Unlock()
	time.AfterFunc(upkeepTime, func() {
		c.mutex.Lock()
		delete(c.down, machine)
		c.mutex.Unlock()
		e.powerOn(e.kind)
	})
	return ""
}

func (c *cloud) hold(late time.Duration, held func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.late, c.held = late, held
}

func (c *cloud) doneCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.done)
}

// wave declares a wave over all machines.
func (h *harness) wave(number int64, maximum, deadline int) {
	var names []string
	for _, e := range h.executors {
		names = append(names, e.machine)
	}
	data, _ := json.Marshal(map[string]any{"wave": number, "machines": names, "deadline-s": deadline, "maximum": maximum})
	h.store.Put(fmt.Sprintf("op/wave/%d", number), data)
	h.note("wave %d of %d machines, %d at once", number, len(names), maximum)
}

// adviser stands in for the service that names the executors which may run a step. It allows all of them.
type adviser struct {
	h       *harness
	mutex   sync.Mutex
	jobs    []string // whose steps need a ticket
	tickets map[string]time.Time
}

const ticketValid = 3 * time.Second

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step-id"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(20 * time.Millisecond)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	granted := [][]string{}
	for _, id := range b.Workers {
		ticket := fmt.Sprintf("%s@%s", b.Step, id)
		a.tickets[ticket] = time.Now().Add(ticketValid)
		granted = append(granted, []string{id, ticket})
	}
	a.h.note("advice for %s: %d executors may run it", b.Step, len(granted))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"granted": granted, "valid-ms": ticketValid.Milliseconds()})
}

// refuses reports whether a start lacks a valid ticket that it needs.
func (a *adviser) refuses(executor string, b orderBody) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	id, _, _ := strings.Cut(b.Task, ".")
	if !slices.Contains(a.jobs, id) {
		return false
	}
	step := b.Task[:strings.LastIndexByte(b.Task, '.')]
	until, ok := a.tickets[b.Ticket]
	return !ok || time.Now().After(until) || b.Ticket != step+"@"+executor
}

// smallPool starts the executors of one pool, four to a rack.
func (h *harness) smallPool(n int, kind func(int) string) {
	for i := range n {
		h.newExecutor("halfmast", fmt.Sprintf("i-%02d", i), fmt.Sprintf("m-%02d", i), fmt.Sprintf("r%d", i/4), kind(i), 16_000)
	}
}

func allA(int) string { return "a" }
