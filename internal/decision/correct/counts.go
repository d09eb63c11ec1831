package correct

import (
	"cmp"
	"strings"

	"teaselloft/internal/model/fleet"

	"github.com/benbjohnson/immutable"
)

// MaxNames limits the number of misspelled names in the table.
const MaxNames = 1024

// maxNameBytes is the length to which counted names are truncated, since callers choose the length.
const maxNameBytes = 128

// NameCount counts the requests with one misspelled name. The counts are those since the name entered the table.
type NameCount struct {
	Name      string `json:"name"`
	Service   string `json:"service,omitempty"` // that the name was last corrected to
	Corrected uint64 `json:"corrected"`
	Refused   uint64 `json:"refused"`
	Overcount uint64 `json:"over,omitempty"` // total of the replaced name, an upper bound of the requests before the entry
}

// Total returns an upper bound of the number of requests with the name.
func (c NameCount) Total() uint64 {
	return c.Corrected + c.Refused + c.Overcount
}

// Counts is an immutable table of the requests with each of at most MaxNames misspelled names.
//
// It uses the space-saving algorithm: in a full table a new name replaces the rarest
// one and inherits its total, so that frequent names stay in the table whatever callers send.
type Counts struct {
	byName  *immutable.Map[string, NameCount]
	byTotal *immutable.SortedMap[rank, struct{}]
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
		byName:  immutable.NewMap[string, NameCount](nil),
		byTotal: immutable.NewSortedMap[rank, struct{}](rankComparer{}),
	}
}

// Len returns the number of names in the table.
func (c Counts) Len() int {
	return c.byName.Len()
}

// WithResult returns a copy that counts the result of a lookup of name. Exact matches are not counted.
func (c Counts) WithResult(name string, r Result) Counts {
	if _, ok := r.(Exact); ok {
		return c
	}
	service, corrected := Service(r)
	return c.with(countedName(name), func(n NameCount) NameCount {
		if corrected {
			n.Corrected++
			n.Service = service
		} else {
			n.Refused++
		}
		return n
	})
}

// countedName returns the name as the table stores it: normalized, truncated and valid UTF-8.
func countedName(name string) string {
	name = fleet.Normalize(name)
	if len(name) > maxNameBytes {
		name = name[:maxNameBytes]
	}
	return strings.ToValidUTF8(name, "\uFFFD")
}

// with returns a copy in which update was applied to the count of name.
func (c Counts) with(name string, update func(NameCount) NameCount) Counts {
	current, ok := c.byName.Get(name)
	if !ok {
		current = NameCount{Name: name}
		if c.Len() >= MaxNames {
			c, current.Overcount = c.withoutRarest()
		}
	}
	order := c.byTotal.Delete(rank{total: current.Total(), name: name})
	current = update(current)
	return Counts{
		byName:  c.byName.Set(name, current),
		byTotal: order.Set(rank{total: current.Total(), name: name}, struct{}{}),
	}
}

// withoutRarest returns a copy without the rarest name, and the total of that name.
func (c Counts) withoutRarest() (Counts, uint64) {
	first, _, _ := c.byTotal.Iterator().Next()
	return Counts{byName: c.byName.Delete(first.name), byTotal: c.byTotal.Delete(first)}, first.total
}

// Top returns at most n names with their counts, most frequent first.
func (c Counts) Top(n int) []NameCount {
	top := make([]NameCount, 0, min(n, c.Len()))
	i := c.byTotal.Iterator()
	i.Last()
	for len(top) < n && !i.Done() {
		r, _, _ := i.Prev()
		count, _ := c.byName.Get(r.name)
		top = append(top, count)
	}
	return top
}
