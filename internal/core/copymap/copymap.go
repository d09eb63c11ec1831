package copymap

import "maps"

// With returns a copy of m with the value at the key; m may be nil.
func With[K comparable, V any](m map[K]V, key K, value V) map[K]V {
	c := make(map[K]V, len(m)+1)
	maps.Copy(c, m)
	c[key] = value
	return c
}

// Without returns m itself if it lacks the key, and else a copy without it.
func Without[K comparable, V any](m map[K]V, key K) map[K]V {
	if _, ok := m[key]; !ok {
		return m
	}
	c := maps.Clone(m)
	delete(c, key)
	return c
}
