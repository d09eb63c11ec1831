package preview

import (
	"fmt"
	"slices"
	"strings"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// Severity tells how serious a finding is.
type Severity int

// Severities. An error means that daemons leave something out or that callers can't be served as the entry says.
const (
	Warning Severity = iota
	Error
)

// Code names a kind of finding for programs.
type Code string

// Codes of findings.
const (
	VersionTooLow     Code = "version-too-low"
	QueueShadowed     Code = "queue-shadowed"
	QueueNeverMatches Code = "queue-never-matches"
	PoolUnknown       Code = "pool-unknown"
	PoolOnStandby     Code = "pool-on-standby"
	PoolUnused        Code = "pool-unused"
	NoPoolInService   Code = "no-pool-in-service"
	NameRepeated      Code = "name-repeated"
	AccountWithoutKey Code = "account-without-key"
	KeyShared         Code = "key-shared"
	TargetOverTimeout Code = "target-over-timeout"
	AttemptsTooLow    Code = "attempts-too-low"
	StretchTooLow     Code = "stretch-too-low"
	WeightTooLow      Code = "weight-too-low"
	AmountNegative    Code = "amount-negative"
	LimitTooLow       Code = "limit-too-low"
	HeaderOverBody    Code = "header-over-body"
	MaximumLowered    Code = "maximum-lowered"
)

// Finding is a fault of a configuration. Its message contains no key.
type Finding struct {
	Severity Severity
	Code     Code
	Entry    Entry
	Field    Field
	Item     int // index in the field, or -1 for the whole field
	Message  string
}

// Check returns all findings about a configuration that is to replace the current one. Without a current configuration,
// current is nil.
func Check(next Config, current *Config) []Finding {
	c := checker{next: next}
	c.checkVersion(current)
	c.checkQueues()
	c.checkPools()
	c.checkAccounts()
	c.checkLimits()
	if current != nil {
		c.checkLowered(*current)
	}
	return c.findings
}

type checker struct {
	next     Config
	findings []Finding
}

func (c *checker) add(s Severity, code Code, e Entry, f Field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Code: code, Entry: e, Field: f, Item: -1, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkVersion(current *Config) {
	switch v := c.next.Version; {
	case v < 1:
		c.add(Error, VersionTooLow, Entry{}, Version, "version %d is below 1", v)
	case current != nil && v <= current.Version:
		c.add(Error, VersionTooLow, Entry{}, Version, "version %d is not above version %d, which is in force; daemons ignore it", v, current.Version)
	}
}

func (c *checker) checkQueues() {
	type path struct{ host, prefix string }
	first := map[path]int{}
	for i, q := range c.next.Queues {
		e := c.next.queueEntry(i)
		if q.Host == "" {
			c.add(Error, QueueNeverMatches, e, Host, "no request matches an empty host")
		}
		if !strings.HasPrefix(q.Prefix, "/") {
			c.add(Error, QueueNeverMatches, e, Prefix, "no path begins with %.80q, which lacks the leading slash", q.Prefix)
		}
		p := path{q.Host, q.Prefix}
		if j, ok := first[p]; ok {
			c.add(Error, QueueShadowed, e, NoField, "an earlier entry, number %d (%.40q), has the same host and prefix and gets all requests", j+1, c.next.Queues[j].Name)
		} else {
			first[p] = i
		}
		c.checkPoolOf(e, q)
		c.checkObjective(e, q)
	}
}

// checkPoolOf checks the pool that a queue names.
func (c *checker) checkPoolOf(e Entry, q Queue) {
	i := slices.IndexFunc(c.next.Pools, func(p Pool) bool { return p.Name == q.Pool })
	switch {
	case i < 0:
		c.add(Error, PoolUnknown, e, PoolName, "%.40q is not in the configuration", q.Pool)
	case c.next.Pools[i].Standby:
		c.add(Error, PoolOnStandby, e, PoolName, "%.40q is on standby, so that its jobs find no executor", q.Pool)
	}
}

func (c *checker) checkObjective(e Entry, q Queue) {
	for _, l := range []Limit{
		{Target, q.Target},
		{Timeout, q.Timeout},
		{AdviceBase, q.Advice.Base},
		{AdvicePerEntry, q.Advice.PerEntry},
		{AdviceValid, q.Advice.Valid},
	} {
		if l.Value < 0 {
			c.add(Error, AmountNegative, e, l.Field, "%g is negative", l.Value)
		}
	}
	if q.Timeout > 0 && q.Target > q.Timeout {
		c.add(Error, TargetOverTimeout, e, Target, "the target of %g ms is above the timeout of %g ms", q.Target, q.Timeout)
	}
	if q.Attempts < 1 {
		c.add(Error, AttemptsTooLow, e, Attempts, "%d attempts are below 1", q.Attempts)
	}
	switch {
	case q.Stretch < 0: // daemons leave such a queue out
		c.add(Error, StretchTooLow, e, Stretch, "%g is negative", q.Stretch)
	case q.Stretch < 1:
		c.add(Warning, StretchTooLow, e, Stretch, "%g is below 1: long jobs can't end within their objective", q.Stretch)
	}
}

func (c *checker) checkPools() {
	used := map[string]bool{}
	for _, q := range c.next.Queues {
		used[q.Pool] = true
	}
	names := map[string]bool{}
	inService := false
	for i, p := range c.next.Pools {
		e := c.next.poolEntry(i)
		inService = inService || !p.Standby
		switch {
		case names[p.Name]:
			c.add(Error, NameRepeated, e, Name, "an earlier entry has the same name and takes effect in place of this one")
		case !p.Standby && !used[p.Name]:
			c.add(Warning, PoolUnused, e, Name, "it is not on standby, and no entry sends requests to it")
		}
		names[p.Name] = true
	}
	if !inService {
		c.add(Error, NoPoolInService, Entry{}, Pools, "no pool is in service: there is none, or all are on standby")
	}
}

func (c *checker) checkAccounts() {
	names := map[string]bool{}
	for i, a := range c.next.Accounts {
		e := c.next.accountEntry(i)
		if names[a.Name] {
			c.add(Error, NameRepeated, e, Name, "an earlier entry has the same name, so that daemons leave this one out")
		}
		names[a.Name] = true
		switch {
		case a.Weight < 0:
			c.add(Error, WeightTooLow, e, Weight, "%d is negative; daemons leave the account out", a.Weight)
		case a.Weight < 1:
			c.add(Warning, WeightTooLow, e, Weight, "%d is below 1; daemons take 1", a.Weight)
		}
		for _, r := range resources(a.Maximum) {
			if r.amount < 0 {
				c.add(Error, AmountNegative, e, r.field, "%d is negative", r.amount)
			}
		}
		if !slices.ContainsFunc(a.Keys, func(k site.KeyDigest) bool { return k != site.KeyDigest{} }) {
			c.add(Warning, AccountWithoutKey, e, Keys, "no caller can use the account, since it has no valid key")
		}
	}
	c.checkSharedKeys()
}

// checkSharedKeys reports a key that several accounts list once for each of them.
func (c *checker) checkSharedKeys() {
	type place struct{ account, key int }
	places := map[site.KeyDigest][]place{}
	for i, a := range c.next.Accounts {
		for j, k := range a.Keys {
			if (k != site.KeyDigest{}) {
				places[k] = append(places[k], place{i, j})
			}
		}
	}
	for i, a := range c.next.Accounts {
		for j, k := range a.Keys {
			other := slices.IndexFunc(places[k], func(p place) bool { return c.next.Accounts[p.account].Name != a.Name })
			if other < 0 {
				continue
			}
			c.add(Error, KeyShared, c.next.accountEntry(i), Keys, "account %.40q lists the same key; daemons accept it for neither", c.next.Accounts[places[k][other].account].Name)
			c.findings[len(c.findings)-1].Item = j
		}
	}
}

func (c *checker) checkLimits() {
	e := Entry{Kind: KindLimits}
	value := map[Field]float64{}
	for _, l := range c.next.Limits {
		value[l.Field] = l.Value
		if l.Value <= 0 {
			c.add(Error, LimitTooLow, e, l.Field, "%g is not above 0", l.Value)
		}
	}
	header, body := value[HeaderBytes], value[BodyBytes]
	if body > 0 && header > body {
		c.add(Error, HeaderOverBody, e, HeaderBytes, "the limit of a header, %g, is above that of a body, %g", header, body)
	}
}

// checkLowered warns of quotas that fall by more than half, because what is running then starts nothing for a long time.
func (c *checker) checkLowered(current Config) {
	for i, a := range c.next.Accounts {
		j := slices.IndexFunc(current.Accounts, func(b Account) bool { return b.Name == a.Name })
		if j < 0 {
			continue
		}
		before := resources(current.Accounts[j].Maximum)
		for k, r := range resources(a.Maximum) {
			old := before[k].amount
			switch {
			case r.amount <= 0: // no limit, or an error
			case old == 0:
				c.add(Warning, MaximumLowered, c.next.accountEntry(i), r.field, "lowered from no limit to %d", r.amount)
			case r.amount < old-old/2:
				c.add(Warning, MaximumLowered, c.next.accountEntry(i), r.field, "lowered by more than half, from %d to %d", old, r.amount)
			}
		}
	}
}

type resource struct {
	field  Field
	amount int64
}

func resources(r job.Resources) []resource {
	return []resource{{CPU, r.CPU}, {Memory, r.Memory}, {GPU, r.GPU}}
}
