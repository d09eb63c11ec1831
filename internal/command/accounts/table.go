package accounts

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"teaselloft/internal/command/option"
	"teaselloft/internal/model/job"
)

// unit is a resource as the tables show it.
type unit struct {
	name   string
	of     func(job.Resources) int64
	format func(int64) string
}

func integer(n int64) string { return strconv.FormatInt(n, 10) }

var units = []unit{
	{"cores", func(r job.Resources) int64 { return r.CPU }, func(n int64) string { return strconv.FormatFloat(float64(n)/1000, 'f', 1, 64) }},
	{"memory MB", func(r job.Resources) int64 { return r.Memory }, integer},
	{"gpu", func(r job.Resources) int64 { return r.GPU }, integer},
}

// unitsOf returns the resources that the accounts use or that limit them.
func unitsOf(accounts []Account) []unit {
	return slices.DeleteFunc(slices.Clone(units), func(u unit) bool {
		return u.name == "gpu" && !slices.ContainsFunc(accounts, func(a Account) bool {
			return u.of(a.Used) != 0 || u.of(a.Wanted) != 0 || a.Maximum != nil && u.of(*a.Maximum) != 0
		})
	})
}

// ofLimit formats an amount and its limit, which is "-" if there is none.
func (u unit) ofLimit(used job.Resources, maximum, limit *job.Resources) string {
	return u.format(u.of(used)) + "/" + u.limit(maximum, limit)
}

// limit formats an amount of a resource that the maximum of the account limits, or "-". The maximum is nil if it is unknown.
func (u unit) limit(maximum, limit *job.Resources) string {
	if limit == nil || maximum != nil && u.of(*maximum) == 0 {
		return "-"
	}
	return u.format(u.of(*limit))
}

// nameless stands for the account of the jobs of no account.
const nameless = "(none)"

func accountName(name string, removed bool) string {
	switch {
	case name == "":
		return nameless
	case removed:
		return name + " (removed)"
	}
	return name
}

func percent(share float64) string { return strconv.FormatFloat(100*share, 'f', 1, 64) + "%" }

// duration formats a duration, or "-" if there is none.
func duration(d time.Duration, ok bool) string {
	if !ok {
		return "-"
	}
	return d.Round(100 * time.Millisecond).String()
}

// tables returns the tables of all accounts.
func (v View) tables() []option.Table {
	shown := unitsOf(v.Accounts)
	t := option.Table{Header: []string{"account", "weight", "by weight", "share"}}
	for _, u := range shown {
		t.Header = append(t.Header, u.name)
	}
	t.Header = append(t.Header, "waiting", "for", "over quota", "oversized", "held by", "401", "503")
	for _, a := range v.Accounts {
		row := []string{accountName(a.Name, a.Removed), strconv.FormatFloat(a.Weight, 'f', -1, 64), percent(a.ByWeight), percent(a.Share)}
		if a.Weight == 0 { // it is not in the configuration
			row[1], row[2] = "-", "-"
		}
		for _, u := range shown {
			row = append(row, u.ofLimit(a.Used, a.Maximum, a.Maximum))
		}
		t.Rows = append(t.Rows, append(row, strconv.Itoa(a.Waiting), duration(a.Since, a.Waiting > 0), strconv.Itoa(a.OverQuota), strconv.Itoa(a.Oversized),
			a.heldBy(), integer(a.Refused.Unauthorized), integer(a.Refused.Stale)))
	}
	tables := []option.Table{t}
	for _, x := range []option.Table{v.lentTable(shown), v.refusalTable()} {
		if len(x.Rows) > 0 {
			tables = append(tables, x)
		}
	}
	return append(tables, v.missingTables()...)
}

// heldBy names the reasons for which tasks are held back, and the pools.
func (a Account) heldBy() string {
	var reasons []string
	for _, reason := range []string{"quota", "share"} {
		var pools []string
		for _, p := range a.Pools {
			if string(p.Held) == reason {
				pools = append(pools, p.Pool)
			}
		}
		if len(pools) > 0 {
			reasons = append(reasons, fmt.Sprintf("%s (%s)", reason, strings.Join(pools, ", ")))
		}
	}
	return option.Dash(strings.Join(reasons, ", "))
}

// lentTable returns what each pool may use of the quotas.
func (v View) lentTable(shown []unit) option.Table {
	t := option.Table{Header: append([]string{"account", "pool"}, lentHeader(shown)...)}
	for _, a := range v.Accounts {
		for _, p := range a.Pools {
			if p.Lent != nil {
				t.Rows = append(t.Rows, append([]string{accountName(a.Name, a.Removed), p.Pool}, p.lent(a, shown)...))
			}
		}
	}
	return t
}

// lentHeader returns the header of the cells that lent returns.
func lentHeader(shown []unit) []string {
	var header []string
	for _, u := range shown {
		header = append(header, u.name+" lent", "bound")
	}
	return append(header, "confirmed", "reported")
}

// lent returns the cells about what is lent to a pool.
func (p Pool) lent(a Account, shown []unit) []string {
	var cells []string
	for _, u := range shown {
		cells = append(cells, u.limit(a.Maximum, p.Lent), u.limit(a.Maximum, p.Bound))
	}
	confirmed := "no"
	switch {
	case p.Lent == nil:
		confirmed = "-"
	case p.Confirmed:
		confirmed = "yes"
	}
	return append(cells, confirmed, duration(p.Report, p.Lent != nil && p.Report >= 0))
}

// refusalTable returns the refused requests.
func (v View) refusalTable() option.Table {
	t := option.Table{Header: []string{"status", "reason", "account", "queue", "refused", "last"}}
	for _, r := range v.Refusals {
		account := r.Account
		if account == "" {
			account = "(unknown)"
		}
		t.Rows = append(t.Rows, []string{strconv.Itoa(r.Status), string(r.Reason), account, r.Queue, integer(r.Count), duration(r.Age, true) + " ago"})
	}
	return t
}

func (v View) missingTables() []option.Table {
	if len(v.Missing) == 0 {
		return nil
	}
	t := option.Table{Header: []string{"missing"}}
	for _, text := range v.Missing {
		t.Rows = append(t.Rows, []string{text})
	}
	return []option.Table{t}
}

// accountTables returns the tables of a view with one account, which have a line for each pool.
func (v View) accountTables() []option.Table {
	a := v.Accounts[0]
	shown := unitsOf(v.Accounts)
	isLent := slices.ContainsFunc(a.Pools, func(p Pool) bool { return p.Lent != nil })
	t := option.Table{Header: []string{"pool", "owner"}}
	for _, u := range shown {
		t.Header = append(t.Header, u.name)
	}
	if isLent {
		t.Header = append(t.Header, lentHeader(shown)...)
	}
	t.Header = append(t.Header, "share", "fair", "waiting", "for", "over quota", "oversized", "held by", "for")
	for _, p := range a.Pools {
		row := []string{p.Pool, option.Dash(p.Owner)}
		for _, u := range shown {
			row = append(row, u.ofLimit(p.Used, a.Maximum, p.Limit))
		}
		if isLent {
			row = append(row, p.lent(a, shown)...)
		}
		if p.Owner == "" { // only the report to the owner of the fleet is known
			row = append(row, "-", "-", "-", "-", "-", "-", "-", "-")
		} else {
			row = append(row, percent(p.Share), percent(p.Fair), strconv.Itoa(p.Waiting), duration(p.Since, p.Waiting > 0), strconv.Itoa(p.OverQuota),
				strconv.Itoa(p.Oversized), option.Dash(string(p.Held)), duration(p.HeldSince, p.Held != ""))
		}
		t.Rows = append(t.Rows, row)
	}
	tables := []option.Table{t}
	if x := v.refusalTable(); len(x.Rows) > 0 {
		tables = append(tables, x)
	}
	return append(tables, v.missingTables()...)
}
