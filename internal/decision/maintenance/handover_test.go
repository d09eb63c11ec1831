package maintenance_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"teaselloft/internal/decision/maintenance"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	"pgregory.net/rapid"
)

// Parameters of a simulated handover.
const (
	tickInterval  = 120 * time.Millisecond
	maxOrderDelay = 800  // ms until an order arrives, which is the timeout of an order
	maxListDelay  = 400  // ms until a list is answered
	maxWriteDelay = 250  // ms until a write to the store is applied, and again until it is answered
	maxPause      = 3000 // ms for which a daemon is suspended before it sends an order
	emptyFor      = 500 * time.Millisecond
)

var (
	errNoAnswer = errors.New("no answer")
	errRefused  = errors.New("store did nothing")
)

// handover is a fleet whose owner loses the store, and whose next owner takes the fleet over while the former one still
// reaches the instance list. The platform doesn't check fencing tokens.
type handover struct {
	t         *rapid.T
	now       time.Duration
	events    []event
	wave      cluster.Directory
	limit     int
	downtime  time.Duration
	instances []site.Instance
	done      map[string]bool // instances that have had their maintenance
	epoch     int             // of the store's owner record
	stored    []string        // progress of the wave
	completed bool            // the wave is reported as completed
	arrivals  []int           // epochs of the orders in the order of their arrival
	maxDown   int             // highest number of instances that were down at a time
}

type event struct {
	at time.Duration
	do func()
}

// fleetOwner is one of the owners.
type fleetOwner struct {
	*handover
	epoch   int
	state   maintenance.State
	cut     bool // from the store
	stopped bool
}

func (h *handover) after(d time.Duration, do func()) {
	h.events = append(h.events, event{at: h.now + d, do: do})
	slices.SortStableFunc(h.events, func(a, b event) int { return int(a.at - b.at) })
}

func (h *handover) afterUpTo(ms int, do func()) {
	h.after(time.Duration(rapid.IntRange(1, ms).Draw(h.t, "delay"))*time.Millisecond, do)
}

func (h *handover) advance(d time.Duration) {
	until := h.now + d
	for len(h.events) > 0 && h.events[0].at <= until {
		e := h.events[0]
		h.events = h.events[1:]
		h.now = e.at
		e.do()
	}
	h.now = until
}

// takeOver starts an owner under the next epoch.
func (h *handover) takeOver() *fleetOwner {
	h.epoch++
	o := &fleetOwner{handover: h, epoch: h.epoch, state: maintenance.New(map[int64][]string{1: h.stored})}
	o.poll()
	return o
}

// poll reads the instance list and passes it on with the next Tick.
func (o *fleetOwner) poll() {
	if o.stopped {
		return
	}
	instances, requestedAt := slices.Clone(o.instances), o.now
	o.afterUpTo(maxListDelay, func() {
		load := port.Load{Executors: map[string]port.ExecutorLoad{}}
		for n, i := range instances {
			if o.epoch%2 == 0 {
				n = -n // executors are loaded differently later, so that the next owner prefers others
			}
			load.Executors[i.Executor] = port.ExecutorLoad{Usable: true, CPU: int64(instanceCPU + n)}
		}
		o.step(maintenance.Tick{
			Now: o.now, Directory: o.wave, Instances: instances, ListAge: o.now - requestedAt, Loads: map[string]port.Load{"a": load},
		})
		o.after(tickInterval, o.poll)
	})
}

func (o *fleetOwner) step(m maintenance.Message) {
	if o.stopped {
		return
	}
	var effects []maintenance.Effect
	o.state, effects = maintenance.Step(o.state, m)
	for _, e := range effects {
		switch e := e.(type) {
		case maintenance.Vacate:
			o.step(maintenance.VacateResult{Now: o.now, Pool: e.Pool, Executors: e.Executors, ClosedUntil: o.now + emptyFor})
		case maintenance.StartMaintenance:
			o.send(e)
		case maintenance.Confirm:
			o.confirm()
		case maintenance.ReportWave:
			o.write(func() { o.stored, o.completed = e.Done, o.completed || e.Completed })
		case maintenance.MoveInstance, maintenance.StepDown:
			o.t.Fatalf("unexpected effect %T", e)
		case maintenance.Note:
		}
	}
}

// write changes the store if this owner still owns the fleet, and stops it otherwise. It reports whether it was changed.
func (o *fleetOwner) write(change func()) bool {
	if o.cut {
		return false
	}
	o.stopped = o.stopped || o.handover.epoch != o.epoch
	if !o.stopped {
		change()
	}
	return !o.stopped
}

// confirm writes to the store, which may take long or refuse. Without an answer, the write is repeated until the owner is
// no longer cut off.
func (o *fleetOwner) confirm() {
	sent := o.now
	o.afterUpTo(maxWriteDelay, func() {
		err := errRefused
		if rapid.IntRange(0, 9).Draw(o.t, "refused") != 0 {
			if !o.write(func() {}) {
				return
			}
			err = nil
		}
		o.afterUpTo(maxWriteDelay, func() { o.step(maintenance.ConfirmResult{Now: o.now, Sent: sent, Err: err}) })
	})
}

// send sends an order, now or after a pause of the daemon. The order or its answer may take long or be lost.
func (o *fleetOwner) send(e maintenance.StartMaintenance) {
	deliver := func() {
		if o.now >= e.SendBy {
			o.step(maintenance.OrderResult{Now: o.now, Instance: e.Instance, Err: maintenance.ErrNotSent})
			return
		}
		o.afterUpTo(maxOrderDelay, func() {
			err := o.arrive(o.epoch, e.Instance)
			if rapid.IntRange(0, 9).Draw(o.t, "lost") == 0 {
				err = errNoAnswer
			}
			o.step(maintenance.OrderResult{Now: o.now, Instance: e.Instance, Err: err})
		})
	}
	if rapid.IntRange(0, 9).Draw(o.t, "paused") == 0 {
		o.afterUpTo(maxPause, deliver)
		return
	}
	deliver()
}

// arrive carries out an order. The instance leaves once and returns with another executor.
func (h *handover) arrive(epoch int, name string) error {
	h.arrivals = append(h.arrivals, epoch)
	n := slices.IndexFunc(h.instances, func(i site.Instance) bool { return i.Name == name })
	switch {
	case h.instances[n].State != site.InstanceUp:
		return port.ErrInstanceNotUp
	case h.done[name]:
		return nil
	}
	h.done[name] = true
	h.instances[n].State = site.InstanceMaintenance
	down := 0
	for _, i := range h.instances {
		if i.State == site.InstanceMaintenance {
			down++
		}
	}
	h.maxDown = max(h.maxDown, down)
	h.after(h.downtime, func() {
		h.instances[n].State = site.InstanceUp
		h.instances[n].Executor += "'"
	})
	return nil
}

// drawHandover plays a handover during a wave of 12 instances, until the wave is completed or two minutes have passed.
func drawHandover(t *rapid.T) *handover {
	h := &handover{t: t, now: 10 * time.Second, instances: upInstances("a", 12), done: map[string]bool{}}
	var names []string
	for _, i := range h.instances {
		names = append(names, i.Name)
	}
	h.limit = rapid.IntRange(1, 3).Draw(t, "limit")
	h.downtime = time.Duration(rapid.IntRange(500, 3000).Draw(t, "downtime")) * time.Millisecond
	h.wave = wave(h.limit, names...)
	former := h.takeOver()
	h.advance(time.Duration(rapid.IntRange(1000, 6000).Draw(t, "before")) * time.Millisecond)
	former.cut = rapid.IntRange(0, 4).Draw(t, "cut") != 0 // otherwise it learns of the takeover from its next write
	h.advance(time.Duration(rapid.IntRange(0, 4000).Draw(t, "takeover")) * time.Millisecond)
	h.takeOver()
	for n := 0; n < 24 && !h.completed; n++ {
		h.advance(5 * time.Second)
	}
	return h
}

// Guards against a former owner of the fleet that is cut off from the store and goes on with a wave beside the next one:
// each keeps the limit of the wave, but not both together.
func TestFormerOwnerKeepsLimitOfWave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if h := drawHandover(t); h.maxDown > h.limit {
			t.Fatalf("%d instances are down at a time, the wave allows %d", h.maxDown, h.limit)
		}
	})
}

// Guards against orders of a former owner of the fleet that arrive after the first order of the next one.
func TestFormerOwnerGivesNoLateOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if h := drawHandover(t); !slices.IsSorted(h.arrivals) {
			t.Fatalf("orders arrive with the epochs %v", h.arrivals)
		}
	})
}

// Guards against a wave that isn't continued after a takeover of the fleet.
func TestNextOwnerEndsWave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if h := drawHandover(t); !h.completed {
			t.Fatalf("%d of %d instances had their maintenance, and the wave isn't completed", len(h.done), len(h.instances))
		}
	})
}
