package operator

import (
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"

	"github.com/benbjohnson/immutable"
)

// View holds the state of the site as known from the configuration and the platform's records.
type View struct {
	fleet     fleet.Fleet
	members   *immutable.SortedMap[string, record.Member]
	owners    *immutable.SortedMap[string, record.Owner]
	waves     *immutable.SortedMap[string, record.Wave]
	ledgers   *immutable.SortedMap[string, record.Ledger]
	instances *immutable.SortedMap[string, record.Instance]
}

// NewView returns an empty view.
func NewView() View {
	return View{
		members:   immutable.NewSortedMap[string, record.Member](nil),
		owners:    immutable.NewSortedMap[string, record.Owner](nil),
		waves:     immutable.NewSortedMap[string, record.Wave](nil),
		ledgers:   immutable.NewSortedMap[string, record.Ledger](nil),
		instances: immutable.NewSortedMap[string, record.Instance](nil),
	}
}

// WithFleet returns a copy with the configuration replaced.
func (v View) WithFleet(f fleet.Fleet) View {
	v.fleet = f
	return v
}

// WithMember returns a copy with the member record added or replaced, or without it if deleted is true.
func (v View) WithMember(m record.Member, deleted bool) View {
	v.members = with(v.members, m.Entry, m, deleted)
	return v
}

// WithOwner returns a copy with the owner record added or replaced, or without it if deleted is true.
func (v View) WithOwner(o record.Owner, deleted bool) View {
	v.owners = with(v.owners, o.Service, o, deleted)
	return v
}

// WithWave returns a copy with the wave added or replaced, or without it if deleted is true.
func (v View) WithWave(w record.Wave, deleted bool) View {
	v.waves = with(v.waves, w.ID, w, deleted)
	return v
}

// WithLedger returns a copy with the ledger added or replaced, or without it if deleted is true.
func (v View) WithLedger(l record.Ledger, deleted bool) View {
	v.ledgers = with(v.ledgers, l.Service, l, deleted)
	return v
}

// WithInstance returns a copy with the instance record added or replaced, or without it if deleted is true.
func (v View) WithInstance(i record.Instance, deleted bool) View {
	v.instances = with(v.instances, i.ID, i, deleted)
	return v
}

func with[T any](m *immutable.SortedMap[string, T], key string, value T, deleted bool) *immutable.SortedMap[string, T] {
	if deleted {
		return m.Delete(key)
	}
	return m.Set(key, value)
}

// values returns the map's values in order of their keys.
func values[T any](m *immutable.SortedMap[string, T]) []T {
	all := make([]T, 0, m.Len())
	for it := m.Iterator(); !it.Done(); {
		_, v, _ := it.Next()
		all = append(all, v)
	}
	return all
}
