package table

import (
	"slices"
)

// chunkSize is the number of values in a chunk. A change copies one chunk and the list of chunks; at 16 both are short in a
// table of some hundred values.
const chunkSize = 16

type chunk[V any] [chunkSize]*V

// Table maps keys to values and keeps them in the order of the keys. It is immutable. A changed value copies a few hundred
// bytes, and a new or removed key the whole table.
type Table[V any] struct {
	keys   []string
	index  map[string]int // position by key
	chunks []*chunk[V]
}

// Len returns the number of values.
func (t Table[V]) Len() int { return len(t.keys) }

// Get returns the value of a key, which must not be changed.
func (t Table[V]) Get(key string) (*V, bool) {
	i, ok := t.index[key]
	if !ok {
		return nil, false
	}
	return t.chunks[i/chunkSize][i%chunkSize], true
}

// With returns a copy in which key maps to value.
func (t Table[V]) With(key string, value *V) Table[V] {
	i, ok := t.index[key]
	if !ok {
		at, _ := slices.BinarySearch(t.keys, key)
		return build(slices.Insert(slices.Clone(t.keys), at, key), slices.Insert(t.values(), at, value))
	}
	changed := *t.chunks[i/chunkSize]
	changed[i%chunkSize] = value
	t.chunks = slices.Clone(t.chunks)
	t.chunks[i/chunkSize] = &changed
	return t
}

// Without returns a copy without key, or the table itself if it has no such key.
func (t Table[V]) Without(key string) Table[V] {
	i, ok := t.index[key]
	if !ok {
		return t
	}
	return build(slices.Delete(slices.Clone(t.keys), i, i+1), slices.Delete(t.values(), i, i+1))
}

// Each calls f for each value in the order of the keys. f must not change the value.
func (t Table[V]) Each(f func(*V)) {
	for i, left := 0, len(t.keys); left > 0; i, left = i+1, left-chunkSize {
		for _, v := range t.chunks[i][:min(left, chunkSize)] {
			f(v)
		}
	}
}

func (t Table[V]) values() []*V {
	values := make([]*V, 0, len(t.keys)+1)
	t.Each(func(v *V) { values = append(values, v) })
	return values
}

func build[V any](keys []string, values []*V) Table[V] {
	t := Table[V]{keys: keys, index: make(map[string]int, len(keys))}
	for i, key := range keys {
		t.index[key] = i
	}
	for part := range slices.Chunk(values, chunkSize) {
		var c chunk[V]
		copy(c[:], part)
		t.chunks = append(t.chunks, &c)
	}
	return t
}
