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

// deadline bounds each wait of a test; it is generous for loaded machines.
const deadline = 30 * time.Second

// events collects what a link publishes.
type events struct {
	sync.Mutex
	changed []message.RecordChanged
	renewed []message.LeaseRenewed
	listed  []message.InstancesListed
}

var recorders sync.Map // *events by process name

func init() {
	kernel.Register("recorder", struct{}{}, func(h *kernel.Host, _ struct{}) ([]kernel.Duty, error) {
		e := &events{}
		recorders.Store(h.Settings.Name, e)
		subscribe(h, e, message.RecordTopic, &e.changed)
		subscribe(h, e, message.LeaseRenewedTopic, &e.renewed)
		subscribe(h, e, message.InstancesTopic, &e.listed)
		return nil, nil
	})
}

func subscribe[T any](h *kernel.Host, e *events, topic kernel.Topic[T], into *[]T) {
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

// rig is a platform stand-in.
type rig struct {
	c       *qt.C
	address string
}

func newRig(t *testing.T) rig {
	t.Parallel()
	c := qt.New(t)
	p := start(c, "standin", `{"platform-standin":{"lag":0}}`)
	a, ok := kernel.Use[standin.Address](p.host)
	c.Assert(ok, qt.IsTrue)
	return rig{c: c, address: a.Address()}
}

func (r rig) entry(name string) (process, *events) {
	return r.entryWith(name, "")
}

// entryWith adds fields to the settings of the platform plug-in.
func (r rig) entryWith(name, fields string) (process, *events) {
	p := start(r.c, name, fmt.Sprintf(`{"recorder":{},"platform":{"addresses":[%q],"entry":"127.0.0.1:1"%s}}`, r.address, fields))
	e, _ := recorders.Load(name)
	return p, e.(*events)
}

func (r rig) store() *platform.Store {
	s, err := platform.NewStore([]string{r.address}, "site")
	r.c.Assert(err, qt.IsNil)
	r.c.Cleanup(s.Close)
	return s
}

func (r rig) control(body string) {
	r.c.Helper()
	response, err := http.Post(r.address+"/control", "application/json", bytes.NewBufferString(body))
	r.c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	r.c.Assert(response.StatusCode, qt.Equals, http.StatusNoContent)
}

func (r rig) counters() standin.Counters {
	r.c.Helper()
	response, err := http.Get(r.address + "/counters")
	r.c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	var counters standin.Counters
	r.c.Assert(json.NewDecoder(response.Body).Decode(&counters), qt.IsNil)
	return counters
}

// await waits until a condition holds.
func await(c *qt.C, what string, holds func() bool) {
	c.Helper()
	end := time.Now().Add(deadline)
	for !holds() {
		if time.Now().After(end) {
			c.Fatalf("deadline passed: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// has says whether a change was published that satisfies match.
func (e *events) has(match func(message.RecordChanged) bool) bool {
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

func (e *events) renewals() int {
	e.Lock()
	defer e.Unlock()
	return len(e.renewed)
}

// Guards against an entry that is not visible to others, has no proof of its lease, or leaves its key behind.
func TestMembership(t *testing.T) {
	r := newRig(t)
	a, _ := r.entry("a")
	_, seen := r.entry("b")
	await(r.c, "b sees a", func() bool { return seen.has(isMember("a", false)) })
	await(r.c, "b is renewed", func() bool { return seen.renewals() > 1 })
	self, ok := kernel.Use[message.Identity](a.host)
	r.c.Assert(ok, qt.IsTrue)
	got, _, err := r.store().Read(context.Background(), "member/a")
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(got, qt.DeepEquals, record.Record(self.Self()))
	a.stop()
	await(r.c, "b sees a leave", func() bool { return seen.has(isMember("a", true)) })
	r.c.Assert(r.counters().Calls[standin.KindRevoke], qt.Equals, int64(1))
}

// Guards against a write whose lost answer is reported as a failure or makes it run twice.
func TestLostAnswerIsResolved(t *testing.T) {
	r := newRig(t)
	s := r.store()
	ctx := context.Background()
	r.control(`{"lose_next":1}`)
	first, err := s.CompareAndSwap(ctx, message.Write{Record: record.Owner{Service: "x", Entry: "a", Epoch: 1}})
	r.c.Assert(err, qt.IsNil)
	r.control(`{"lose_next":1}`)
	_, err = s.CompareAndSwap(ctx, message.Write{Record: record.Owner{Service: "x", Entry: "a", Epoch: 2}, Expected: first})
	r.c.Assert(err, qt.IsNil)
	_, err = s.CompareAndSwap(ctx, message.Write{Record: record.Owner{Service: "x", Entry: "b", Epoch: 2}, Expected: first})
	r.c.Assert(err, qt.ErrorIs, message.ErrConflict)
	r.c.Assert(r.counters().Revision, qt.Equals, first+1)
}
