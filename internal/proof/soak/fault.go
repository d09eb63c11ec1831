package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"teaselloft/internal/standin/site"
)

// Fault is a disturbance from outside the daemons.
//
//sumtype:decl
type Fault interface{ fault() }

// Faults of daemons' processes.
type (
	// Kill ends daemons without warning and starts them again.
	Kill struct{ Daemons []int }
	// Pause stops a daemon for a while.
	Pause struct{ Daemon int }
	// Terminate tells a daemon to stop and starts it again.
	Terminate struct{ Daemon int }
)

// Faults of connections.
type (
	// CutStore lets a daemon's traffic with the store pass in one direction only, or in none.
	CutStore struct {
		Daemon    int
		Out, Back bool
	}
	// ResetStore breaks a daemon's connections to the store and refuses new ones.
	ResetStore struct{ Daemon int }
	// DelayStore slows a daemon's traffic with the store down.
	DelayStore struct{ Daemon int }
	// CutPeers does to the links from other daemons what CutStore does to those with the store.
	CutPeers struct {
		Daemon    int
		Out, Back bool
	}
	// CutExecutor does the same to the orders that an executor gets.
	CutExecutor struct {
		Executor  int
		Out, Back bool
	}
	// ResetExecutors breaks all connections to executors.
	ResetExecutors struct{}
)

// Faults of the platform.
type (
	// StoreDown makes the store refuse every call; leases go on to run out.
	StoreDown struct{}
	// StoreSlow makes the store wait before each call.
	StoreSlow struct{}
	// StoreLoses makes changes without an answer, at once or late.
	StoreLoses struct{ Late bool }
	// StoreForgets drops the store's history.
	StoreForgets struct{}
	// Crash ends executors and all that runs on them.
	Crash struct{ Executors []int }
	// Break makes an executor treat orders badly.
	Break struct {
		Executor int
		How      site.Fault
	}
	// Configure changes the configuration.
	Configure struct{}
)

func (Kill) fault()           {}
func (Pause) fault()          {}
func (Terminate) fault()      {}
func (CutStore) fault()       {}
func (ResetStore) fault()     {}
func (DelayStore) fault()     {}
func (CutPeers) fault()       {}
func (CutExecutor) fault()    {}
func (ResetExecutors) fault() {}
func (StoreDown) fault()      {}
func (StoreSlow) fault()      {}
func (StoreLoses) fault()     {}
func (StoreForgets) fault()   {}
func (Crash) fault()          {}
func (Break) fault()          {}
func (Configure) fault()      {}

// action is a fault at a time.
type action struct {
	at, length time.Duration
	fault      Fault
}

// plan draws the faults of a run: series of one kind, single ones, and ones that overlap.
func plan(r *rand.Rand, o Options) []action {
	var actions []action
	at := time.Duration(0)
	for at < o.Length {
		length := between(r, 500*time.Millisecond, 6*time.Second)
		kind := r.IntN(kinds)
		for range 1 + r.IntN(3)*r.IntN(2) { // two of three come alone, the rest in series
			actions = append(actions, action{at: at, length: length, fault: draw(r, kind, o)})
			at += between(r, 200*time.Millisecond, 2*time.Second)
		}
		at += between(r, 0, 1500*time.Millisecond) // shorter than most faults, so that they overlap
	}
	return actions
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// kinds is how many kinds draw knows.
const kinds = 16

// draw returns a fault of a kind; executors are numbered as they live when it begins.
func draw(r *rand.Rand, kind int, o Options) Fault {
	daemon, executor := r.IntN(o.Daemons), r.IntN(o.Instances*len(Pools))
	ways := [][2]bool{{true, false}, {false, true}, {true, true}}[r.IntN(3)]
	switch kind {
	case 0:
		return Kill{Daemons: some(r, o.Daemons)}
	case 1:
		return Pause{Daemon: daemon}
	case 2:
		return Terminate{Daemon: daemon}
	case 3:
		return CutStore{Daemon: daemon, Out: ways[0], Back: ways[1]}
	case 4:
		return ResetStore{Daemon: daemon}
	case 5:
		return DelayStore{Daemon: daemon}
	case 6:
		return CutPeers{Daemon: daemon, Out: ways[0], Back: ways[1]}
	case 7:
		return CutExecutor{Executor: executor, Out: ways[0], Back: ways[1]}
	case 8:
		return ResetExecutors{}
	case 9:
		return StoreDown{}
	case 10:
		return StoreSlow{}
	case 11:
		return StoreLoses{Late: r.IntN(2) == 0}
	case 12:
		return StoreForgets{}
	case 13:
		return Crash{Executors: some(r, o.Instances*len(Pools))}
	case 14:
		return Break{Executor: executor, How: []site.Fault{site.FaultSilent, site.FaultLate, site.FaultFail, site.FaultHang}[r.IntN(4)]}
	default:
		return Configure{}
	}
}

// some returns one of n, now and then a third of them, seldom all.
func some(r *rand.Rand, n int) []int {
	count := 1
	switch x := r.IntN(10); {
	case x == 0:
		count = n
	case x < 4:
		count = max(1, n/3)
	}
	return r.Perm(n)[:count]
}

// inject carries a fault out and undoes it after its length.
func (s *soak) inject(ctx context.Context, a action) {
	end := s.ledger.beginFault(name(a.fault))
	defer end()
	s.log("%v for %v: %T%+v", s.ledger.now().Round(time.Millisecond), a.length.Round(time.Millisecond), a.fault, a.fault)
	rest := func() {
		select {
		case <-ctx.Done():
		case <-time.After(a.length):
		}
	}
	store := s.system.site.Store
	switch f := a.fault.(type) {
	case Kill:
		s.kill(f, rest)
	case Pause:
		s.pause(f, rest)
	case Terminate:
		s.terminate(f)
	case CutStore:
		cut(s.system.daemons[f.Daemon].store, f.Out, f.Back, rest)
	case ResetStore:
		refuse(s.system.daemons[f.Daemon].store, rest)
	case DelayStore:
		delay(s.system.daemons[f.Daemon].store, rest)
	case CutPeers:
		cut(s.system.daemons[f.Daemon].peers, f.Out, f.Back, rest)
	case CutExecutor:
		if e, ok := s.executor(f.Executor); ok {
			cut(s.system.proxy(e.ID), f.Out, f.Back, rest)
		}
	case ResetExecutors:
		s.resetExecutors()
	case StoreDown:
		store.Refuse(true)
		rest()
		store.Refuse(false)
	case StoreSlow:
		store.Slow(slowStore)
		rest()
		store.Slow(0)
	case StoreLoses:
		s.lose(f, rest)
	case StoreForgets:
		store.DropHistory()
	case Crash:
		s.crash(f)
	case Break:
		s.breakExecutor(f, rest)
	case Configure:
		s.configure()
	default:
		panic(fmt.Sprintf("soak: fault %T is not handled", f))
	}
}

// Figures of the faults.
const (
	graceTime   = 6 * time.Second         // between SIGTERM and SIGKILL, as the platform gives it
	slowStore   = 200 * time.Millisecond  // of a call, fifty times the usual 4 ms
	slowLink    = 300 * time.Millisecond  // of each piece that a delayed connection passes on
	lateChange  = 1500 * time.Millisecond // of a change that the store makes late, within the 1 to 6 s of the pages
	lostChanges = 20                      // changes without an answer at most, in one fault
)

// name names a fault in the ledger and says whether it is planned work; a stop in order names its daemon.
func name(f Fault) (name string, planned bool) {
	if t, ok := f.(Terminate); ok {
		return terminated(daemonName(t.Daemon)), true
	}
	_, planned = f.(Configure)
	return fmt.Sprintf("%T", f), planned
}

// terminated names the stop of a daemon.
func terminated(daemon string) string { return "Terminate " + daemon }

func (s *soak) executor(n int) (*site.Executor, bool) {
	all := s.system.site.Executors()
	if n >= len(all) {
		return nil, false
	}
	return all[n], true
}

func cut(p *Proxy, out, back bool, rest func()) {
	if p == nil {
		return
	}
	p.Stall(Outbound, out)
	p.Stall(Inbound, back)
	rest()
	p.Stall(Outbound, false)
	p.Stall(Inbound, false)
}

func refuse(p *Proxy, rest func()) {
	p.Refuse(true)
	p.Reset()
	rest()
	p.Refuse(false)
}

func delay(p *Proxy, rest func()) {
	p.Delay(slowLink)
	rest()
	p.Delay(0)
}

func (s *soak) resetExecutors() {
	for _, e := range s.system.site.Executors() {
		if p := s.system.proxy(e.ID); p != nil {
			p.Reset()
		}
	}
}

func (s *soak) lose(f StoreLoses, rest func()) {
	store := s.system.site.Store
	if f.Late {
		store.LoseLate(lostChanges, lateChange)
	} else {
		store.LoseAnswers(lostChanges)
	}
	rest()
	store.LoseAnswers(0)
}

func (s *soak) crash(f Crash) {
	for _, n := range f.Executors {
		if e, ok := s.executor(n); ok {
			s.system.site.Crash(e.ID)
		}
	}
}

func (s *soak) breakExecutor(f Break, rest func()) {
	if e, ok := s.executor(f.Executor); ok {
		e.Break(f.How)
		rest()
		e.Break(site.FaultNone)
	}
}

// pause stops a daemon for a while; a daemon is in one fault of its process at a time.
func (s *soak) pause(f Pause, rest func()) {
	d := s.system.daemons[f.Daemon]
	if !s.claim(d) {
		return
	}
	defer s.free(d)
	d.signal(syscall.SIGSTOP)
	rest()
	d.signal(syscall.SIGCONT)
}

func (s *soak) terminate(f Terminate) {
	d := s.system.daemons[f.Daemon]
	if !s.claim(d) {
		return
	}
	defer s.free(d)
	d.signal(syscall.SIGTERM)
	if !d.wait(graceTime) {
		s.ledger.violated("grace", "%s has not ended %v after SIGTERM", d.name, graceTime)
	}
	s.restart(d)
}

func (s *soak) kill(f Kill, rest func()) {
	var killed []*daemon
	for _, n := range f.Daemons {
		if d := s.system.daemons[n]; s.claim(d) {
			killed = append(killed, d)
			d.signal(syscall.SIGKILL)
		}
	}
	rest()
	for _, d := range killed {
		<-d.ended
		s.restart(d)
		s.free(d)
	}
}

func (s *soak) restart(d *daemon) {
	if err := s.system.start(d); err != nil {
		s.ledger.violated("harness", "%v", err)
	}
}

func (s *soak) claim(d *daemon) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.busy[d] {
		return false
	}
	s.busy[d] = true
	return true
}

func (s *soak) free(d *daemon) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.busy, d)
}
