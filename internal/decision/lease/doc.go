// Package lease decides when an entry instance renews its lease, registers its member key and publishes how long the
// lease is valid.
//
// Step is a pure function from a state and a message to a new state and effects.
package lease
