package schedule

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// Pump asks for what has become possible: starts, writes and holds. It follows each batch of other messages.
type Pump struct{ Now time.Duration }

func (Pump) message() {}

// turn collects the effects of one step.
type turn struct {
	s   State
	out []Effect
}

// Step returns the state after a message and what has to be done.
func Step(s State, m Message) (State, []Effect) {
	t := &turn{s: s}
	switch m := m.(type) {
	case Tick:
		t.tick(m)
	case Pump:
		t.clock(m.Now)
		t.place()
		t.commit()
	case Configured:
		t.configured(m.Config)
	case Reported:
		t.clock(m.Now)
		t.reported(m.Executors)
	case Submit:
		t.clock(m.Now)
		t.submit(m)
	case Cancel:
		t.clock(m.Now)
		t.cancel(m)
	case Held:
		t.clock(m.Now)
		t.held(m)
	case Ordered:
		t.clock(m.Now)
		t.ordered(m)
	case Committed:
		t.clock(m.Now)
		t.committed(m)
	case Stalled:
		t.clock(m.Now)
		t.stalled(m)
	case Advised:
		t.clock(m.Now)
		t.advised(m)
	case Vacate:
		t.clock(m.Now)
		t.vacate(m)
	default:
		panic(fmt.Sprintf("schedule: message %T is not handled", m))
	}
	return t.s, t.out
}

func (t *turn) clock(now time.Duration) {
	t.s.unix += (now - t.s.now).Milliseconds()
	t.s.now = now
}

func (t *turn) emit(e ...Effect) { t.out = append(t.out, e...) }

// tick does what depends on time alone.
func (t *turn) tick(m Tick) {
	t.s.now, t.s.unix = m.Now, m.Unix
	if len(t.s.unsettled) > 0 && t.s.now >= t.s.settleBy {
		t.emit(note(slog.LevelWarn, "pool.settled", "silent", len(t.s.unsettled)))
		t.settle(nil)
	}
	t.s.each(t.tickExecutor)
	t.dueOccurrences()
	const sweepEvery = 5 * time.Second // outcomes are kept for minutes, so seconds do not matter
	if t.s.now-t.s.swept > sweepEvery {
		t.s.swept = t.s.now
		t.sweep()
	}
	t.s.mustPump = true
}

func (t *turn) tickExecutor(e executorState) {
	if e.failing != 0 && len(e.runs) > 0 && e.lapsed(t.s.now) {
		t.emit(note(slog.LevelWarn, "executor.lapsed", "executor", e.info.ID, "runs", len(e.runs), "silent", t.s.now-e.failing))
		e = t.release(e)
		e.open = false
		t.s = t.s.withExecutor(e)
	}
	if !e.listed && len(e.runs) == 0 && (e.failing != 0 || !e.open) {
		t.s.executors = t.s.executors.Delete(e.info.ID)
		t.emit(Disconnect{Executor: e.info.ID}, note(slog.LevelInfo, "executor.gone", "executor", e.info.ID))
		return
	}
	if !e.holding && e.deferred != 0 && t.s.now >= e.deferred {
		t.hold(e, t.s.holdWait(), 0, false)
	}
}

// dueOccurrences adds the steps of repeated jobs whose time has come.
func (t *turn) dueOccurrences() {
	for i := t.s.timed.Iterator(); !i.Done(); {
		id, next, _ := i.Next()
		j, ok := t.s.jobs.Get(id)
		if !ok || !j.stored {
			continue
		}
		for next < j.sub.Occurrences() && j.sub.Due(next) <= t.s.unix {
			j = j.withOccurrence(next, t.s.now)
			next++
		}
		t.s = t.s.withJob(j)
		if next < j.sub.Occurrences() && j.open() {
			t.s.timed = t.s.timed.Set(id, next)
		} else {
			t.s.timed = t.s.timed.Delete(id)
		}
		t.s = t.s.withAllRanks(id)
	}
}

// sweep forgets outcomes that are older than the retention.
func (t *turn) sweep() {
	for i := t.s.ended.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		j, ok := t.s.jobs.Get(id)
		if !ok {
			t.s.ended = t.s.ended.Delete(id)
			continue
		}
		if t.s.unix-j.ended > t.s.policy.Retention.Milliseconds() && j.dirty == 0 {
			t.s.ended = t.s.ended.Delete(id)
			t.s = t.s.withChange(j)
		}
	}
}

func (t *turn) configured(c *site.Config) {
	if c.Version < t.s.config.Version {
		t.emit(note(slog.LevelWarn, "config.older", "version", c.Version, "inforce", t.s.config.Version))
		return
	}
	t.s.config = c
}

// queue returns the queue of that name in the configuration in force.
func (s State) queue(name string) (site.Queue, bool) {
	i := slices.IndexFunc(s.config.Queues, func(q site.Queue) bool { return q.Name == name })
	if i < 0 {
		return site.Queue{}, false
	}
	return s.config.Queues[i], true
}

// defaultAttempts applies to the jobs of a queue that the configuration no longer names.
const defaultAttempts = 3

func (s State) queueOf(sub job.Submission) site.Queue {
	q, ok := s.queue(sub.Queue)
	if !ok {
		return site.Queue{Name: sub.Queue, Attempts: defaultAttempts, Stretch: 1}
	}
	return q
}

func (t *turn) submit(m Submit) {
	digest := m.Submission.Digest()
	if j, ok := t.s.jobs.Get(m.Submission.ID); ok {
		switch {
		case j.digest != digest:
			t.emit(Answer{Token: m.Token, Err: port.ErrIDConflict})
		case j.stored:
			t.emit(Answer{Token: m.Token})
		case t.s.flight.stalls(m.Submission.ID):
			t.emit(Answer{Token: m.Token, Err: port.ErrUnknownOutcome})
		default:
			j.submits = append(slices.Clip(j.submits), m.Token)
			t.s = t.s.withJob(j)
		}
		return
	}
	if t.s.flight != nil && t.s.flight.stalled {
		t.emit(Answer{Token: m.Token, Err: port.ErrNotAccepted})
		return
	}
	j := t.s.newJob(m.Submission, digest, m.Unix, m.Now)
	j.submits = []uint64{m.Token}
	t.s = t.s.withChange(j)
}

// newJob returns a job that has just arrived.
func (s State) newJob(sub job.Submission, digest uint64, unix int64, now time.Duration) jobState {
	q := s.queueOf(sub)
	j := jobState{sub: sub, queue: q, accepted: unix, digest: digest, tails: tails(sub)}
	j.objective = now + q.Target + time.Duration(q.Stretch*float64(sub.CriticalPath()))
	if sub.Repeat == 0 {
		j = j.withOccurrence(0, now)
	}
	return j
}

func (t *turn) cancel(m Cancel) {
	j, ok := t.s.jobs.Get(m.ID)
	switch {
	case !ok:
		t.emit(Answer{Token: m.Token, Err: port.ErrNoJob})
	case j.state == job.Cancelled:
		t.emit(Answer{Token: m.Token})
	case j.state.Final():
		t.emit(Answer{Token: m.Token, Err: port.ErrNoJob})
	case j.outcome == job.Completed || j.outcome == job.Failed:
		// Until its end is stored, the next owner may run the job again.
		j.cancels = append(slices.Clip(j.cancels), m.Token)
		t.s = t.s.withJob(j)
	default:
		j.outcome = job.Cancelled
		j.cancels = append(slices.Clip(j.cancels), m.Token)
		t.s = t.s.withChange(j)
		t.s = t.s.withAllRanks(m.ID)
	}
}

// withTask changes the state of a task and, through it, of its job.
func (t *turn) withTask(task job.Task, change func(taskState) taskState) {
	j, ok := t.s.jobs.Get(task.Job)
	if !ok {
		return
	}
	i, ok := j.find(task)
	if !ok {
		return
	}
	j = j.withWork(i, j.works[i].withTask(task.Index, change(j.works[i].tasks[task.Index])))
	t.s = t.s.withJob(j)
	t.s = t.s.withRank(task.Job, i)
}

func (t *turn) task(task job.Task) (jobState, taskState, bool) {
	j, ok := t.s.jobs.Get(task.Job)
	if !ok {
		return jobState{}, taskState{}, false
	}
	i, ok := j.find(task)
	if !ok {
		return j, taskState{}, false
	}
	return j, j.works[i].tasks[task.Index], true
}

// free makes a task wait again after its run has ended without success.
func (t *turn) free(task job.Task, run uint64, saved string, notUntil time.Duration) {
	t.withTask(task, func(x taskState) taskState {
		if x.run != run || x.phase == done {
			return x
		}
		x.phase, x.executor, x.since, x.notUntil = waiting, "", t.s.now, notUntil
		if saved != "" {
			x.saved = saved
		}
		return x
	})
}

// release frees the tasks of everything on an executor, whose runs have all ended.
func (t *turn) release(e executorState) executorState {
	for _, r := range e.runs {
		t.free(r.task, r.run, "", 0)
	}
	e.runs, e.taken = nil, job.Resources{}
	return e
}

// stop orders the end of a run.
func (t *turn) stop(e executorState, i int) executorState {
	r := e.runs[i]
	if r.phase != stopping {
		r.phase, r.since = stopping, t.s.now
	}
	r.known = t.s.now
	t.emit(StopRun{Executor: e.info.ID, Stop: port.Stop{Task: r.task, Run: r.run, Fence: t.s.Epoch}})
	t.withTask(r.task, func(x taskState) taskState {
		if x.run == r.run && x.phase != done {
			x.phase, x.since = stopping, t.s.now
		}
		return x
	})
	return e.withRun(r)
}

// stopJob stops every run of a job.
func (t *turn) stopJob(id job.ID) {
	t.s.each(func(e executorState) {
		changed := false
		for i, r := range e.runs {
			if r.task.Job == id && r.phase != stopping {
				e, changed = t.stop(e, i), true
			}
		}
		if changed {
			t.s = t.s.withExecutor(e)
		}
	})
}

func (t *turn) ordered(m Ordered) {
	e, ok := t.s.executors.Get(m.Executor)
	if !ok {
		return
	}
	if errors.Is(m.Err, port.ErrFenced) {
		t.emit(Superseded{Executor: m.Executor})
		return
	}
	if m.Kind == KindPace {
		t.paced(e, m)
		return
	}
	i := e.find(m.Task, m.Run)
	if i < 0 {
		return
	}
	if m.Kind == KindStop {
		t.stopped(e, i, m)
		return
	}
	t.started(e, i, m)
}

func (t *turn) stopped(e executorState, i int, m Ordered) {
	r := e.runs[i]
	settled := m.Err == nil || errors.Is(m.Err, port.ErrStaleRun) || errors.Is(m.Err, port.ErrExpired) || errors.Is(m.Err, port.ErrRejected)
	if settled {
		r.settled, r.known = true, t.s.now
		t.s = t.s.withExecutor(e.withRun(r))
	}
}

// retryPause keeps a task from being offered at once to an executor that has just refused it.
const retryPause = 100 * time.Millisecond

func (t *turn) started(e executorState, i int, m Ordered) {
	r := e.runs[i]
	switch {
	case m.Err == nil:
		if r.phase == starting {
			r.phase, r.since = running, t.s.now
			t.withTask(r.task, func(x taskState) taskState {
				if x.run == r.run && x.phase == starting {
					x.phase, x.since = running, t.s.now
				}
				return x
			})
		}
		r.known = t.s.now
		t.s = t.s.withExecutor(e.withRun(r))
	case refused(m.Err):
		t.emit(note(slog.LevelInfo, "start.refused", "task", m.Task.String(), "run", m.Run, "executor", m.Executor, "error", m.Err))
		e = e.withoutRun(i)
		if errors.Is(m.Err, port.ErrUnhealthy) || errors.Is(m.Err, port.ErrNotConnected) {
			e.barred = max(e.barred, t.s.now+t.s.policy.HoldBackoff)
		}
		t.s = t.s.withExecutor(e)
		if errors.Is(m.Err, port.ErrTicketRejected) {
			t.dropTicket(m.Task, e.info.ID)
		}
		t.free(m.Task, m.Run, "", t.s.now+retryPause)
	default:
		t.emit(note(slog.LevelWarn, "start.unsure", "task", m.Task.String(), "run", m.Run, "executor", m.Executor, "error", m.Err))
		t.s = t.s.withExecutor(t.stop(e, i))
	}
}

// refused reports whether an order certainly has no effect, now or later.
func refused(err error) bool {
	for _, definite := range []error{
		port.ErrExpired, port.ErrNoCapacity, port.ErrTicketRejected, port.ErrUnhealthy, port.ErrRejected, port.ErrNotConnected, port.ErrWrongIncarnation,
	} {
		if errors.Is(err, definite) && !errors.Is(err, port.ErrUnknownOutcome) {
			return true
		}
	}
	return false
}
