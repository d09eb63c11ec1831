package schedule

import (
	"cmp"
	"math"
	"slices"

	"teaselloft/internal/decision/fairshare"
	"teaselloft/internal/model/job"

	"github.com/benbjohnson/immutable"
)

// maxHeld is the number of task sets of an account that its quota holds back, after which a pass goes on without the
// account.
const maxHeld = 20

// accountWeights returns the weights of accounts.
type accountWeights struct {
	names  []string
	byName map[string]float64
	mean   float64
}

func (s State) weights() accountWeights {
	w := accountWeights{names: s.accounts.names, byName: make(map[string]float64, len(s.config.Accounts)), mean: 1}
	sum := 0.0
	for _, a := range s.config.Accounts {
		weight := float64(max(1, a.Weight))
		w.byName[a.Name] = weight
		sum += weight
	}
	if len(s.config.Accounts) > 0 {
		w.mean = sum / float64(len(s.config.Accounts))
	}
	return w
}

// of returns the weight of an account. The jobs of no account have the mean weight together, and so has an account that is
// no longer in the configuration.
func (w accountWeights) of(account accountID) float64 {
	if weight, ok := w.byName[w.names[account]]; ok {
		return weight
	}
	return w.mean
}

// accountQueue is the part of the ready queue that belongs to an account. It is changed in place during a cycle.
type accountQueue struct {
	account accountID
	weight  float64
	limit   accountLimit
	share   job.Resources // fair share
	sets    *immutable.SortedMapIterator[rank, taskSetRef]
	next    rank
	ref     taskSetRef
	open    bool        // there is a next task set
	cut     bool        // a pass has ended before the last task set
	parked  bool        // the account has reached its share
	blocked *taskSetRef // the first task set within the share for which no executor has room; nil if there is none
	holding bool        // the quota holds task sets back
	misses  int
	held    int
	level   float64 // dominant share per unit of weight
}

// advance moves on to the next task set that may fit on an executor.
func (q *accountQueue) advance() {
	q.open = false
	if q.sets.Done() {
		return
	}
	r, ref, _ := q.sets.Next()
	q.next, q.ref, q.open = r, ref, r.account == q.account && r.class != classOversized
}

// skip moves on, or leaves the rest to a later cycle after a number of task sets.
func (q *accountQueue) skip(count *int, limit int) {
	if *count++; *count >= limit {
		q.open, q.cut = false, true
		return
	}
	q.advance()
}

// afterAccount is less than all ranks of the accounts that follow one.
func afterAccount(account accountID) rank { return rank{account: account + 1} }

// eachOversized calls f for the task sets that are larger than every executor.
func (s State) eachOversized(f func(taskSetRef)) {
	i := s.ready.Iterator()
	for i.Seek(rank{class: classOversized}); !i.Done(); {
		r, ref, _ := i.Next()
		if r.class == classOversized {
			f(ref)
		} else {
			i.Seek(rank{account: r.account, class: classOversized})
		}
	}
}

// cycle is the placement of the ready tasks of accounts in one scheduling cycle.
type cycle struct {
	*transition
	candidates []candidate
	free       job.Resources // largest free amount of each resource on a candidate
	capacity   job.Resources
	shared     job.Resources // the capacity without what the jobs of no account use
	level      float64       // dominant share per unit of weight that is fair
	limits     accountLimits
	weights    accountWeights
	queues     []*accountQueue
	misses     int
}

// placeByAccount starts ready tasks in two passes. The first one goes through the task sets of the accounts that are below
// their fair share, in order of rank, and the second one through the rest, so that no room stays idle.
func (t *transition) placeByAccount(candidates []candidate) {
	c := &cycle{transition: t, candidates: candidates, free: maxFree(candidates), limits: t.s.accountLimits(), weights: t.s.weights()}
	c.capacity = t.s.capacity()
	c.openQueues()
	c.setShares()
	c.renewReservations()
	c.pass(maxMisses, true)
	cut := c.misses >= maxMisses
	if slices.ContainsFunc(c.queues, func(q *accountQueue) bool { return q.parked }) {
		c.misses = 0
		c.pass(maxLaterMisses, false)
		cut = cut || c.misses >= maxLaterMisses
	}
	c.reserve()
	for _, q := range c.queues {
		cut = cut || q.cut
		switch {
		case q.holding:
			t.hold(q.account, heldByQuota, q.limit)
		case q.parked && t.s.hasReady(q.account):
			t.hold(q.account, heldByShare, q.limit)
		}
	}
	if !cut {
		t.s.scanFrom = rank{}
		return
	}
	if t.s.now >= t.s.laterScanAt+laterInterval {
		t.s.laterScanAt = t.s.now
		c.scan()
	}
}

// capacity returns what the runs of the pool and the free part of its usable executors have together.
func (s State) capacity() job.Resources {
	var sum job.Resources
	s.eachExecutor(func(e *executorState) {
		if s.usable(e) {
			sum = sum.Plus(e.info.Capacity)
		} else {
			sum = sum.Plus(e.allocated)
		}
	})
	return sum
}

// hasReady reports whether an account has a task set that may fit on an executor.
func (s State) hasReady(account accountID) bool {
	i := s.ready.Iterator()
	if i.Seek(rank{account: account}); i.Done() {
		return false
	}
	r, _, _ := i.Next()
	return r.account == account && r.class != classOversized
}

// openQueues finds the accounts with ready task sets.
func (c *cycle) openQueues() {
	for i := c.s.ready.Iterator(); !i.Done(); {
		r, _, _ := i.Next()
		q := &accountQueue{account: r.account, weight: c.weights.of(r.account), limit: c.limits.of(r.account), sets: c.s.ready.Iterator()}
		q.sets.Seek(r)
		q.advance()
		if q.open {
			c.queues = append(c.queues, q)
		}
		i.Seek(afterAccount(r.account))
	}
}

// setShares determines the fair shares from the use at the begin of the cycle. An account whose first task set is held back
// by its quota leaves the rest of its share to the others. What the jobs of no account use is not shared.
func (c *cycle) setShares() {
	ready := map[accountID]bool{}
	accounts := make([]fairshare.Account, 0, len(c.s.accounts.use)+len(c.queues))
	for _, q := range c.queues {
		if q.account == noAccount {
			continue
		}
		used := c.s.runningOf(q.account)
		q.level = fairshare.Dominant(used, c.capacity) / q.weight
		ready[q.account] = true
		accounts = append(accounts, fairshare.Account{Weight: q.weight, Used: used, Ready: c.quotaRoom(q.limit, q.account, q.ref) > 0})
	}
	for i, used := range c.s.accounts.use {
		if account := accountID(i); account != noAccount && !ready[account] && used != (job.Resources{}) {
			accounts = append(accounts, fairshare.Account{Weight: c.weights.of(account), Used: used})
		}
	}
	c.shared = c.capacity.Minus(c.s.runningOf(noAccount))
	c.level = fairshare.Level(c.shared, accounts)
	for _, q := range c.queues {
		q.share = fairshare.Share(c.shared, q.weight, c.level)
	}
}

// quotaRoom returns how many tasks of a task set the quota of its account allows.
func (c *cycle) quotaRoom(l accountLimit, account accountID, ref taskSetRef) int {
	j, ok := c.s.jobs.Get(ref.job)
	if !ok {
		return 0
	}
	ts := j.taskSet(ref.occurrence, ref.step)
	return l.tasks(c.s.usedBy(account), j.sub.Steps[ts.step], ts.waiting)
}

// shareRoom returns how many tasks of a task set its account may start. An account below its fair share may start a whole
// task set, because a job with some of its tasks running uses room and does not end. A gang that is larger than what is left
// of the share starts only if the account uses nothing. The jobs of no account have no share.
func (c *cycle) shareRoom(q *accountQueue) int {
	if q.account == noAccount {
		return math.MaxInt
	}
	j, ok := c.s.jobs.Get(q.ref.job)
	if !ok {
		return 0
	}
	ts := j.taskSet(q.ref.occurrence, q.ref.step)
	step, used := &j.sub.Steps[ts.step], c.s.runningOf(q.account)
	n := fairshare.Tasks(q.share, used, step.Demand(), ts.waiting)
	switch {
	case used == (job.Resources{}) && step.Gang:
		return ts.waiting
	case step.Gang && n < ts.waiting:
		return 0
	case used == (job.Resources{}), n > 0:
		return ts.waiting
	}
	return n
}

// pass goes through the task sets of all accounts until there was no room for a number of them. With shares, it parks the
// accounts that reach theirs; otherwise it goes on with them.
func (c *cycle) pass(limit int, shares bool) {
	accountLimit := max(1, limit/max(1, len(c.queues))) // so that each account has its turn
	for _, q := range c.queues {
		q.misses = 0
	}
	for c.misses < limit {
		q := c.first(shares)
		if q == nil {
			return
		}
		if q.next.class == classInTime && c.s.isLate(q.ref) {
			c.s = c.s.withRank(q.ref) // moves it to the late class, for the next cycle
			c.s.placementDue = true
			q.advance()
			continue
		}
		most := c.quotaRoom(q.limit, q.account, q.ref)
		if most == 0 {
			q.holding = true
			q.skip(&q.held, maxHeld)
			continue
		}
		if shares {
			if most = min(most, c.shareRoom(q)); most == 0 {
				q.parked = true
				continue
			}
		}
		ref := q.ref
		switch c.place(ref, allowance{tasks: most, aboveShare: !shares && c.isAtShare(q)}) {
		case placed:
			q.level = fairshare.Dominant(c.s.runningOf(q.account), c.capacity) / q.weight
			if !c.isBounded(q.ref, most) {
				q.advance()
			}
		case noRoom:
			if shares && q.blocked == nil {
				q.blocked = &ref
			}
			c.misses++
			q.skip(&q.misses, accountLimit)
		case oversized:
			c.misses++
			q.skip(&q.misses, accountLimit)
		case deferred, held:
			q.advance()
		}
	}
}

// first returns the account whose turn it is, or nil if none is left. The first pass follows the ranks. The second one
// prefers, within a class, the accounts that have the least by their weights.
func (c *cycle) first(shares bool) *accountQueue {
	var best *accountQueue
	for _, q := range c.queues {
		if !q.open || shares && q.parked {
			continue
		}
		if best == nil || compareQueues(q, best, shares) < 0 {
			best = q
		}
	}
	return best
}

func compareQueues(a, b *accountQueue, shares bool) int {
	if !shares {
		if n := cmp.Or(cmp.Compare(a.next.class, b.next.class), cmp.Compare(a.level, b.level)); n != 0 {
			return n
		}
	}
	return a.next.compare(b.next)
}

// place starts tasks of a task set, as far as they are allowed to.
func (c *cycle) place(ref taskSetRef, allowed allowance) placeResult {
	c.lastPlaced = 0
	result := c.placeTaskSet(c.candidates, ref, c.free, allowed)
	switch result {
	case placed:
		c.free = maxFree(c.candidates)
	case oversized:
		c.s = c.s.withRank(ref) // the largest executor has left
	case noRoom, deferred, held:
	}
	return result
}

// isBounded reports whether tasks of a task set wait because only as many as allowed were started.
func (c *cycle) isBounded(ref taskSetRef, most int) bool {
	j, ok := c.s.jobs.Get(ref.job)
	return ok && c.lastPlaced == most && j.taskSet(ref.occurrence, ref.step).waiting > 0
}

// scan tries some of the task sets behind those that the passes have seen, so that one for which there is room is found
// however many wait without.
func (c *cycle) scan() {
	i := c.s.ready.Iterator()
	i.Seek(c.s.scanFrom)
	c.s.scanFrom = rank{}
	for seen := 0; !i.Done(); {
		r, ref, _ := i.Next()
		if r.class == classOversized {
			i.Seek(afterAccount(r.account))
			continue
		}
		result := held
		if most := c.quotaRoom(c.limits.of(r.account), r.account, ref); most > 0 {
			q := c.queueOf(r.account)
			result = c.place(ref, allowance{tasks: most, aboveShare: q != nil && c.isAtShare(q)})
		}
		if result == placed || result == deferred {
			continue
		}
		if seen++; seen == maxLaterMisses {
			c.s.scanFrom = r
			return
		}
	}
}
