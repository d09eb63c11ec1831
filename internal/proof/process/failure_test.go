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

// scenario injects one fault while a load runs.
type scenario struct {
	name   string
	inject func(*fixture) // injects the fault and removes it
	verify func(*qt.C, *fixture, process.History)
}

// fixture holds a running system and the state of its scenario.
type fixture struct {
	*process.System
	c                 *qt.C
	start             time.Time
	owner             string // owner of service 1 before the fault
	ownerIndex        int
	leavingExecutions int                   // executions of the leaving executor once its leaving took effect
	faultStart        time.Duration         // since start
	faultEnd          time.Duration         // since start
	activeEntries     atomic.Pointer[[]int] // entry instances that receive requests
	must              func(error)
}

func (f *fixture) elapsed() time.Duration { return time.Since(f.start) }

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

func binaryDir(c *qt.C) string {
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

// logDir returns the directory for the settings and logs of a scenario.
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
	{name: "owner-killed", inject: func(f *fixture) {
		f.replaceOwner(6 * time.Second)
	}, verify: func(c *qt.C, f *fixture, h process.History) {
		gap := h.LongestGap(true, 0, f.faultStart)
		c.Check(gap < 3*time.Second, qt.IsTrue, qt.Commentf("idempotent requests waited %v", gap))
		for _, call := range h.Calls {
			lost := call.Key == "" && call.Outcome != "answered" && call.Entry != f.ownerIndex
			c.Check(lost, qt.IsFalse, qt.Commentf("idempotent request was lost: %+v", call))
		}
	}},
	{name: "owner-frozen", inject: func(f *fixture) {
		f.must(f.Signal(f.owner, syscall.SIGSTOP))
		time.Sleep(time.Second)
		f.removeEntry(f.ownerIndex) // the load balancer detects the failure
		time.Sleep(5 * time.Second)
		f.must(f.Signal(f.owner, syscall.SIGCONT))
		f.addEntry(f.ownerIndex)
	}},
	{name: "entry-cut", inject: func(f *fixture) {
		other := (f.ownerIndex + 1) % 4
		f.must(f.Partition(other, f.owner, true, true))
		time.Sleep(5 * time.Second)
		f.must(f.Partition(other, f.owner, false, false))
	}},
	{name: "half-cut", inject: func(f *fixture) {
		other := (f.ownerIndex + 1) % 4
		f.must(f.Partition(other, f.owner, true, false))
		time.Sleep(5 * time.Second)
		f.must(f.Partition(other, f.owner, false, false))
	}},
	{name: "platform-outage", inject: func(f *fixture) {
		f.must(f.ControlPlatform(platform.Control{Outage: ptr(true)}))
		time.Sleep(12 * time.Second)
		f.must(f.ControlPlatform(platform.Control{Outage: ptr(false)}))
	}},
	{name: "lost-answers", inject: func(f *fixture) {
		f.must(f.ControlPlatform(platform.Control{Lose: ptr(0.3)}))
		time.Sleep(5 * time.Second)
		f.must(f.ControlPlatform(platform.Control{Lose: ptr(0.0)}))
	}},
	{name: "lost-answers-owner-killed", inject: func(f *fixture) {
		f.must(f.ControlPlatform(platform.Control{Lose: ptr(0.3)}))
		time.Sleep(time.Second)
		f.replaceOwner(6 * time.Second)
		f.must(f.ControlPlatform(platform.Control{Lose: ptr(0.0)}))
	}},
	{name: "slow-platform", inject: func(f *fixture) {
		f.must(f.ControlPlatform(platform.Control{Slow: ptr(300)}))
		time.Sleep(5 * time.Second)
		f.must(f.ControlPlatform(platform.Control{Slow: ptr(0)}))
	}},
	{name: "executor-leaving", inject: func(f *fixture) {
		f.must(f.ControlEndpoint(0, endpoint.Control{Executors: []string{"x-1-1"}, Leaving: ptr(true)}))
		time.Sleep(maxLeaveDelay)
		f.leavingExecutions = f.executions("x-1-1")
		time.Sleep(3 * time.Second)
		f.c.Check(f.executions("x-1-1"), qt.Equals, f.leavingExecutions, qt.Commentf("a leaving executor got new work"))
		f.must(f.ControlEndpoint(0, endpoint.Control{Executors: []string{"x-1-1"}, Leaving: ptr(false)}))
		time.Sleep(maxLeaveDelay)
		f.c.Check(f.executions("x-1-1") > f.leavingExecutions, qt.IsTrue, qt.Commentf("an executor that returned got no work"))
	}, verify: checkAllAnswered},
	{name: "executors-replaced", inject: func(f *fixture) {
		for i := range 4 {
			id := []string{fmt.Sprintf("x-1-%d", i+1)}
			f.must(f.ControlEndpoint(0, endpoint.Control{Executors: id, Leaving: ptr(true)}))
			time.Sleep(maxLeaveDelay)
			f.must(f.ControlEndpoint(0, endpoint.Control{Executors: id, Reboot: ptr(300)}))
			time.Sleep(500 * time.Millisecond)
			f.must(f.ControlEndpoint(0, endpoint.Control{Executors: id, Leaving: ptr(false)}))
		}
	}, verify: checkAllAnswered},
	{name: "executor-closes", inject: func(f *fixture) {
		f.must(f.ControlEndpoint(0, endpoint.Control{Executors: []string{"x-1-1"}, Fail: ptr(executor.ModeClose)}))
		time.Sleep(5 * time.Second)
		f.must(f.ControlEndpoint(0, endpoint.Control{Executors: []string{"x-1-1"}, Fail: ptr(executor.ModeNone)}))
	}, verify: func(c *qt.C, _ *fixture, h process.History) {
		for _, call := range h.Calls {
			lost := call.Key == "" && call.Outcome != "answered"
			c.Check(lost, qt.IsFalse, qt.Commentf("idempotent request was lost: %+v", call))
		}
	}},
	{name: "rolling-replacement", inject: replaceEntries, verify: checkAllAnswered},
}

// maxLeaveDelay bounds how long a leaving executor still gets new work: the lag of the instance list, the polling
// interval and the delivery of the change.
const maxLeaveDelay = 3 * time.Second

// checkAllAnswered checks that every call was answered: a planned replacement must neither break nor refuse a call.
func checkAllAnswered(c *qt.C, _ *fixture, h process.History) {
	for _, call := range h.Calls {
		c.Check(call.Outcome, qt.Equals, "answered", qt.Commentf("%+v", call))
	}
}

func (f *fixture) executions(id string) int {
	counters, err := f.Counters(0)
	f.must(err)
	return counters[id].Executions
}

// replaceOwner kills the owner and restarts it after downtime. Meanwhile callers avoid it, as behind a load balancer.
func (f *fixture) replaceOwner(downtime time.Duration) {
	f.must(f.Kill(f.owner))
	f.removeEntry(f.ownerIndex)
	time.Sleep(downtime)
	f.must(f.Restart(f.owner))
	f.must(f.AwaitReady(context.Background(), f.ownerIndex))
	f.addEntry(f.ownerIndex)
}

func (f *fixture) removeEntry(i int) {
	active := slices.DeleteFunc(slices.Clone(*f.activeEntries.Load()), func(n int) bool { return n == i })
	f.activeEntries.Store(&active)
}

func (f *fixture) addEntry(i int) {
	active := append(slices.Clone(*f.activeEntries.Load()), i)
	f.activeEntries.Store(&active)
}

func ptr[T any](v T) *T { return &v }

// replaceEntries restarts the entry instances one by one. Callers avoid an instance until it is ready again, as behind
// a load balancer.
func replaceEntries(f *fixture) {
	for i := range 4 {
		name := process.EntryName(i)
		f.removeEntry(i)
		time.Sleep(200 * time.Millisecond)
		f.must(f.Signal(name, syscall.SIGTERM))
		f.must(f.Wait(name))
		f.must(f.Restart(name))
		f.must(f.AwaitReady(context.Background(), i))
		f.addEntry(i)
	}
}

// Guards against a non-idempotent request that runs twice, a false "not run", an answer that is partial or belongs to
// another request, and an oversubscribed slot while a process is killed, stopped, partitioned or replaced, or the
// platform fails.
func TestFailures(t *testing.T) {
	c := qt.New(t)
	dir := binaryDir(c)
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
	f.activeEntries.Store(&[]int{0, 1, 2, 3})
	f.findOwner()
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	entries := func(r *rand.Rand) int { a := *f.activeEntries.Load(); return a[r.IntN(len(a))] }
	calls := make(chan []process.Call, 1)
	f.start = time.Now()
	go func() {
		l := process.Load{System: system, Clients: 24, ThinkTime: 10 * time.Millisecond, Seed: *seed, MaxAttempts: 20, IdempotentShare: 0.5, PickEntry: entries}
		calls <- l.Run(load)
	}()
	time.Sleep(2 * time.Second)
	f.faultStart = f.elapsed()
	s.inject(f)
	f.faultEnd = f.elapsed()
	time.Sleep(4 * time.Second)
	cancel()
	h, err := system.Collect(<-calls)
	c.Assert(err, qt.IsNil)
	f.report(s.name, h)
	faults := h.Violations()
	c.Check(faults[:min(len(faults), 10)], qt.HasLen, 0)
	c.Check(h.Oversubscribed, qt.HasLen, 0)
	c.Check(h.PeakConnections <= 64, qt.IsTrue, qt.Commentf("%d connections to one executor", h.PeakConnections))
	if s.verify != nil {
		s.verify(c, f, h)
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
					f.ownerIndex = i
				}
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.c.Fatal("service 1 got no owner in time")
}

// report logs the outcomes of the calls during the fault.
func (f *fixture) report(name string, h process.History) {
	countAnswered := func(idempotent bool) (int, int) { return h.CountAnswered(idempotent, f.faultStart, f.faultEnd) }
	ia, it := countAnswered(true)
	na, nt := countAnswered(false)
	for _, call := range h.Calls {
		if call.Outcome != "answered" && *verbose {
			f.c.Logf("%+v", call)
		}
	}
	f.c.Logf("failure name=%s seed=%d calls=%d keys=%d during=%v idempotent=%d/%d other=%d/%d gap=%v othergap=%v refused=%v",
		name, *seed, len(h.Calls), len(h.Executions), (f.faultEnd - f.faultStart).Round(time.Millisecond), ia, it, na, nt,
		h.LongestGap(true, 0, f.faultStart).Round(time.Millisecond),
		h.LongestGap(false, 0, f.faultStart).Round(time.Millisecond), h.Reasons())
}
