package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/link/platform"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	standin "teaselloft/internal/standin/platform"

	qt "github.com/frankban/quicktest"
)

// deadline bounds each wait of a test. It is generous for loaded machines.
const deadline = 30 * time.Second

// recorder records what the platform plug-in of a process publishes.
type recorder struct {
	sync.Mutex
	changed []message.RecordChanged
	renewed []message.LeaseRenewed
	listed  []message.InstancesListed
}

var recorders sync.Map // *recorder by process name

func init() {
	kernel.Register("recorder", struct{}{}, func(h *kernel.Host, _ struct{}) ([]kernel.Duty, error) {
		e := &recorder{}
		recorders.Store(h.Settings.Name, e)
		subscribe(h, e, message.RecordTopic, &e.changed)
		subscribe(h, e, message.LeaseRenewedTopic, &e.renewed)
		subscribe(h, e, message.InstancesTopic, &e.listed)
		return nil, nil
	})
}

func subscribe[T any](h *kernel.Host, e *recorder, topic kernel.Topic[T], into *[]T) {
	kernel.Subscribe(h, topic, func(_ context.Context, v T) error {
		e.Lock()
		defer e.Unlock()
		*into = append(*into, v)
		return nil
	})
}

// process is a running kernel.
type process struct {
	host *kernel.Host
	stop func()
}

func start(c *qt.C, name, plugins string) process {
	c.Helper()
	s, err := kernel.ParseSettings(fmt.Appendf(nil, `{"name":%q,"zone":"z1","site":"site","plugins":%s}`, name, plugins))
	c.Assert(err, qt.IsNil)
	k, err := kernel.New(s, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		select {
		case err := <-ended:
			c.Check(err, qt.IsNil)
		case <-time.After(deadline):
			c.Errorf("process %q does not stop", name)
		}
	})
	c.Cleanup(stop)
	return process{host: k.Host(), stop: stop}
}

// fixture is a running platform stand-in.
type fixture struct {
	c       *qt.C
	address string
}

func newFixture(t *testing.T) fixture {
	t.Parallel()
	c := qt.New(t)
	p := start(c, "standin", `{"platform-standin":{"lag":0}}`)
	a, ok := kernel.Use[standin.Address](p.host)
	c.Assert(ok, qt.IsTrue)
	return fixture{c: c, address: a.Address()}
}

func (f fixture) startEntry(name string) (process, *recorder) {
	return f.startEntryWith(name, "")
}

// startEntryWith starts an entry instance with additional fields in the settings of its platform plug-in.
func (f fixture) startEntryWith(name, fields string) (process, *recorder) {
	p := start(f.c, name, fmt.Sprintf(`{"recorder":{},"platform":{"addresses":[%q],"entry":"127.0.0.1:1"%s}}`, f.address, fields))
	e, _ := recorders.Load(name)
	return p, e.(*recorder)
}

func (f fixture) store() *platform.Store {
	s, err := platform.NewStore([]string{f.address}, "site")
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(s.Close)
	return s
}

func (f fixture) control(body string) {
	f.c.Helper()
	response, err := http.Post(f.address+"/control", "application/json", bytes.NewBufferString(body))
	f.c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	f.c.Assert(response.StatusCode, qt.Equals, http.StatusNoContent)
}

func (f fixture) counters() standin.Counters {
	f.c.Helper()
	response, err := http.Get(f.address + "/counters")
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	var counters standin.Counters
	f.c.Assert(json.NewDecoder(response.Body).Decode(&counters), qt.IsNil)
	return counters
}

// waitFor waits until the condition holds.
func waitFor(c *qt.C, what string, holds func() bool) {
	c.Helper()
	end := time.Now().Add(deadline)
	for !holds() {
		if time.Now().After(end) {
			c.Fatalf("deadline passed: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// has reports whether a published change satisfies match.
func (e *recorder) has(match func(message.RecordChanged) bool) bool {
	e.Lock()
	defer e.Unlock()
	return slices.ContainsFunc(e.changed, match)
}

func isMember(entry string, deleted bool) func(message.RecordChanged) bool {
	return func(m message.RecordChanged) bool {
		member, ok := m.Record.(record.Member)
		return ok && member.Entry == entry && m.Deleted == deleted
	}
}

func (e *recorder) renewals() int {
	e.Lock()
	defer e.Unlock()
	return len(e.renewed)
}

// Guards against an entry instance that is not visible to others, never renews its lease, or leaves its key behind.
func TestMembership(t *testing.T) {
	f := newFixture(t)
	a, _ := f.startEntry("a")
	_, seen := f.startEntry("b")
	waitFor(f.c, "b sees a", func() bool { return seen.has(isMember("a", false)) })
	waitFor(f.c, "b is renewed", func() bool { return seen.renewals() > 1 })
	self, ok := kernel.Use[message.Identity](a.host)
	f.c.Assert(ok, qt.IsTrue)
	got, _, err := f.store().Read(context.Background(), "member/a")
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(got, qt.DeepEquals, record.Record(self.Self()))
	a.stop()
	waitFor(f.c, "b sees a leave", func() bool { return seen.has(isMember("a", true)) })
	f.c.Assert(f.counters().Calls[standin.KindRevoke], qt.Equals, int64(1))
}

// Guards against a write that is reported as failed, or applied twice, because its answer was lost.
func TestLostAnswerIsResolved(t *testing.T) {
	f := newFixture(t)
	s := f.store()
	ctx := context.Background()
	f.control(`{"lose_next":1}`)
	first, err := s.CompareAndSwap(ctx, message.Write{Record: record.Owner{Service: "x", Entry: "a", Epoch: 1}})
	f.c.Assert(err, qt.IsNil)
	f.control(`{"lose_next":1}`)
	_, err = s.CompareAndSwap(ctx, message.Write{Record: record.Owner{Service: "x", Entry: "a", Epoch: 2}, Expected: first})
	f.c.Assert(err, qt.IsNil)
	_, err = s.CompareAndSwap(ctx, message.Write{Record: record.Owner{Service: "x", Entry: "b", Epoch: 2}, Expected: first})
	f.c.Assert(err, qt.ErrorIs, message.ErrConflict)
	f.c.Assert(f.counters().Revision, qt.Equals, first+1)
}
