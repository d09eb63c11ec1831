// Package dispatch decides, for the owner of a service, which request gets which executor slot and when.
//
// It is a pure function from a state and a message to a new state and effects.
package dispatch
