package schedule

import (
	"math"
	"slices"
	"strings"
	"time"

	"teaselloft/internal/decision/fairshare"
	"teaselloft/internal/model/job"
)

// AccountSummary is the part of the state dump about a client account in a pool.
type AccountSummary struct {
	Name      string         `json:"name"` // empty for the jobs of no account
	Weight    float64        `json:"weight"`
	Used      job.Resources  `json:"used"`
	MayRun    job.Resources  `json:"mayRun"`             // part of the use that is charged after a takeover without a known run
	Limit     *job.Resources `json:"limit,omitempty"`    // absent for an account without a quota; 0 for a resource that is not limited
	Version   uint64         `json:"version,omitempty"`  // of the record that grants the limit; 0 if no record does
	Share     float64        `json:"share"`              // dominant share of what the pool has for all accounts, that known runs use
	Fair      float64        `json:"fair"`               // share up to which its tasks start before those of accounts that exceed theirs; 0 for the jobs of no account
	Waiting   int            `json:"waiting"`            // ready tasks
	Since     time.Duration  `json:"since"`              // time for which the first of them has waited
	Wanted    job.Resources  `json:"wanted"`             // demand of the ready tasks
	OverQuota int            `json:"overQuota"`          // ready tasks for which the limit has no room
	Oversized int            `json:"oversized"`          // ready tasks that are larger than every executor of the pool
	Held      heldBy         `json:"held,omitempty"`     // why tasks were held back in the last second
	HeldSince time.Duration  `json:"heldSince"`          // time for which they have been held back for this reason
	Reserved  string         `json:"reserved,omitempty"` // executor that is kept free of tasks of accounts above their share, for the next task of this one
}

// accountSummaries returns the accounts of the configuration and those that use the pool, ordered by name.
func (s State) accountSummaries() []AccountSummary {
	if !s.hasAccounts() {
		return nil
	}
	for _, a := range s.config.Accounts {
		s = s.withAccount(a.Name)
	}
	x := accountSummarizer{s: s, limits: s.accountLimits(), weights: s.weights(), all: map[accountID]*AccountSummary{}}
	x.shared, x.level = s.fairLevel()
	for _, a := range s.config.Accounts {
		x.get(s.accounts.id(a.Name))
	}
	for account, used := range s.accounts.use {
		if used != (job.Resources{}) {
			x.get(accountID(account))
		}
	}
	x.addReady()
	for _, r := range s.accounts.reserved.list {
		x.get(r.account).Reserved = r.executor
	}
	out := make([]AccountSummary, 0, len(x.all))
	for _, a := range x.all {
		out = append(out, *a)
	}
	slices.SortFunc(out, func(a, b AccountSummary) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// fairLevel returns what the pool has for all accounts together, and the fair dominant share of that per unit of weight.
func (s State) fairLevel() (shared job.Resources, level float64) {
	c := &cycle{transition: &transition{s: s}, limits: s.accountLimits(), weights: s.weights(), capacity: s.capacity()}
	c.openQueues()
	c.setShares()
	return c.shared, c.level
}

// accountSummarizer collects the summaries of accounts.
type accountSummarizer struct {
	s       State
	limits  accountLimits
	weights accountWeights
	shared  job.Resources
	level   float64
	all     map[accountID]*AccountSummary
}

// get returns the summary of an account, which the first call creates.
func (x *accountSummarizer) get(account accountID) *AccountSummary {
	if a, ok := x.all[account]; ok {
		return a
	}
	s, name := x.s, x.s.accounts.names[account]
	a := &AccountSummary{
		Name: name, Weight: x.weights.of(account), Used: s.usedBy(account), MayRun: s.accounts.mayRun[account],
		Version: s.accounts.limits[name].Version, Share: fairshare.Dominant(s.runningOf(account), x.shared),
	}
	if account == noAccount {
		a.Share = fairshare.Dominant(s.runningOf(account), s.capacity())
	} else {
		a.Fair = min(1, a.Weight*x.level) // the level is infinite while nothing is ready, which JSON can't represent
	}
	if h, ok := s.accounts.held[account]; ok && s.now-h.last < heldShown {
		a.Held, a.HeldSince = h.by, s.now-h.since
	}
	if l := x.limits.of(account).bound; l != bounded(job.Resources{}, job.Resources{}) {
		l = job.Resources{CPU: l.CPU % math.MaxInt64, Memory: l.Memory % math.MaxInt64, GPU: l.GPU % math.MaxInt64}
		a.Limit = &l
	}
	x.all[account] = a
	return a
}

// addReady adds the ready tasks. Those of an account fill the room in its limit in their order.
func (x *accountSummarizer) addReady() {
	rooms := x.s.quotaRooms()
	for i := x.s.ready.Iterator(); !i.Done(); {
		r, ref, _ := i.Next()
		j, ok := x.s.job(ref.job)
		if !ok {
			continue
		}
		ts, a := j.taskSet(ref.occurrence, ref.step), x.get(r.account)
		step := j.sub.Steps[ts.step]
		a.Waiting += ts.waiting
		a.Since = max(a.Since, x.s.now-ts.due)
		a.Wanted = a.Wanted.Plus(times(step.Demand(), ts.waiting))
		if r.class == classOversized {
			a.Oversized += ts.waiting
			continue
		}
		a.OverQuota += ts.waiting - rooms.take(r.account, step, ts.waiting)
	}
}
