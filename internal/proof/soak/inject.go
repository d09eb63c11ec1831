package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"teaselloft/internal/standin/site"
)

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
