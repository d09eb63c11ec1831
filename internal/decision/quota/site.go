package quota

import (
	"maps"
	"time"

	"teaselloft/internal/model/quota"
	"teaselloft/internal/model/site"
)

// withSite returns a copy for a new view of the site.
func (s State) withSite(m Tick) State {
	changed := s.config != m.Config
	former := s.config
	s.config = m.Config
	pools := maps.Clone(s.pools)
	known := make(map[string]bool, len(m.Config.Pools))
	for _, c := range m.Config.Pools {
		known[c.Name] = true
		p := pools[c.Name]
		_, existed := pools[c.Name]
		changed = changed || !existed || p.active == c.Standby
		p.active = !c.Standby
		pools[c.Name] = p
	}
	for name := range m.Owners {
		if _, ok := pools[name]; !ok {
			pools[name], changed = pool{}, true
		}
	}
	for name, p := range pools {
		owner, owned := m.Owners[name]
		if owner.Epoch != p.owner.Epoch {
			p.report, p.reportedAt, p.inForce, p.ownedSince = quota.Report{}, 0, nil, m.Now
		}
		p.active = p.active && known[name]
		changed = changed || owned != p.owned || owner.Live != p.owner.Live
		p.owner, p.owned = owner, owned
		switch {
		case owner.Live:
			p.deadSince = 0
		case p.deadSince == 0:
			p.deadSince = m.Now
		}
		pools[name] = p
	}
	s.pools = pools
	if changed {
		s.views++
		s = s.withAccounts(former)
	}
	return s
}

// withAccounts returns a copy with the accounts and maxima of the configuration, which has followed another one (nil for the
// first).
func (s State) withAccounts(former *site.Config) State {
	accounts := make(map[string]account, len(s.accounts))
	for _, c := range s.config.Accounts {
		a, known := s.accounts[c.Name]
		if maximum := amountsOf(c.Maximum); !maximum.isNone() || known && a.record.Version != 0 {
			accounts[c.Name] = s.refreshed(c, a, former)
		}
	}
	for name, a := range s.accounts {
		if _, ok := accounts[name]; !ok && (a.record.Version != 0 || a.unreadable) {
			a.removed, a.maximum = true, amountsOf(a.record.Maximum)
			accounts[name] = a
		}
	}
	s.accounts = accounts
	return s
}

// refreshed returns an account by the present configuration. Without a record, its pools have the limit 0, and so have pools
// that the record does not name. A bound does not fall, because an owner may still use an earlier configuration.
func (s State) refreshed(c site.Account, a account, former *site.Config) account {
	maximum := amountsOf(c.Maximum)
	before := s.maximumBefore(c, a, former)
	for r := range maximum {
		if before[r] > maximum[r] || before[r] == 0 && maximum[r] > 0 {
			a.raisesAfter[r] = s.now + configDelay
		}
	}
	if former == nil {
		a = a.withUnboundedDelay(s.now)
	}
	a.maximum, a.removed = maximum, false
	shares := maps.Clone(a.shares)
	if shares == nil {
		shares = map[string]share{}
	}
	for name, p := range s.pools {
		x, ok := shares[name]
		if !ok && !p.active && s.isGone(p) {
			continue // nothing runs there
		}
		if !ok || x.unseen && x.bound.isNone() { // an owner may be lost before it has reported
			x = s.newShare(a, p)
		}
		for r := range maximum {
			if maximum[r] > 0 && before[r] == 0 {
				x.bound[r] = unbounded
			}
		}
		shares[name] = x
	}
	a.shares = shares
	return a
}

// withUnboundedDelay returns a copy for a new lender, which does not know how long ago the shares became unbounded.
func (a account) withUnboundedDelay(now time.Duration) account {
	for _, x := range a.shares {
		for r := range x.bound {
			if x.bound[r] >= unbounded {
				a.raisesAfter[r] = now + configDelay
			}
		}
	}
	return a
}

// maximumBefore returns the maximum that applied to an account before the present configuration. That of an account which
// the lender has not seen before counts as unchanged.
func (s State) maximumBefore(c site.Account, a account, former *site.Config) amounts {
	switch {
	case a.shares != nil:
		return a.maximum
	case former != nil && !a.unreadable:
		if _, ok := former.Account(c.Name); ok {
			return amounts{} // it had no quota
		}
	}
	return amountsOf(c.Maximum)
}

// newShare returns the share of a pool that no record names.
func (s State) newShare(a account, p pool) share {
	var x share
	switch {
	case a.unreadable:
		x.bound, x.lowered = amounts{unbounded, unbounded, unbounded}, 1 // its owner may know any limit
	case a.record.Version == 0:
		x.unseen = true
		if p.owned && p.active && !p.owner.Live {
			// What runs there is not known if the account had no quota before. Its next owner gets a limit at once.
			for r, maximum := range a.maximum {
				x.limit[r] = maximum / int64(s.activePools())
			}
			x.bound = x.limit
		}
	}
	return x
}

// withReport returns a copy with the answer of the owner of a pool.
func (s State) withReport(m Reported) State {
	p, ok := s.pools[m.Pool]
	if !ok || !p.owned || m.Report.Epoch != p.owner.Epoch {
		return s
	}
	p.report, p.reportedAt = m.Report, m.Now
	inForce := maps.Clone(p.inForce)
	if inForce == nil {
		inForce = map[string]uint64{}
	}
	for name, u := range m.Report.Accounts {
		inForce[name] = max(inForce[name], u.Version)
	}
	for name, l := range m.Told {
		inForce[name] = max(inForce[name], l.Version)
	}
	p.inForce = inForce
	s = s.withPool(m.Pool, p)
	accounts := s.accounts
	for name, a := range accounts {
		x, ok := a.shares[m.Pool]
		if !ok {
			continue
		}
		before := x
		if _, named := m.Report.Accounts[name]; named { // the account is limited in the owner's configuration, too
			x.unseen = false
		}
		x.bound = maxOf(x.bound, amountsOf(p.use(name).Used))
		if inForce[name] > a.record.Version {
			x.bound, x.lowered = maxOf(x.bound, a.maximum), max(x.lowered, inForce[name]) // the record of that limit was lost or deleted
		}
		if x != before {
			a.shares = maps.Clone(a.shares)
			a.shares[m.Pool] = x
			s = s.withAccount(name, a)
		}
	}
	return s
}

// withWritten returns a copy in which the pending write has taken effect.
func (s State) withWritten() State {
	s.accounts = maps.Clone(s.accounts)
	s.unheard = map[string]bool{}
	for name, r := range s.pending.Records {
		a := s.accounts[name]
		shares := make(map[string]share, len(r.Pools))
		for pool, y := range r.Pools {
			x := a.shares[pool]
			limit, bound := amountsOf(y.Limit), amountsOf(y.Bound)
			if s.pendingView != s.views {
				bound = maxOf(bound, x.bound) // of a limit by the new configuration
			}
			lowered := x.lowered > a.record.Version
			for k := range limit {
				lowered = lowered || limit[k] < x.limit[k]
			}
			if lowered {
				x.lowered = r.Version
				if s.pools[pool].owner.Live {
					s.unheard[pool] = true
				}
			}
			x.bound = maxOf(bound, amountsOf(s.pools[pool].use(name).Used))
			x.limit, x.unseen = limit, false
			shares[pool] = x
		}
		a.record, a.shares, a.unreadable = r, shares, false
		s.accounts[name] = a
	}
	for _, name := range s.pending.Deletes {
		delete(s.accounts, name)
	}
	return s.withAccounts(s.config)
}

// age returns the time since a report, for the summary.
func (s State) age(at time.Duration) time.Duration {
	if at == 0 {
		return -1
	}
	return s.now - at
}
