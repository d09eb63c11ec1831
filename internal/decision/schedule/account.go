package schedule

import (
	"maps"
	"slices"
	"time"

	"teaselloft/internal/decision/fairshare"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/quota"
	"teaselloft/internal/model/site"
)

// handleSetLimits applies the limits that are newer than the known ones.
func (t *transition) handleSetLimits(m SetLimits) {
	t.s = t.s.withLimits(m.Limits)
	t.s.placementDue = true
	t.emit(Answer{Token: m.Token})
}

// withLimits applies the limits that are newer than the known ones.
func (s State) withLimits(newer map[string]quota.Limit) State {
	a := *s.accounts
	limits := make(map[string]quota.Limit, len(newer))
	maps.Copy(limits, a.limits)
	var added []string
	for account, l := range newer {
		if l.Version > limits[account].Version {
			limits[account] = l
			added = append(added, account)
		}
	}
	a.limits = limits
	s.accounts = &a
	return s.withAccount(added...)
}

// accountID stands for the name of a client account in the memory of an owner.
type accountID int32

const (
	noAccount      accountID = 0  // of the jobs of no account
	unknownAccount accountID = -1 // of the jobs whose record does not tell it; never that of a run
)

// accounts holds what an owner knows of the client accounts. It is immutable.
type accounts struct {
	ids         map[string]accountID
	names       []string               // by ID
	limits      map[string]quota.Limit // by name
	use         []job.Resources        // by ID: demand of the known runs; empty in a configuration without accounts
	mayRun      map[accountID]job.Resources
	mayRunAt    time.Duration // when mayRun was determined
	endedBefore map[accountID]int64
	held        map[accountID]heldAccount
	reserved    reservations
}

// id returns the ID of a known account, or noAccount.
func (a *accounts) id(name string) accountID { return a.ids[name] }

// has reports whether an account has an ID.
func (a *accounts) has(name string) bool {
	_, ok := a.ids[name]
	return ok || name == ""
}

// with returns a copy with IDs for accounts.
func (a accounts) with(names ...string) accounts {
	ids := make(map[string]accountID, len(a.ids)+len(names))
	maps.Copy(ids, a.ids)
	a.ids, a.names = ids, slices.Clip(a.names)
	for _, name := range names {
		if !a.has(name) {
			a.ids[name] = accountID(len(a.names))
			a.names = append(a.names, name)
		}
	}
	return a
}

// withAccount adds accounts to those that have an ID.
func (s State) withAccount(names ...string) State {
	if !slices.ContainsFunc(names, func(name string) bool { return !s.accounts.has(name) }) {
		return s
	}
	a := s.accounts.with(names...)
	s.accounts = &a
	return s
}

// hasAccounts reports whether jobs belong to client accounts.
func (s State) hasAccounts() bool { return s.config.HasAccounts() }

// partOf returns the part of the ready queue that a job belongs to.
func (s State) partOf(j jobState) accountID {
	if !s.hasAccounts() {
		return noAccount
	}
	return j.account
}

// accountLimit is the part of an account's quota that the pool may use now.
type accountLimit struct {
	bound   job.Resources // fairshare.Unlimited for a resource that is not limited
	maximum job.Resources // of the account in all pools; 0 for a resource that is not limited
	whole   bool          // a record grants the limit, and it has not been scaled down since
}

// accountLimits returns the limits of accounts. It looks up the present settings once.
type accountLimits struct {
	known    *accounts
	maximums map[string]job.Resources
}

func (s State) accountLimits() accountLimits {
	x := accountLimits{known: s.accounts, maximums: make(map[string]job.Resources, len(s.config.Accounts))}
	for _, a := range s.config.Accounts {
		x.maximums[a.Name] = a.Maximum
	}
	return x
}

// of returns the limit of an account. Jobs of no account have none, and an account that is not in the configuration may
// start nothing.
func (x accountLimits) of(account accountID) accountLimit {
	if account == noAccount {
		return accountLimit{bound: bounded(job.Resources{}, job.Resources{})}
	}
	name := x.known.names[account]
	maximum, ok := x.maximums[name]
	if !ok {
		return accountLimit{}
	}
	l := x.known.limits[name]
	return accountLimit{
		bound: bounded(maximum, l.Scaled(maximum)), maximum: maximum, whole: l.Version > 0 && l.Maximum.FitsIn(maximum),
	}
}

// bounded returns a limit in which the resources without a maximum are not limited.
func bounded(maximum, limit job.Resources) job.Resources {
	if maximum.CPU <= 0 {
		limit.CPU = fairshare.Unlimited
	}
	if maximum.Memory <= 0 {
		limit.Memory = fairshare.Unlimited
	}
	if maximum.GPU <= 0 {
		limit.GPU = fairshare.Unlimited
	}
	return limit
}

// isLimited reports whether an account has a quota.
func isLimited(a site.Account) bool {
	return a.Maximum.CPU > 0 || a.Maximum.Memory > 0 || a.Maximum.GPU > 0
}

// tasks returns how many waiting tasks of a step may start while the account uses an amount. A gang starts as a whole.
func (l accountLimit) tasks(used job.Resources, step job.Step, waiting int) int {
	need := step.Demand()
	n := fairshare.Tasks(l.withinMaximum(), used, need, waiting)
	switch {
	case step.Gang && n < waiting:
		return 0
	case n == 0 && used == (job.Resources{}) && l.admitsLargeTask(need):
		return 1
	}
	return n
}

// withinMaximum returns the bound without what the lender has lent beyond the maximum for a single large task.
func (l accountLimit) withinMaximum() job.Resources {
	b := bounded(l.maximum, l.maximum)
	return job.Resources{CPU: min(l.bound.CPU, b.CPU), Memory: min(l.bound.Memory, b.Memory), GPU: min(l.bound.GPU, b.GPU)}
}

// admitsLargeTask reports whether an account that uses nothing may start a single task that is larger than its quota. The
// lender must have lent all of the resource to this pool, because other pools could start such a task as well.
func (l accountLimit) admitsLargeTask(need job.Resources) bool {
	admits := func(need, bound, maximum int64) bool { return need <= bound || need > maximum && bound >= maximum }
	return l.whole && admits(need.CPU, l.bound.CPU, l.maximum.CPU) && admits(need.Memory, l.bound.Memory, l.maximum.Memory) &&
		admits(need.GPU, l.bound.GPU, l.maximum.GPU)
}

// quotaRooms tells how many of the ready tasks the quotas of their accounts allow together.
type quotaRooms struct {
	s      State
	limits accountLimits
	used   map[accountID]job.Resources
}

func (s State) quotaRooms() *quotaRooms {
	if !s.hasAccounts() {
		return &quotaRooms{s: s}
	}
	return &quotaRooms{s: s, limits: s.accountLimits(), used: map[accountID]job.Resources{}}
}

// take returns how many waiting tasks of a step may start in addition to those of earlier calls.
func (q *quotaRooms) take(account accountID, step job.Step, waiting int) int {
	if !q.s.hasAccounts() || account == noAccount {
		return waiting
	}
	used, ok := q.used[account]
	if !ok {
		used = q.s.usedBy(account)
	}
	n := q.limits.of(account).tasks(used, step, waiting)
	q.used[account] = used.Plus(times(step.Demand(), n))
	return n
}

// isLimitedBelow reports whether an account uses more than its limit, so that a task that is stopped could not start again.
func (q *quotaRooms) isLimitedBelow(account accountID) bool {
	return q.s.hasAccounts() && account != noAccount && !q.s.usedBy(account).FitsIn(q.limits.of(account).withinMaximum())
}

func times(r job.Resources, n int) job.Resources {
	return job.Resources{CPU: r.CPU * int64(n), Memory: r.Memory * int64(n), GPU: r.GPU * int64(n)}
}

// QuotaReport returns what the accounts with a quota use in the pool, and what they could use. Tasks that are larger than
// every executor of the pool are not wanted.
func (s State) QuotaReport() quota.Report {
	report := quota.Report{Epoch: s.Epoch}
	if !s.hasAccounts() {
		return report
	}
	report.Accounts = map[string]quota.Use{}
	limits := s.accountLimits()
	add := func(account string) {
		use := quota.Use{Version: s.accounts.limits[account].Version}
		if s.accounts.has(account) { // the ID of others is that of no account
			use.Used = s.usedBy(s.accounts.id(account))
		}
		report.Accounts[account] = use
	}
	for _, a := range s.config.Accounts {
		if isLimited(a) {
			add(a.Name)
		}
	}
	for account := range s.accounts.limits { // also those that are no longer in the configuration, until they use nothing
		add(account)
	}
	for i := s.ready.Iterator(); !i.Done(); {
		r, ref, _ := i.Next()
		account := s.accounts.names[r.account]
		use, ok := report.Accounts[account]
		if !ok || r.class == classOversized {
			continue
		}
		j, _ := s.job(ref.job)
		ts := j.taskSet(ref.occurrence, ref.step)
		need := j.sub.Steps[ts.step].Demand()
		use.Wanted = use.Wanted.Plus(times(need, ts.waiting))
		if j.sub.Steps[ts.step].Gang {
			need = times(need, ts.waiting) // it starts as a whole
			if maximum := limits.of(r.account).maximum; !need.FitsIn(bounded(maximum, maximum)) {
				use.Wanted = use.Wanted.Minus(need) // it never starts
				report.Accounts[account] = use
				continue
			}
		}
		l := use.Largest
		use.Largest = job.Resources{CPU: max(l.CPU, need.CPU), Memory: max(l.Memory, need.Memory), GPU: max(l.GPU, need.GPU)}
		report.Accounts[account] = use
	}
	return report
}

// heldBy is the reason why tasks of an account do not start.
type heldBy string

const (
	heldByQuota heldBy = "quota"
	heldByShare heldBy = "share" // the account exceeds its share, and the pool is full
)

// heldAccount records that tasks of an account were held back.
type heldAccount struct {
	by          heldBy
	since, last time.Duration
}

// Times with which the records of held accounts are kept.
const (
	heldRefresh = 250 * time.Millisecond // a cycle does not change a record that is newer
	heldShown   = time.Second            // age up to which an account counts as held
	heldKept    = 5 * time.Second        // age after which a record is dropped; bounds the rate of log lines
)

// HeldAccounts returns the number of accounts of which tasks are held back by a quota.
func (s State) HeldAccounts() int {
	n := 0
	for _, h := range s.accounts.held {
		n += boolToInt(h.by == heldByQuota && s.now-h.last < heldShown)
	}
	return n
}
