// Package clock reads the clock that lease expiry is measured with.
package clock
