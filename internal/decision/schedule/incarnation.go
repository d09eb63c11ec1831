package schedule

import (
	"errors"
	"log/slog"
	"maps"
	"slices"

	"teaselloft/internal/model/site"
)

// newIncarnation returns the state of an executor that has restarted.
//
// Calls for the former incarnation may still reach the new one, which has the same ID and has seen no fencing token. Its
// calls therefore get a higher one: the first of them that is answered keeps all earlier calls from having an effect, and
// its answer lists what they have started. Until then the runs of the former incarnation count as present. The expiry in
// such a call is a time on the former clock, which is far ahead, so that the executor shortens it to its longest lease.
func (t *transition) newIncarnation(e executorState, x site.Executor) executorState {
	t.emit(Connect{Executor: x}, note(slog.LevelInfo, "executor.reborn", "executor", x.ID, "born", x.Born, "before", e.born, "runs", len(e.runs)))
	t.s.usedChanged = true
	t.settleAfterCommit(x.ID)
	restarted := executorState{
		info: x, listed: e.listed, born: x.Born, fencingToken: t.nextFencingToken(x.ID), calledSince: t.s.now,
		restarted: true, formerLeases: t.s.now + t.s.policy.waitForFormerCalls(),
		runs: make([]*runState, 0, len(e.runs)), allocated: e.allocated, strays: e.strays, vacateUntil: e.vacateUntil, vacatingSince: e.vacatingSince,
	}
	for _, r := range e.runs {
		run := *r
		run.former, run.stopConfirmed = true, false
		restarted.runs = append(restarted.runs, &run)
	}
	return restarted
}

// A fencing token consists of the epoch and the number of the incarnation among those that this owner has called. It is
// encoded as a JSON number, which is exact up to 53 bits.
const (
	incarnationBits = 24
	maxIncarnations = 1<<incarnationBits - 1 // about three days at 64 new executors a second, the platform's limit for moves
)

// nextFencingToken returns a token for the calls to an incarnation that exceeds those for all others. An owner without
// further numbers gives the pool up, since the next one has a new epoch.
func (t *transition) nextFencingToken(executor string) uint64 {
	if t.s.incarnations == maxIncarnations {
		t.emit(StepDown{Executor: executor, Reason: errNoFencingToken})
	} else {
		t.s.incarnations++
	}
	return t.s.Epoch<<incarnationBits | t.s.incarnations
}

var (
	errNoFencingToken = errors.New("fencing tokens of the epoch are used up")
	errSucceeded      = errors.New("an executor has seen a higher fencing token")
)

// endIncarnation returns the state of an executor whose incarnation has ended with all its runs.
func (t *transition) endIncarnation(e executorState) executorState {
	for _, r := range e.runs {
		t.s.vanished = append(slices.Clip(t.s.vanished), vanishedRun{task: r.task, run: r.run, at: t.s.now})
	}
	t.s.usedChanged = true
	return executorState{info: e.info, listed: e.listed, born: e.born, fencingToken: e.fencingToken, calledSince: e.calledSince, heartbeatInFlight: e.heartbeatInFlight}
}

// handleExecutorsReplaced ends the wait for silent executors whose instances run a later one. As after a restart, their
// tasks wait for a confirmation of the ownership. An executor that answers is not replaced, whatever the list says.
func (t *transition) handleExecutorsReplaced(ids []string) {
	for _, id := range ids {
		e, ok := t.s.executor(id)
		if !ok || e.replaced || e.open && e.failingSince == 0 {
			continue
		}
		t.emit(note(slog.LevelInfo, "executor.replaced", "executor", id, "instance", e.info.Instance, "born", e.born, "runs", len(e.runs),
			"awaited", t.s.isUnsettled(id)))
		e = t.endIncarnation(e)
		e.replaced = true
		t.s = t.s.withExecutor(e)
		t.settleAfterCommit(id)
	}
}

// settleAfterCommit ends the wait for an executor whose former incarnation has ended once a commit has confirmed that no
// other owner has noted the ends of its runs. The present incarnation has to answer before, see settlesAt.
func (t *transition) settleAfterCommit(id string) {
	if !t.s.isUnsettled(id) {
		return
	}
	t.s.unsettled = maps.Clone(t.s.unsettled)
	t.s.unsettled[id] = t.s.now
}
