package correct

import (
	"cmp"
	"strings"

	"teaselloft/internal/model/fleet"

	"github.com/benbjohnson/immutable"
)

// MaxCounts bounds the misspelled names that are counted.
const MaxCounts = 1024

// maxCountedName bounds a counted name in bytes, since callers choose its length.
const maxCountedName = 128

// Tally counts the requests with one misspelled name.
type Tally struct {
	Name      string `json:"name"`
	Service   string `json:"service,omitempty"` // of the latest correction
	Corrected uint64 `json:"corrected"`
	Refused   uint64 `json:"refused"`
	Over      uint64 `json:"over,omitempty"` // largest count lost when the name took the place of a rarer one
}

// Total returns an upper bound of the requests with the name.
func (t Tally) Total() uint64 {
	return t.Corrected + t.Refused + t.Over
}

// Counts is an immutable table of at most MaxCounts misspelled names.
//
// When it is full, a new name takes the place of the rarest one and inherits
// its total, so that frequent names stay whatever callers send.
type Counts struct {
	tallies *immutable.Map[string, Tally]
	order   *immutable.SortedMap[rank, struct{}]
}

// rank orders names, rarest first.
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
		tallies: immutable.NewMap[string, Tally](nil),
		order:   immutable.NewSortedMap[rank, struct{}](rankComparer{}),
	}
}

// Len returns the number of counted names.
func (c Counts) Len() int {
	return c.tallies.Len()
}

// WithResult returns a copy that counts the result of a lookup of name; exact names are not counted.
func (c Counts) WithResult(name string, r Result) Counts {
	if _, ok := r.(Exact); ok {
		return c
	}
	service, corrected := Service(r)
	return c.with(countedName(name), func(t Tally) Tally {
		if corrected {
			t.Corrected++
			t.Service = service
		} else {
			t.Refused++
		}
		return t
	})
}

func countedName(name string) string {
	name = fleet.Normalize(name)
	if len(name) > maxCountedName {
		name = name[:maxCountedName]
	}
	return strings.ToValidUTF8(name, "\uFFFD")
}

func (c Counts) with(name string, count func(Tally) Tally) Counts {
	tally, ok := c.tallies.Get(name)
	if !ok {
		tally = Tally{Name: name}
		if c.Len() >= MaxCounts {
			c, tally.Over = c.withoutRarest()
		}
	}
	order := c.order.Delete(rank{total: tally.Total(), name: name})
	tally = count(tally)
	return Counts{
		tallies: c.tallies.Set(name, tally),
		order:   order.Set(rank{total: tally.Total(), name: name}, struct{}{}),
	}
}

// withoutRarest returns a copy without the rarest name, and its total.
func (c Counts) withoutRarest() (Counts, uint64) {
	first, _, _ := c.order.Iterator().Next()
	return Counts{tallies: c.tallies.Delete(first.name), order: c.order.Delete(first)}, first.total
}

// Top returns at most n tallies, most frequent first.
func (c Counts) Top(n int) []Tally {
	top := make([]Tally, 0, min(n, c.Len()))
	i := c.order.Iterator()
	i.Last()
	for len(top) < n && !i.Done() {
		r, _, _ := i.Prev()
		tally, _ := c.tallies.Get(r.name)
		top = append(top, tally)
	}
	return top
}
