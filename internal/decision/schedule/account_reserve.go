package schedule

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/decision/fairshare"
	"teaselloft/internal/model/job"
)

// reservation keeps the tasks of accounts above their fair share off an executor, so that it becomes free enough for a task
// of an account below its share. It is immutable.
type reservation struct {
	executor string
	account  accountID
	ref      taskSetRef
	waiting  int // tasks of the task set that waited when the reservation began
	since    time.Duration
	until    time.Duration
}

// Limits of reservations, which leave capacity idle.
const (
	executorsPerReservation = 30                     // of the pool; there may always be one reservation
	reservationTime         = 2 * time.Second        // at least, also if room is expected only with the end of the longest run
	maxReservationTime      = 10 * time.Second       // for an executor that is expected to be free enough before its longest run ends
	reservationMargin       = 250 * time.Millisecond // for the report of the end of a run
	reservationPause        = 4 * time.Second        // after one that was in vain, until the next one for the account
	reservationInterval     = 50 * time.Millisecond
)

// reservations holds the reserved executors of a pool. It is immutable.
type reservations struct {
	list     []reservation
	searched time.Duration               // when executors to reserve were last looked for
	inVain   map[accountID]time.Duration // when a reservation for an account has ended without a start
}

// renewReservations ends the reservations that are no longer needed or have lasted too long, and marks the executors of the
// others among the candidates.
func (c *cycle) renewReservations() {
	before := c.s.accounts.reserved
	if len(before.list) == 0 {
		return
	}
	after := before
	after.list = nil
	for _, r := range before.list {
		reason := c.endOfReservation(r)
		if reason == "" {
			after.list = append(after.list, r)
			continue
		}
		if reason == reservedInVain {
			after.inVain = withEntry(after.inVain, r.account, c.s.now)
		}
		c.emit(note(slog.LevelInfo, "executor.unreserved", "executor", r.executor, "account", c.s.accounts.names[r.account], "job", string(r.ref.job),
			"after", c.s.now-r.since, "reason", reason))
	}
	c.s = c.s.withReservations(after)
	for _, r := range after.list {
		c.candidates[c.candidate(r.executor)].reservedFor = r.account
	}
}

// Reasons for the end of a reservation in logs.
const (
	reservedUntilStart = "started"
	reservedInVain     = "not free in time"
	reservedUnneeded   = "the task does not wait, or its account may not start it"
	reservedUnusable   = "the executor is not usable"
)

// endOfReservation returns why a reservation ends, or an empty string if it goes on.
func (c *cycle) endOfReservation(r reservation) string {
	j, ok := c.s.jobs.Get(r.ref.job)
	if !ok {
		return reservedUnneeded
	}
	ts := j.taskSet(r.ref.occurrence, r.ref.step)
	if ts == nil {
		return reservedUnneeded
	}
	q := c.queueOf(r.account)
	switch {
	case ts.waiting < r.waiting:
		return reservedUntilStart
	case ts.rank == nil || ts.rank.class == classOversized || q == nil || c.usedLevel(r.account) >= c.level || c.quotaRoom(q.limit, r.account, r.ref) == 0:
		return reservedUnneeded
	case c.candidate(r.executor) < 0:
		return reservedUnusable
	case c.s.now >= r.until:
		return reservedInVain
	}
	return ""
}

func (s State) withReservations(r reservations) State {
	a := *s.accounts
	a.reserved = r
	s.accounts = &a
	return s
}

// candidate returns the position of an executor among the candidates, or -1.
func (c *cycle) candidate(executor string) int {
	return slices.IndexFunc(c.candidates, func(x candidate) bool { return x.executor.info.ID == executor })
}

// queueOf returns the part of the ready queue of an account, or nil if it has no ready tasks.
func (c *cycle) queueOf(account accountID) *accountQueue {
	if i := slices.IndexFunc(c.queues, func(q *accountQueue) bool { return q.account == account }); i >= 0 {
		return c.queues[i]
	}
	return nil
}

// usedLevel returns the dominant share per unit of weight that an account uses.
func (c *cycle) usedLevel(account accountID) float64 {
	return fairshare.Dominant(c.s.runningOf(account), c.shared) / c.weights.of(account)
}

// isAboveShare reports whether an account uses more than its fair share. The jobs of no account have none.
func (c *cycle) isAboveShare(account accountID) bool {
	return account != noAccount && c.usedLevel(account) > c.level
}

// isAtShare reports whether tasks that an account starts bring it above its fair share, or it is there already.
func (c *cycle) isAtShare(q *accountQueue) bool { return q.parked || c.isAboveShare(q.account) }

// reserve reserves executors for accounts below their share, for whose next task the passes have found no executor with room.
// The jobs of no account have no share, and thus no reservation.
func (c *cycle) reserve() {
	all := c.s.accounts.reserved
	if c.s.now < all.searched+reservationInterval {
		return
	}
	limit := max(1, c.s.executors.Len()/executorsPerReservation)
	for _, q := range c.queues {
		if len(all.list) >= limit {
			break
		}
		if q.account == noAccount || q.blocked == nil || q.parked || slices.ContainsFunc(all.list, func(r reservation) bool { return r.account == q.account }) {
			continue
		}
		if at, ok := all.inVain[q.account]; ok && c.s.now < at+reservationPause {
			continue
		}
		all.searched = c.s.now
		if r, ok := c.reservationFor(q, *q.blocked); ok {
			all.list = append(slices.Clip(all.list), r)
			c.emit(note(slog.LevelInfo, "executor.reserved", "executor", r.executor, "account", c.s.accounts.names[r.account], "job", string(r.ref.job),
				"for", r.until-r.since))
		}
	}
	if all.searched == c.s.now {
		c.s = c.s.withReservations(all)
	}
}

// reservationFor returns a reservation of the executor that is free enough for a task of a task set the soonest, if runs of
// accounts above their share are all that keeps the task from starting there. Gangs, and steps that need advice, get none:
// the first need several executors at a time, and for the others the adviser chooses them.
func (c *cycle) reservationFor(q *accountQueue, ref taskSetRef) (reservation, bool) {
	j, ok := c.s.job(ref.job)
	if !ok || j.queue.Advice != nil {
		return reservation{}, false
	}
	ts := j.taskSet(ref.occurrence, ref.step)
	step := j.sub.Steps[ts.step]
	if step.Gang || ts.waiting == 0 {
		return reservation{}, false
	}
	p := c.s.newPlacement(j, ts)
	r := reservation{account: q.account, ref: ref, waiting: ts.waiting, since: c.s.now}
	var soonest time.Duration
	for i := range c.candidates {
		x := &c.candidates[i]
		if x.reservedFor != noAccount {
			continue
		}
		at, longest, ok := c.freeEnough(p, x)
		if !ok || r.executor != "" && at >= soonest {
			continue
		}
		soonest, r.executor, r.until = at, x.executor.info.ID, c.s.now+reservationTime
		if at < longest {
			r.until = max(r.until, min(at+reservationMargin, c.s.now+maxReservationTime))
		}
	}
	return r, r.executor != ""
}

// freeEnough returns when an executor has room for a task, according to the estimates of its runs, if nothing else starts
// there, and when the last of its runs ends. It returns false if it has no room even without the runs of accounts above their
// share.
func (c *cycle) freeEnough(p *placement, x *candidate) (at, longest time.Duration, ok bool) {
	type end struct {
		at   time.Duration
		need job.Resources
	}
	var ends []end
	for _, r := range x.executor.runs {
		if r.longRunning && r.phase != stopping {
			continue
		}
		e := end{at: r.expectedEnd(c.s.now), need: r.need}
		longest = max(longest, e.at)
		if r.account != p.job.account && c.isAboveShare(r.account) {
			ends = append(ends, e)
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	emptied := *x
	for _, e := range ends {
		emptied.free = emptied.free.Plus(e.need)
		if p.feasible(&emptied) {
			return e.at, longest, true
		}
	}
	return 0, 0, false
}

// expectedEnd returns when a run is expected to end. One that exceeds its estimate is expected to exceed it by as much again.
func (r *runState) expectedEnd(now time.Duration) time.Duration {
	end := r.since + r.estimate
	switch {
	case r.phase == stopping:
		return now
	case end < now:
		return now + (now - end)
	}
	return end
}
