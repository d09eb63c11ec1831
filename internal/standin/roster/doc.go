// Package roster decides what a lagging list of live and leaving instances shows.
//
// It is a pure function from a state and a message to a new state and effects; the platform stand-in serves it.
package roster
