package process_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"teaselloft/internal/proof/process"
	"teaselloft/internal/standin/endpoint"
	"teaselloft/internal/standin/executor"
	"teaselloft/internal/standin/platform"
)

var (
	seed    = flag.Uint64("seed", 1, "seed of the load")
	bin     = flag.String("bin", "", "directory of the binaries; they are built when it is empty")
	verbose = flag.Bool("calls", false, "print every call that was not answered")
	full    = flag.Bool("full", false, "run every failure, not only the first")
	logs    = flag.String("logs", "", "directory that keeps settings and logs; a temporary one when it is empty")
)

// scenario is one failure while a load runs.
type scenario struct {
	name   string
	strike func(*fixture) // breaks something and repairs it
	allow  func(*qt.C, *fixture, process.History)
}

// fixture is a running system with the state of its scenario.
type fixture struct {
	*process.System
	c     *qt.C
	begin time.Time
	owner string // of service 1 before the failure
	index int
	count int                   // executions of an executor that leaves
	from  time.Duration         // when the failure began
	to    time.Duration         // when it was repaired
	alive atomic.Pointer[[]int] // entry instances that callers use
	must  func(error)
}

func (f *fixture) since() time.Duration { return time.Since(f.begin) }

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

func binaries(c *qt.C) string {
	if *bin != "" {
		path, err := filepath.Abs(*bin)
		c.Assert(err, qt.IsNil)
		return path
	}
	dir := c.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "../../../cmd/...").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return dir
}

// logDir returns where the processes of a scenario write their logs.
func logDir(c *qt.C, scenario string) string {
	if *logs == "" {
		return c.TempDir()
	}
	path, err := filepath.Abs(filepath.Join(*logs, scenario))
	c.Assert(err, qt.IsNil)
	c.Assert(os.MkdirAll(path, 0o700), qt.IsNil)
	return path
}

var scenarios = []scenario{
	{name: "owner-killed", strike: func(f *fixture) {
		f.replace(6 * time.Second)
	}, allow: func(c *qt.C, f *fixture, h process.History) {
		gap := h.LongestGap(true, 0, f.from)
		c.Check(gap < 3*time.Second, qt.IsTrue, qt.Commentf("idempotent requests waited %v", gap))
		for _, call := range h.Calls {
			lost := call.Key == "" && call.Outcome != "answered" && call.Entry != f.index
			c.Check(lost, qt.IsFalse, qt.Commentf("idempotent request was lost: %+v", call))
		}
	}},
	{name: "owner-frozen", strike: func(f *fixture) {
		f.must(f.Signal(f.owner, syscall.SIGSTOP))
		time.Sleep(time.Second)
		f.leave(f.index) // the balancer notices
		time.Sleep(5 * time.Second)
		f.must(f.Signal(f.owner, syscall.SIGCONT))
		f.join(f.index)
	}},
	{name: "entry-cut", strike: func(f *fixture) {
		other := (f.index + 1) % 4
		f.must(f.Partition(other, f.owner, true, true))
		time.Sleep(5 * time.Second)
		f.must(f.Partition(other, f.owner, false, false))
	}},
	{name: "half-cut", strike: func(f *fixture) {
		other := (f.index + 1) % 4
		f.must(f.Partition(other, f.owner, true, false))
		time.Sleep(5 * time.Second)
		f.must(f.Partition(other, f.owner, false, false))
	}},
	{name: "platform-outage", strike: func(f *fixture) {
		f.must(f.ControlPlatform(platform.Control{Outage: ptr(true)}))
		time.Sleep(12 * time.Second)
		f.must(f.ControlPlatform(platform.Control{Outage: ptr(false)}))
	}},
	{name: "lost-answers", strike: func(f *fixture) {
		f.must(f.ControlPlatform(platform.Control{Lose: ptr(0.3)}))
		time.Sleep(5 * time.Second)
		f.must(f.ControlPlatform(platform.Control{Lose: ptr(0.0)}))
	}},
	{name: "lost-answers-owner-killed", strike: func(f *fixture) {
		f.must(f.ControlPlatform(platform.Control{Lose: ptr(0.3)}))
		time.Sleep(time.Second)
		f.replace(6 * time.Second)
		f.must(f.ControlPlatform(platform.Control{Lose: ptr(0.0)}))
	}},
	{name: "slow-platform", strike: func(f *fixture) {
		f.must(f.ControlPlatform(platform.Control{Slow: ptr(300)}))
		time.Sleep(5 * time.Second)
		f.must(f.ControlPlatform(platform.Control{Slow: ptr(0)}))
	}},
	{name: "executor-leaving", strike: func(f *fixture) {
		f.must(f.ControlEndpoint(0, endpoint.Control{Executors: []string{"x-1-1"}, Leaving: ptr(true)}))
		time.Sleep(leaveBound)
		f.count = f.executions("x-1-1")
		time.Sleep(3 * time.Second)
		f.c.Check(f.executions("x-1-1"), qt.Equals, f.count, qt.Commentf("a leaving executor got new work"))
		f.must(f.ControlEndpoint(0, endpoint.Control{Executors: []string{"x-1-1"}, Leaving: ptr(false)}))
		time.Sleep(leaveBound)
		f.c.Check(f.executions("x-1-1") > f.count, qt.IsTrue, qt.Commentf("an executor that is back got no work"))
	}, allow: allAnswered},
	{name: "executors-replaced", strike: func(f *fixture) {
		for i := range 4 {
			id := []string{fmt.Sprintf("x-1-%d", i+1)}
			f.must(f.ControlEndpoint(0, endpoint.Control{Executors: id, Leaving: ptr(true)}))
			time.Sleep(leaveBound)
			f.must(f.ControlEndpoint(0, endpoint.Control{Executors: id, Reboot: ptr(300)}))
			time.Sleep(500 * time.Millisecond)
			f.must(f.ControlEndpoint(0, endpoint.Control{Executors: id, Leaving: ptr(false)}))
		}
	}, allow: allAnswered},
	{name: "executor-closes", strike: func(f *fixture) {
		f.must(f.ControlEndpoint(0, endpoint.Control{Executors: []string{"x-1-1"}, Fail: ptr(executor.ModeClose)}))
		time.Sleep(5 * time.Second)
		f.must(f.ControlEndpoint(0, endpoint.Control{Executors: []string{"x-1-1"}, Fail: ptr(executor.ModeNone)}))
	}, allow: func(c *qt.C, _ *fixture, h process.History) {
		for _, call := range h.Calls {
			lost := call.Key == "" && call.Outcome != "answered"
			c.Check(lost, qt.IsFalse, qt.Commentf("idempotent request was lost: %+v", call))
		}
	}},
	{name: "rolling-replacement", strike: rolling, allow: allAnswered},
}

// leaveBound is the longest time in which a leaving executor gets new work: the lag of the instance list,
// its poll and its delivery.
const leaveBound = 3 * time.Second

// allAnswered wants each call answered: a planned replacement cuts and refuses nothing.
func allAnswered(c *qt.C, _ *fixture, h process.History) {
	for _, call := range h.Calls {
		c.Check(call.Outcome, qt.Equals, "answered", qt.Commentf("%+v", call))
	}
}

func (f *fixture) executions(id string) int {
	counters, err := f.Counters(0)
	f.must(err)
	return counters[id].Executions
}

// replace kills the owner and starts it again; callers leave it as they would behind a balancer.
func (f *fixture) replace(after time.Duration) {
	f.must(f.Kill(f.owner))
	f.leave(f.index)
	time.Sleep(after)
	f.must(f.Restart(f.owner))
	f.must(f.AwaitReady(context.Background(), f.index))
	f.join(f.index)
}

func (f *fixture) leave(i int) {
	alive := slices.DeleteFunc(slices.Clone(*f.alive.Load()), func(n int) bool { return n == i })
	f.alive.Store(&alive)
}

func (f *fixture) join(i int) {
	alive := append(slices.Clone(*f.alive.Load()), i)
	f.alive.Store(&alive)
}

func ptr[T any](v T) *T { return &v }

// rolling replaces every entry instance in turn; callers leave an instance once it is not ready, as behind a balancer.
func rolling(f *fixture) {
	for i := range 4 {
		name := process.EntryName(i)
		f.leave(i)
		time.Sleep(200 * time.Millisecond)
		f.must(f.Signal(name, syscall.SIGTERM))
		f.must(f.Wait(name))
		f.must(f.Restart(name))
		f.must(f.AwaitReady(context.Background(), i))
		f.join(i)
	}
}

// Guards against a non-idempotent request that runs twice, a false "not run", a foreign or partial answer and an
// oversubscribed slot while a separate process is killed, frozen, cut off or replaced, or the platform fails.
func TestFailures(t *testing.T) {
	c := qt.New(t)
	dir := binaries(c)
	selected := scenarios[:1]
	if *full {
		selected = scenarios
	}
	for _, s := range selected {
		c.Run(s.name, func(c *qt.C) { runScenario(c, s, dir) })
	}
}

func runScenario(c *qt.C, s scenario, dir string) {
	ctx := context.Background()
	system, err := process.Start(ctx, process.Options{Entries: 4, Services: 2, Executors: 4, RunTime: 20, Bin: dir, Dir: logDir(c, s.name)})
	if system != nil {
		c.Cleanup(system.Close)
	}
	c.Assert(err, qt.IsNil)
	f := &fixture{System: system, c: c, must: func(err error) { c.Assert(err, qt.IsNil) }}
	f.alive.Store(&[]int{0, 1, 2, 3})
	f.findOwner()
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	entries := func(r *rand.Rand) int { a := *f.alive.Load(); return a[r.IntN(len(a))] }
	calls := make(chan []process.Call, 1)
	f.begin = time.Now()
	go func() {
		l := process.Load{System: system, Clients: 24, ThinkTime: 10 * time.Millisecond, Seed: *seed, MaxAttempts: 20, IdempotentShare: 0.5, PickEntry: entries}
		calls <- l.Run(load)
	}()
	time.Sleep(2 * time.Second)
	f.from = f.since()
	s.strike(f)
	f.to = f.since()
	time.Sleep(4 * time.Second)
	cancel()
	h, err := system.Collect(<-calls)
	c.Assert(err, qt.IsNil)
	f.report(s.name, h)
	faults := h.Violations()
	c.Check(faults[:min(len(faults), 10)], qt.HasLen, 0)
	c.Check(h.Oversubscribed, qt.HasLen, 0)
	c.Check(h.PeakConnections <= 64, qt.IsTrue, qt.Commentf("%d connections to one executor", h.PeakConnections))
	if s.allow != nil {
		s.allow(c, f, h)
	}
}

func (f *fixture) findOwner() {
	for range 100 {
		owner, err := f.Owner(0, 0)
		f.must(err)
		if owner != "" {
			f.owner = owner
			for i := range 4 {
				if process.EntryName(i) == owner {
					f.index = i
				}
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.c.Fatal("service 1 got no owner")
}

// report prints what callers saw during the failure.
func (f *fixture) report(name string, h process.History) {
	share := func(idempotent bool) (int, int) { return h.CountAnswered(idempotent, f.from, f.to) }
	ia, it := share(true)
	na, nt := share(false)
	for _, call := range h.Calls {
		if call.Outcome != "answered" && *verbose {
			f.c.Logf("%+v", call)
		}
	}
	f.c.Logf("failure name=%s seed=%d calls=%d keys=%d during=%v idempotent=%d/%d other=%d/%d gap=%v othergap=%v refused=%v",
		name, *seed, len(h.Calls), len(h.Executions), (f.to - f.from).Round(time.Millisecond), ia, it, na, nt,
		h.LongestGap(true, 0, f.from).Round(time.Millisecond), h.LongestGap(false, 0, f.from).Round(time.Millisecond), h.Reasons())
}
