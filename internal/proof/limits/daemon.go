package limits

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"teaselloft/internal/proof/process"
	"teaselloft/internal/standin/site"
)

// Patience of the tests, far above the times needed on a loaded machine.
const (
	patience     = 60 * time.Second
	pollInterval = 20 * time.Millisecond

	requestTimeout = 3 * time.Second // the longest response time in the requirements
)

// ErrTimeout is wrapped by errors about a condition that did not hold in time.
var ErrTimeout = errors.New("condition does not hold in time")

// Options are the limits in the platform's settings file of a daemon.
type Options struct {
	Memory      int // MB
	Descriptors int // also the limit that the operating system enforces
}

// Daemon is a running process with the stand-ins of its platform.
type Daemon struct {
	Front, Ready, Metrics, Peer string // addresses of its listeners

	command        *exec.Cmd
	ended          chan struct{}
	output         bytes.Buffer
	cleanup        []func()
	requests       atomic.Int64
	maxDescriptors atomic.Int64
}

// Start runs "teaselloft node" and waits until it is ready. The directory holds its settings.
func Start(binary, dir string, o Options) (*Daemon, error) {
	standins, err := site.New(4, 0)
	if err != nil {
		return nil, err
	}
	store, cloud := httptest.NewServer(standins.Store.Handler()), httptest.NewServer(standins.Instances())
	d := &Daemon{ended: make(chan struct{}), cleanup: []func(){
		func() { _ = standins.Close() }, cloud.Close, store.Close, store.CloseClientConnections,
	}}
	port, err := process.FreeBlock(4)
	if err != nil {
		d.Close()
		return nil, err
	}
	address := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", port+n) }
	d.Front, d.Ready, d.Metrics, d.Peer = address(0), address(1), address(2), address(3)
	settings := site.DaemonSettings{
		Name: "d-1", Port: port + 3, Front: d.Front, Ready: d.Ready, Metrics: d.Metrics,
		Store: store.Listener.Addr().String(), Cloud: cloud.Listener.Addr().String(), Memory: o.Memory, Descriptors: o.Descriptors,
	}
	path := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(path, settings.File(), 0o600); err != nil {
		d.Close()
		return nil, err
	}
	d.command = exec.CommandContext(context.Background(), "sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" node`, o.Descriptors), binary)
	d.command.Env = append(os.Environ(), "TEASELLOFT_BOOT="+path)
	d.command.Stdout, d.command.Stderr = &d.output, &d.output
	if err := d.command.Start(); err != nil {
		d.Close()
		return nil, err
	}
	go d.watch()
	if err := d.await("ready", d.ready); err != nil {
		d.Close()
		return nil, fmt.Errorf("%w: %s", err, d.Output())
	}
	return d, nil
}

// watch records the largest number of open descriptors until the process ends.
func (d *Daemon) watch() {
	go func() {
		_ = d.command.Wait()
		close(d.ended)
	}()
	for d.Alive() {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid))
		d.maxDescriptors.Store(max(d.maxDescriptors.Load(), int64(len(entries))))
		time.Sleep(pollInterval)
	}
}

// Alive reports whether the process runs.
func (d *Daemon) Alive() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// Output returns what an ended process has printed.
func (d *Daemon) Output() string {
	if d.Alive() {
		return ""
	}
	return d.output.String()
}

// Descriptors returns the largest number of open descriptors that was seen.
func (d *Daemon) Descriptors() int { return int(d.maxDescriptors.Load()) }

// PeakMemory returns the largest resident memory of the process so far, in MB.
func (d *Daemon) PeakMemory() (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb >> 10, err
		}
	}
	return 0, errors.New("no VmHWM in the status of the process")
}

// Serves sends an ordinary submission on new connections until it is accepted.
func (d *Daemon) Serves() error {
	job := site.Job{
		ID: fmt.Sprintf("%016x", d.requests.Add(1)), Pool: site.Pool, Spec: "10ms",
		Steps: []site.Step{{Count: 1, CPU: 1000, Memory: 64}},
	}
	return d.await("an ordinary request is answered", func() bool {
		caller := site.NewCaller(requestTimeout)
		defer caller.Close()
		status, err := caller.Submit(context.Background(), d.Front, job)
		return err == nil && status == http.StatusOK
	})
}

func (d *Daemon) await(what string, ok func() bool) error {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline) && d.Alive(); time.Sleep(pollInterval) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", ErrTimeout, what)
}

// ready reports whether the daemon takes requests.
func (d *Daemon) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Ready+"/readyz", nil)
	if err != nil {
		return false
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close ends the process and the stand-ins.
func (d *Daemon) Close() {
	if d.command != nil && d.command.Process != nil {
		_ = d.command.Process.Signal(syscall.SIGKILL)
		<-d.ended
	}
	for i := len(d.cleanup) - 1; i >= 0; i-- {
		d.cleanup[i]()
	}
}
