// Package keyvalue decides what a key-value store with compare-and-swap, leases and watches answers.
//
// It is a pure function from a state and a message to a new state and effects; the platform stand-in serves it.
package keyvalue
