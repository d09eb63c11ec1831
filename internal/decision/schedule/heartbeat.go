package schedule

import (
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// handleExecutorsListed applies the current list of the pool's executors.
func (t *transition) handleExecutorsListed(list []site.Executor) {
	listed := map[string]bool{}
	for _, x := range list {
		listed[x.ID] = true
		e, ok := t.s.executor(x.ID)
		if !ok {
			t.addExecutor(x)
			continue
		}
		t.updateExecutor(e, x)
	}
	t.s.eachExecutor(func(x *executorState) {
		if x.listed && !listed[x.info.ID] {
			e := *x
			e.listed = false
			t.s = t.s.withExecutor(e)
			t.emit(note(slog.LevelInfo, "executor.unlisted", "executor", e.info.ID, "runs", len(e.runs)))
		}
	})
	t.s = t.s.withLargest()
	t.s.placementDue = true
}

func (t *transition) addExecutor(x site.Executor) {
	t.emit(Connect{Executor: x}, note(slog.LevelInfo, "executor.listed", "executor", x.ID, "pool", x.Pool, "instance", x.Instance))
	e := executorState{info: x, listed: true, born: x.Born, fencingToken: t.nextFencingToken(x.ID), calledSince: t.s.now}
	if _, ok := t.s.departed.Get(x.ID); ok {
		e.restarted, e.formerLeases = true, t.s.now+t.s.policy.waitForFormerCalls()
		t.s.departed = t.s.departed.Delete(x.ID)
	}
	t.sendHeartbeat(e, 0, 0, false)
}

func (t *transition) updateExecutor(e executorState, x site.Executor) {
	if x.Born != 0 && x.Born == e.born && x.Address != e.info.Address {
		t.emit(Connect{Executor: x})
		e.info, e.listed = x, true
		t.sendHeartbeat(e, 0, 0, false)
		return
	}
	if x.Born != 0 && e.born != 0 && x.Born != e.born || x.Address != e.info.Address {
		if x.Born != 0 && e.born != 0 && x.Born < e.born {
			return // the list is older than the executor's own report
		}
		e = t.newIncarnation(e, x)
		e.listed = true
		t.sendHeartbeat(e, 0, 0, false)
		return
	}
	if x.Draining != e.info.Draining {
		t.emit(note(slog.LevelInfo, "executor.draining", "executor", x.ID, "draining", x.Draining, "remaining", x.Remaining))
	}
	e.info, e.listed = x, true
	t.s = t.s.withExecutor(e)
	if !e.heartbeatInFlight && e.nextHeartbeatAt == 0 {
		t.sendHeartbeat(e, 0, 0, false)
	}
}

// heartbeatWait returns how long an executor may delay its answer while no run ends. It grows with the number of
// executors, which limits the rate of calls.
func (s State) heartbeatWait() time.Duration {
	wait := min(max(s.policy.HeartbeatWait, time.Duration(s.executors.Len())*heartbeatWaitPerExecutor), maxHeartbeatWait)
	if s.commitOverdue {
		return min(wait, outageHeartbeatWait)
	}
	return wait
}

// sendHeartbeat asks an executor for its runs, after a delay, and renews their lease.
func (t *transition) sendHeartbeat(e executorState, wait, delay time.Duration, reset bool) {
	h := port.Heartbeat{FencingToken: e.fencingToken, Wait: wait}
	if e.failingSince == 0 && e.open {
		h.Ack = e.ackedEnd // a silent executor may have restarted, and the new incarnation reuses the numbers
	}
	// The next owner waits a limited time for an executor that has restarted and does not answer it.
	confirmed := !e.restarted || t.s.confirmedAt > e.openedAt
	if e.open && confirmed && e.failingSince == 0 && t.s.now+delay <= t.s.validUntil() && !t.s.isReleased(e.info.ID) {
		h.Expires = e.localTime(t.s.now+delay) + t.s.policy.Lease.Milliseconds()
		e.leaseExpires = max(e.leaseExpires, h.Expires)
	}
	e.heartbeatInFlight, e.nextHeartbeatAt = true, 0
	t.s = t.s.withExecutor(e)
	t.emit(SendHeartbeat{Executor: e.info.ID, Heartbeat: h, Delay: delay, Reset: reset})
}

func (t *transition) handleHeartbeatResult(m HeartbeatResult) {
	e, ok := t.s.executor(m.Executor)
	if !ok || m.FencingToken != e.fencingToken { // it tells nothing of the present incarnation
		return
	}
	e.heartbeatInFlight = false
	switch {
	case errors.Is(m.Err, port.ErrFenced):
		t.s = t.s.withExecutor(e)
		t.emit(StepDown{Executor: m.Executor, Reason: errSucceeded})
	case m.Err != nil:
		t.handleHeartbeatFailure(e, m)
	default:
		t.handleReport(e, m)
	}
}

func (t *transition) handleHeartbeatFailure(e executorState, m HeartbeatResult) {
	if e.failingSince == 0 {
		e.failingSince = m.Now
		if e.open && len(e.runs) == 0 {
			// It has no runs, so the next owner does not have to know it. It is used again after a commit that names it.
			e.open, t.s.usedChanged = false, true
		}
		attrs := []any{"executor", e.info.ID, "error", m.Err}
		if e.clockReadAt != 0 {
			attrs = append(attrs, "answered", m.Now-e.clockReadAt)
		}
		t.emit(note(slog.LevelWarn, "executor.silent", attrs...))
		t.sendHeartbeat(e, 0, 0, true) // retries at once on a new connection, since the open one may be dead
		return
	}
	delay := t.s.policy.HeartbeatBackoff
	if len(e.runs) == 0 && !t.s.isUnsettled(e.info.ID) {
		delay = t.s.policy.IdleBackoff
	}
	t.sendHeartbeat(e, 0, delay, true)
}

func (t *transition) handleReport(e executorState, m HeartbeatResult) {
	report := m.Report
	if e.born != 0 && report.Born != 0 && report.Born != e.born {
		info := e.info
		info.Born = report.Born
		e = t.newIncarnation(e, info)
		t.sendHeartbeat(e, 0, 0, false)
		return
	}
	if report.Born != 0 {
		e.born = report.Born
	}
	if e.failingSince != 0 {
		t.emit(note(slog.LevelInfo, "executor.back", "executor", e.info.ID, "after", m.Now-e.failingSince))
	}
	e.replaced = false
	e.failingSince, e.clock, e.clockReadAt, e.acceptedAt, e.partial = 0, report.Clock, m.Now, m.Sent, report.IsPartial()
	if !e.open {
		e.resumedAt = 0
		if len(report.Runs)+len(report.Ended) > 0 && !t.s.isContinuous(&e) {
			e.resumedAt = m.Now
		}
		e.open, e.openedAt = true, m.Now
		// The former owner may have extended the lease until just before.
		e.leaseExpires = max(e.leaseExpires, report.Clock+(t.s.policy.Lease+leaseMargin).Milliseconds())
		if e.restarted {
			e.formerLeases = m.Now + t.s.policy.longestLease()
		}
		t.s.lastOpenedAt, t.s.usedChanged = m.Now, true
		t.s = t.s.withFormerAnswer(e.info.ID)
		t.emit(note(slog.LevelInfo, "executor.open", "executor", e.info.ID, "active", len(report.Runs), "ends", len(report.Ended)))
	}
	t.s.usedChanged = t.s.usedChanged || t.s.isReleased(e.info.ID) && !t.s.handingOver
	t.s.placementDue = t.s.placementDue || len(report.Ended) > 0
	t.s = t.s.withExecutor(e)
	generationBefore := t.s.generation
	for _, end := range report.Ended {
		t.handleEndedRun(e.info.ID, end)
	}
	t.reconcile(e.info.ID, m)
	t.observeTails(e.info.ID)
	t.adjustThrottle(e.info.ID)
	t.moveFromNeighbours(e.info.ID)
	t.planNextHeartbeat(e.info.ID, generationBefore)
	if t.s.isUnsettled(e.info.ID) && t.s.now < t.s.settlesAt(e.info.ID) && !report.IsPartial() {
		t.settle(func(id string) bool { return id != e.info.ID })
	}
}

// planNextHeartbeat sends the next heartbeat at once, or defers it until the ended runs in the last report are stored,
// for HeartbeatInterval at most.
func (t *transition) planNextHeartbeat(id string, generationBefore uint64) {
	e, _ := t.s.executor(id)
	if e.lastEnd > e.ackedEnd {
		if t.s.generation == generationBefore && t.s.changed.Len() == 0 && !t.s.committing() {
			e.ackedEnd, e.pendingAcks = e.lastEnd, nil
		} else if len(e.pendingAcks) == 0 || e.pendingAcks[len(e.pendingAcks)-1].number < e.lastEnd {
			e.pendingAcks = append(slices.Clip(e.pendingAcks), pendingAck{number: e.lastEnd, generation: t.s.generation})
		}
	}
	if e.lastEnd > e.ackedEnd {
		e.nextHeartbeatAt = t.s.now + t.s.policy.HeartbeatInterval
		t.s = t.s.withExecutor(e)
		return
	}
	wait := t.s.heartbeatWait()
	if e.openedAt == t.s.now && (e.restarted || !t.s.owns()) || t.s.isReleased(id) && !t.s.commitOverdue {
		wait = min(wait, takeoverHeartbeatWait)
	}
	t.sendHeartbeat(e, wait, 0, false)
}

// takeoverHeartbeatWait is the wait of the next heartbeat to an executor if the ownership has to be confirmed, or a record
// has to be stored, before leases can be extended. Those of the former owner may be about to expire.
const takeoverHeartbeatWait = 100 * time.Millisecond

// reportSettled logs the end of the wait for the executors of the former owner, and the last of them.
func (t *transition) reportSettled(last []string) {
	silent := slices.DeleteFunc(slices.Sorted(slices.Values(last)), func(id string) bool {
		e, ok := t.s.executor(id)
		return ok && e.open && e.failingSince == 0
	})
	level := slog.LevelInfo
	if len(silent) > 0 {
		level = slog.LevelWarn
	}
	t.emit(note(level, "pool.settled", "after", t.s.now-t.s.recoveredAt, "former", t.s.former, "silent", len(silent), "executors", strings.Join(silent, ",")))
}

// settle reduces the set of executors that may have runs of the former owner to those for which keep returns true. A nil
// keep empties it. Once the set is empty, the tasks of recovered jobs may start.
func (t *transition) settle(keep func(string) bool) {
	remaining, settled := map[string]time.Duration{}, []string{}
	for id, at := range t.s.unsettled {
		if keep != nil && keep(id) {
			remaining[id] = at
		} else {
			settled = append(settled, id)
		}
	}
	t.s.unsettled = remaining
	if len(remaining) > 0 {
		return
	}
	t.reportSettled(settled)
	t.s = t.s.withMayRun()
	t.s.usedChanged, t.s.former = true, formerEnded{} // without those that did not answer
	for i := t.s.jobs.Iterator(); !i.Done(); {
		id, j, _ := i.Next()
		if j.recovered {
			settled := *j
			settled.recovered = false
			t.s = t.s.withJob(settled)
			t.s = t.s.withAllRanks(id)
		}
	}
}
