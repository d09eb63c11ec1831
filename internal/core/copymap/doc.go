// Package copymap changes copies of small maps, for immutable values.
package copymap
