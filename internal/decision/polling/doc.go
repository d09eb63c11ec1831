// Package polling decides how long changes accumulate in the store before a watch is repeated.
package polling
