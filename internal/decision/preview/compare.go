package preview

import (
	"maps"
	"slices"

	"teaselloft/internal/model/site"
)

// Difference is one difference between two configurations.
//
//sumtype:decl
type Difference interface{ difference() }

// VersionChanged is a change of the version.
type VersionChanged struct{ Old, New int64 }

// AccountsChanged tells that callers need keys from now on, or no longer.
type AccountsChanged struct{ Required bool }

// Added is an entry that the current configuration lacks.
type Added struct {
	Entry  Entry
	Fields []FieldChange
	Keys   int
}

// Removed is an entry that the next configuration lacks.
type Removed struct {
	Entry Entry // in the current configuration
	Keys  int
}

// Changed is an entry with other fields or keys.
type Changed struct {
	Entry       Entry
	Fields      []FieldChange
	KeysAdded   int
	KeysRemoved int
}

func (VersionChanged) difference()  {}
func (AccountsChanged) difference() {}
func (Added) difference()           {}
func (Removed) difference()         {}
func (Changed) difference()         {}

// FieldChange is a field with another value. An empty value means that the field is absent.
type FieldChange struct {
	Name     string
	Old, New string
	Hidden   bool // the values may be secret and are not given
}

// Compare returns the differences between the current and the next configuration. A queue is the same one if it has the same
// host and prefix, whatever its name is; a pool or account if it has the same name. The order of entries is no difference.
func Compare(current, next Config) []Difference {
	var out []Difference
	if current.Version != next.Version {
		out = append(out, VersionChanged{Old: current.Version, New: next.Version})
	}
	if current.HasAccounts != next.HasAccounts {
		out = append(out, AccountsChanged{Required: next.HasAccounts})
	}
	out = append(out, compareEntries([]item{current.other()}, []item{next.other()})...)
	out = append(out, compareEntries([]item{current.limits()}, []item{next.limits()})...)
	out = append(out, compareEntries(current.queues(), next.queues())...)
	out = append(out, compareEntries(current.pools(), next.pools())...)
	return append(out, compareEntries(current.accounts(), next.accounts())...)
}

// item is an entry with what is compared.
type item struct {
	identity string
	entry    Entry
	fields   []Attribute
	keys     []site.KeyDigest
}

func (c Config) other() item  { return item{fields: c.Other} }
func (c Config) limits() item { return item{entry: Entry{Kind: KindLimits}, fields: c.LimitFields} }

func (c Config) queues() []item {
	items := make([]item, len(c.Queues))
	for i, q := range c.Queues {
		items[i] = item{identity: q.Host + "\x00" + q.Prefix, entry: c.queueEntry(i), fields: q.Fields}
	}
	return items
}

func (c Config) pools() []item {
	items := make([]item, len(c.Pools))
	for i, p := range c.Pools {
		items[i] = item{identity: p.Name, entry: c.poolEntry(i), fields: p.Fields}
	}
	return items
}

func (c Config) accounts() []item {
	items := make([]item, len(c.Accounts))
	for i, a := range c.Accounts {
		items[i] = item{identity: a.Name, entry: c.accountEntry(i), fields: a.Fields, keys: a.Keys}
	}
	return items
}

// compareEntries compares the entries of one kind. Of several with one identity, the first is compared with the first, and so on.
func compareEntries(current, next []item) []Difference {
	left := map[string][]item{}
	for _, x := range current {
		left[x.identity] = append(left[x.identity], x)
	}
	var changed, added, removed []Difference
	for _, x := range next {
		if same := left[x.identity]; len(same) > 0 {
			left[x.identity] = same[1:]
			changed = append(changed, compareItems(same[0], x)...)
			continue
		}
		added = append(added, Added{Entry: x.entry, Fields: compareFields(nil, x.fields), Keys: len(digestsOf(x.keys))})
	}
	for _, x := range current {
		if slices.ContainsFunc(left[x.identity], func(y item) bool { return y.entry == x.entry }) {
			removed = append(removed, Removed{Entry: x.entry, Keys: len(digestsOf(x.keys))})
		}
	}
	return slices.Concat(changed, added, removed)
}

// compareItems returns the difference between two versions of an entry, if there is one.
func compareItems(current, next item) []Difference {
	d := Changed{Entry: next.entry, Fields: compareFields(current.fields, next.fields)}
	before, after := digestsOf(current.keys), digestsOf(next.keys)
	for k := range after {
		if !before[k] {
			d.KeysAdded++
		}
	}
	for k := range before {
		if !after[k] {
			d.KeysRemoved++
		}
	}
	if len(d.Fields) == 0 && d.KeysAdded == 0 && d.KeysRemoved == 0 {
		return nil
	}
	return []Difference{d}
}

// digestsOf returns the set of the valid keys.
func digestsOf(keys []site.KeyDigest) map[site.KeyDigest]bool {
	set := map[site.KeyDigest]bool{}
	for _, k := range keys {
		if (k != site.KeyDigest{}) {
			set[k] = true
		}
	}
	return set
}

// compareFields returns the fields that differ, by name.
func compareFields(current, next []Attribute) []FieldChange {
	changes := map[string]FieldChange{}
	for _, a := range current {
		changes[a.Name] = FieldChange{Name: a.Name, Old: a.Value, Hidden: a.Hidden}
	}
	for _, a := range next {
		changes[a.Name] = FieldChange{Name: a.Name, Old: changes[a.Name].Old, New: a.Value, Hidden: a.Hidden}
	}
	var out []FieldChange
	for _, name := range slices.Sorted(maps.Keys(changes)) {
		change := changes[name]
		if change.Old == change.New {
			continue
		}
		if change.Hidden {
			change.Old, change.New = "", ""
		}
		out = append(out, change)
	}
	return out
}
