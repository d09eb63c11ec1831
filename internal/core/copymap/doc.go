// Package copymap provides copy-on-write updates of small maps, for use in immutable values.
package copymap
