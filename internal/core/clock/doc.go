// Package clock reads the clock by which elapsed time proves something, such as the end of a lease.
package clock
