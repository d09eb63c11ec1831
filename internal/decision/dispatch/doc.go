// Package dispatch decides, for the owner of a service, which request gets which executor slot and when.
//
// Step is a pure function from a state and a message to a new state and effects.
// Every message must carry the time at which it is passed to Step, not the time at
// which it was queued, so that ownership that expired in between is noticed.
package dispatch
