package process

import (
	"bytes"
	"context"
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
	"strings"
	"syscall"
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/standin/endpoint"
	"teaselloft/internal/standin/platform"
)

// Token is the bearer token of the operator listeners.
const Token = "local-only"

// Port offsets of the listeners, as assigned by the layout command, and the size of the port block.
const (
	entryOffset    = 100
	operatorOffset = 200
	controlOffset  = 300
	portBlockSize  = 320
)

// ErrNotReady is returned if a process did not become ready in time.
var ErrNotReady = errors.New("process is not ready")

// Options configure a System.
type Options struct {
	Entries   int
	Services  int
	Executors int // per service
	RunTime   int // run time of a request in ms
	Bin       string
	Dir       string // directory for settings and logs
}

// System is a set of running processes.
type System struct {
	options      Options
	port         int
	platformPort int
	basePath     string
	running      map[string]*exec.Cmd
	client       *http.Client
}

// Start starts every process and waits until each entry instance is ready; errors wrap ErrNotReady.
func Start(ctx context.Context, o Options) (*System, error) {
	s := &System{options: o, running: map[string]*exec.Cmd{}, client: &http.Client{Timeout: 5 * time.Second}}
	if err := s.writeBase(); err != nil {
		return nil, err
	}
	if err := s.writeLayout(ctx); err != nil {
		return nil, err
	}
	names := []string{"platform"}
	for i := range o.Services {
		names = append(names, "endpoint-"+poolName(i))
	}
	for i := range o.Entries {
		names = append(names, EntryName(i))
	}
	for _, name := range names {
		if err := s.StartProcess(name); err != nil {
			return s, err
		}
	}
	if err := s.applyFleet(ctx); err != nil {
		return s, err
	}
	for i := range o.Entries {
		if err := s.AwaitReady(ctx, i); err != nil {
			return s, err
		}
	}
	return s, nil
}

// EntryName returns the name of an entry instance.
func EntryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// ServiceName returns the name of a service.
func ServiceName(i int) string { return fmt.Sprintf("service-%d", i+1) }

func poolName(i int) string { return fmt.Sprintf("pool-%d", i+1) }

// EntryAddress returns the base URL of the caller listener of an entry instance.
func (s *System) EntryAddress(i int) string {
	return fmt.Sprintf("http://127.0.0.1:%d", s.port+i+1)
}

func (s *System) operatorAddress(i int) string {
	return fmt.Sprintf("http://127.0.0.1:%d", s.port+operatorOffset+i+1)
}

func (s *System) controlAddress(service int) string {
	return fmt.Sprintf("http://127.0.0.1:%d", s.port+controlOffset+service+1)
}

// writeBase writes the fleet file, with executors on free ports.
func (s *System) writeBase() error {
	ports, err := FreeBlock(portBlockSize + s.options.Services*s.options.Executors)
	if err != nil {
		return err
	}
	s.port = ports
	s.platformPort = ports + portBlockSize - 1
	next := ports + portBlockSize
	zones := []string{"zone-a", "zone-b", "zone-c"}
	f := fleet.Fleet{Version: 1, Region: "test", Zones: zones}
	for i := range s.options.Services {
		p := fleet.Pool{Name: poolName(i), Fleet: "test"}
		for j := range s.options.Executors {
			zone := zones[j%len(zones)]
			p.Instances = append(p.Instances, fleet.Instance{
				ID:      fmt.Sprintf("x-%d-%d", i+1, j+1),
				Address: fmt.Sprintf("127.0.0.1:%d", next),
				Zone:    zone,
				Rack:    fmt.Sprintf("%s-%d", zone, j/len(zones)/4),
			})
			next++
		}
		f.Pools = append(f.Pools, p)
		f.Services = append(f.Services, fleet.Service{
			Name: ServiceName(i), Fleet: "test", Pool: p.Name, Slots: 8, Connections: 64,
			Budget: fleet.Budget{Available: 1}, Nearest: 0,
		})
	}
	data, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return err
	}
	s.basePath = filepath.Join(s.options.Dir, "base.json")
	return os.WriteFile(s.basePath, data, 0o600)
}

// Port range below the kernel's ephemeral ports.
const (
	lowestPort  = 10_000
	highestPort = 32_000
)

// FreeBlock returns the first of n consecutive loopback ports that were free when checked. They lie below the ephemeral
// range, so that no outgoing connection takes them while their process is down.
func FreeBlock(n int) (int, error) {
	for range 50 {
		first := lowestPort + rand.IntN(highestPort-lowestPort-n)
		if blockFree(first, n) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("found no %d consecutive free ports", n)
}

func bind(port int) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

func blockFree(first, n int) bool {
	for p := first; p < first+n; p++ {
		l, err := bind(p)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (s *System) runCommand(ctx context.Context, binary string, arguments ...string) error {
	c := exec.CommandContext(ctx, filepath.Join(s.options.Bin, binary), arguments...)
	out, err := c.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s %s: %w: %s", binary, strings.Join(arguments, " "), err, out)
	}
	return nil
}

func (s *System) writeLayout(ctx context.Context) error {
	return s.runCommand(ctx, "standin", "layout", "--dir", s.options.Dir, "--site", "test", "--faults",
		"--entries", fmt.Sprint(s.options.Entries), "--port", fmt.Sprint(s.port),
		"--platform", fmt.Sprint(s.platformPort), "--run", fmt.Sprint(s.options.RunTime), s.basePath)
}

// applyFleet applies the fleet file. It retries up to 100 times, until the platform stand-in listens.
func (s *System) applyFleet(ctx context.Context) error {
	var err error
	for range 100 {
		err = s.runCommand(ctx, "teaselloft", "apply", "--author", "test", "--site", "test",
			"--platform", fmt.Sprintf("http://127.0.0.1:%d", s.platformPort), s.basePath)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

// StartProcess starts a process from its settings file NAME.json and appends its output to NAME.log.
func (s *System) StartProcess(name string) error {
	binary := "standin"
	if strings.HasPrefix(name, "entry-") {
		binary = "teaselloft"
	}
	log, err := os.OpenFile(filepath.Join(s.options.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.CommandContext(context.Background(), filepath.Join(s.options.Bin, binary), "daemon", filepath.Join(s.options.Dir, name+".json"))
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	s.running[name] = c
	return nil
}

// Signal sends a signal to a process.
func (s *System) Signal(name string, signal syscall.Signal) error {
	return s.running[name].Process.Signal(signal)
}

// Wait waits for a process to exit; errors are those of exec.Cmd.Wait.
func (s *System) Wait(name string) error {
	err := s.running[name].Wait()
	delete(s.running, name)
	return err
}

// Kill sends SIGKILL to a process and removes an entry instance from the instance list, as the platform would.
func (s *System) Kill(name string) error {
	if err := s.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	_ = s.Wait(name) // a killed process never exits with code 0
	if !strings.HasPrefix(name, "entry-") {
		return nil
	}
	return s.setListTTL(name, 1)
}

// setListTTL sets for how many ms an entry instance stays on the instance list.
func (s *System) setListTTL(name string, ttl int) error {
	return s.post(s.platformAddress()+"/v1/instances", map[string]any{
		"ttl":       ttl,
		"instances": []map[string]string{{"id": name, "service": "teaselloft", "state": "live"}},
	})
}

// Restart adds an entry instance to the instance list and starts it again after Kill or Wait.
func (s *System) Restart(name string) error {
	if err := s.setListTTL(name, 1<<30); err != nil {
		return err
	}
	return s.StartProcess(name)
}

// Close kills every running process, including stopped ones.
func (s *System) Close() {
	for name, c := range s.running {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		_ = c.Wait()
		delete(s.running, name)
	}
}

// AwaitReady waits up to 20 s until an entry instance is ready; errors wrap ErrNotReady.
func (s *System) AwaitReady(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		if s.ready(ctx, i) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", EntryName(i), ErrNotReady)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (s *System) ready(ctx context.Context, i int) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.EntryAddress(i)+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := s.client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ControlPlatform changes the faults that the platform stand-in injects.
func (s *System) ControlPlatform(c platform.Control) error {
	return s.post(s.platformAddress()+"/control", c)
}

func (s *System) platformAddress() string {
	return fmt.Sprintf("http://127.0.0.1:%d", s.platformPort)
}

// ControlEndpoint changes the behavior of the executors of a service.
func (s *System) ControlEndpoint(service int, c endpoint.Control) error {
	return s.post(s.controlAddress(service)+"/control", c)
}

// Counters returns the counters of a service's executors by executor ID.
func (s *System) Counters(service int) (map[string]endpoint.Counters, error) {
	counters := map[string]endpoint.Counters{}
	return counters, s.get(s.controlAddress(service)+"/counters", &counters)
}

// Partition drops the frames between entry instance i and another in the given directions; false for both heals the
// partition.
func (s *System) Partition(i int, other string, in, out bool) error {
	return s.post(s.operatorAddress(i)+"/cut", map[string]any{"entry": other, "in": in, "out": out})
}

// Owner returns the name of the entry instance that owns a service according to entry instance i, empty if unknown.
func (s *System) Owner(i, service int) (string, error) {
	var dump struct {
		Route struct {
			Owners map[string]struct {
				Entry string `json:"entry"`
			} `json:"owners"`
		} `json:"route"`
	}
	if err := s.get(s.operatorAddress(i)+"/dump", &dump); err != nil {
		return "", err
	}
	return dump.Route.Owners[ServiceName(service)].Entry, nil
}

func (s *System) post(address string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return s.call(http.MethodPost, address, bytes.NewReader(data), nil)
}

func (s *System) get(address string, answer any) error {
	return s.call(http.MethodGet, address, http.NoBody, answer)
}

func (s *System) call(method, address string, body io.Reader, answer any) error {
	r, err := http.NewRequestWithContext(context.Background(), method, address, body)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+Token)
	r.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d: %s", method, address, response.StatusCode, data)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(data, answer)
}
