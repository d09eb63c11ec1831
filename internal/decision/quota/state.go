package quota

import (
	"maps"
	"slices"
	"time"

	"teaselloft/internal/model/quota"
	"teaselloft/internal/model/site"
)

// account is a client account with a quota or with a record. It is immutable.
type account struct {
	maximum     amounts // by the configuration; that of the record if the configuration lacks the account
	removed     bool    // the configuration lacks the account
	record      quota.Record
	unreadable  bool                 // the stored record is, and was not replaced yet, so that owners may apply any limit
	shares      map[string]share     // by pool
	raisesAfter [kinds]time.Duration // until when limits are not raised, because daemons may still use an earlier configuration
}

// share is what is known of the part that a pool has. It is immutable.
type share struct {
	limit   amounts
	bound   amounts // at least what the pool may use, also by limits that are not stored
	lowered uint64  // version that the owner must have reported before the bound may fall
	unseen  bool    // there was no record of the account, and the owner has not reported since
}

// unbounded is the bound of a share that may use any amount, because the resource had no maximum or an unknown one.
const unbounded = largestAmount

// pool is a pool that may use quotas. It is immutable.
type pool struct {
	owner      Owner
	owned      bool // it has or had an owner
	active     bool // in the configuration and not on standby
	deadSince  time.Duration
	ownedSince time.Duration // when the lender has learned of the present owner
	report     quota.Report
	reportedAt time.Duration     // 0 if the present owner has not reported
	inForce    map[string]uint64 // least version that the present owner applies, by account
	conflict   int64             // revision of the owner's record that a write has shown to be outdated
}

// State is the ledger of the lender. It is immutable.
type State struct {
	epoch       uint64 // of the lender
	now         time.Duration
	config      *site.Config
	pools       map[string]pool
	accounts    map[string]account
	count       uint64            // versions and writes so far
	pending     *Write            // nil if no write is in progress
	views       int               // changes of the configuration, the pools and their owners so far
	pendingView int               // views when the pending write was decided
	reasons     map[string]string // of the pending write, by account
	written     [2]time.Duration  // when the last two writes began
	decidedAt   time.Duration     // when a division was last computed
	unheard     map[string]bool   // pools that have yet to confirm a limit of the last write
	heardBy     time.Duration     // until when the next write waits for them
	cursor      string            // account that the last write has ended with
}

// New returns the state of a new lender, given the stored records by account, and the accounts with an unreadable one.
func New(epoch uint64, records map[string]quota.Record, unreadable []string) State {
	s := State{epoch: epoch, pools: map[string]pool{}, accounts: map[string]account{}, written: [2]time.Duration{-writeWindow, -writeWindow}}
	for name, r := range records {
		a := account{removed: true, record: r, maximum: amountsOf(r.Maximum), shares: make(map[string]share, len(r.Pools))}
		for pool, x := range r.Pools {
			// The former lender may have lowered the limit in any version up to this one.
			a.shares[pool] = share{limit: amountsOf(x.Limit), bound: maxOf(amountsOf(x.Bound), amountsOf(x.Limit)), lowered: r.Version}
		}
		s.accounts[name] = a
	}
	for _, name := range unreadable {
		s.accounts[name] = account{removed: true, unreadable: true}
	}
	return s
}

func (s State) withPool(name string, p pool) State {
	s.pools = maps.Clone(s.pools)
	s.pools[name] = p
	return s
}

func (s State) withAccount(name string, a account) State {
	s.accounts = maps.Clone(s.accounts)
	s.accounts[name] = a
	return s
}

// hasQuotas reports whether the configuration limits an account.
func (s State) hasQuotas() bool {
	return s.config != nil && slices.ContainsFunc(s.config.Accounts, func(a site.Account) bool { return !amountsOf(a.Maximum).isNone() })
}

// activePools returns the number of pools that are not on standby.
func (s State) activePools() int {
	n := 0
	for _, p := range s.pools {
		if p.active {
			n++
		}
	}
	return n
}

// isGone reports whether a pool uses nothing because nobody owns it.
func (s State) isGone(p pool) bool {
	return !p.owned || !p.active && s.hasEnded(p)
}

// mustReport reports whether no limit of an account may be raised before the owner of a pool has reported. A pool without a
// live owner starts nothing, and its next owner gets its limits from the record that is written now. The daemon of the last
// owner of a removed pool may be alive and own it no longer, in which case no report ever comes.
func (s State) mustReport(p pool, x share) bool {
	left := !p.active && p.reportedAt == 0 && s.now-p.ownedSince > abandonedAfter
	return x.unseen && p.owner.Live && !left
}

// hasEnded reports whether all that ran in a pool without limits has ended, because no owner has extended its leases.
func (s State) hasEnded(p pool) bool { return p.deadSince != 0 && s.now-p.deadSince > abandonedAfter }

// mayUse returns what an account may use in a pool by runs that have started. Of a pool without a recent report only the
// bound is known.
func (s State) mayUse(p pool, x share, account string) amounts {
	switch {
	case s.isGone(p):
		return amounts{}
	case s.isFresh(p) || s.hasEnded(p):
		return amountsOf(p.use(account).Used)
	}
	return x.bound
}

// isFresh reports whether the use of an account in a pool is known.
func (s State) isFresh(p pool) bool {
	return s.isGone(p) || p.reportedAt != 0 && s.now-p.reportedAt <= reportValidity
}

// use returns what an account uses in a pool according to its owner.
func (p pool) use(account string) quota.Use { return p.report.Accounts[account] }

// nextVersion returns a version that is higher than all earlier ones, also those of former lenders.
func (s State) nextVersion() (State, uint64) {
	s.count++
	return s, s.epoch<<versionBits + s.count
}
