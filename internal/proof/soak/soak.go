package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"teaselloft/internal/standin/site"
)

// Options holds the parameters of a run.
type Options struct {
	Seed       uint64        // seed of the fault plan and of the callers
	Daemons    int           // number of daemon processes
	Instances  int           // per pool, plus half as many on standby
	Callers    int           // number of concurrent callers
	Length     time.Duration // period in which faults begin
	SplitsOnly bool          // injects no faults but splits, one after the other
	Bin        string        // directory of the teaselloft binary
	Dir        string        // for settings and logs
	Log        func(format string, args ...any)

	// TakeoversOnly injects no faults but losses of executors while owners of their pool stop one after the other, without
	// maintenance. The time that a long-running task may be without a run is checked.
	TakeoversOnly bool

	Schedules bool // a part of the jobs run several times
}

// Report holds the violations and counts of a run.
type Report struct {
	Violations  []Violation
	Faults      map[string]int // by kind
	Jobs        int
	Accepted    int
	Completed   int
	Starts      int
	LapsedNotes int            // successes that were acknowledged after the lease of their executor had lapsed
	Answers     map[string]int // by kind of call and status
	LongestIdle time.Duration  // of a long-running task without a run
}

// Bounds of the fault-free period at the end of a run, and parameters of the maintenance wave.
const (
	settleTimeout      = 45 * time.Second // until every accepted job has ended; tasks wait up to 8 s for the lease of a lost executor
	waveNumber         = 1
	waveMaxUnavailable = 2                // instances of the wave that may be down at once
	waveTimeout        = 20 * time.Second // until its deadline
)

// soak is one run.
type soak struct {
	options Options
	ledger  *Ledger
	system  *system

	mutex          sync.Mutex
	busy           map[*daemon]bool // daemons with a process fault in progress
	version        int              // of the configuration
	extraQueue     string           // queue that the current configuration adds
	configurations int              // published so far
}

// Run starts a system, injects faults into it and reports the violations that callers and executors observed. It
// returns an error that wraps ErrNotReady if the daemons do not become ready in time.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &soak{options: o, ledger: NewLedger(), busy: map[*daemon]bool{}, version: 1}
	if o.TakeoversOnly {
		s.ledger = NewBoundedLedger()
	}
	var err error
	s.system, err = newSystem(ctx, o, s.ledger)
	if s.system != nil {
		defer s.system.close()
	}
	if err != nil {
		return Report{}, err
	}
	draw := plan
	switch {
	case o.SplitsOnly:
		draw = planSplits
	case o.TakeoversOnly:
		draw = planTakeovers
		s.submitLongRunning(ctx)
	}
	actions := draw(rand.New(rand.NewPCG(o.Seed, 0)), o)
	calls, stop := context.WithCancel(ctx)
	defer stop()
	var callers, faults sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { s.runCaller(calls, n+1) })
	}
	if !o.TakeoversOnly {
		s.system.site.Wave(waveNumber, waveTimeout, waveMaxUnavailable)
	}
	begin := time.Now()
	for _, a := range actions {
		wait(ctx, a.at-time.Since(begin))
		faults.Go(func() { s.inject(ctx, a) })
	}
	faults.Wait()
	stop()
	callers.Wait()
	s.settle(ctx)
	return s.report(actions), ctx.Err()
}

// log prints a line of the run.
func (s *soak) log(format string, args ...any) {
	if s.options.Log != nil {
		s.options.Log(format, args...)
	}
}

// configure publishes a configuration with a new extra queue in place of the previous one, and moves the path of a
// pool to another pool or back.
func (s *soak) configure() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version += 1 + s.version%3 // versions rise in uneven steps
	s.extraQueue = fmt.Sprintf("extra-%d", s.version)
	s.configurations++
	n := s.configurations
	s.system.site.Move(site.Route(Pools[n%len(Pools)]), Pools[n/len(Pools)%len(Pools)])
	s.system.site.Configure(s.version, s.extraQueue)
}

// settle waits without faults until accepted jobs, cancellations and the wave must have completed, and checks them.
func (s *soak) settle(ctx context.Context) {
	caller := site.NewCaller(callTimeout)
	defer caller.Close()
	if err := s.system.await(ctx); err != nil {
		s.ledger.violated("recovery", "%v", err)
		return
	}
	s.awaitLongRunning(ctx)
	s.cancelLongRunning(ctx, caller)
	limit := time.Now().Add(settleTimeout)
	for time.Now().Before(limit) && ctx.Err() == nil {
		if len(s.unfinishedJobs(ctx, caller)) == 0 && len(s.ledger.running()) == 0 && s.waveCompleted() {
			break
		}
		wait(ctx, 300*time.Millisecond)
	}
	for _, j := range s.ledger.open() {
		s.ledger.violated("LOST", "job %s was accepted and has not ended after %v of calm", j.ID, settleTimeout)
	}
	for _, task := range s.ledger.running() {
		s.ledger.violated("UNASKED", "%s runs after its cancellation and %v of calm", task, settleTimeout)
	}
	if !s.waveCompleted() {
		s.ledger.violated("wave", "wave %d is not completed after %v of calm, %d instances had their upkeep",
			waveNumber, settleTimeout, len(s.system.site.Upkeeps()))
	}
	s.checkConfiguration(ctx, caller)
}

// waveCompleted reports whether the wave of the run, if there is one, is completed.
func (s *soak) waveCompleted() bool {
	return s.options.TakeoversOnly || s.system.site.WaveCompleted(waveNumber)
}

// awaitLongRunning waits until every task of the accepted long-running jobs has a run, or had one a moment ago.
func (s *soak) awaitLongRunning(ctx context.Context) {
	for limit := time.Now().Add(settleTimeout); ctx.Err() == nil; wait(ctx, 300*time.Millisecond) {
		idle := s.ledger.idleLongRunning()
		if len(idle) == 0 {
			return
		}
		if time.Now().After(limit) {
			for _, task := range idle {
				s.ledger.violated("LOST", "%s lasts and has no run after %v of calm", task, settleTimeout)
			}
			return
		}
	}
}

// cancelLongRunning cancels the long-running jobs, which would never end by themselves. Without faults the first
// answer is final.
func (s *soak) cancelLongRunning(ctx context.Context, c *site.Caller) {
	r := rand.New(rand.NewPCG(s.options.Seed, 1<<32))
	for _, j := range s.ledger.open() {
		if j.Steps[0].Lasting {
			s.cancel(ctx, c, r, j)
		}
	}
}

// unfinishedJobs queries the states of the unfinished jobs and returns those that are still unfinished.
func (s *soak) unfinishedJobs(ctx context.Context, c *site.Caller) []site.Job {
	open := s.ledger.open()
	return slices.DeleteFunc(open, func(j site.Job) bool {
		return s.queryState(ctx, c, s.system.daemons[len(j.ID)%len(s.system.daemons)], j) != ""
	})
}

// checkConfiguration checks that every daemon knows the queue that the current configuration adds and no longer the
// one that it removes.
func (s *soak) checkConfiguration(ctx context.Context, c *site.Caller) {
	s.configure()
	dropped := "/" + s.extraQueue + "/"
	s.configure()
	limit := time.Now().Add(configBound)
	for _, d := range s.system.daemons {
		for prefix, want := range map[string]int{"/" + s.extraQueue + "/": http.StatusOK, dropped: http.StatusNotFound} {
			status, err := c.Pending(ctx, d.callerAddress, prefix)
			for status != want && time.Now().Before(limit) {
				wait(ctx, 20*time.Millisecond)
				status, err = c.Pending(ctx, d.callerAddress, prefix)
			}
			if status != want {
				s.ledger.violated("CONFIG", "%s answers %d (%v) for %s of version %d, not %d", d.name, status, err, prefix, s.version, want)
			}
		}
	}
}

// configBound is the time within which a new configuration must take effect on every daemon.
const configBound = 2 * time.Second

func (s *soak) report(actions []action) Report {
	s.ledger.mutex.Lock()
	defer s.ledger.mutex.Unlock()
	r := Report{
		Violations: s.ledger.violations, Faults: map[string]int{}, Jobs: len(s.ledger.jobs), Starts: s.ledger.starts,
		LapsedNotes: s.ledger.lapsedNotes, Answers: s.ledger.answers, LongestIdle: s.ledger.longestIdle,
	}
	for _, a := range actions {
		r.Faults[strings.TrimPrefix(fmt.Sprintf("%T", a.fault), "soak.")]++
	}
	for _, x := range s.ledger.jobs {
		if x.accepted != 0 {
			r.Accepted++
		}
		if x.final == "completed" {
			r.Completed++
		}
	}
	return r
}

// isRefused reports whether a call failed because the connection was refused.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
