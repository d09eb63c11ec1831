package plan_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/wave"
	"teaselloft/internal/link/plan"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// platform is an in-memory store whose instances reboot as soon as their record says so.
type platform struct {
	mutex     sync.Mutex
	host      *kernel.Host
	records   map[string]message.RecordChanged
	revision  int64
	fleet     fleet.Fleet
	down      map[string]bool // instances that are off the instance list
	loseEvery int             // after every loseEvery-th write, the answer is lost although the write took effect
	writes    int
	owns      bool
}

func (p *platform) CompareAndSwap(ctx context.Context, w message.Write) (int64, error) {
	p.mutex.Lock()
	key := w.Record.Key()
	if p.records[key].Revision != w.Expected {
		p.mutex.Unlock()
		return 0, message.ErrConflict
	}
	p.revision++
	change := message.RecordChanged{Record: w.Record, Revision: p.revision}
	p.records[key] = change
	p.writes++
	lost := p.loseEvery > 0 && p.writes%p.loseEvery == 0
	p.mutex.Unlock()
	if i, ok := w.Record.(record.Instance); ok && i.State == record.Rebooting {
		p.reboot(ctx, i.ID)
	}
	err := kernel.Publish(ctx, p.host, message.RecordTopic, change)
	if lost {
		return 0, message.ErrUnavailable
	}
	return change.Revision, err
}

// reboot removes the instance from the instance list and adds it again.
func (p *platform) reboot(ctx context.Context, id string) {
	for _, down := range []bool{true, false} {
		p.down[id] = down
		_ = kernel.Publish(ctx, p.host, message.InstancesTopic, p.list())
	}
}

func (p *platform) list() message.InstancesListed {
	var l message.InstancesListed
	for _, pool := range p.fleet.Pools {
		for _, i := range pool.Instances {
			if !p.down[i.ID] {
				l.Instances = append(l.Instances, message.Listing{ID: i.ID, Zone: i.Zone, Rack: i.Rack, State: "live"})
			}
		}
	}
	return l
}

func (p *platform) Read(_ context.Context, key string) (record.Record, int64, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	r, ok := p.records[key]
	if !ok {
		return nil, 0, message.ErrNotFound
	}
	return r.Record, r.Revision, nil
}

func (p *platform) List(_ context.Context, prefix string) ([]message.RecordChanged, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var found []message.RecordChanged
	for key, r := range p.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, r)
		}
	}
	return found, nil
}

func (*platform) ReadRaw(context.Context, string) ([]byte, int64, error) {
	return nil, 0, message.ErrNotFound
}

func (*platform) WriteRaw(context.Context, string, []byte) error { return message.ErrUnavailable }

func (p *platform) Owns(string) (uint64, time.Time, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return 1, time.Now().Add(time.Minute), p.owns
}

func (*platform) InFlight(string) int { return 0 }

// current is the platform that the stub plug-in provides.
var current *platform

func init() {
	kernel.Register("stub", struct{}{}, func(h *kernel.Host, _ struct{}) ([]kernel.Duty, error) {
		current.host = h
		kernel.Provide[message.Store](h, current)
		kernel.Provide[message.Ownership](h, current)
		kernel.Provide[message.InFlightCounter](h, current)
		return nil, nil
	})
}

func newPlatform(instances int) *platform {
	pool := fleet.Pool{Name: "calendar"}
	for n := range instances {
		pool.Instances = append(pool.Instances, fleet.Instance{ID: fmt.Sprintf("cal-%d", n), Zone: "a", Rack: fmt.Sprint(n)})
	}
	return &platform{
		records: map[string]message.RecordChanged{},
		down:    map[string]bool{},
		owns:    true,
		fleet: fleet.Fleet{
			Version: 1, Pools: []fleet.Pool{pool},
			Services: []fleet.Service{{Name: "flag-calendar", Pool: pool.Name, Budget: fleet.Budget{
				Available: instances - 2, Domain: fleet.DomainRack,
			}}},
		},
	}
}

// startKernel runs the plug-in until the test ends.
func startKernel(c *qt.C, p *platform) *kernel.Kernel {
	current = p
	s, err := kernel.ParseSettings([]byte(`{"name":"e1","plugins":{"stub":{},"` + plan.Name + `":{"grace":"1ms","poll":"5ms","pace":"1ms"}}}`))
	c.Assert(err, qt.IsNil)
	k, err := kernel.New(s, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Assert(<-done, qt.IsNil)
	})
	c.Assert(kernel.Publish(ctx, k.Host(), message.ConfigTopic, message.ConfigChanged{Fleet: p.fleet}), qt.IsNil)
	c.Assert(kernel.Publish(ctx, k.Host(), message.InstancesTopic, p.list()), qt.IsNil)
	return k
}

// waitFor waits until the condition holds.
func waitFor(c *qt.C, condition func() bool) {
	c.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("deadline exceeded"))
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *platform) phase(id string) record.WavePhase {
	r, _, err := p.Read(context.Background(), record.Wave{ID: id}.Key())
	if err != nil {
		return ""
	}
	return r.(record.Wave).Phase
}

// Guards against a planner that stalls on lost answers or ends a wave before every instance serves again.
func TestWaveRunsThroughPlugin(t *testing.T) {
	c := qt.New(t)
	leaks := goleak.IgnoreCurrent()
	c.Cleanup(func() { goleak.VerifyNone(t, leaks) })
	p := newPlatform(5)
	p.loseEvery = 7
	k := startKernel(c, p)
	_, err := p.CompareAndSwap(context.Background(), message.Write{Record: record.Wave{ID: "w1", Phase: record.Running}})
	c.Assert(err, qt.IsNil)
	waitFor(c, func() bool { return p.phase("w1") == record.Done })
	records, err := p.List(context.Background(), record.PrefixInstance)
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, 5)
	for _, r := range records {
		c.Assert(r.Record.(record.Instance).State, qt.Equals, record.Serving)
		c.Assert(r.Record.(record.Instance).Wave, qt.Equals, "w1")
	}
	dump, err := json.Marshal(k.Host().DumpState()[plan.Name])
	c.Assert(err, qt.IsNil)
	var report wave.Report
	c.Assert(json.Unmarshal(dump, &report), qt.IsNil)
	c.Assert(report.Epoch, qt.Equals, uint64(1))
	c.Assert(report.Waves, qt.HasLen, 1)
}

// Guards against an entry instance that plans without owning the service name planner.
func TestNoWritesWithoutOwnership(t *testing.T) {
	c := qt.New(t)
	leaks := goleak.IgnoreCurrent()
	c.Cleanup(func() { goleak.VerifyNone(t, leaks) })
	p := newPlatform(5)
	p.owns = false
	k := startKernel(c, p)
	_, err := p.CompareAndSwap(context.Background(), message.Write{Record: record.Wave{ID: "w1", Phase: record.Running}})
	c.Assert(err, qt.IsNil)
	report := func() wave.Report { return k.Host().DumpState()[plan.Name].(wave.Report) }
	waitFor(c, func() bool { return len(report().Waves) == 1 })
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c.Assert(p.writes, qt.Equals, 1)
}
