package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"teaselloft/internal/proof/process"
	"teaselloft/internal/standin/site"
)

// ErrNotReady is returned when daemons did not become ready in time.
var ErrNotReady = errors.New("daemons are not ready")

// readyTimeout is far above the 1 s that daemons take to become ready on an idle machine.
const readyTimeout = 60 * time.Second

// system is a stand-in site and the daemons that manage it.
type system struct {
	site    *site.Site
	store   string
	cloud   *Proxy // from all daemons to the instance list
	servers []*http.Server
	bin     string
	dir     string
	daemons []*daemon
	ledger  *Ledger
	sockets socketTable

	mutex     sync.Mutex
	executors map[string]*Proxy // by executor ID
	split     *split            // in progress, or nil
}

// split is the part of the site that is cut off.
type split struct {
	daemons   map[string]bool
	executors map[string]bool
}

// across returns a function that reports whether a connection from a daemon crosses the split; inside tells the side
// of the connection's target.
func (p *split) across(inside bool) func(daemon string) bool {
	return func(daemon string) bool { return p.daemons[daemon] != inside }
}

// daemon is a daemon process that can be stopped and restarted.
type daemon struct {
	name          string
	store         *Proxy // from the daemon to the store
	peers         *Proxy // from the other daemons to this one
	callerAddress string // address for callers
	readyAddress  string

	mutex    sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
	expected bool // the process has been signalled to exit
}

// newSystem starts the stand-ins and the daemons and waits until they are ready. It returns an error that wraps
// ErrNotReady if they do not become ready in time.
func newSystem(ctx context.Context, o Options, l *Ledger) (*system, error) {
	s := &system{bin: o.Bin, dir: o.Dir, ledger: l, executors: map[string]*Proxy{}}
	var err error
	s.site, err = site.NewWith(site.Options{
		Instances: o.Instances, Standby: o.Instances / 2, Pools: Pools, Rate: clockRate, Observe: l.Observe, Front: s.addProxy,
	})
	if err != nil {
		return nil, err
	}
	if s.store, err = s.serve(s.site.Store.Handler()); err != nil {
		return s, err
	}
	cloud, err := s.serve(s.site.Instances())
	if err != nil {
		return s, err
	}
	if s.cloud, err = newProxy(cloud, s.identify); err != nil {
		return s, err
	}
	first, err := process.FreeBlock(portsPerDaemon * o.Daemons)
	if err != nil {
		return s, err
	}
	for n := range o.Daemons {
		d, err := s.newDaemon(n, first+portsPerDaemon*n)
		if err != nil {
			return s, err
		}
		s.mutex.Lock()
		s.daemons = append(s.daemons, d)
		s.mutex.Unlock()
		if err := s.start(d); err != nil {
			return s, err
		}
	}
	return s, s.await(ctx)
}

// clockRate is the rate of the executors' clocks, the slowest that the specification allows.
const clockRate = 0.98

// Pools lists the pools of the soak's site.
var Pools = []string{site.Pool, "schoolyard"}

// addProxy starts a proxy in front of an executor and returns its address. It returns the executor's own address if
// the proxy does not start.
func (s *system) addProxy(executor, address string) string {
	p, err := newProxy(address, s.identify)
	if err != nil {
		return address
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.executors[executor] = p
	if s.split != nil {
		p.Sever(s.split.across(false))
	}
	return p.Address()
}

// startedDaemons returns the daemons that have been started so far.
func (s *system) startedDaemons() []*daemon {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.daemons)
}

// divide cuts a part of the site off from the rest. It does nothing and returns false while another part is cut off.
func (s *system) divide(p *split) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.split != nil {
		return false
	}
	s.split = p
	s.cloud.Sever(p.across(false))
	for _, d := range s.daemons {
		inside := p.daemons[d.name]
		d.peers.Sever(p.across(inside))
		d.store.Sever(func(string) bool { return inside })
	}
	for id, x := range s.executors {
		x.Sever(p.across(p.executors[id]))
	}
	return true
}

// unite ends a division.
func (s *system) unite() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.split = nil
	s.cloud.Sever(nil)
	for _, d := range s.daemons {
		d.peers.Sever(nil)
		d.store.Sever(nil)
	}
	for _, x := range s.executors {
		x.Sever(nil)
	}
}

// proxy returns the proxy before an executor, or nil.
func (s *system) proxy(executor string) *Proxy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.executors[executor]
}

func (s *system) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // binding an address does not wait
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }() // ends with Close
	return l.Addr().String(), nil
}

func daemonName(n int) string { return fmt.Sprintf("daemon-%d", n+1) }

// portsPerDaemon is the number of ports that a daemon listens on: for callers, the load balancer, other daemons and
// metrics.
const portsPerDaemon = 4

// newDaemon starts a daemon's proxies and writes its settings file.
func (s *system) newDaemon(n, first int) (*daemon, error) {
	port := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", first+n) }
	d := &daemon{name: daemonName(n), callerAddress: port(0), readyAddress: port(1)}
	var err error
	if d.store, err = NewProxy(s.store); err != nil {
		return nil, err
	}
	if d.peers, err = newProxy(port(2), s.identify); err != nil {
		return nil, err
	}
	listen := func(address string) map[string]any { return map[string]any{"address": address} }
	data, err := json.MarshalIndent(map[string]any{
		"name": d.name, "zone": "z", "site": "soak", "log": "INFO",
		"plugins": map[string]any{
			"adapter": map[string]string{"store": d.store.Address(), "cloud": s.cloud.Address()},
			"front":   map[string]any{"listen": listen(d.callerAddress), "ready": listen(d.readyAddress), "metrics": listen(port(3))},
			"member":  map[string]any{"address": d.peers.Address(), "power": 1000},
			"peer":    map[string]any{"listen": listen(port(2))},
			"pool":    map[string]string{"lease": "6s"}, "follow": map[string]any{}, "desk": map[string]any{},
		},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	return d, os.WriteFile(s.path(d, ".json"), data, 0o600)
}

func (s *system) path(d *daemon, suffix string) string { return filepath.Join(s.dir, d.name+suffix) }

// start runs the process of a daemon; its log is appended to NAME.log.
func (s *system) start(d *daemon) error {
	log, err := os.OpenFile(s.path(d, ".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.CommandContext(context.Background(), filepath.Join(s.bin, "teaselloft"), "daemon", s.path(d, ".json"))
	c.Stdout, c.Stderr = log, log
	d.mutex.Lock() // until the process is known, nothing it connects to can identify it
	defer d.mutex.Unlock()
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", d.name, err)
	}
	d.command, d.ended, d.expected = c, make(chan struct{}), false
	go func(ended chan struct{}) {
		err := c.Wait()
		d.mutex.Lock()
		expected := d.expected
		d.mutex.Unlock()
		if !expected {
			s.ledger.violated("daemon", "%s ended by itself: %v", d.name, err)
		}
		close(ended)
	}(d.ended)
	return nil
}

// pid returns the process ID of the daemon's last process, or 0 before its first start.
func (d *daemon) pid() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.command == nil {
		return 0
	}
	return d.command.Process.Pid
}

// signal sends a signal to the daemon's process, if it is running.
func (d *daemon) signal(sig syscall.Signal) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		d.expected = true
	}
	_ = d.command.Process.Signal(sig) // fails if the process has exited
}

// wait waits until the process has exited, and kills it after the limit. It reports whether the process exited in time.
func (d *daemon) wait(limit time.Duration) (inTime bool) {
	select {
	case <-d.ended:
		return true
	case <-time.After(limit):
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		<-d.ended
		return false
	}
}

// await waits until every daemon is ready.
func (s *system) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range s.daemons {
		for !isReady(ctx, d) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s: %w", d.name, ErrNotReady)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, d *daemon) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.readyAddress+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close kills the daemon processes and stops the stand-ins and the proxies.
func (s *system) close() {
	for _, d := range s.daemons {
		if d.command == nil {
			continue
		}
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		<-d.ended
		d.store.Close()
		d.peers.Close()
	}
	if s.cloud != nil {
		s.cloud.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	if s.site != nil {
		_ = s.site.Close()
	}
	s.mutex.Lock()
	executors := slices.Collect(maps.Values(s.executors))
	s.mutex.Unlock() // goroutines of the proxies need it to identify daemons
	for _, p := range executors {
		p.Close()
	}
}
