package schedule

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// RunCycle runs a scheduling cycle, which places ready tasks and commits changes. It follows each batch of other
// messages.
type RunCycle struct{ Now time.Duration }

func (RunCycle) message() {}

// transition holds the state and the effects while Step processes a message.
type transition struct {
	s          State
	effects    []Effect
	lastPlaced int // number of tasks that the last placement has started
}

// Step returns the state after a message and the effects to perform.
func Step(s State, m Message) (State, []Effect) {
	t := &transition{s: s}
	switch m := m.(type) {
	case Tick:
		t.handleTick(m)
	case RunCycle:
		t.advanceClock(m.Now)
		t.openDue() // in the place of the occurrences that have begun since
		t.placeReady()
		t.commit()
	case ConfigChanged:
		t.handleConfigChanged(m.Config)
	case ExecutorsListed:
		t.advanceClock(m.Now)
		t.handleExecutorsListed(m.Executors)
	case ExecutorsReplaced:
		t.advanceClock(m.Now)
		t.handleExecutorsReplaced(m.Executors)
	case Submit:
		t.advanceClock(m.Now)
		t.handleSubmit(m)
	case Relinquish:
		t.advanceClock(m.Now)
		t.handleRelinquish(m)
	case Cancel:
		t.advanceClock(m.Now)
		t.handleCancel(m)
	case HeartbeatResult:
		t.advanceClock(m.Now)
		t.handleHeartbeatResult(m)
	case OrderResult:
		t.advanceClock(m.Now)
		t.handleOrderResult(m)
	case CommitResult:
		t.advanceClock(m.Now)
		t.handleCommitResult(m)
	case CommitStalled:
		t.advanceClock(m.Now)
		t.handleCommitStalled(m)
	case AdviceResult:
		t.advanceClock(m.Now)
		t.handleAdviceResult(m)
	case FormerOwnerEnded:
		t.advanceClock(m.Now)
		t.handleFormerOwnerEnded()
	case HandOver:
		t.advanceClock(m.Now)
		t.handleHandOver()
	case SetLimits:
		t.advanceClock(m.Now)
		t.handleSetLimits(m)
	case Vacate:
		t.advanceClock(m.Now)
		t.handleVacate(m)
	default:
		panic(fmt.Sprintf("schedule: message %T is not handled", m))
	}
	return t.s, t.effects
}

func (t *transition) advanceClock(now time.Duration) {
	t.s.unixMilli += (now - t.s.now).Milliseconds()
	t.s.now = now
}

func (t *transition) emit(e ...Effect) { t.effects = append(t.effects, e...) }

// handleTick performs the work that depends only on time.
func (t *transition) handleTick(m Tick) {
	t.s.now, t.s.unixMilli = m.Now, m.Unix
	if len(t.s.unsettled) > 0 {
		// Without a write that was sent since, the next owner may have taken the pool over and extended the leases.
		t.settle(func(id string) bool { return t.s.confirmedAt <= t.s.settlesAt(id) })
	}
	t.tickAccounts()
	t.reportConfirmation()
	t.s.confirmationDue = t.s.needsConfirmation()
	t.s.eachExecutor(t.tickExecutor)
	t.expireNeighbours()
	if t.s.recordDue() {
		t.s.usedChanged, t.s.confirmationDue = t.s.usedChanged || t.s.justConfirmed(), true
	}
	t.openDue()
	const sweepEvery = 5 * time.Second // short compared to the retention, which is minutes
	if t.s.now-t.s.lastSweep > sweepEvery {
		t.s.lastSweep = t.s.now
		t.sweepEnded()
		t.sweepDeparted()
	}
	t.s.placementDue = true
}

func (t *transition) tickExecutor(x *executorState) {
	e := *x
	if e.lapsed(t.s.now, t.s.confirmedAt) {
		t.emit(note(slog.LevelWarn, "executor.lapsed", "executor", e.info.ID, "runs", len(e.runs), "silent", t.s.now-e.failingSince,
			"unconfirmed", t.s.now-t.s.confirmedAt))
		e = t.requeueAll(e)
		e.open, t.s.usedChanged = false, true
		t.s = t.s.withExecutor(e)
	}
	if e.open && e.formerLeases != 0 && t.s.now > e.formerLeases {
		e.formerLeases, t.s.usedChanged = 0, true // so that the next owner does not wait for them
		t.s = t.s.withExecutor(e)
	}
	if !e.listed && len(e.runs) == 0 && (e.failingSince != 0 || !e.open) && !t.s.isUnsettled(e.info.ID) {
		t.s.executors = t.s.executors.Without(e.info.ID)
		t.s.departed = t.s.departed.Set(e.info.ID, t.s.now)
		t.s.usedChanged = true
		t.emit(Disconnect{Executor: e.info.ID}, note(slog.LevelInfo, "executor.gone", "executor", e.info.ID))
		return
	}
	if !e.heartbeatInFlight && e.nextHeartbeatAt != 0 && t.s.now >= e.nextHeartbeatAt {
		t.sendHeartbeat(e, t.s.heartbeatWait(), 0, false)
	}
}

// sweepEnded removes outcomes that are older than the retention.
func (t *transition) sweepEnded() {
	for i := t.s.ended.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		j, ok := t.s.job(id)
		if !ok {
			t.s.ended = t.s.ended.Delete(id)
			continue
		}
		if t.s.unixMilli-j.endedAt > t.s.policy.Retention.Milliseconds() && j.dirtyGeneration == 0 {
			t.s.ended = t.s.ended.Delete(id)
			t.s = t.s.withChange(j)
		}
	}
}

// maxLateness is how long after it was sent a call to an executor may be carried out, according to the users' data sheets.
const maxLateness = 12 * time.Second

// sweepDeparted forgets the executors that no call can reach any more.
func (t *transition) sweepDeparted() {
	for i := t.s.departed.Iterator(); !i.Done(); {
		if id, at, _ := i.Next(); t.s.now-at > maxLateness {
			t.s.departed = t.s.departed.Delete(id)
		}
	}
}

func (t *transition) handleSubmit(m Submit) {
	if t.answerKnown(m.Token, m.Submission) {
		return
	}
	if t.s.hasMoved(m.Submission.Path, m.Version) {
		// The pool that the path belongs to may have accepted the job from a caller with a newer configuration.
		t.emit(Answer{Token: m.Token, Err: port.ErrUnknownOutcome},
			note(slog.LevelInfo, "job.moved", "job", string(m.Submission.ID), "path", m.Submission.Path, "version", m.Version, "inforce", t.s.config.Version))
		return
	}
	if t.s.stalled() {
		t.emit(Answer{Token: m.Token, Err: port.ErrNotAccepted})
		return
	}
	since := m.Now
	if m.Since != 0 {
		since = m.Since
	}
	t.s = t.s.withAccount(m.Submission.Account)
	j := t.s.newJob(m.Submission, m.Version, m.Submission.Digest(), m.Unix, since)
	if j.awaitsConfig {
		t.emit(note(slog.LevelInfo, "job.unconfigured", "job", string(m.Submission.ID), "queue", m.Submission.Queue, "version", m.Version, "inforce", t.s.config.Version))
	}
	j.submitTokens = []uint64{m.Token}
	t.s = t.s.withChange(j)
}

// answerKnown answers a submission of a job that the pool knows, at once or when the job is stored.
func (t *transition) answerKnown(token uint64, sub job.Submission) bool {
	if t.s.isUnreadable(sub.ID) {
		t.emit(Answer{Token: token, Err: port.ErrUnknownOutcome})
		return true
	}
	j, ok := t.s.job(sub.ID)
	if !ok {
		return false
	}
	switch {
	case !sub.Repeats(j.sub.Queue, j.sub.Path, j.digest):
		t.emit(Answer{Token: token, Err: port.ErrIDConflict})
	case j.stored:
		t.emit(Answer{Token: token})
	case t.s.isStalled(sub.ID):
		t.emit(Answer{Token: token, Err: port.ErrUnknownOutcome})
	default:
		j.submitTokens = append(slices.Clip(j.submitTokens), token)
		t.s = t.s.withJob(j)
	}
	return true
}

// handleRelinquish answers whether the pool has accepted a job. Unless the configuration here tells it already, the state
// records that the path has moved, because a caller with an older configuration may still submit the job to this pool.
func (t *transition) handleRelinquish(m Relinquish) {
	if t.answerKnown(m.Token, m.Submission) {
		return
	}
	if known, _ := t.s.moved.Get(m.Submission.Path); m.Version > max(known, t.s.config.Version) {
		t.s.moved = t.s.moved.Set(m.Submission.Path, m.Version)
	}
	t.emit(Answer{Token: m.Token, Err: port.ErrNoJob})
}

// hasMoved reports whether a configuration newer than the given version routes a path to another pool.
func (s State) hasMoved(path string, version int64) bool {
	if path == "" {
		return false // submitted through a daemon that does not send paths
	}
	if moved, ok := s.moved.Get(path); ok && version < moved {
		return true
	}
	pool, ok := s.config.PoolOf(path)
	return ok && pool != s.Pool && version < s.config.Version
}

// newJob returns the state of a job that has just been submitted. If this owner does not know its queue yet, no task starts
// before the configuration by which the queue was chosen.
func (s State) newJob(sub job.Submission, version int64, digest uint64, unix int64, now time.Duration) jobState {
	j := jobState{
		sub: sub, account: s.accounts.id(sub.Account), queue: s.queueOf(sub), version: version, awaitsConfig: true, accepted: unix, digest: digest,
		criticalPaths: criticalPaths(sub), runTimes: s.runTimesOf(sub),
	}.withConfig(s)
	j.objective = now + s.objectiveOf(sub)
	if sub.Repeat == 0 {
		j = j.withNext(now)
	}
	return j
}

func (t *transition) handleCancel(m Cancel) {
	j, ok := t.s.job(m.ID)
	switch {
	case t.s.isUnreadable(m.ID):
		t.emit(Answer{Token: m.Token, Err: port.ErrUnavailable})
	case !ok || !t.s.isOpenTo(j, m.Account):
		t.emit(Answer{Token: m.Token, Err: port.ErrNoJob})
	case j.state == job.Cancelled:
		t.emit(Answer{Token: m.Token})
	case j.state.Final():
		t.emit(Answer{Token: m.Token, Err: port.ErrNoJob})
	case j.outcome == job.Completed || j.outcome == job.Failed:
		// The next owner may run the job again until its end is stored.
		j.cancelTokens = append(slices.Clip(j.cancelTokens), m.Token)
		t.s = t.s.withJob(j)
	default:
		j.outcome = job.Cancelled
		j.cancelTokens = append(slices.Clip(j.cancelTokens), m.Token)
		t.s = t.s.withChange(j)
		t.s = t.s.withAllRanks(m.ID)
	}
}

// updateTask applies change to a task and updates the rank of its task set if that depends on the change.
func (t *transition) updateTask(task job.Task, change func(taskState) taskState) {
	j, ok := t.s.job(task.Job)
	if !ok {
		return
	}
	ts := j.taskSet(task.Occurrence, task.Step)
	if ts == nil || !j.has(task) {
		return
	}
	before := *ts
	x := change(*before.tasks.Get(task.Index))
	after := before.withTask(task.Index, x)
	j = j.withTaskSet(after)
	j.mostFailures = max(j.mostFailures, len(x.failedRuns))
	t.s = t.s.withJob(j)
	if (before.waiting > 0) != (after.waiting > 0) || after.waiting > 0 && before.done != after.done {
		t.s = t.s.withRank(taskSetRef{job: task.Job, occurrence: task.Occurrence, step: task.Step})
	}
}

// findTask returns a task and its job. A task of an occurrence that is over is done.
func (t *transition) findTask(task job.Task) (jobState, taskState, bool) {
	j, ok := t.s.job(task.Job)
	if !ok {
		return jobState{}, taskState{}, false
	}
	x, ok := j.task(task)
	return j, x, ok
}

// requeue makes a task wait again after its run has ended without success. An empty checkpoint retains the earlier one.
func (t *transition) requeue(task job.Task, run uint64, checkpoint string, notBefore time.Duration) {
	t.updateTask(task, func(x taskState) taskState {
		if x.run != run || x.phase == done {
			return x
		}
		x.phase, x.executor, x.since, x.notBefore = waiting, "", t.s.now, notBefore
		if checkpoint != "" {
			x.checkpoint = checkpoint
		}
		return x
	})
}

// requeueAll removes all runs from an executor on which they have ended and requeues their tasks.
func (t *transition) requeueAll(e executorState) executorState {
	for _, r := range e.runs {
		t.requeue(r.task, r.run, "", 0)
	}
	e.runs, e.allocated, e.strays = nil, job.Resources{}, 0
	return e
}
