// Package lease decides when an entry instance renews its lease, registers and publishes its proof of being alive.
//
// It is a pure function from a state and a message to a new state and effects.
package lease
