// Package pool runs the duties that this daemon owns, which are pools and the fleet. It takes duties over, performs the
// effects of their decisions and stores their records.
package pool
