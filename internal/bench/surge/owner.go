package surge

import (
	"fmt"
	"time"

	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/port"

	"golang.org/x/sys/unix"
)

// Processor time that the modeled owner spends. It is some ten times what a core of the users' machines needs, so that a
// few dozen jobs a second saturate the owner and a run takes a second of real time.
const (
	requestCost   = 600 * time.Microsecond // a call, with its frames
	orderCost     = 300 * time.Microsecond // the result of an order
	heartbeatCost = 700 * time.Microsecond // a report
	commitCost    = 2 * time.Millisecond   // the result of a write
	cycleCost     = 1 * time.Millisecond
	startCost     = 500 * time.Microsecond // a start order, with its frame
	otherCost     = 1 * time.Millisecond
)

// Durations of what the owner waits for, and of its ticks.
const (
	storeTime    = 6 * time.Millisecond
	networkTime  = 2 * time.Millisecond // one way between daemons, relays and executors
	tickInterval = 50 * time.Millisecond
	maxBatch     = 64 // messages between two cycles
)

// queued is a message in the owner's ring.
type queued struct {
	message schedule.Message
	at      time.Duration
}

// owner is the owner of a pool, which handles one message after the other.
type owner struct {
	*agenda
	state     schedule.State
	queue     []queued
	busy      bool
	pool      *pool
	callers   *callers
	speed     float64
	nextCycle time.Duration
	waking    bool          // wake is due
	handling  time.Duration // processor time spent, by the model
	measured  time.Duration // processor time of this machine that the decisions took
}

// send queues a message.
func (o *owner) send(m schedule.Message) {
	o.queue = append(o.queue, queued{message: m, at: o.now})
	o.wake()
}

// wake handles the next messages and a cycle if one is due, which takes their processor time. Then the effects are
// performed.
func (o *owner) wake() {
	cycleDue := o.now >= o.nextCycle
	if o.busy || len(o.queue) == 0 && !cycleDue {
		return
	}
	o.busy = true
	var cost time.Duration
	var effects []schedule.Effect
	step := func(m schedule.Message) {
		began := threadTime()
		s, e := schedule.Step(o.state, m)
		o.measured += threadTime() - began
		o.state, effects = s, append(effects, e...)
		cost += costOf(m, e)
	}
	n := min(maxBatch, len(o.queue))
	for _, q := range o.queue[:n] {
		step(q.message)
	}
	o.queue = append([]queued(nil), o.queue[n:]...)
	if cycleDue {
		before := cost
		step(schedule.RunCycle{Now: o.now})
		o.nextCycle = schedule.NextCycle(o.now, time.Duration(float64(cost-before)/o.speed))
	} else if !o.waking {
		o.waking = true
		o.after(o.nextCycle-o.now, func() {
			o.waking = false
			o.wake()
		})
	}
	cost = time.Duration(float64(cost) / o.speed)
	o.handling += cost
	o.after(cost, func() {
		o.busy = false
		for _, e := range effects {
			o.perform(e)
		}
		o.wake()
	})
}

// threadTime returns the processor time of this thread.
func threadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(fmt.Sprintf("read CLOCK_THREAD_CPUTIME_ID: %v", err))
	}
	return time.Duration(t.Nano())
}

func costOf(m schedule.Message, effects []schedule.Effect) time.Duration {
	cost := otherCost
	switch m.(type) {
	case schedule.Submit, schedule.Relinquish, schedule.Cancel, schedule.Vacate:
		cost = requestCost
	case schedule.OrderResult:
		cost = orderCost
	case schedule.HeartbeatResult:
		cost = heartbeatCost
	case schedule.CommitResult, schedule.CommitStalled:
		cost = commitCost
	case schedule.RunCycle:
		cost = cycleCost
	case schedule.Tick, schedule.ConfigChanged, schedule.ExecutorsListed, schedule.ExecutorsReplaced, schedule.AdviceResult, schedule.FormerOwnerEnded, schedule.HandOver:
	}
	for _, e := range effects {
		if _, ok := e.(schedule.StartRun); ok {
			cost += startCost
		}
	}
	return cost
}

func (o *owner) perform(e schedule.Effect) {
	switch e := e.(type) {
	case schedule.Answer:
		o.after(networkTime, func() { o.callers.answer(e) })
	case schedule.Commit:
		o.after(storeTime, func() { o.send(schedule.CommitResult{Now: o.now, Number: e.Number}) })
	case schedule.StartRun:
		o.after(networkTime, func() { o.pool.start(e) })
	case schedule.SendHeartbeat:
		sent := o.now
		o.after(e.Delay+networkTime, func() {
			o.pool.heartbeat(e, func(r port.ExecutorReport) {
				o.send(schedule.HeartbeatResult{Executor: e.Executor, Sent: sent, Now: o.now, Report: r})
			})
		})
	case schedule.Note:
		if e.Event == "job.ended" {
			o.callers.ended(e)
		}
	case schedule.StopRun, schedule.ThrottleRun, schedule.Connect, schedule.Disconnect, schedule.Advise, schedule.StepDown, schedule.HandedOver:
	}
}

// tick sends ticks until the end of the run.
func (o *owner) tick() {
	o.send(schedule.Tick{Now: o.now, Unix: unixMilli(o.now)})
	o.after(tickInterval, o.tick)
}

func unixMilli(now time.Duration) int64 { return 1_700_000_000_000 + now.Milliseconds() }
