package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"teaselloft/internal/standin/site"
)

// Fault is a fault injected from outside the daemons.
//
//sumtype:decl
type Fault interface{ fault() }

// Faults of daemon processes.
type (
	// Kill sends SIGKILL to daemons and restarts them later.
	Kill struct{ Daemons []int }
	// Pause suspends a daemon with SIGSTOP and resumes it with SIGCONT.
	Pause struct{ Daemon int }
	// Terminate sends SIGTERM to a daemon and restarts it once it has exited.
	Terminate struct{ Daemon int }
)

// Faults of connections.
type (
	// CutStore partitions a daemon from the store in one direction or both.
	CutStore struct {
		Daemon    int
		Out, Back bool
	}
	// ResetStore resets a daemon's connections to the store and refuses new ones.
	ResetStore struct{ Daemon int }
	// DelayStore delays a daemon's traffic with the store.
	DelayStore struct{ Daemon int }
	// CutPeers partitions the links from other daemons to a daemon in one direction or both.
	CutPeers struct {
		Daemon    int
		Out, Back bool
	}
	// CutExecutor partitions the connections that carry orders to an executor in one direction or both.
	CutExecutor struct {
		Executor  int
		Out, Back bool
	}
	// ResetExecutors resets all connections to executors.
	ResetExecutors struct{}
)

// Split cuts daemons off from the store, the instance list, all other daemons and all executors but those of its part.
// The executors of that part do not reach the store either; a part of the site goes on without contact to the rest.
type Split struct{ Daemons, Executors []int }

// Faults of the platform.
type (
	// StoreDown makes the store refuse every call, while leases keep expiring.
	StoreDown struct{}
	// StoreSlow delays every store call.
	StoreSlow struct{}
	// StoreLoses makes the store apply changes, at once or late, without answering them.
	StoreLoses struct{ Late bool }
	// StoreForgets compacts the store's history, so that watches have to start anew.
	StoreForgets struct{}
	// Crash stops executors together with every task that runs on them. They start again under their IDs if SameID is set, and
	// carry out the calls that came while they were down.
	Crash struct {
		Executors []int
		SameID    bool
	}
	// Break makes an executor ignore orders, carry them out late, or fail or hang its tasks.
	Break struct {
		Executor int
		How      site.Fault
	}
	// Configure publishes a new configuration version.
	Configure struct{}
)

func (Kill) fault()           {}
func (Pause) fault()          {}
func (Terminate) fault()      {}
func (StopOwners) fault()     {}
func (Lose) fault()           {}
func (CutStore) fault()       {}
func (ResetStore) fault()     {}
func (DelayStore) fault()     {}
func (CutPeers) fault()       {}
func (CutExecutor) fault()    {}
func (ResetExecutors) fault() {}
func (Split) fault()          {}
func (StoreDown) fault()      {}
func (StoreSlow) fault()      {}
func (StoreLoses) fault()     {}
func (StoreForgets) fault()   {}
func (Crash) fault()          {}
func (Break) fault()          {}
func (Configure) fault()      {}

// action is a fault with its start time, relative to the begin of the run, and its duration.
type action struct {
	at, length time.Duration
	fault      Fault
}

// plan generates the faults of a run: single faults, series of one kind, and overlapping ones.
func plan(r *rand.Rand, o Options) []action {
	var actions []action
	at := time.Duration(0)
	for at < o.Length {
		length := between(r, 500*time.Millisecond, 6*time.Second)
		kind := r.IntN(kinds)
		for range 1 + r.IntN(3)*r.IntN(2) { // two of three faults are single, the rest come in series
			actions = append(actions, action{at: at, length: length, fault: draw(r, kind, o)})
			at += between(r, 200*time.Millisecond, 2*time.Second)
		}
		at += between(r, 0, 1500*time.Millisecond) // shorter than most faults, so that faults overlap
	}
	splits := rand.New(rand.NewPCG(o.Seed, splitStream))
	if splits.IntN(2) == 0 {
		actions = append(actions, drawSplit(splits, between(splits, 0, o.Length), o))
	}
	actions = append(actions, planRestarts(rand.New(rand.NewPCG(o.Seed, restartStream)), o)...)
	slices.SortStableFunc(actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return actions
}

// planRestarts generates, for half of the runs, a series of restarts of the same executors.
func planRestarts(r *rand.Rand, o Options) []action {
	if r.IntN(2) == 0 {
		return nil
	}
	var actions []action
	f := Crash{Executors: pickSome(r, o.Instances*len(Pools)), SameID: true}
	at := between(r, 0, o.Length)
	for range 1 + r.IntN(4) {
		actions = append(actions, action{at: at, length: between(r, 200*time.Millisecond, 1500*time.Millisecond), fault: f})
		at += between(r, time.Second, 3*time.Second)
	}
	return actions
}

// planSplits generates the faults of a run with splits alone, one after the other.
func planSplits(r *rand.Rand, o Options) []action {
	var actions []action
	for at := splitPause; at < o.Length; {
		a := drawSplit(r, at, o)
		actions = append(actions, a)
		at += a.length + splitPause
	}
	return actions
}

func drawSplit(r *rand.Rand, at time.Duration, o Options) action {
	return action{at: at, length: between(r, minSplit, maxSplit), fault: draw(r, kindSplit, o)}
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// Lengths of a split, from the time that a takeover needs to several times as much, and the time before each split in
// a run without other faults.
const (
	minSplit   = 4 * time.Second
	maxSplit   = 16 * time.Second
	splitPause = 2 * time.Second
)

// Kinds of faults that draw generates.
const (
	kinds         = 16      // drawn for each fault or series
	kindSplit     = kinds   // drawn for half of the runs
	splitStream   = 1 << 33 // of random numbers for splits: the other faults of recorded seeds stay what they were
	restartStream = 1 << 34 // the same for restarts
)

// draw returns a random fault of a kind. Executor numbers index the executors that are alive when the fault begins.
func draw(r *rand.Rand, kind int, o Options) Fault {
	daemon, executor := r.IntN(o.Daemons), r.IntN(o.Instances*len(Pools))
	ways := [][2]bool{{true, false}, {false, true}, {true, true}}[r.IntN(3)]
	switch kind {
	case 0:
		return Kill{Daemons: pickSome(r, o.Daemons)}
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
		return Crash{Executors: pickSome(r, o.Instances*len(Pools))}
	case 14:
		return Break{Executor: executor, How: []site.Fault{site.FaultSilent, site.FaultLate, site.FaultFail, site.FaultHang}[r.IntN(4)]}
	case kindSplit:
		return Split{Daemons: pickPart(r, o.Daemons), Executors: pickPart(r, o.Instances*len(Pools))}
	default:
		return Configure{}
	}
}

// pickPart returns random indexes below n, at least one, and not all if n is above 1.
func pickPart(r *rand.Rand, n int) []int { return r.Perm(n)[:1+r.IntN(max(1, n-1))] }

// pickSome returns random indexes below n: one index in 60 % of cases, a third of them in 30 %, all in 10 %.
func pickSome(r *rand.Rand, n int) []int {
	count := 1
	switch x := r.IntN(10); {
	case x == 0:
		count = n
	case x < 4:
		count = max(1, n/3)
	}
	return r.Perm(n)[:count]
}

// inject applies a fault and reverts it after its length.
func (s *soak) inject(ctx context.Context, a action) {
	end := s.ledger.beginFault(faultName(a.fault))
	defer end()
	s.log("%v for %v: %T%+v", s.ledger.now().Round(time.Millisecond), a.length.Round(time.Millisecond), a.fault, a.fault)
	sleep := func() { wait(ctx, a.length) }
	store := s.system.site.Store
	switch f := a.fault.(type) {
	case Kill:
		s.kill(f, sleep)
	case Pause:
		s.pause(f, sleep)
	case Terminate:
		s.terminate(f)
	case StopOwners:
		s.stopOwners(ctx, f)
	case Lose:
		s.lose(f, sleep)
	case CutStore:
		partition(s.system.daemons[f.Daemon].store, f.Out, f.Back, sleep)
	case ResetStore:
		refuse(s.system.daemons[f.Daemon].store, sleep)
	case DelayStore:
		delay(s.system.daemons[f.Daemon].store, sleep)
	case CutPeers:
		partition(s.system.daemons[f.Daemon].peers, f.Out, f.Back, sleep)
	case CutExecutor:
		s.cutExecutor(f, sleep)
	case ResetExecutors:
		s.resetExecutors()
	case Split:
		s.split(f, sleep)
	case StoreDown:
		store.Refuse(true)
		sleep()
		store.Refuse(false)
	case StoreSlow:
		store.Slow(slowStore)
		sleep()
		store.Slow(0)
	case StoreLoses:
		s.loseAnswers(f, sleep)
	case StoreForgets:
		store.DropHistory()
	case Crash:
		s.crash(f, a.length)
	case Break:
		s.breakExecutor(f, sleep)
	case Configure:
		s.configure()
	default:
		panic(fmt.Sprintf("soak: fault %T is not handled", f))
	}
}

// Parameters of the faults.
const (
	graceTime   = 6 * time.Second         // between SIGTERM and SIGKILL, as on the platform
	slowStore   = 200 * time.Millisecond  // delay of a store call, fifty times the usual 4 ms
	slowLink    = 300 * time.Millisecond  // delay of each chunk on a delayed connection
	lateChange  = 1500 * time.Millisecond // delay of a late change, within the specified 1 to 6 s
	lostChanges = 20                      // maximum number of unanswered changes in one fault
)

// faultName returns a fault's name in the ledger and whether it is planned work, which is a graceful stop or a change
// of the configuration. The name of a graceful stop includes its daemon. The stops of StopOwners are faults themselves.
func faultName(f Fault) (name string, planned bool) {
	if t, ok := f.(Terminate); ok {
		return terminateName(daemonName(t.Daemon)), true
	}
	_, configures := f.(Configure)
	_, stops := f.(StopOwners)
	return fmt.Sprintf("%T", f), configures || stops
}

// terminateName returns the ledger's name of a daemon's graceful stop.
func terminateName(daemon string) string { return "Terminate " + daemon }

func (s *soak) executor(n int) (*site.Executor, bool) {
	all := s.system.site.Executors()
	if n >= len(all) {
		return nil, false
	}
	return all[n], true
}

func partition(p *Proxy, out, back bool, sleep func()) {
	if p == nil {
		return
	}
	p.Stall(Outbound, out)
	p.Stall(Inbound, back)
	sleep()
	p.Stall(Outbound, false)
	p.Stall(Inbound, false)
}

func (s *soak) cutExecutor(f CutExecutor, sleep func()) {
	if e, ok := s.executor(f.Executor); ok {
		partition(s.system.proxy(e.ID), f.Out, f.Back, sleep)
	}
}

// split cuts a part of the site off, unless another part is cut off already.
func (s *soak) split(f Split, sleep func()) {
	part := &split{daemons: map[string]bool{}, executors: map[string]bool{}}
	var executors []string
	for _, n := range f.Daemons {
		part.daemons[daemonName(n)] = true
	}
	for _, n := range f.Executors {
		if e, ok := s.executor(n); ok {
			part.executors[e.ID] = true
			executors = append(executors, e.ID)
		}
	}
	if !s.system.divide(part) {
		return
	}
	s.system.site.Isolate(executors)
	sleep()
	s.system.unite()
	s.system.site.Rejoin()
}

func refuse(p *Proxy, sleep func()) {
	p.Refuse(true)
	p.Reset()
	sleep()
	p.Refuse(false)
}

func delay(p *Proxy, sleep func()) {
	p.Delay(slowLink)
	sleep()
	p.Delay(0)
}

func (s *soak) resetExecutors() {
	for _, e := range s.system.site.Executors() {
		if p := s.system.proxy(e.ID); p != nil {
			p.Reset()
		}
	}
}

func (s *soak) loseAnswers(f StoreLoses, sleep func()) {
	store := s.system.site.Store
	if f.Late {
		store.LoseLate(lostChanges, lateChange)
	} else {
		store.LoseAnswers(lostChanges)
	}
	sleep()
	store.LoseAnswers(0)
}

func (s *soak) crash(f Crash, down time.Duration) {
	for _, n := range f.Executors {
		switch e, ok := s.executor(n); {
		case !ok:
		case f.SameID:
			s.system.site.Restart(e.ID, down)
		default:
			s.system.site.Crash(e.ID)
		}
	}
}

func (s *soak) breakExecutor(f Break, sleep func()) {
	if e, ok := s.executor(f.Executor); ok {
		e.Break(f.How)
		sleep()
		e.Break(site.FaultNone)
	}
}

// pause suspends a daemon, unless another process fault is in progress for it.
func (s *soak) pause(f Pause, sleep func()) {
	d := s.system.daemons[f.Daemon]
	if !s.claim(d) {
		return
	}
	defer s.release(d)
	d.signal(syscall.SIGSTOP)
	sleep()
	d.signal(syscall.SIGCONT)
}

func (s *soak) terminate(f Terminate) {
	d := s.system.daemons[f.Daemon]
	if !s.claim(d) {
		return
	}
	defer s.release(d)
	d.signal(syscall.SIGTERM)
	if !d.wait(graceTime) {
		s.ledger.violated("grace", "%s has not ended %v after SIGTERM", d.name, graceTime)
	}
	s.restart(d)
}

func (s *soak) kill(f Kill, sleep func()) {
	var killed []*daemon
	for _, n := range f.Daemons {
		if d := s.system.daemons[n]; s.claim(d) {
			killed = append(killed, d)
			d.signal(syscall.SIGKILL)
			s.ledger.killed()
		}
	}
	sleep()
	for _, d := range killed {
		<-d.ended
		s.restart(d)
		s.release(d)
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

func (s *soak) release(d *daemon) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.busy, d)
}
