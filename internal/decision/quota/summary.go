package quota

import (
	"time"

	"teaselloft/internal/model/job"
)

// Summary is the part of the state that the state dump shows.
type Summary struct {
	Epoch    uint64                    `json:"epoch"` // of the lender
	Accounts map[string]AccountSummary `json:"accounts,omitempty"`
	Pending  uint64                    `json:"pending,omitempty"` // number of the write in progress
}

// AccountSummary is the summary of an account.
type AccountSummary struct {
	Maximum job.Resources           `json:"maximum"`
	Version uint64                  `json:"version"` // 0 if there is no record
	Removed bool                    `json:"removed,omitempty"`
	Pools   map[string]ShareSummary `json:"pools"`
}

// ShareSummary is the summary of the part of a pool.
type ShareSummary struct {
	Limit     job.Resources `json:"limit"`
	Bound     job.Resources `json:"bound"`
	Used      job.Resources `json:"used"`
	Wanted    job.Resources `json:"wanted"`
	Confirmed bool          `json:"confirmed"` // the owner applies the limit
	Age       time.Duration `json:"age"`       // of the report, -1 if the present owner has not reported
}

// Summary returns the summary for the state dump.
func (s State) Summary() Summary {
	out := Summary{Epoch: s.epoch, Accounts: map[string]AccountSummary{}}
	if s.pending != nil {
		out.Pending = s.pending.Number
	}
	for name, a := range s.accounts {
		x := AccountSummary{Maximum: a.maximum.resources(), Version: a.record.Version, Removed: a.removed, Pools: map[string]ShareSummary{}}
		for pool, y := range a.shares {
			p := s.pools[pool]
			u := p.use(name)
			x.Pools[pool] = ShareSummary{
				Limit: y.limit.resources(), Bound: y.bound.resources(), Used: u.Used, Wanted: u.Wanted,
				Confirmed: p.inForce[name] >= y.lowered, Age: s.age(p.reportedAt),
			}
		}
		out.Accounts[name] = x
	}
	return out
}

// Held returns the number of pools that hold back tasks because of a limit.
func (s State) Held() int {
	held := 0
	for name, p := range s.pools {
		if s.isHeld(name, p) {
			held++
		}
	}
	return held
}

func (s State) isHeld(name string, p pool) bool {
	for account, u := range p.report.Accounts {
		a := s.accounts[account]
		x := a.shares[name]
		used, wanted, largest := amountsOf(u.Used), amountsOf(u.Wanted), amountsOf(u.Largest)
		for r, maximum := range a.maximum {
			if maximum > 0 && wanted[r] > 0 && used[r]+largest[r] > x.limit[r] {
				return true
			}
		}
	}
	return false
}
