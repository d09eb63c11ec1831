package schedule

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// withEndedBefore notes a job that has ended under a former owner with runs that had to be stopped. Their demand is not
// stored. A completed job has such runs only if another run of a task has done it.
func (s State) withEndedBefore(j jobState) State {
	if j.account == noAccount || j.state == job.Completed && !s.hasSurplus(j) || j.endedAt <= s.accounts.endedBefore[j.account] {
		return s
	}
	a := *s.accounts
	a.endedBefore = withEntry(a.endedBefore, j.account, j.endedAt)
	s.accounts = &a
	return s
}

// formerRunsEnd returns a time in Unix milliseconds. Runs that former owners stopped before it have ended, at the latest
// because their leases have expired; runs that were stopped later may go on.
func (s State) formerRunsEnd() int64 { return s.unixMilli - 2*s.policy.maxWait().Milliseconds() }

// hasSurplus reports whether a run of a task of a job may go on although another run has done the task.
func (s State) hasSurplus(j jobState) bool {
	return j.surplusAt != 0 && j.surplusAt > s.formerRunsEnd()
}

// noteSurplus notes that a run of a task is left over, for the next owner.
func (t *transition) noteSurplus(id job.ID) {
	if j, ok := t.s.job(id); ok && j.stored && !j.state.Final() {
		j.surplusAt = t.s.unixMilli
		t.s = t.s.withChange(j)
	}
}

// isContinuous reports whether no owner can have replaced the runs of an executor that answers this owner for the first
// time.
func (s State) isContinuous(e *executorState) bool {
	born, ok := s.continuous[e.info.ID]
	return ok && s.isUnsettled(e.info.ID) && e.openedAt == 0 && (born == 0 || e.born == 0 || born == e.born)
}

// wasResumed reports whether the runs of an executor may have been replaced by others that still go on.
func (s State) wasResumed(e *executorState) bool {
	return e.resumedAt != 0 && s.now-e.resumedAt < 2*s.policy.maxWait()
}

// noteReplaced notes that a run of a task which an executor has done may be left over on an executor that has not settled.
// The former owner has started it while this executor was silent, and has not stored that. The phase of the task before the
// end of the run tells whether another run of it is known.
func (t *transition) noteReplaced(e *executorState, j *jobState, before phase) {
	if j.recovered && before == waiting && t.s.hasAccounts() && len(t.s.unsettled) > 0 && t.s.wasResumed(e) {
		t.noteSurplus(j.sub.ID)
		t.s = t.s.withMayRun()
	}
}

// withUnreadable adds a job with a record that can't be decoded.
func (s State) withUnreadable(x UnreadableJob) State {
	account := unknownAccount
	if x.AccountKnown {
		s = s.withAccount(x.Account)
		account = s.accounts.id(x.Account)
	}
	s.unreadable = s.unreadable.Set(x.ID, account)
	return s
}

// withEntry returns a copy of a map with an entry.
func withEntry[V any](m map[accountID]V, account accountID, v V) map[accountID]V {
	out := make(map[accountID]V, len(m)+1)
	maps.Copy(out, m)
	out[account] = v
	return out
}

// unknownAmount stands for a use of which no bound is known. Sums of a few thousand do not overflow.
const unknownAmount = 1 << 50

// usedBy returns what an account uses, or may use, in the pool.
func (s State) usedBy(account accountID) job.Resources {
	return s.runningOf(account).Plus(s.accounts.mayRun[account])
}

// runningOf returns the demand of the known runs of an account.
func (s State) runningOf(account accountID) job.Resources {
	if int(account) < len(s.accounts.use) {
		return s.accounts.use[account]
	}
	return job.Resources{}
}

// withExecutorPointer puts an executor, which must not change any more, into the table, and its runs into the use of their
// accounts.
func (s State) withExecutorPointer(e *executorState) State {
	if s.hasAccounts() {
		var before []*runState
		if x, ok := s.executors.Get(e.info.ID); ok {
			before = x.runs
		}
		s = s.withUse(before, e.runs)
	}
	s.executors = s.executors.With(e.info.ID, e)
	return s
}

// withUse replaces runs in the use of their accounts. Mostly few runs of an executor differ.
func (s State) withUse(before, after []*runState) State {
	for len(before) > 0 && len(after) > 0 && sameUse(before[0], after[0]) {
		before, after = before[1:], after[1:]
	}
	for len(before) > 0 && len(after) > 0 && sameUse(before[len(before)-1], after[len(after)-1]) {
		before, after = before[:len(before)-1], after[:len(after)-1]
	}
	if len(before)+len(after) == 0 {
		return s
	}
	a := *s.accounts
	a.use = make([]job.Resources, len(a.names))
	copy(a.use, s.accounts.use)
	for _, r := range before {
		a.use[r.account] = a.use[r.account].Minus(r.need)
	}
	for _, r := range after {
		a.use[r.account] = a.use[r.account].Plus(r.need)
	}
	s.accounts = &a
	return s
}

func sameUse(a, b *runState) bool { return a == b || a.need == b.need && a.account == b.account }

// withAccountsOf applies the accounts of a new configuration.
func (s State) withAccountsOf(before *site.Config) State {
	if !s.hasAccounts() && !before.HasAccounts() {
		return s
	}
	s.placementDue = true // a higher quota may admit tasks
	a := *s.accounts
	a.use = nil
	s.accounts = &a
	if s.hasAccounts() {
		s.eachExecutor(func(e *executorState) { s = s.withUse(nil, e.runs) })
	}
	s = s.withMayRun()
	if s.hasAccounts() == before.HasAccounts() {
		return s
	}
	for i := s.jobs.Iterator(); !i.Done(); { // their part of the ready queue has changed
		id, _, _ := i.Next()
		s = s.withAllRanks(id)
	}
	return s
}

// withMayRun determines what accounts may use besides the known runs. Until the executors of the former owner have
// settled, that is the demand of the tasks of recovered jobs without a known run: a step may run that is not ready by the
// stored progress, because the former owner has not stored the end of an earlier one. It is at most the capacity of the
// executors that have not settled, and that capacity for an account with a job of which the demand is not known. Runs of
// jobs that have ended, or are unreadable, may use all that is left of their executor.
func (s State) withMayRun() State {
	if s.hasAccounts() && s.unreadable.Len() > 0 {
		s = s.withAccount(s.limitedAccounts()...)
	}
	a := *s.accounts
	a.mayRun, a.mayRunAt = nil, s.now
	s.accounts = &a
	if !s.hasAccounts() {
		return s
	}
	amounts := map[accountID]job.Resources{}
	if len(s.unsettled) > 0 {
		for i := s.jobs.Iterator(); !i.Done(); {
			_, j, _ := i.Next()
			if j.recovered && j.account != noAccount {
				amounts[j.account] = amounts[j.account].Plus(j.demandWithoutRun(s.hasSurplus(*j), s.unixMilli))
			}
		}
		for account := range s.accountsOfUnknownDemand() {
			amounts[account] = job.Resources{CPU: unknownAmount, Memory: unknownAmount, GPU: unknownAmount}
		}
		room := s.unsettledCapacity()
		for account, r := range amounts {
			amounts[account] = job.Resources{CPU: min(r.CPU, room.CPU), Memory: min(r.Memory, room.Memory), GPU: min(r.GPU, room.GPU)}
		}
	}
	s.eachExecutor(func(e *executorState) {
		if e.strays == 0 {
			return
		}
		charged := map[accountID]bool{}
		for _, r := range e.runs {
			if r.stray {
				s.chargeUnreadable(charged, r.task.Job)
				charged[r.account] = true
			}
		}
		delete(charged, noAccount)
		for account := range charged {
			amounts[account] = amounts[account].Plus(s.strayRoom(e))
		}
	})
	if len(amounts) > 0 {
		a.mayRun = amounts
	}
	return s
}

// accountsOfUnknownDemand returns the accounts with jobs of which the demand is not known, and which may have runs on
// executors that have not settled.
func (s State) accountsOfUnknownDemand() map[accountID]bool {
	charged := map[accountID]bool{}
	for account, ended := range s.accounts.endedBefore {
		if ended > s.formerRunsEnd() {
			charged[account] = true
		}
	}
	for i := s.unreadable.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		s.chargeUnreadable(charged, id)
	}
	delete(charged, noAccount)
	return charged
}

// chargeUnreadable adds the accounts to which a job may belong whose records can't be decoded: those with a limit, if the
// account is not known.
func (s State) chargeUnreadable(charged map[accountID]bool, id job.ID) {
	account, ok := s.unreadable.Get(id)
	switch {
	case ok && account != unknownAccount:
		charged[account] = true
	case ok:
		for _, name := range s.limitedAccounts() {
			charged[s.accounts.id(name)] = true
		}
	}
}

// limitedAccounts returns the accounts with a quota, and those that have been removed but have a limit.
func (s State) limitedAccounts() []string {
	names := slices.Collect(maps.Keys(s.accounts.limits))
	for _, a := range s.config.Accounts {
		if isLimited(a) {
			names = append(names, a.Name)
		}
	}
	return names
}

// strayRoom returns what runs of unknown demand on an executor may use. The capacity of one that is not listed is unknown.
func (s State) strayRoom(e *executorState) job.Resources {
	capacity := e.info.Capacity
	if capacity == (job.Resources{}) {
		capacity = s.largest[""]
	}
	if capacity == (job.Resources{}) {
		return job.Resources{CPU: unknownAmount, Memory: unknownAmount, GPU: unknownAmount}
	}
	r := capacity.Minus(e.allocated)
	return job.Resources{CPU: max(0, r.CPU), Memory: max(0, r.Memory), GPU: max(0, r.GPU)}
}

// demandWithoutRun returns the demand of the tasks without a known run that are not done, or that may have a run all the
// same. Those of the occurrences that are due count, too, although this owner has not opened them yet.
func (j jobState) demandWithoutRun(surplus bool, unixMilli int64) job.Resources {
	var sum job.Resources
	over := j.next
	for _, o := range j.open.All() {
		over -= boolToInt(o.number < j.next)
		for i, ts := range o.sets {
			n := ts.waiting
			if surplus {
				n += ts.done
			}
			sum = sum.Plus(times(j.sub.Steps[i].Demand(), n))
		}
	}
	unopened := max(0, j.dueCount(unixMilli)-j.next)
	if surplus {
		unopened += over
	}
	for _, step := range j.sub.Steps {
		sum = sum.Plus(timesAtMost(step.Demand(), unopened*step.Count, unknownAmount))
	}
	return sum
}

// timesAtMost returns n times an amount of resources, or a limit for each of them that exceeds it. n times the amount may not be
// an int64.
func timesAtMost(r job.Resources, n int, limit int64) job.Resources {
	product := func(x int64) int64 {
		if n > 0 && x > limit/int64(n) {
			return limit
		}
		return x * int64(n)
	}
	return job.Resources{CPU: product(r.CPU), Memory: product(r.Memory), GPU: product(r.GPU)}
}

// unsettledCapacity returns the capacity of the executors that may have runs of a former owner. The record of the used
// executors does not tell the capacity of one that is not listed any more, which counts as the largest.
func (s State) unsettledCapacity() job.Resources {
	var sum job.Resources
	for id := range s.unsettled {
		e, ok := s.executors.Get(id)
		capacity := s.largest[""]
		if ok && e.info.Capacity != (job.Resources{}) {
			capacity = e.info.Capacity
		}
		if id == unknownExecutor || capacity == (job.Resources{}) {
			return job.Resources{CPU: unknownAmount, Memory: unknownAmount, GPU: unknownAmount}
		}
		sum = sum.Plus(capacity)
	}
	return sum
}

// mayRunCost is the time between two updates of mayRun for each job, about 25 times what the update takes.
const mayRunCost = 5 * time.Microsecond

// tickAccounts brings up to date what may run, and drops the records of accounts that are no longer held back.
func (t *transition) tickAccounts() {
	if !t.s.hasAccounts() {
		return
	}
	strays := 0
	t.s.eachExecutor(func(e *executorState) { strays += e.strays })
	x := t.s.accounts
	if (len(t.s.unsettled) > 0 || strays > 0 || x.mayRun != nil) && t.s.now-x.mayRunAt >= time.Duration(t.s.jobs.Len())*mayRunCost {
		t.s = t.s.withMayRun()
	}
	t.dropHeld()
}

// dropHeld drops the records of accounts that have not been held back for a while.
func (t *transition) dropHeld() {
	a := *t.s.accounts
	for _, account := range slices.Sorted(maps.Keys(a.held)) {
		h := a.held[account]
		if t.s.now-h.last < heldKept {
			continue
		}
		a.held = maps.Clone(a.held)
		delete(a.held, account)
		t.s.accounts = &a
		if h.by == heldByQuota {
			t.emit(note(slog.LevelInfo, "quota.freed", "account", a.names[account], "after", h.last-h.since))
		}
	}
}

// hold records that tasks of an account are held back.
func (t *transition) hold(account accountID, by heldBy, l accountLimit) {
	a := *t.s.accounts
	h, ok := a.held[account]
	if ok && h.by == by && t.s.now-h.last < heldRefresh {
		return
	}
	if !ok || h.by != by {
		h = heldAccount{by: by, since: t.s.now}
		if by == heldByQuota {
			used, name := t.s.usedBy(account), a.names[account]
			t.emit(note(slog.LevelInfo, "quota.held", "account", name, "used.cpu", used.CPU, "used.memory", used.Memory, "used.gpu", used.GPU,
				"limit.cpu", l.bound.CPU, "limit.memory", l.bound.Memory, "limit.gpu", l.bound.GPU, "version", a.limits[name].Version))
		}
	}
	h.last = t.s.now
	a.held = withEntry(a.held, account, h)
	t.s.accounts = &a
}
