package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"teaselloft/internal/core/kernel"
	_ "teaselloft/internal/link/entry"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// waitTimeout bounds every wait of these tests.
const waitTimeout = 20 * time.Second

// recorder replaces the routing duty and records the events it receives.
type recorder struct {
	mutex  sync.Mutex
	events []message.Event
}

var recorders sync.Map // by process name

func init() {
	kernel.Register("recorder", struct{}{}, func(h *kernel.Host, _ struct{}) ([]kernel.Duty, error) {
		events := kernel.Open(h, message.RoutePort)
		v, _ := recorders.Load(h.Settings.Name)
		r := v.(*recorder)
		return []kernel.Duty{{Name: "recorder", Run: func(ctx context.Context) error {
			for {
				e, err := events.Pull(ctx)
				if err != nil {
					return err
				}
				r.mutex.Lock()
				r.events = append(r.events, e)
				r.mutex.Unlock()
			}
		}}}, nil
	})
}

// received returns the frames received from an entry instance, in order.
func (r *recorder) received(from string) []message.Frame {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []message.Frame
	for _, e := range r.events {
		if got, ok := e.(message.FrameReceived); ok && got.From == from {
			all = append(all, got.Frame)
		}
	}
	return all
}

// linkReports returns whether the link to an entry instance was up, report by report.
func (r *recorder) linkReports(entry string) []bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []bool
	for _, e := range r.events {
		if l, ok := e.(message.LinkChanged); ok && l.Entry == entry {
			all = append(all, l.Up)
		}
	}
	return all
}

func (r *recorder) down(entry string) bool {
	all := r.linkReports(entry)
	return len(all) > 0 && !all[len(all)-1]
}

func (r *recorder) up(entry string) bool {
	all := r.linkReports(entry)
	return len(all) > 0 && all[len(all)-1]
}

// node is a running entry instance with the plug-in entry and a recorder.
type node struct {
	*recorder
	name    string
	address string
	kernel  *kernel.Kernel
	stop    context.CancelFunc
	done    chan error
}

const credential = "s3cret-of-the-site"

func start(t *testing.T, name, extra string) *node {
	t.Helper()
	c := qt.New(t)
	n := &node{recorder: &recorder{}, name: name, done: make(chan error, 1)}
	recorders.Store(name, n.recorder)
	text := fmt.Sprintf(`{"name":%q,"plugins":{"recorder":{},"entry":{"listen":{"address":"127.0.0.1:0"},"credential":%q%s}}}`,
		name, credential, extra)
	s, err := kernel.ParseSettings([]byte(text))
	c.Assert(err, qt.IsNil)
	n.kernel, err = kernel.New(s, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	data, err := json.Marshal(n.kernel.Host().DumpState()["entry"])
	c.Assert(err, qt.IsNil)
	var section struct{ Address string }
	c.Assert(json.Unmarshal(data, &section), qt.IsNil)
	n.address = section.Address
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { n.done <- n.kernel.Run(ctx) }()
	t.Cleanup(func() { n.shutdown(c) })
	return n
}

// shutdown stops the process and checks that it stopped without an error.
func (n *node) shutdown(c *qt.C) {
	n.stop()
	select {
	case err := <-n.done:
		n.done <- err
		c.Assert(err, qt.IsNil)
	case <-time.After(waitTimeout):
		c.Fatal("process did not stop")
	}
}

func (n *node) member(incarnation string) record.Member {
	return record.Member{Entry: n.name, Incarnation: incarnation, Address: n.address}
}

// publish publishes added, changed or deleted member records to the node.
func (n *node) publish(c *qt.C, deleted bool, members ...record.Member) {
	for _, m := range members {
		err := kernel.Publish(context.Background(), n.kernel.Host(), message.RecordTopic,
			message.RecordChanged{Record: m, Deleted: deleted})
		c.Assert(err, qt.IsNil)
	}
}

func (n *node) send(c *qt.C, to string, f message.Frame) {
	err := kernel.Open(n.kernel.Host(), message.FramePort).Push(context.Background(), message.OutgoingFrame{To: to, Frame: f})
	c.Assert(err, qt.IsNil)
}

func (n *node) count(name string) int64 {
	return n.kernel.Host().Metrics.Get("entry." + name).(metrics.Counter).Count()
}

// startPair starts two entry instances that have each other's member records.
func startPair(t *testing.T, extra string) (*node, *node) {
	c := qt.New(t)
	a, b := start(t, t.Name()+"-a", extra), start(t, t.Name()+"-b", extra)
	for _, n := range []*node{a, b} {
		n.publish(c, false, a.member("1"), b.member("1"))
	}
	return a, b
}

// eventually waits until ok returns true.
func eventually(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("not reached: %s", what)
		}
	}
}

func gather(epoch int) message.GatherGrants {
	return message.GatherGrants{Service: "s", Epoch: uint64(epoch)}
}

func partitionInjector(c *qt.C, n *node) message.PartitionInjector {
	injector, ok := kernel.Use[message.PartitionInjector](n.kernel.Host())
	c.Assert(ok, qt.IsTrue)
	return injector
}

// links returns the open links in the node's state dump.
func links(c *qt.C, n *node) []any {
	data, err := json.Marshal(n.kernel.Host().DumpState()["entry"])
	c.Assert(err, qt.IsNil)
	var section struct{ Links []any }
	c.Assert(json.Unmarshal(data, &section), qt.IsNil)
	return section.Links
}
