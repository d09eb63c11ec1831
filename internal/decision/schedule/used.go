package schedule

import (
	"time"

	"teaselloft/internal/model/cluster"
)

// The record of the used executors tells the next owner which executors may have runs. While one of them does not answer,
// and when this owner hands the pool over, the record also releases it: it tells when the runs there have ended, and this
// owner no longer extends their lease. The next owner goes on with what is left of that time instead of waiting anew.
const (
	// releaseAfter is the silence after which an executor is released. It covers an answer that is lost once.
	releaseAfter = 500 * time.Millisecond
	// releaseInterval is the time between two records while an executor is released. The next owner waits longer by what has
	// passed since the last record.
	releaseInterval = 500 * time.Millisecond
	// releaseConfirmation is the age of the last commit up to which further executors are released. A release that the store
	// does not answer keeps the owner from extending leases for the whole outage.
	releaseConfirmation = 300 * time.Millisecond
	// maxRecordHold limits how long the record waits for the end of the former owner's quorum. Before that it could only tell
	// the next owner to wait for maxWait. It covers a first heartbeat without an answer.
	maxRecordHold = 500 * time.Millisecond
)

// usedSet holds the executors that a record of the used executors names.
type usedSet map[string]usedEntry

// usedEntry is what a record tells of an executor.
type usedEntry struct {
	openedAt time.Duration // when it was opened; 0 if it was not open
	released bool
}

// usedExecutors returns the record that names all executors which may have runs, and the same as a set. It contains every
// executor before that is usable, because usable requires that the record is stored.
func (s State) usedExecutors() (cluster.Used, usedSet) {
	_, ended := s.former.(formerEnded)
	record, set := cluster.Used{Epoch: s.Epoch, Waiting: !ended, Handed: true, Partial: s.isUnsettled(unknownExecutor)}, usedSet{}
	if record.Partial {
		record.Lapse = s.lapse(s.settlesAt(unknownExecutor))
	}
	s.eachExecutor(func(e *executorState) {
		if !e.open && len(e.runs) == 0 && !s.isUnsettled(e.info.ID) {
			return
		}
		used, entry := cluster.UsedExecutor{ID: e.info.ID, Address: e.info.Address, Instance: e.info.Instance, Born: e.born}, usedEntry{}
		if e.open {
			entry.openedAt = e.openedAt
		}
		used.Resumed = s.hasAccounts() && s.wasResumed(e)
		if e.formerLeases > s.now {
			used.Lease = s.lapse(e.formerLeases)
		}
		if end, ok := s.releaseEnd(e); ok {
			used.Lapse, entry.released = s.lapse(end), true
		}
		record.Handed = record.Handed && (entry.released || !s.isUnsettled(e.info.ID))
		record.Executors = append(record.Executors, used)
		set[e.info.ID] = entry
	})
	return record, set
}

// lapse returns the time that is left until end, in milliseconds, rounded up and at least 1.
func (s State) lapse(end time.Duration) int64 {
	return max(1, (end - s.now + time.Millisecond - 1).Milliseconds())
}

// releaseEnd returns the time by which all runs on an executor have ended if this owner extends no lease there. It returns
// false if the executor is not released now.
func (s State) releaseEnd(e *executorState) (time.Duration, bool) {
	if !s.wantsRelease(e) || !s.handingOver && !s.recorded[e.info.ID].released && !s.justConfirmed() {
		return 0, false
	}
	if s.isUnsettled(e.info.ID) {
		return s.settlesAt(e.info.ID), true
	}
	return e.leaseEnd()
}

// wantsRelease reports whether the next owner should know when the runs on an executor have ended.
func (s State) wantsRelease(e *executorState) bool {
	switch {
	case s.handingOver:
		return true
	case s.isUnsettled(e.info.ID):
		return e.failingSince != 0 || s.recorded[e.info.ID].released
	default:
		return e.failingSince != 0 && s.now-e.failingSince >= releaseAfter
	}
}

// justConfirmed reports whether the store has answered a moment ago.
func (s State) justConfirmed() bool { return s.now-s.confirmedAt <= releaseConfirmation }

// holdsRecord reports whether the record waits for executors that answer and thereby end the former owner's quorum.
func (s State) holdsRecord() bool {
	_, quorum := s.former.(formerQuorum)
	return quorum && s.now-max(s.recoveredAt, s.handingOverSince) < maxRecordHold
}

// recordInFlight returns the commit in flight that contains the record of the used executors, or nil.
func (s State) recordInFlight() *pendingCommit {
	for _, p := range s.inFlight {
		if p != nil && p.used != nil {
			return p
		}
	}
	return nil
}

// isRecorded reports whether the stored record names the incarnation of an executor that is open now.
func (s State) isRecorded(e *executorState) bool {
	x, ok := s.recorded[e.info.ID]
	return ok && x.openedAt == e.openedAt
}

// isReleased reports whether the stored record, or the one in flight, releases an executor.
func (s State) isReleased(id string) bool {
	if s.recorded[id].released {
		return true
	}
	p := s.recordInFlight()
	return p != nil && p.used[id].released
}

// recordDue reports whether the record has to release an executor, or has to be renewed because it has released one for
// releaseInterval.
func (s State) recordDue() bool {
	if s.commitOverdue || s.recordInFlight() != nil {
		return false
	}
	outdated := s.now-s.recordedAt >= releaseInterval
	due := outdated && s.isUnsettled(unknownExecutor)
	s.eachExecutor(func(e *executorState) {
		x, named := s.recorded[e.info.ID]
		due = due || named && s.wantsRelease(e) && (outdated || !x.released)
	})
	return due
}

// isUnsettled reports whether an executor may have runs of a former owner and has not answered this one.
func (s State) isUnsettled(id string) bool {
	_, ok := s.unsettled[id]
	return ok
}

// waitLeft returns the time until the runs of former owners on all unsettled executors have ended.
func (s State) waitLeft() time.Duration {
	left := time.Duration(0)
	for id := range s.unsettled {
		left = max(left, s.settlesAt(id)-s.now)
	}
	return left
}

// settlesAt returns the time by which the runs of former owners on an unsettled executor have ended, and their ends no
// longer count. While its reports may lack ends, this owner's leases keep the ends in force.
func (s State) settlesAt(id string) time.Duration {
	at := s.unsettled[id]
	if at == 0 {
		at = s.settleDeadline
	}
	e, ok := s.executors.Get(id)
	switch {
	case !ok:
		return at
	case !e.open:
		return max(at, e.formerLeases)
	case e.partial:
		end, _ := e.leaseEnd()
		return max(at, end)
	default:
		return at
	}
}

// handleHandOver releases all executors, so that the next owner has to wait only for the leases of those that do not answer
// it. This owner extends no lease and starts nothing from now on.
func (t *transition) handleHandOver() {
	t.s.handingOver, t.s.handingOverSince, t.s.usedChanged = true, t.s.now, true
}
