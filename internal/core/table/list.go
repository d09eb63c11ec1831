package table

import "slices"

// List holds a fixed number of values by position. It is immutable. A changed value copies one chunk and the list of chunks.
type List[V any] struct {
	length int
	chunks []*chunk[V]
}

// Repeat returns a list that holds the same value at each position. It takes little memory, whatever its length.
func Repeat[V any](length int, value *V) List[V] {
	var c chunk[V]
	for i := range c {
		c[i] = value
	}
	return List[V]{length: length, chunks: slices.Repeat([]*chunk[V]{&c}, (length+chunkSize-1)/chunkSize)}
}

// First returns the first values. It copies nothing.
func (l List[V]) First(length int) List[V] {
	n := (length + chunkSize - 1) / chunkSize
	return List[V]{length: length, chunks: l.chunks[:n:n]}
}

// Len returns the number of values.
func (l List[V]) Len() int { return l.length }

// Get returns the value at a position, which must not be changed.
func (l List[V]) Get(i int) *V { return l.chunks[i/chunkSize][i%chunkSize] }

// With returns a copy with another value at a position.
func (l List[V]) With(i int, value *V) List[V] {
	changed := *l.chunks[i/chunkSize]
	changed[i%chunkSize] = value
	l.chunks = slices.Clone(l.chunks)
	l.chunks[i/chunkSize] = &changed
	return l
}

// WithEach returns a copy in which each value is replaced by what f returns for it. f must not change the value. A chunk in
// which all values remain is not copied.
func (l List[V]) WithEach(f func(i int, v *V) *V) List[V] {
	l.chunks = slices.Clone(l.chunks)
	for n, c := range l.chunks {
		changed := *c
		for k := range min(chunkSize, l.length-n*chunkSize) {
			changed[k] = f(n*chunkSize+k, c[k])
		}
		if changed != *c {
			l.chunks[n] = &changed
		}
	}
	return l
}

// All returns the positions and values in order, which must not be changed.
func (l List[V]) All() func(yield func(int, *V) bool) {
	return func(yield func(int, *V) bool) {
		for i := range l.length {
			if !yield(i, l.Get(i)) {
				return
			}
		}
	}
}
