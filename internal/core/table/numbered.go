package table

import (
	"cmp"
	"iter"

	"github.com/benbjohnson/immutable"
)

// Numbered maps numbers to values and keeps them in order. It is immutable; the zero value is empty. The value with the
// lowest number is not in the tree, since most maps of an owner hold one value.
type Numbered[V any] struct {
	number int
	lowest *V // nil for an empty map
	others *immutable.SortedMap[int, *V]
}

type numberOrder struct{}

// Compare implements immutable.Comparer.
func (numberOrder) Compare(a, b int) int { return cmp.Compare(a, b) }

// Len returns the number of values.
func (m Numbered[V]) Len() int {
	switch {
	case m.lowest == nil:
		return 0
	case m.others == nil:
		return 1
	default:
		return 1 + m.others.Len()
	}
}

// Get returns the value of a number, or nil. It must not be changed.
func (m Numbered[V]) Get(number int) *V {
	switch {
	case m.lowest == nil || number < m.number:
		return nil
	case number == m.number:
		return m.lowest
	case m.others == nil:
		return nil
	}
	v, _ := m.others.Get(number)
	return v
}

// With returns a copy in which number maps to value.
func (m Numbered[V]) With(number int, value *V) Numbered[V] {
	switch {
	case m.lowest == nil || number == m.number:
		m.number, m.lowest = number, value
		return m
	case number < m.number:
		number, m.number = m.number, number
		value, m.lowest = m.lowest, value
	}
	if m.others == nil {
		m.others = immutable.NewSortedMap[int, *V](numberOrder{})
	}
	m.others = m.others.Set(number, value)
	return m
}

// Without returns a copy without a number.
func (m Numbered[V]) Without(number int) Numbered[V] {
	switch {
	case m.others == nil && number == m.number:
		return Numbered[V]{}
	case m.others == nil:
		return m
	case number == m.number:
		m.number, m.lowest, _ = m.others.Iterator().Next()
		number = m.number
	}
	if m.others = m.others.Delete(number); m.others.Len() == 0 {
		m.others = nil
	}
	return m
}

// All returns the numbers and values in order. The values must not be changed.
func (m Numbered[V]) All() iter.Seq2[int, *V] {
	return func(yield func(int, *V) bool) {
		if m.lowest == nil || !yield(m.number, m.lowest) || m.others == nil {
			return
		}
		for i := m.others.Iterator(); !i.Done(); {
			if number, v, _ := i.Next(); !yield(number, v) {
				return
			}
		}
	}
}
