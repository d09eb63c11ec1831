package correct

import (
	"cmp"
	"strings"

	"teaselloft/internal/model/fleet"

	"github.com/benbjohnson/immutable"
)

// MaxNames limits the number of misspelled names in the table.
const MaxNames = 1024

// maxCountedName is the length in bytes to which counted names are truncated, since callers choose the length.
const maxCountedName = 128

// NameCount counts the requests with one misspelled name. The counts are those since the name entered the table.
type NameCount struct {
	Name      string `json:"name"`
	Service   string `json:"service,omitempty"` // that the name was last corrected to
	Corrected uint64 `json:"corrected"`
	Refused   uint64 `json:"refused"`
	Overcount      uint64 `json:"over,omitempty"` // total of the name that it replaced, an upper bound of its requests before that
}

// Total returns an upper bound of the number of requests with the name.
func (t NameCount) Total() uint64 {
	return t.Corrected + t.Refused + t.Overcount
}

// Counts is an immutable table of the requests with each of at most MaxCounts misspelled names.
//
// It uses the space-saving algorithm: in a full table a new name replaces the rarest
// one and inherits its total, so that frequent names stay whatever callers send.
type Counts struct {
	tallies *immutable.Map[string, NameCount]
	order   *immutable.SortedMap[rank, struct{}]
}

// rank is the sort key of a name; the rarest name comes first.
type rank struct {
	total uint64
	name  string
}

type rankComparer struct{}

// Compare orders ranks by total, then by name.
func (rankComparer) Compare(a, b rank) int {
	return cmp.Or(cmp.Compare(a.total, b.total), cmp.Compare(a.name, b.name))
}

// NewCounts returns an empty table.
func NewCounts() Counts {
	return Counts{
		tallies: immutable.NewMap[string, NameCount](nil),
		order:   immutable.NewSortedMap[rank, struct{}](rankComparer{}),
	}
}

// Len returns the number of names in the table.
func (c Counts) Len() int {
	return c.tallies.Len()
}

// WithResult returns a copy that counts the result of a lookup of name. Exact matches are not counted.
func (c Counts) WithResult(name string, r Result) Counts {
	if _, ok := r.(Exact); ok {
		return c
	}
	service, corrected := Service(r)
	return c.with(countedName(name), func(t NameCount) NameCount {
		if corrected {
			t.Corrected++
			t.Service = service
		} else {
			t.Refused++
		}
		return t
	})
}

// countedName returns the name as the table stores it: normalized, truncated and valid UTF-8.
func countedName(name string) string {
	name = fleet.Normalize(name)
	if len(name) > maxCountedName {
		name = name[:maxCountedName]
	}
	return strings.ToValidUTF8(name, "\uFFFD")
}

func (c Counts) with(name string, count func(NameCount) NameCount) Counts {
	tally, ok := c.tallies.Get(name)
	if !ok {
		tally = NameCount{Name: name}
		if c.Len() >= MaxNames {
			c, tally.Overcount = c.withoutRarest()
		}
	}
	order := c.order.Delete(rank{total: tally.Total(), name: name})
	tally = count(tally)
	return Counts{
		tallies: c.tallies.Set(name, tally),
		order:   order.Set(rank{total: tally.Total(), name: name}, struct{}{}),
	}
}

// withoutRarest returns a copy without the rarest name, and the total of that name.
func (c Counts) withoutRarest() (Counts, uint64) {
	first, _, _ := c.order.Iterator().Next()
	return Counts{tallies: c.tallies.Delete(first.name), order: c.order.Delete(first)}, first.total
}

// Top returns at most n tallies, most frequent first.
func (c Counts) Top(n int) []NameCount {
	top := make([]NameCount, 0, min(n, c.Len()))
	i := c.order.Iterator()
	i.Last()
	for len(top) < n && !i.Done() {
		r, _, _ := i.Prev()
		tally, _ := c.tallies.Get(r.name)
		top = append(top, tally)
	}
	return top
}
