package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	_ "teaselloft/internal/link/caller"
	_ "teaselloft/internal/link/endpoint"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"

	qt "github.com/frankban/quicktest"
)

// waitTimeout limits each wait in these tests.
const waitTimeout = 20 * time.Second

// router is a fake routing duty. It answers with the verdicts of decide and records the events that it receives.
type router struct {
	decide func(request message.Request, attempt int) message.Verdict

	mutex    sync.Mutex
	finished []message.SendFinished
	canceled []message.RequestCanceled
	arrived  []message.Request
}

var routers sync.Map // by process name

func init() {
	kernel.Register("router", struct{}{}, func(h *kernel.Host, _ struct{}) ([]kernel.Duty, error) {
		events := kernel.Open(h, message.RoutePort)
		r, _ := routers.Load(h.Settings.Name)
		return []kernel.Duty{{Name: "router", Run: func(ctx context.Context) error {
			return r.(*router).run(ctx, events)
		}}}, nil
	})
}

func (r *router) run(ctx context.Context, events *ring.Ring[message.Event]) error {
	type pending struct {
		arrive  message.RequestArrived
		attempt int
	}
	open := map[message.ID]*pending{}
	reply := func(p *pending) error {
		p.attempt++
		if v := r.decide(p.arrive.Request, p.attempt); v != nil {
			return p.arrive.Reply.Push(ctx, v)
		}
		return nil
	}
	for {
		e, err := events.Pull(ctx)
		if err != nil {
			return err
		}
		r.mutex.Lock()
		switch e := e.(type) {
		case message.RequestArrived:
			r.arrived = append(r.arrived, e.Request)
			open[e.Request.ID] = &pending{arrive: e}
			err = reply(open[e.Request.ID])
		case message.SendFinished:
			r.finished = append(r.finished, e)
			if e.Retry {
				err = reply(open[e.ID])
			}
		case message.RequestCanceled:
			r.canceled = append(r.canceled, e)
		case message.RecordChanged, message.ConfigChanged, message.InspectInstance, message.LinkChanged, message.InstancesListed, message.FrameReceived, message.LeaseRenewed, message.RenewalFailed:
			return fmt.Errorf("the caller link sent %T", e)
		default:
			return fmt.Errorf("event %T is not known", e)
		}
		r.mutex.Unlock()
		if err != nil {
			return err
		}
	}
}

func (r *router) finishedSends() []message.SendFinished {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]message.SendFinished(nil), r.finished...)
}

func (r *router) cancellations() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.canceled)
}

func (r *router) arrivals() []message.Request {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]message.Request(nil), r.arrived...)
}

// sendAll returns a decide function that sends every request to one address.
func sendAll(address string) func(message.Request, int) message.Verdict {
	return func(q message.Request, _ int) message.Verdict {
		return message.Send{
			Executor: message.Executor{ID: "e1", Address: address},
			Service:  "flag-calendar", Correction: "flag-calender>flag-calendar (correction)", Config: 7, Owner: "entry-2",
		}
	}
}

// process is a running entry instance with the caller and endpoint plug-ins.
type process struct {
	kernel *kernel.Kernel
	url    string
	stop   context.CancelFunc
	done   chan error
}

func start(t *testing.T, r *router, caller string) *process {
	t.Helper()
	c := qt.New(t)
	routers.Store(t.Name(), r)
	text := fmt.Sprintf(`{"name":%q,"zone":"a","plugins":{"router":{},"endpoint":{},"caller":%s}}`, t.Name(), caller)
	s, err := kernel.ParseSettings([]byte(text))
	c.Assert(err, qt.IsNil)
	k, err := kernel.New(s, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{kernel: k, stop: cancel, done: make(chan error, 1)}
	go func() { p.done <- k.Run(ctx) }()
	p.url = "http://" + dump(c, k)["address"].(string)
	t.Cleanup(func() { p.wait(c) })
	return p
}

func dump(c *qt.C, k *kernel.Kernel) map[string]any {
	data, err := json.Marshal(k.Host().DumpState()["caller"])
	c.Assert(err, qt.IsNil)
	var section map[string]any
	c.Assert(json.Unmarshal(data, &section), qt.IsNil)
	return section
}

// wait stops the process and checks that it stopped without an error.
func (p *process) wait(c *qt.C) {
	p.stop()
	select {
	case err := <-p.done:
		p.done <- err
		c.Assert(err, qt.IsNil)
	case <-time.After(waitTimeout):
		c.Fatal("process did not stop")
	}
}

func (p *process) configure(c *qt.C) {
	err := kernel.Publish(context.Background(), p.kernel.Host(), message.ConfigTopic,
		message.ConfigChanged{Fleet: fleet.Fleet{Version: 7}})
	c.Assert(err, qt.IsNil)
}

const plainSettings = `{"listen":{"address":"127.0.0.1:0"},"grace":"0s"}`

// executor starts an HTTP server with the given handler and returns its address.
func executor(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// rawExecutor starts a TCP server that runs handle for each connection. It returns the server's address.
func rawExecutor(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}

type result struct {
	status int
	header http.Header
	body   string
}

// do sends a request on a new connection. header holds names and values alternately.
func do(t *testing.T, method, url, body string, header ...string) (result, error) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	qt.New(t).Assert(err, qt.IsNil)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(data)}, err
}

func mustDo(t *testing.T, method, url, body string, header ...string) result {
	t.Helper()
	r, err := do(t, method, url, body, header...)
	qt.New(t).Assert(err, qt.IsNil)
	return r
}

// eventually waits until ok returns true.
func eventually(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func routeRing(p *process) *ring.Ring[message.Event] {
	return kernel.Open(p.kernel.Host(), message.RoutePort)
}
