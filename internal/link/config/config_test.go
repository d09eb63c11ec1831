package config_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/link/config"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"
	"teaselloft/internal/standin/memory"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"
)

// process is an entry instance with the plug-in, an in-memory store and two subscribers.
type process struct {
	store       *memory.Store
	host        *kernel.Host
	heads       chan message.RecordChanged
	seen        []uint64     // versions received by a subscriber that refuses some
	seenByFirst []uint64     // versions received by a subscriber before it, which refuses none
	refuse      atomic.Int32 // number of publications still to refuse
	latest      fleet.Fleet
	stop        func()
}

// starting is the process that the plug-in "memory" is built for.
var starting *process

var errFull = errors.New("subscriber is full")

func init() {
	kernel.Register("memory", struct{}{}, func(h *kernel.Host, _ struct{}) ([]kernel.Duty, error) {
		p := starting
		p.host = h
		kernel.Provide[message.Store](h, p.store)
		kernel.Subscribe(h, message.ConfigTopic, func(_ context.Context, m message.ConfigChanged) error {
			p.seenByFirst = append(p.seenByFirst, m.Fleet.Version)
			return nil
		})
		kernel.Subscribe(h, message.ConfigTopic, func(_ context.Context, m message.ConfigChanged) error {
			if p.refuse.Add(-1) >= 0 {
				return errFull
			}
			p.seen = append(p.seen, m.Fleet.Version)
			p.latest = m.Fleet
			return nil
		})
		return []kernel.Duty{{Name: "memory", Run: func(ctx context.Context) error {
			for {
				select {
				case <-ctx.Done():
					return ctx.Err()
				case m := <-p.heads:
					if err := kernel.Publish(ctx, h, message.RecordTopic, m); err != nil {
						return err
					}
				}
			}
		}}}, nil
	})
}

// start runs a process in the current synctest bubble.
func start(c *qt.C) *process {
	p := &process{store: memory.New(), heads: make(chan message.RecordChanged, 1000)}
	starting = p
	settings, err := kernel.ParseSettings([]byte(`{"name":"entry-1","plugins":{"config":{},"memory":{}}}`))
	c.Assert(err, qt.IsNil)
	k, err := kernel.New(settings, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	p.stop = func() {
		cancel()
		c.Assert(<-done, qt.IsNil)
	}
	return p
}

// apply stores the next version. The process sees it only when publishHeads is called.
func (p *process) apply(c *qt.C, slots int) record.ConfigHead {
	head, _, err := store.ReadHead(context.Background(), p.store)
	c.Assert(err, qt.IsNil)
	f := fleet.Fleet{Region: "kartli", Services: []fleet.Service{{Name: "flag-calendar", Slots: slots}}}
	_, err = store.Apply(context.Background(), p.store, store.Change{ID: fmt.Sprint("id-", head.Version+1), Base: head.Version, Fleet: f})
	c.Assert(err, qt.IsNil)
	head, _, err = store.ReadHead(context.Background(), p.store)
	c.Assert(err, qt.IsNil)
	return head
}

func (p *process) publishHeads(heads ...record.ConfigHead) {
	for _, h := range heads {
		p.heads <- message.RecordChanged{Record: h}
	}
}

// advance moves the virtual clock by d and waits until all goroutines of the bubble block.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (p *process) activeVersion(c *qt.C) uint64 {
	s, ok := kernel.Use[message.ConfigStatus](p.host)
	c.Assert(ok, qt.IsTrue)
	version, _ := s.ActiveVersion()
	return version
}

func (p *process) count(name string) int64 {
	return p.host.Metrics.Get(name).(metrics.Counter).Count()
}

// Guards against a version that is not applied or not reported in the state dump.
func TestAdoptsNewVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := start(c)
		defer p.stop()
		for slots := 1; slots <= 60; slots++ {
			p.publishHeads(p.apply(c, slots))
			synctest.Wait()
			c.Assert(p.latest.Services[0].Slots, qt.Equals, slots)
			c.Assert(p.activeVersion(c), qt.Equals, uint64(slots))
		}
		c.Check(p.seen, qt.HasLen, 60)
		c.Check(fmt.Sprintf("%+v", p.host.DumpState()["config"]), qt.Matches, `{Version:60 Since:.* Services:1 Instances:0 Wanted:60 Error:}`)
		c.Check(p.host.Metrics.Get("config.version").(metrics.Gauge).Value(), qt.Equals, int64(60))
	})
}

// Guards against a return to an older version, whatever the order and number of heads and offers.
func TestNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides Deadline, which must not be called in a synctest bubble.
		c := qt.New(t)
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			p := start(c)
			defer p.stop()
			var heads []record.ConfigHead
			for i := range rapid.IntRange(1, 6).Draw(t, "versions") {
				heads = append(heads, p.apply(c, i))
			}
			highest := uint64(0)
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(heads)-1), 1, 12).Draw(t, "order") {
				if rapid.IntRange(0, 4).Draw(t, "fault") == 0 {
					p.refuse.Store(1)
				}
				if rapid.Bool().Draw(t, "offer") {
					offer := message.ConfigChanged{Fleet: fleet.Fleet{Version: heads[i].Version}}
					c.Assert(kernel.Open(p.host, message.ConfigPort).Push(context.Background(), offer), qt.IsNil)
				} else {
					p.publishHeads(heads[i])
				}
				if rapid.Bool().Draw(t, "settle") {
					advance(time.Minute)
				}
				highest = max(highest, heads[i].Version)
			}
			advance(time.Minute)
			for i := 1; i < len(p.seen); i++ {
				if p.seen[i] <= p.seen[i-1] {
					t.Fatalf("versions %v", p.seen)
				}
			}
			if !slices.IsSorted(p.seenByFirst) {
				t.Fatalf("versions %v at a subscriber that refuses none", p.seenByFirst)
			}
			if v := p.activeVersion(c); v > highest {
				t.Fatalf("version %d is in effect, the highest is %d", v, highest)
			}
		})
	})
}

// Guards against a damaged value that replaces the last good configuration or ends the process.
func TestKeepsLastGoodVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := start(c)
		defer p.stop()
		p.publishHeads(p.apply(c, 1))
		synctest.Wait() // otherwise the duty may take both heads at once and apply only the later one
		head := p.apply(c, 2)
		p.store.Damage(head.Deltas[0], "{")
		before := p.store.Counters().Reads
		p.publishHeads(head)
		advance(time.Minute)
		c.Check(p.activeVersion(c), qt.Equals, uint64(1))
		c.Check(p.count("config.undecodable"), qt.Equals, int64(1))
		c.Check(p.store.Counters().Reads-before < 50, qt.IsTrue)
		c.Check(p.host.DumpState()["config"], qt.Not(qt.Equals), nil)
		p.publishHeads(p.apply(c, 3))
		synctest.Wait()
		c.Check(p.seen, qt.DeepEquals, []uint64{1, 3})
		c.Check(p.latest.Services[0].Slots, qt.Equals, 3)
	})
}

// Guards against an entry instance that starts without a configuration because the latest one is damaged.
func TestFallsBackToVersionBeforeDamage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := start(c)
		defer p.stop()
		for i := range 4 {
			p.apply(c, i+1)
		}
		head := p.apply(c, 5)
		p.store.Damage(head.Deltas[2], "{")
		p.refuse.Store(2)
		p.publishHeads(head)
		advance(time.Minute)
		c.Check(p.seen, qt.DeepEquals, []uint64{3})
		c.Check(p.latest.Services[0].Slots, qt.Equals, 3)
		c.Check(fmt.Sprintf("%+v", p.host.DumpState()["config"]), qt.Matches, `{Version:3 .* Wanted:5 Error:.*cannot be decoded.*}`)
	})
}

// Guards against a version that is not applied after its value has been repaired.
func TestAdoptsRepairedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := start(c)
		defer p.stop()
		head := p.apply(c, 1)
		text, _, err := p.store.ReadRaw(context.Background(), head.Snapshot)
		c.Assert(err, qt.IsNil)
		p.store.Damage(head.Snapshot, "{")
		p.publishHeads(head)
		advance(time.Minute)
		c.Check(p.activeVersion(c), qt.Equals, uint64(0))
		p.store.Damage(head.Snapshot, string(text))
		advance(time.Minute)
		c.Check(p.activeVersion(c), qt.Equals, uint64(1))
	})
}

// Guards against a head that is dropped, or retried without backoff, while the platform is down.
func TestRetriesWhilePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := start(c)
		defer p.stop()
		head := p.apply(c, 1)
		p.store.Inject(func(memory.Call) memory.Fault { return memory.Refuse })
		before := p.store.Counters().Reads
		p.publishHeads(head)
		advance(10 * time.Minute)
		c.Check(p.activeVersion(c), qt.Equals, uint64(0))
		reads := p.store.Counters().Reads - before
		c.Check(reads > 100 && reads < 1000, qt.IsTrue, qt.Commentf("%d reads", reads))
		p.store.Inject(func(memory.Call) memory.Fault { return memory.None })
		advance(config.DefaultMaxRetryInterval * 3 / 2 * time.Millisecond)
		c.Check(p.activeVersion(c), qt.Equals, uint64(1))
	})
}

// Guards against a version that never reaches a subscriber that was full at first.
func TestPublishesAgainAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := start(c)
		defer p.stop()
		p.refuse.Store(3)
		p.publishHeads(p.apply(c, 1))
		advance(time.Minute)
		c.Check(p.seen, qt.DeepEquals, []uint64{1})
		c.Check(p.count("config.failed"), qt.Equals, int64(3))
	})
}

// Guards against a process that waits for the platform although another entry instance has offered a configuration.
func TestTakesOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := start(c)
		defer p.stop()
		offers := kernel.Open(p.host, message.ConfigPort)
		for _, version := range []uint64{4, 3, 4} {
			err := offers.Push(context.Background(), message.ConfigChanged{Fleet: fleet.Fleet{Version: version}})
			c.Assert(err, qt.IsNil)
		}
		synctest.Wait()
		c.Check(p.seen, qt.DeepEquals, []uint64{4})
		for i := range 5 {
			p.publishHeads(p.apply(c, i))
		}
		synctest.Wait()
		c.Check(p.seen, qt.DeepEquals, []uint64{4, 5})
		c.Check(p.activeVersion(c), qt.Equals, uint64(5))
	})
}
