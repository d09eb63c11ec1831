package config_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/link/platform"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/settings/store"
	standin "teaselloft/internal/standin/platform"

	qt "github.com/frankban/quicktest"
)

// deadline bounds each wait; it is generous for loaded machines.
const deadline = 30 * time.Second

// watcher records the versions that a process publishes.
type watcher struct {
	sync.Mutex
	seen []uint64
}

var watchers sync.Map // *watcher by process name

func init() {
	kernel.Register("watcher", struct{}{}, func(h *kernel.Host, _ struct{}) ([]kernel.Duty, error) {
		w := &watcher{}
		watchers.Store(h.Settings.Name, w)
		kernel.Subscribe(h, message.ConfigTopic, func(_ context.Context, m message.ConfigChanged) error {
			w.Lock()
			defer w.Unlock()
			w.seen = append(w.seen, m.Fleet.Version)
			return nil
		})
		return nil, nil
	})
}

// latest returns the last published version, 0 if there is none.
func (w *watcher) latest() uint64 {
	w.Lock()
	defer w.Unlock()
	if len(w.seen) == 0 {
		return 0
	}
	return w.seen[len(w.seen)-1]
}

// startProcess runs a process until the test ends.
func startProcess(c *qt.C, name, plugins string) *kernel.Host {
	s, err := kernel.ParseSettings(fmt.Appendf(nil, `{"name":%q,"zone":"ka","site":"kartli","plugins":%s}`, name, plugins))
	c.Assert(err, qt.IsNil)
	k, err := kernel.New(s, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return k.Host()
}

// control sets the faults of the platform stand-in. It may be called from any goroutine.
func control(c *qt.C, address, body string) {
	resp, err := http.Post(address+"/control", "application/json", strings.NewReader(body))
	if err != nil {
		c.Error(err)
		return
	}
	c.Check(resp.Body.Close(), qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusNoContent)
}

func waitFor(c *qt.C, what string, holds func() bool) {
	for end := time.Now().Add(deadline); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("%s: not within %v", what, deadline)
		}
	}
}

// applyConcurrently applies four changes to the same version and returns the number of changes that succeeded.
func applyConcurrently(c *qt.C, address string, base uint64) int32 {
	var applied atomic.Int32
	var operators sync.WaitGroup
	for operator := range 4 {
		operators.Go(func() {
			s, err := platform.NewStore([]string{address}, "kartli")
			if err != nil {
				c.Error(err)
				return
			}
			defer s.Close()
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			f := fleet.Fleet{Region: fmt.Sprint(base, "-", operator)}
			_, err = store.Apply(ctx, s, store.Change{ID: fmt.Sprint("id-", base, "-", operator), Base: base, Fleet: f})
			switch {
			case err == nil:
				applied.Add(1)
			case !errors.Is(err, store.ErrStale):
				c.Errorf("operator %d from version %d: %v", operator, base, err)
			}
		})
	}
	operators.Wait()
	return applied.Load()
}

// Guards against conflicting changes that both succeed, and versions that an entry instance misses or reverts, when
// answers are lost, the platform is down or a watch breaks. It uses the platform's protocol, where the other tests use an
// in-memory store.
func TestConcurrentChangesWithPlatformFaults(t *testing.T) {
	c := qt.New(t)
	host := startProcess(c, "platform", `{"platform-standin":{}}`)
	standinAddress, ok := kernel.Use[standin.Address](host)
	c.Assert(ok, qt.IsTrue)
	address := standinAddress.Address()
	control(c, address, `{"lose":0.2}`)

	var entries []*watcher
	for _, name := range []string{"entry-1", "entry-2"} {
		startProcess(c, name, fmt.Sprintf(`{"platform":{"addresses":[%q]},"config":{},"watcher":{}}`, address))
		w, _ := watchers.Load(name)
		entries = append(entries, w.(*watcher))
	}
	const rounds = 10
	for base := range uint64(rounds) {
		if base == rounds/2 {
			control(c, address, `{"outage":true,"break":true}`)
			restore := time.AfterFunc(300*time.Millisecond, func() { control(c, address, `{"outage":false}`) })
			defer restore.Stop()
		}
		c.Assert(applyConcurrently(c, address, base), qt.Equals, int32(1), qt.Commentf("version %d", base+1))
	}
	for i, w := range entries {
		waitFor(c, fmt.Sprintf("version %d in entry instance %d", rounds, i+1), func() bool { return w.latest() == rounds })
		w.Lock()
		c.Check(slices.IsSorted(w.seen), qt.IsTrue, qt.Commentf("%v", w.seen))
		w.Unlock()
	}
}
