package accounts

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"teaselloft/internal/decision/fairshare"
	"teaselloft/internal/decision/quota"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// View is what the dumps tell about the client accounts. Durations are in nanoseconds, CPU is in millicores and memory in MB.
type View struct {
	Config   int64     `json:"config"` // newest version in the dumps; 0 if none has one
	Accounts []Account `json:"accounts"`
	Refusals []Refusal `json:"refusals"`
	Missing  []string  `json:"missing"` // what could not be read
}

// Account is a client account in all pools.
type Account struct {
	Name      string         `json:"name"` // empty for the jobs of no account
	Removed   bool           `json:"removed,omitempty"`
	Weight    float64        `json:"weight"`
	ByWeight  float64        `json:"byWeight"`          // weight as a share of all weights
	Share     float64        `json:"share"`             // dominant share of all pools that its runs use
	Used      job.Resources  `json:"used"`              // by everything that runs or may run
	Maximum   *job.Resources `json:"maximum,omitempty"` // absent for an account without a quota; 0 for a resource that is not limited
	Waiting   int            `json:"waiting"`           // ready tasks
	Since     time.Duration  `json:"since"`             // time for which the first of them has waited
	Wanted    job.Resources  `json:"wanted"`            // demand of the ready tasks
	OverQuota int            `json:"overQuota"`         // ready tasks for which the limits have no room
	Oversized int            `json:"oversized"`         // ready tasks that are larger than every executor of their pool
	Refused   Refused        `json:"refused"`
	Pools     []Pool         `json:"pools"`
}

// Refused counts the refused requests by the status of the response.
type Refused struct {
	Unauthorized int64 `json:"401"`
	Stale        int64 `json:"503"`
}

// Pool is a client account in a pool. Without a dump of the pool's owner, the use is that of its last report to the lender.
type Pool struct {
	Pool  string `json:"pool"`
	Owner string `json:"owner,omitempty"` // source of the dump of the pool's owner
	schedule.AccountSummary
	Lent      *job.Resources `json:"lent,omitempty"`  // limit by the owner of the fleet
	Bound     *job.Resources `json:"bound,omitempty"` // largest amount that the pool may still use
	Confirmed bool           `json:"confirmed"`       // the owner of the pool applies what is lent
	Report    time.Duration  `json:"report"`          // age of the owner's report to the owner of the fleet, -1 if there is none
}

// Refusal is how many requests were refused for the same reason by all daemons since they have started.
type Refusal struct {
	Account string             `json:"account"` // empty if it is not known
	Queue   string             `json:"queue"`
	Reason  port.RefusalReason `json:"reason"`
	Status  int                `json:"status"`
	Count   int64              `json:"count"`
	Age     time.Duration      `json:"age"` // of the last one
}

// collector collects the contents of dumps.
type collector struct {
	pools     map[string]schedule.Summary
	sources   map[string]string // of the dumps of the owners of pools, by pool
	quotas    *quota.Summary
	directory directory // the newest one
	owners    map[string]owner
	members   int
	dumps     int
	refusals  map[Refusal]Refusal // by account, queue and reason
	missing   []string
}

// NewView returns the view of the dumps. Sources that could not be read have an error.
func NewView(dumps []Dump, failed map[string]error) View {
	c := collector{pools: map[string]schedule.Summary{}, sources: map[string]string{}, owners: map[string]owner{}, refusals: map[Refusal]Refusal{}}
	for _, source := range slices.Sorted(maps.Keys(failed)) {
		c.miss("%s: no dump: %v", source, failed[source])
	}
	for _, d := range dumps {
		c.add(d)
	}
	c.noteMissing(len(failed))
	v := View{Accounts: c.accounts(), Refusals: slices.SortedFunc(maps.Values(c.refusals), compareRefusals), Missing: c.missing}
	if v.Missing == nil {
		v.Missing = []string{}
	}
	if v.Refusals == nil {
		v.Refusals = []Refusal{}
	}
	if c.directory.Config != nil {
		v.Config = c.directory.Config.Version
	}
	return v
}

func compareRefusals(a, b Refusal) int {
	return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Reason, b.Reason))
}

func (c *collector) miss(format string, args ...any) {
	c.missing = append(c.missing, fmt.Sprintf(format, args...))
}

// add adds the dump of a daemon. Of several owners of a pool or of the fleet, the one with the highest epoch counts.
func (c *collector) add(d Dump) {
	c.dumps++
	x, err := d.duties()
	if err != nil {
		c.miss("%s: section pool is unreadable: %v", d.Source, err)
	}
	for pool, p := range x.pools {
		if known, ok := c.pools[pool]; !ok || known.Epoch < p.Epoch {
			c.pools[pool], c.sources[pool] = p, d.Source
		}
	}
	if x.quotas != nil && (c.quotas == nil || c.quotas.Epoch < x.quotas.Epoch) {
		c.quotas = x.quotas
	}
	if d.Directory == nil {
		c.miss("%s: the dump has no section follow", d.Source)
	} else {
		c.addDirectory(*d.Directory)
	}
	if d.Desk == nil {
		c.miss("%s: the dump has no section desk; the requests that this daemon has refused are not counted", d.Source)
		return
	}
	for _, r := range d.Desk.Refusals {
		c.addRefusal(r)
	}
}

func (c *collector) addDirectory(d directory) {
	if d.Config != nil && (c.directory.Config == nil || c.directory.Config.Version < d.Config.Version) {
		c.directory = d
	}
	for duty, o := range d.Owners {
		if c.owners[duty].Epoch < o.Epoch {
			c.owners[duty] = o
		}
	}
	c.members = max(c.members, len(d.Members))
}

func (c *collector) addRefusal(r port.Refusals) {
	key := Refusal{Account: r.Account, Queue: r.Queue, Reason: r.Reason}
	x, ok := c.refusals[key]
	if !ok {
		x = key
		x.Age, x.Status = r.Age, http.StatusUnauthorized
		if r.Reason == port.RefusalStaleConfig {
			x.Status = http.StatusServiceUnavailable
		}
	}
	x.Count, x.Age = x.Count+r.Count, min(x.Age, r.Age)
	c.refusals[key] = x
}

// noteMissing names the daemons, pools and duties that no dump shows.
func (c *collector) noteMissing(failed int) {
	if n := c.members - c.dumps - failed; n > 0 {
		c.miss("%d of %d daemons were not asked; the requests that they have refused are not counted", n, c.members)
	}
	config := c.directory.Config
	if config == nil {
		c.miss("no dump has a configuration")
		return
	}
	if config.Accounts == nil {
		c.miss("configuration %d has no accounts", config.Version)
		return
	}
	for _, p := range config.Pools {
		if _, ok := c.pools[p.Name]; ok || !p.Standby {
			c.noteOwner(p.Name, "pool "+p.Name, c.pools[p.Name].Epoch, ok)
		}
	}
	isLimited := func(a site.Account) bool { return a.Maximum != (job.Resources{}) }
	if !slices.ContainsFunc(config.Accounts, isLimited) {
		return // nothing is lent
	}
	epoch := uint64(0)
	if c.quotas != nil {
		epoch = c.quotas.Epoch
	}
	c.noteOwner(cluster.FleetDuty, "fleet (what is lent, and the bounds)", epoch, c.quotas != nil)
}

// noteOwner names a duty of which there is no dump, or that of a former owner.
func (c *collector) noteOwner(duty, name string, epoch uint64, found bool) {
	o, owned := c.owners[duty]
	switch {
	case found && o.Epoch > epoch:
		c.miss("%s: the dump is that of a former owner (epoch %d); the present one is %s (epoch %d)", name, epoch, o.Name, o.Epoch)
	case found:
	case owned:
		c.miss("%s: no dump of the owner, which is %s (epoch %d)", name, o.Name, o.Epoch)
	default:
		c.miss("%s: no dump of an owner, and no owner is known", name)
	}
}

// accounts returns the accounts of the configuration and those that a dump names, ordered by name, the jobs of no account
// last.
func (c *collector) accounts() []Account {
	all := map[string]*Account{}
	get := func(name string) *Account {
		if all[name] == nil {
			all[name] = &Account{Name: name, Removed: c.directory.Config != nil && name != "", Pools: []Pool{}}
		}
		return all[name]
	}
	if c.directory.Config != nil {
		c.addConfigured(c.directory.Config.Accounts, get)
	}
	capacity, running := job.Resources{}, map[string]job.Resources{}
	for _, pool := range slices.Sorted(maps.Keys(c.pools)) {
		p := c.pools[pool]
		capacity = capacity.Plus(p.Capacity)
		for _, s := range p.Accounts {
			a := get(s.Name)
			a.addPool(Pool{Pool: pool, Owner: c.sources[pool], AccountSummary: s, Report: -1})
			running[s.Name] = running[s.Name].Plus(s.Used.Minus(s.MayRun))
		}
	}
	c.addLent(get)
	for _, r := range c.refusals {
		if r.Account != "" {
			a := get(r.Account)
			if r.Status == http.StatusServiceUnavailable {
				a.Refused.Stale += r.Count
			} else {
				a.Refused.Unauthorized += r.Count
			}
		}
	}
	out := make([]Account, 0, len(all))
	for name, a := range all {
		a.Share = fairshare.Dominant(running[name], capacity)
		slices.SortFunc(a.Pools, func(a, b Pool) int { return cmp.Compare(a.Pool, b.Pool) })
		out = append(out, *a)
	}
	slices.SortFunc(out, func(a, b Account) int {
		if (a.Name == "") != (b.Name == "") {
			return cmp.Compare(b.Name, a.Name)
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return out
}

// addConfigured adds the accounts of the configuration.
func (c *collector) addConfigured(accounts []site.Account, get func(string) *Account) {
	sum := 0.0
	for _, a := range accounts {
		sum += float64(max(1, a.Weight))
	}
	for _, x := range accounts {
		a := get(x.Name)
		a.Removed, a.Weight = false, float64(max(1, x.Weight))
		a.ByWeight = a.Weight / sum
		if x.Maximum != (job.Resources{}) {
			a.Maximum = &x.Maximum
		}
	}
}

// addPool adds what the owner of a pool tells about the account.
func (a *Account) addPool(p Pool) {
	a.Used, a.Wanted = a.Used.Plus(p.Used), a.Wanted.Plus(p.Wanted)
	a.Waiting, a.OverQuota, a.Oversized = a.Waiting+p.Waiting, a.OverQuota+p.OverQuota, a.Oversized+p.Oversized
	a.Since = max(a.Since, p.Since)
	a.Pools = append(a.Pools, p)
}

// addLent adds what the owner of the fleet tells about the division of quotas.
func (c *collector) addLent(get func(string) *Account) {
	if c.quotas == nil {
		return
	}
	for name, q := range c.quotas.Accounts {
		a := get(name)
		if a.Maximum == nil && c.directory.Config == nil {
			a.Maximum = &q.Maximum
		}
		for pool, share := range q.Pools {
			i := slices.IndexFunc(a.Pools, func(p Pool) bool { return p.Pool == pool })
			if i < 0 {
				i = len(a.Pools)
				a.addPool(Pool{Pool: pool, Owner: c.sources[pool], AccountSummary: schedule.AccountSummary{Name: name, Used: share.Used, Wanted: share.Wanted}})
			}
			p := &a.Pools[i]
			p.Lent, p.Bound, p.Confirmed, p.Report = &share.Limit, &share.Bound, share.Confirmed, share.Age
		}
	}
}
