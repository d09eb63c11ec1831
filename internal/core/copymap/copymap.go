package copymap

import "maps"

// With returns a copy of m in which key maps to value; m may be nil.
func With[K comparable, V any](m map[K]V, key K, value V) map[K]V {
	c := make(map[K]V, len(m)+1)
	maps.Copy(c, m)
	c[key] = value
	return c
}

// Without returns a copy of m without key, or m itself when key is absent.
func Without[K comparable, V any](m map[K]V, key K) map[K]V {
	if _, ok := m[key]; !ok {
		return m
	}
	c := maps.Clone(m)
	delete(c, key)
	return c
}
